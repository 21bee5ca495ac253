"""Settings of an entry or a sidecar of best-effort jobs."""

from datetime import timedelta
from typing import NamedTuple

from gypsumspoke.core.process_limits import DEFAULT_PROCESS_LIMITS, ProcessLimits
from gypsumspoke.runs.budget import DEFAULT_BUDGET, Budget
from gypsumspoke.runs.values import DEFAULT_REMOTE_SLOWDOWN

Address = tuple[str, int]


class RunSettings(NamedTuple):
    """Settings of one process.

    Attributes:
      instance: name of the instance; the same after a restart.
      failure_domain: its failure domain.
      host: its IP address.
      callers: listening address for callers' requests; None for a sidecar.
      readiness: listening address for readiness checks; None for a sidecar.
      peers: listening address for peers; None for a sidecar.
      registration: listening address for the worker's heartbeats; None for an entry.
      worker: address of the sidecar's worker; None for an entry.
      service: service of that worker; empty for an entry.
      metrics: listening address for metrics.
      known_entries: addresses of some entries, which may be stale.
      store: address of the store.
      grace: time from SIGTERM to SIGKILL.
      budget: the time budget of all runs, from the platform's bounds.
      remote_slowdown: factor on a task's run time away from its data.
      limits: what the process may use.
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
    limits: ProcessLimits = DEFAULT_PROCESS_LIMITS


def address_text(address: Address) -> str:
    """Return an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def parse_address(text: str) -> Address:
    """Return the host and the port of HOST:PORT.

    Raises:
      ValueError: the text isn't of that form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)
