"""The time budget that keeps two runs of one task apart.

A caller whose connection broke resubmits its job after a pause through any entry. The
job may then run from the start, but not beside its old runs, although its first entry
or a sidecar may be dead, partitioned or paused. So a run may go on only for a bounded
time after its coordinator was last known to be alive:

* at each tick a sidecar stops the runs of entries not heard for ``entry_silence``;
* a worker kills all runs when its lease ends. Its sidecar extends the lease by
  ``lease`` at a time, but never beyond ``entry_silence`` plus ``lease`` after the entry
  of any run there was last heard, until the worker has accepted that run's stop. A
  sidecar that is dead or paused does not extend it.

In the worst case the entry is lost at time 0, no stop is answered or the sidecar is
paused, and the worker's clock is slow: the runs end by ``run_expiry``, a tick before
the resubmission. A live entry waits as long before it places a run of a silent sidecar
elsewhere.

The pause is set by the platform, and all other durations are multiples of a tick that
is derived from it.
"""

from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

# Relative error by which a worker's clock may be slow, given by the platform.
WORKER_CLOCK_ERROR = 0.02

# In ticks. Reports and acks come about once a tick, so four of them may be lost or
# late before an entry counts as silent, and nine renewals before a lease ends.
ENTRY_SILENCE_TICKS = 5.0
LEASE_TICKS = 6.0
RENEWAL_TICKS = 0.6
# A worker without runs needs no lease, and a start extends it. The progress of the
# first run is seen only in the answer to a renewal sent before it.
IDLE_RENEWAL_TICKS = 1.2
# An older placement was delayed on its way, or its sender was paused.
MAX_PLACEMENT_AGE_TICKS = 3.5
# A worker that leaves renewals unanswered for so long gets no new runs.
WORKER_SILENCE_TICKS = 4.0
# A run started on a shorter lease would be lost if a stop stays unanswered.
MIN_LEASE_SHARE = 0.5
ACK_TICKS = 0.8
# The longest that a sidecar goes without reporting to an entry.
REPORT_TICKS = 1.5
# Longer than acks ever take, and two ticks before the entry's runs would be stopped,
# which is the time for a new connection and the first ack on it.
LINK_SILENCE_TICKS = 3.0
# Acks to a sidecar without runs of the entry only keep the connection alive.
IDLE_ACK_INTERVAL = timedelta(milliseconds=250)
# Beyond the report that an ack answers, for a late timer.
LATE_TICKS = 0.5

# Upper bound, which saves processor time where the platform allows longer ticks.
MAX_TICK = timedelta(milliseconds=100)
# The platform may suspend a process for the rest of a period of 100 ms. With a shorter
# tick each such pause would count as the loss of an entry.
MIN_TICK = timedelta(milliseconds=25)


class Bounds(NamedTuple):
    """The platform's guarantees, from which the budget is derived.

    Attributes:
      resend: the shortest pause before a caller's resubmission.
      stop: the longest time that a stop takes.
      max_lease: the longest lease that a worker grants, by its own clock.
    """

    resend: timedelta
    stop: timedelta
    max_lease: timedelta


DEFAULT_BOUNDS = Bounds(
    resend=timedelta(milliseconds=1300),
    stop=timedelta(milliseconds=50),
    max_lease=timedelta(milliseconds=1000),
)


