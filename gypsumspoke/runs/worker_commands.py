"""Commands from a sidecar to its worker, and the events that answer them.

Effects and events of the supervisor (``runs/supervisor.py``). A command without an
answer may have been carried out, may be carried out seconds later, or never.
"""

from datetime import datetime, timedelta
from enum import Enum
from typing import NamedTuple

from gypsumspoke.runs.values import Registration, RunEnd, RunId


class StartCommand(NamedTuple):
    """Effect: tell the worker to start a run; answered by CommandAnswered.

    Attributes:
      run: which run.
      spec: text for the worker.
      worker: id of the intended worker; another one refuses.
      lease_end: end of the lease on the worker's clock; the worker refuses to start the
        run later.
      token: fencing token of this sidecar.
    """

    run: RunId
    spec: str
    worker: str
    lease_end: timedelta
    token: int


class StopCommand(NamedTuple):
    """Effect: stop a run, or have the worker refuse it if it has not started."""

    run: RunId
    worker: str
    token: int


class RenewCommand(NamedTuple):
    """Effect: extend the lease and request the lists of running and ended runs.

    Attributes:
      worker: id of the intended worker; empty to address any.
      lease_end: end of the lease on the worker's clock; None to leave it unchanged.
      last_seen: ends up to this number have been processed.
      wait: how long the worker may wait for a new end before it answers.
      token: fencing token of this sidecar; 0 before it has one.
      is_extra: sent beside the regular renewal, to learn at once what became of a run.
      number: rises with each regular renewal.
    """

    worker: str
    lease_end: timedelta | None
    last_seen: int
    wait: timedelta
    token: int
    is_extra: bool = False
    number: int = 0


class CommandKind(Enum):
    """Which command was answered."""

    START = "start"
    STOP = "stop"


class CommandResult(Enum):
    """Outcome of a command.

    It had no effect unless ACCEPTED, UNANSWERED or CLOSED. The last two are equally
    uncertain: there was no answer in time, or the connection ended without one.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    NUMBER_TOO_LOW = "number_too_low"
    LATE = "late"
    NO_ROOM = "no_room"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_WORKER = "other_worker"
    NOT_SENT = "not_sent"
    UNANSWERED = "unanswered"
    CLOSED = "closed"


class CommandAnswered(NamedTuple):
    """Event: a StartCommand or StopCommand was answered or failed.

    Attributes:
      kind, run: which command.
      result: its outcome.
      clock: the worker's clock in its answer, if given.
      sent: when the command was sent, by the sidecar's clock.
    """

    kind: CommandKind
    run: RunId
    result: CommandResult
    clock: timedelta | None = None
    sent: datetime | None = None


class RunningRun(NamedTuple):
    """A run that the worker lists as running, with its progress in percent."""

    run: RunId
    percent: int


class EndedRun(NamedTuple):
    """An ended run in the worker's list.

    Attributes:
      number: counts the ends within the worker's incarnation.
      run, end: the run and its outcome.
      lapsed: whether it ended because the lease expired.
    """

    number: int
    run: RunId
    end: RunEnd
    lapsed: bool


class RenewalAnswered(NamedTuple):
    """Event: the worker's answer to a RenewCommand.

    Attributes:
      sent: when the command was sent, by the sidecar's clock.
      clock: the worker's clock in its answer.
      incarnation: number of the worker's incarnation; None if the answer lacks it.
      running: all running runs.
      ended: ends beyond ``last_seen``, oldest first.
      is_extra, token, number: as in the command.
    """

    sent: datetime
    clock: timedelta
    incarnation: int | None
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    is_extra: bool = False
    token: int = 0
    number: int = 0


class RenewalFailed(NamedTuple):
    """Event: a RenewCommand got no usable answer.

    Attributes:
      result: why.
      clock: the worker's clock, if a refusal gave it.
      is_extra, token, number, worker: as in the command.
    """

    result: CommandResult
    clock: timedelta | None = None
    is_extra: bool = False
    token: int = 0
    number: int = 0
    worker: str = ""


class HeartbeatArrived(NamedTuple):
    """Event: a heartbeat of this sidecar's worker arrived."""

    registration: Registration


class WorkerLeft(NamedTuple):
    """Event: the worker deregistered; it exits now."""

    id: str
