"""Outputs of the reducers, which the shell carries out."""

from datetime import datetime
from typing import NamedTuple

from gypsumspoke.core.counters import Counter, RetryReason
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.core.events import LocalEvent
from gypsumspoke.core.messages import Message
from gypsumspoke.core.values import Answer, AttemptId, JobKey


class Send(NamedTuple):
    """Send a message to a peer over any live connection; dropped if there is none."""

    to: str
    message: Message


class StartUpstream(NamedTuple):
    """Post the task's body to this executor's upstream.

    The shell answers with UpstreamAnswered.
    """

    attempt: AttemptId
    service: str
    not_repeatable: bool
    deadline: datetime
    body: bytes


class ReadRows(NamedTuple):
    """Read all rows whose key starts with ``prefix``; answered by RowsRead."""

    request: str
    prefix: str


class WriteRows(NamedTuple):
    """Write rows in one transaction if no checked row has changed.

    Attributes:
      request: echoed in RowsWritten.
      checks: (key, expected version); version 0 means absent.
      writes: (key, new value or None to delete).
    """

    request: str
    checks: tuple[tuple[str, int], ...]
    writes: tuple[tuple[str, str | None], ...]


class Count(NamedTuple):
    """Increment the counter of ``what``; the shell maps each enum to a metric."""

    what: Counter | RetryReason | ErrorKind
    amount: int = 1


class Observe(NamedTuple):
    """Record one value in the histogram of this name.

    ``name`` is a key of ``HISTOGRAMS`` in ``shell/metrics.py``, and ``label`` the value
    of its label.
    """

    name: str
    value: float
    label: str = ""


class Log(NamedTuple):
    """Write one log line.

    Attributes:
      level: as in ``logging``.
      event: fixed message without values.
      key, task, attempt: the job, task and attempt that it is about, where known.
      fields: further (name, value) pairs.
    """

    level: int
    event: str
    key: JobKey | None = None
    task: int | None = None
    attempt: int | None = None
    fields: tuple[tuple[str, str | int | float], ...] = ()


class Deliver(NamedTuple):
    """Entry only: return this answer to the waiting caller of ``request``."""

    request: str
    answer: Answer


class ApplyManifest(NamedTuple):
    """Put this version of the manifest into force in this process."""

    version: int
    text: str


class Exit(NamedTuple):
    """End the process with status 0 after a graceful stop."""


class Local(NamedTuple):
    """Pass this event to the sibling reducers of the same process."""

    event: LocalEvent


Effect = (
    Local
    | Send
    | StartUpstream
    | ReadRows
    | WriteRows
    | Count
    | Observe
    | Log
    | Deliver
    | ApplyManifest
    | Exit
)