class Budget(NamedTuple):
    """A consistent set of timeouts and intervals; made by ``budget_for``.

    Attributes:
      bounds: the platform's bounds.
      tick: interval at which each process checks timeouts and sends reports.
    """

    bounds: Bounds
    tick: timedelta

    @property
    def entry_silence(self) -> timedelta:
        """Silence after which a sidecar stops an entry's runs."""
        return self.tick * ENTRY_SILENCE_TICKS

    @property
    def max_placement_age(self) -> timedelta:
        """Age at which a sidecar refuses a placement, by its own clock."""
        return self.tick * MAX_PLACEMENT_AGE_TICKS

    @property
    def lease(self) -> timedelta:
        """Duration by which a sidecar extends its worker's lease at a time."""
        return min(self.tick * LEASE_TICKS, self.bounds.max_lease)

    @property
    def lease_on_slow_clock(self) -> timedelta:
        """``lease`` as it lasts on a worker whose clock is slow."""
        return self.on_slow_clock(self.lease)

    @property
    def max_lease_on_slow_clock(self) -> timedelta:
        """Longest duration of any lease on a worker whose clock is slow."""
        return self.on_slow_clock(self.bounds.max_lease)

    @property
    def renewal_interval(self) -> timedelta:
        """Longest interval between renewals of a lease."""
        return self.tick * RENEWAL_TICKS

    @property
    def idle_renewal_interval(self) -> timedelta:
        """Longest interval between renewals while nothing runs on a worker."""
        return self.tick * IDLE_RENEWAL_TICKS

    @property
    def worker_silence(self) -> timedelta:
        """Silence after which a worker counts as hung or partitioned."""
        return self.tick * WORKER_SILENCE_TICKS

    @property
    def min_lease(self) -> timedelta:
        """Shortest lease on which a run may start."""
        return self.lease * MIN_LEASE_SHARE

    @property
    def stop_settle_time(self) -> timedelta:
        """Time after which an accepted stop has taken effect and is listed.

        The bound on a stop, with a margin for the worker's clock and its rounding.
        """
        return self.bounds.stop * 1.2

    @property
    def ack_interval(self) -> timedelta:
        """Time after an entry's last message to a sidecar until an ack is due."""
        return self.tick * ACK_TICKS

    @property
    def idle_ack_interval(self) -> timedelta:
        """The same for a sidecar that has no runs of the entry."""
        return max(self.ack_interval, IDLE_ACK_INTERVAL)

    @property
    def link_silence(self) -> timedelta:
        """Silence of an entry with runs here after which its connection is replaced."""
        return self.tick * LINK_SILENCE_TICKS

    @property
    def idle_link_silence(self) -> timedelta:
        """The same for an entry without runs here."""
        late = self.tick * (REPORT_TICKS + LATE_TICKS)
        return max(self.link_silence, self.idle_ack_interval + late)

    @property
    def run_expiry(self) -> timedelta:
        """Time from an entry's last sign of life until all of its runs have ended."""
        return self.entry_silence + self.lease_on_slow_clock + self.bounds.stop

    def allowed_lease(self, silence: timedelta) -> timedelta:
        """Return the longest lease for runs whose entry has been silent for so long.

        Whenever it is granted, it ends within ``run_expiry`` after the entry was heard.
        """
        return min(self.lease, self.entry_silence + self.lease - silence)

    @staticmethod
    def on_slow_clock(duration: timedelta) -> timedelta:
        """Return how long a duration lasts if the worker's clock is slow."""
        return duration * (1 + WORKER_CLOCK_ERROR)


def budget_for(bounds: Bounds) -> Result[Budget, str]:
    """Derive the budget from a platform's bounds.

    Args:
      bounds: the platform's guarantees.

    Returns:
      The budget, or the reason why the bounds allow none.
    """
    lease_ticks = LEASE_TICKS * (1 + WORKER_CLOCK_ERROR)
    # One more tick for an entry to notice that a caller has disconnected.
    ticks = ENTRY_SILENCE_TICKS + lease_ticks + 1
    tick = min((bounds.resend - bounds.stop) / ticks, MAX_TICK)
    if tick < MIN_TICK:
        least = bounds.stop + MIN_TICK * ticks
        millisecond = timedelta(milliseconds=1)
        return Failure(
            f"callers come back after {bounds.resend // millisecond} ms; runs of a "
            f"lost entry can end within {least // millisecond} ms at the soonest"
        )
    return Success(Budget(bounds, tick))


DEFAULT_BUDGET = budget_for(DEFAULT_BOUNDS).unwrap()
