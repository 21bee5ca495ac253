"""Orders from a sidecar to its worker, and what comes back.

Effects and events of the guard (``runs/guard.py``). An order without an answer may have
been carried out, may be carried out seconds later, or never.
"""

from datetime import datetime, timedelta
from enum import Enum
from typing import NamedTuple

from gypsumspoke.runs.values import Registration, RunEnd, RunId


class StartCommand(NamedTuple):
    """Effect: tell the worker to start a run; answered by OrderAnswered.

    Attributes:
      run: which run.
      spec: text for the worker.
      worker: id of the worker that is meant.
      lease_end: on the worker's clock; the worker refuses to start it later.
      token: fencing token of this sidecar.
    """

    run: RunId
    spec: str
    worker: str
    lease_end: timedelta
    token: int


class StopCommand(NamedTuple):
    """Effect: tell the worker to stop a run, and never to start it."""

    run: RunId
    worker: str
    token: int


class RenewCommand(NamedTuple):
    """Effect: extend the lease and read what runs and what ended.

    Attributes:
      worker: id of the worker that is meant; empty to ask whichever is there.
      lease_end: on the worker's clock; None to leave the lease as it is.
      last_seen: ends up to this number are taken note of.
      wait: how long the worker may wait for a new end.
      token: fencing token of this sidecar; 0 before it has one.
      is_extra: asked beside the hold that is always under way, to learn at once what
        became of one run.
      number: rises with each hold that is not extra.
    """

    worker: str
    lease_end: timedelta | None
    last_seen: int
    wait: timedelta
    token: int
    is_extra: bool = False
    number: int = 0


class CommandKind(Enum):
    """Which order was answered."""

    START = "start"
    STOP = "stop"


class CommandResult(Enum):
    """What the worker said. All but ACCEPTED and UNANSWERED: nothing was done."""

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


class CommandAnswered(NamedTuple):
    """Event: the end of a StartOrder or StopOrder.

    Attributes:
      kind, run: which order.
      result: what the worker said.
      clock: the worker's clock in its answer, if it gave one.
      sent: when the order was sent, by the sidecar's clock.
    """

    kind: CommandKind
    run: RunId
    result: CommandResult
    clock: timedelta | None = None
    sent: datetime | None = None


class RunningRun(NamedTuple):
    """A run that the worker lists as running, and how far it is in percent."""

    run: RunId
    percent: int


class EndedRun(NamedTuple):
    """An end that the worker lists; ``number`` counts within the worker's life."""

    number: int
    run: RunId
    end: RunEnd
    lapsed: bool


class RenewalAnswered(NamedTuple):
    """Event: the worker's answer to a HoldOrder.

    Attributes:
      sent: when the order was sent, by the sidecar's clock.
      clock: the worker's clock in its answer.
      incarnation: number of the worker's incarnation; None if the answer lacks it.
      running: all runs at work.
      ended: ends beyond ``last_seen``, oldest first.
      is_extra, token, number: as in the order.
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
    """Event: a HoldOrder got no usable answer.

    Attributes:
      result: why.
      clock: the worker's clock, where a refusal gave it.
      is_extra, token, number: as in the order.
    """

    result: CommandResult
    clock: timedelta | None = None
    is_extra: bool = False
    token: int = 0
    number: int = 0


class HeartbeatArrived(NamedTuple):
    """Event: the worker beside this sidecar said what it is."""

    registration: Registration


class WorkerLeft(NamedTuple):
    """Event: the worker said that it ends now."""

    id: str
