"""What a process of either role must know at its start."""

from datetime import timedelta
from typing import NamedTuple

from gypsumspoke.runs.budget import DEFAULT_BUDGET, Budget
from gypsumspoke.runs.values import DEFAULT_REMOTE_SLOWDOWN

Address = tuple[str, int]


class RunSettings(NamedTuple):
    """Settings of one process.

    Attributes:
      instance: name of the instance; the same after a restart.
      failure_domain: where it stands.
      host: its IP number.
      callers: where an entry takes callers' requests; None for a sidecar.
      readiness: where an entry answers readiness checks; None for a sidecar.
      peers: where an entry listens for peers; None for a sidecar.
      registration: where a sidecar takes its worker's heartbeats; None for an entry.
      worker: where a sidecar reaches its worker; None for an entry.
      service: service of that worker; empty for an entry.
      metrics: where metrics are served.
      known_entries: addresses of some entries, which may be stale.
      store: address of the store.
      grace: time from SIGTERM until the process is killed.
      budget: the time budget of all runs, from the platform's bounds.
      remote_slowdown: factor on a task's run time away from its data.
    """

    instance: str
    failure_domain: str
    host: str
    callers: Address | None
    readiness: Address | None
    peers: Address | None
    registration: Address | None
    worker: Address | None
    service: str
    metrics: Address
    known_entries: tuple[str, ...]
    store: Address
    grace: timedelta
    budget: Budget = DEFAULT_BUDGET
    remote_slowdown: float = DEFAULT_REMOTE_SLOWDOWN


def address_text(address: Address) -> str:
    """Return HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def parse_address(text: str) -> Address:
    """Return host and port of HOST:PORT.

    Raises:
      ValueError: the text is something else.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)
