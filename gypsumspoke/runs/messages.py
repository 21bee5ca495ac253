"""Messages between an entry and the sidecars that connect to it.

``wire`` has a thrift struct with the same fields for each. ``heard`` in a message to a
sidecar is the latest time of the sidecar's own clock that the entry had received when
it sent the message. It proves that the entry was alive then, however long the message
is delayed and without comparing the clocks of two machines.
"""

from datetime import timedelta
from typing import NamedTuple

from gypsumspoke.runs.cordons import NO_CORDONS, Cordons
from gypsumspoke.runs.values import EndReason, Room, RunEnd, RunId


class WorkerReport(NamedTuple):
    """Sidecar to entry: state and free room of its worker, several times a second.

    Attributes:
      stamp: the sidecar's steady clock; the entry returns it as ``heard``.
      worker: the worker's id; empty while none is known.
      service: the worker's service.
      labels: the worker's labels.
      takes_work: whether the worker accepts new runs.
      clean: whether no run of an earlier incarnation of this sidecar is left.
      capacity: the worker's total room.
      free: the room that its runs leave.
      pace: smoothed ratio of run time to estimate; 0 before the first completed run.
      failing: whether most runs fail on the worker.
      taken: number of placements received from this entry on this connection.
      entries: number of entries that place runs on the worker.
      partial: whether the sidecar knows entries that it isn't connected to by choice.
      cordoned: whether operators have cordoned the worker's failure domain.
      leaves_in: time from ``stamp`` until the worker may be gone; None if it stays.
    """

    stamp: timedelta
    worker: str
    service: str
    labels: tuple[str, ...]
    takes_work: bool
    clean: bool
    capacity: Room
    free: Room
    pace: float
    failing: bool
    taken: int
    entries: int = 1
    partial: bool = False
    cordoned: bool = False
    leaves_in: timedelta | None = None


class ReportAck(NamedTuple):
    """Entry to sidecar: acknowledges a report and keeps the entry's runs alive.

    Attributes:
      heard: as in the module's description.
      sidecars: number of sidecars of the same service that are connected to the entry;
        0 if it hasn't counted them yet.
    """

    heard: timedelta
    sidecars: int = 0


class PlaceRun(NamedTuple):
    """Entry to sidecar: start this run when there is room.

    Attributes:
      heard: as in the module's description; a stale placement is refused.
      run: the run.
      room: the room that it takes.
      priority: 0 is the highest.
      estimate: estimated run time on a worker of pace 1.
      within: latest start, counted from the arrival of the message.
      spec: text for the worker.
      due: time until its job is late, counted in the same way; negative once it is
        late, None if the entry doesn't say.
    """

    heard: timedelta
    run: RunId
    room: Room
    priority: int
    estimate: timedelta
    within: timedelta
    spec: str
    due: timedelta | None = None


class WithdrawRun(NamedTuple):
    """Entry to sidecar: stop this run, or don't start it."""

    run: RunId


class AskRun(NamedTuple):
    """Entry to sidecar, after a lost connection: report the state of this run.

    A run that the sidecar doesn't know is answered NOT_RUN and refused from then on.
    """

    run: RunId


class RunEnded(NamedTuple):
    """Sidecar to entry: a run has ended and its room is free.

    Attributes:
      run: the run.
      end: its outcome.
      reason: the reason for the outcome.
      took: time from its start to its end; None if it never started.
      highest: highest run number of this task that the sidecar has accepted.
    """

    run: RunId
    end: RunEnd
    reason: EndReason
    took: timedelta | None = None
    highest: int = 0


class KnownEntries(NamedTuple):
    """To a peer: the addresses of all entries that the sender knows.

    Lets a process find the entries when it can't reach the store.

    Attributes:
      addresses: the addresses, as HOST:PORT.
      own: the sender's own address; empty for a sidecar.
    """

    addresses: tuple[str, ...]
    own: str = ""


class ConfigurationOffer(NamedTuple):
    """Entry to a peer: the configuration and the cordons in force at the sender.

    Attributes:
      version: version of the configuration; sidecars ignore it.
      cordons: the cordoned failure domains.
    """

    version: int
    cordons: Cordons = NO_CORDONS


class ConfigurationRequest(NamedTuple):
    """Between entries: asks for the receiver's configuration."""


class ConfigurationText(NamedTuple):
    """Between entries: the full configuration as the operators wrote it."""

    version: int
    text: str


RunMessage = (
    WorkerReport
    | ReportAck
    | PlaceRun
    | WithdrawRun
    | AskRun
    | RunEnded
    | KnownEntries
    | ConfigurationOffer
    | ConfigurationRequest
    | ConfigurationText
)
