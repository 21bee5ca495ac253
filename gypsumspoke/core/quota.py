"""Team quotas, enforced at each entry without a message per task.

Each entry has a token bucket per team, counted in tasks, whose rate is the entry's
share of the team's quota. Once per ``REPORT_INTERVAL`` the entries send one another
the load that each team offered; every entry computes its share from these reports by
max-min fairness (water-filling), so that the shares add up to the quota.

A lower share applies at once, a higher one after a whole interval, when the others
have received the reports and lowered theirs. An entry without a report for
``REPORT_TIMEOUT`` counts as having unlimited demand, which reserves at least an equal
part for it; entries cut off from one another fall back to equal parts.

Error bound. Let Q be the quota, b the burst and n the number of entries. In any window
of w seconds all entries together admit at most ``Q * w + b + n * MAX_TASKS`` tasks if
reports arrive within an interval: a bucket that is full enough for a part of a job
admits the whole job and goes into debt, hence the last term. Each time entries lose
one another, up to ``Q * REPORT_TIMEOUT`` may be added before they detect it. Below the
quota nothing is refused while the offered load is steady for two intervals; an entry
whose load jumps waits that long for a larger share.
"""

from collections import deque
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from gypsumspoke.core.messages import TeamRates, TeamUsage
from gypsumspoke.core.policy import TeamPolicy

REPORT_INTERVAL = timedelta(seconds=1)
REPORT_TIMEOUT = timedelta(seconds=2.5)
MIN_RETRY_DELAY = timedelta(milliseconds=100)
MAX_RETRY_DELAY = timedelta(seconds=30)
_MIN_SHARE = 0.05
_UNLIMITED = float("inf")


class _Target(NamedTuple):
    """A share in tasks per second, and when it was computed."""

    at: datetime
    rate: float


class _Report(NamedTuple):
    """The last report of another entry: tasks per second offered by each team."""

    sequence: int
    at: datetime
    offered: dict[str, float]


class _Bucket:
    """The token bucket of one team at this entry."""

    def __init__(self, policy: TeamPolicy, rate: float, now: datetime) -> None:
        self.policy = policy
        self.targets: deque[_Target] = deque([_Target(now, rate)])
        self.rate = rate
        self.tokens = self.capacity
        self.refilled_at = now
        self.offered = 0
        self.admitted = 0
        self.demand = 0.0

    @property
    def capacity(self) -> float:
        """Maximum number of tokens: this entry's share of the burst."""
        if self.policy.tasks_per_second <= 0:
            return 0.0
        return self.policy.burst * self.rate / self.policy.tasks_per_second

    def refill(self, now: datetime) -> None:
        """Add the tokens accrued since the last refill."""
        passed = max((now - self.refilled_at).total_seconds(), 0.0)
        self.refilled_at = now
        self.tokens = min(self.tokens + passed * self.rate, self.capacity)

    def set_target(self, rate: float, now: datetime) -> None:
        """Add a computed share, and use the lowest one of the last interval."""
        self.refill(now)
        self.targets.append(_Target(now, rate))
        while len(self.targets) > 1 and self.targets[1].at <= now - REPORT_INTERVAL:
            self.targets.popleft()
        self.rate = min(target.rate for target in self.targets)
        self.tokens = min(self.tokens, self.capacity)


