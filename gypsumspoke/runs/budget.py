"""The time budget that keeps two runs of one task apart.

A caller whose connection broke sends its job again after a pause through any entry, and
the job may then run from the start, but not beside its old runs. The entry that took it
may be dead, cut off or frozen, and so may a sidecar. So a run is allowed only for a
bounded time after its coordinator was last known to live:

* a sidecar stops the runs of an entry that it has not heard for ``entry_silence``; it
  looks at each tick;
* a worker kills all runs when its lease ends. Its sidecar extends it, by ``lease`` at
  a time, but never beyond ``entry_silence`` and ``lease`` after the last word of the
  entry of any run there, until the worker has accepted that run's stop. A sidecar that
  is dead or frozen does not extend it.

At worst the entry is lost at 0, none of the stops of its runs gets an answer or the
sidecar freezes, and the worker's clock is slow: the runs end by ``runs_dead_after``,
a tick before the caller's next copy. An entry that lives waits as long before it
places a run of a silent sidecar elsewhere.

The pause is the platform's bound, and all other times follow from it as multiples of
the tick: with callers that come back sooner, everything is sent more often and believed
for a shorter time.
"""

from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

# From the platform's pages: a worker's clock may be this much slow.
WORKER_CLOCK_ERROR = 0.02

# In ticks. Reports and pulses come about once a tick, so four of them may be lost or
# late before an entry counts as silent, and nine renewals before a lease ends.
ENTRY_SILENCE_TICKS = 5.0
LEASE_TICKS = 6.0
RENEWAL_TICKS = 0.6
# Two ticks, the way there and back, and some load; an older order was held up, or its
# sender was paused.
MAX_PLACEMENT_AGE_TICKS = 3.5
# A worker that left holds unanswered for so long gets nothing new.
WORKER_SILENCE_TICKS = 4.0
# A run that starts on a shorter lease would be lost if a stop stays unanswered.
MIN_LEASE_SHARE = 0.5
PULSE_TICKS = 0.8

# More often than this costs processor time and brings nothing.
MAX_TICK = timedelta(milliseconds=100)
# The platform may keep a process from running for the rest of a tenth of a second. With
# a shorter tick each such pause would count as the loss of an entry.
MIN_TICK = timedelta(milliseconds=25)


class Bounds(NamedTuple):
    """What the platform promises, and the budget is made of.

    Attributes:
      resend: the shortest pause before a caller's second copy.
      stop: a stop takes at most this long.
      longest_lease: a worker shortens longer leases to this, by its own clock.
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
    """Times that hold together; made by ``budget_for``.

    Attributes:
      bounds: the platform's bounds.
      tick: how often each process looks at the time, and reports.
    """

    bounds: Bounds
    tick: timedelta

    @property
    def entry_silence(self) -> timedelta:
        """After this a sidecar stops the runs of an entry that it has not heard."""
        return self.tick * ENTRY_SILENCE_TICKS

    @property
    def max_placement_age(self) -> timedelta:
        """An order may be this old, by the sidecar's own clock."""
        return self.tick * MAX_PLACEMENT_AGE_TICKS

    @property
    def lease(self) -> timedelta:
        """A sidecar extends its worker's lease by this at a time."""
        return min(self.tick * LEASE_TICKS, self.bounds.max_lease)

    @property
    def lease_on_slow_clock(self) -> timedelta:
        """How long a lease can last on a worker whose clock is slow."""
        return self.on_slow_clock(self.lease)

    @property
    def max_lease_on_slow_clock(self) -> timedelta:
        """How long any lease can last, whatever end it names."""
        return self.on_slow_clock(self.bounds.max_lease)

    @property
    def renewal_interval(self) -> timedelta:
        """A lease is extended this often at the latest."""
        return self.tick * RENEWAL_TICKS

    @property
    def worker_silence(self) -> timedelta:
        """A worker that left holds unanswered for so long is hung or cut off."""
        return self.tick * WORKER_SILENCE_TICKS

    @property
    def min_lease(self) -> timedelta:
        """Nothing starts on a lease that may only be shorter than this."""
        return self.lease * MIN_LEASE_SHARE

    @property
    def stop_settle_time(self) -> timedelta:
        """An accepted stop has taken effect, and shows, by then.

        The bound on a stop, and a fifth of it for the worker's clock and its whole
        milliseconds.
        """
        return self.bounds.stop * 1.2

    @property
    def pulse_interval(self) -> timedelta:
        """How often an entry answers reports, which may come more often."""
        return self.tick * PULSE_TICKS

    @property
    def run_expiry(self) -> timedelta:
        """All runs of an entry are gone this long after its last proof of life."""
        return self.entry_silence + self.lease_on_slow_clock + self.bounds.stop

    def allowed_lease(self, silence: timedelta) -> timedelta:
        """Return the longest lease for runs whose entry was last heard so long ago.

        Whenever it is named, it has ended ``runs_dead_after`` the last proof of life.
        """
        return min(self.lease, self.entry_silence + self.lease - silence)

    @staticmethod
    def on_slow_clock(duration: timedelta) -> timedelta:
        """Return how long a duration can last on a worker's clock."""
        return duration * (1 + WORKER_CLOCK_ERROR)


def budget_for(bounds: Bounds) -> Result[Budget, str]:
    """Work out the budget for a platform's bounds.

    Args:
      bounds: what the platform promises.

    Returns:
      The budget, or a sentence that says why there is none.
    """
    lease_ticks = LEASE_TICKS * (1 + WORKER_CLOCK_ERROR)
    # One more for what an entry takes to notice that a caller has left.
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