class QuotaState:
    """The buckets of one entry; made by ``new_quota``."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._policies: dict[str, TeamPolicy] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._others: frozenset[str] = frozenset()
        self._reports: dict[str, _Report] = {}
        self._sequence = 0
        self._next_report: datetime | None = None
        self._last_report: datetime | None = None


def new_quota(incarnation: str) -> QuotaState:
    """Return the quota state of an entry without teams.

    Args:
      incarnation: incarnation of this entry.
    """
    return QuotaState(incarnation)


def set_teams(state: QuotaState, teams: Iterable[TeamPolicy], now: datetime) -> None:
    """Apply the teams of a new manifest; unchanged teams keep their tokens."""
    state._policies = {team.name: team for team in teams}
    for name in list(state._buckets):
        policy = state._policies.get(name)
        if policy is None:
            del state._buckets[name]
        elif policy != state._buckets[name].policy:
            # A new quota applies at once: older shares would delay a raise, and those
            # above a lowered quota are no longer valid.
            bucket = state._buckets[name]
            bucket.refill(now)
            bucket.policy = policy
            bucket.targets.clear()
            bucket.set_target(_share(state, name, now), now)


def set_entries(state: QuotaState, entries: Iterable[str], now: datetime) -> None:
    """Set the incarnations of all live entries, with or without this one."""
    state._others = frozenset(entries) - {state._incarnation}
    for gone in set(state._reports) - state._others:
        del state._reports[gone]
    _update_rates(state, now)


def admit(state: QuotaState, team: str, tasks: int, now: datetime) -> timedelta | None:
    """Admit a job or return when to retry.

    Args:
      state: changed in place.
      team: a team of the manifest.
      tasks: number of tasks of the job.
      now: the current time.

    Returns:
      None when admitted, else the time until the bucket has enough tokens.
    """
    bucket = _bucket(state, team, now)
    bucket.refill(now)
    bucket.offered += tasks
    needed = min(tasks, bucket.capacity)
    if bucket.capacity > 0 and bucket.tokens >= needed:
        bucket.tokens -= tasks
        bucket.admitted += tasks
        return None
    if bucket.rate <= 0:
        return MAX_RETRY_DELAY
    wait = timedelta(
        seconds=min(
            (needed - bucket.tokens) / bucket.rate, MAX_RETRY_DELAY.total_seconds()
        )
    )
    return max(wait, MIN_RETRY_DELAY)


def due_report(state: QuotaState, now: datetime) -> TeamUsage | None:
    """Return the report to send to all other entries, or None if none is due.

    It lists only teams with load.
    """
    if state._next_report is not None and now < state._next_report:
        return None
    seconds = _seconds_since_last(state, now)
    state._last_report = now
    state._next_report = now + REPORT_INTERVAL
    state._sequence += 1
    usage = []
    for name, bucket in sorted(state._buckets.items()):
        admitted = bucket.admitted / seconds
        bucket.demand = bucket.offered / seconds
        if bucket.offered:
            usage.append(TeamRates(name, bucket.demand, admitted))
        bucket.offered = 0
        bucket.admitted = 0
    _update_rates(state, now)
    return TeamUsage(state._incarnation, state._sequence, tuple(usage))


def handle_report(state: QuotaState, report: TeamUsage, now: datetime) -> None:
    """Record the report of another entry; an outdated one is dropped."""
    known = state._reports.get(report.incarnation)
    if known is not None and report.sequence <= known.sequence:
        return
    if report.incarnation not in state._others:
        return
    offered = {team: rate for team, rate, _ in report.usage}
    state._reports[report.incarnation] = _Report(report.sequence, now, offered)
    _update_rates(state, now)


def rate_of(state: QuotaState, team: str) -> float:
    """Return this entry's share of a team's quota, in tasks per second."""
    return state._buckets[team].rate


def _seconds_since_last(state: QuotaState, now: datetime) -> float:
    if state._last_report is None:
        return REPORT_INTERVAL.total_seconds()
    passed = (now - state._last_report).total_seconds()
    return max(passed, REPORT_INTERVAL.total_seconds() / 2)


def _bucket(state: QuotaState, team: str, now: datetime) -> _Bucket:
    if team not in state._buckets:
        policy = state._policies[team]
        state._buckets[team] = _Bucket(policy, 0.0, now)
        bucket = state._buckets[team]
        bucket.targets.clear()
        bucket.set_target(_share(state, team, now), now)
        bucket.tokens = bucket.capacity
    return state._buckets[team]


def _update_rates(state: QuotaState, now: datetime) -> None:
    for name, bucket in state._buckets.items():
        bucket.set_target(_share(state, name, now), now)


def _share(state: QuotaState, team: str, now: datetime) -> float:
    """Return this entry's share of a team's quota by max-min fairness."""
    quota = state._policies[team].tasks_per_second
    count = len(state._others) + 1
    smallest = _MIN_SHARE * quota / count
    others = [_demand_of(state, other, team, now) for other in state._others]
    if all(demand == _UNLIMITED for demand in others):
        return quota / count
    bucket = state._buckets.get(team)
    own = max(bucket.demand if bucket else 0.0, smallest)
    demands = [own, *(max(demand, smallest) for demand in others)]
    spare = quota - sum(demands)
    if spare >= 0:
        return own + spare / count
    return min(own, _water_level(demands, quota))


def _demand_of(state: QuotaState, other: str, team: str, now: datetime) -> float:
    report = state._reports.get(other)
    if report is None or now - report.at > REPORT_TIMEOUT:
        return _UNLIMITED
    return report.offered.get(team, 0.0)


def _water_level(demands: list[float], quota: float) -> float:
    """Return the cap per entry at which the capped demands add up to the quota."""
    left = quota
    for position, demand in enumerate(sorted(demands)):
        equal_part = left / (len(demands) - position)
        if demand > equal_part:
            return equal_part
        left -= demand
    return _UNLIMITED
