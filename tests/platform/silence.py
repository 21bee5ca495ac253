"""Serves callers while open connections go silent, and prints what they get.

``python -m tests.platform.silence SCENARIO [SEED]`` starts whole processes with relays
between them; without a scenario they are listed.
"""

import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import gevent

from tests.platform.system import PlatformSystem
from tests.standins.relay import Way

ENTRIES, SIDECARS = 3, 6
JOBS_PER_SECOND = 20
SECONDS = 14
# The jobs' estimate times the route's stretch, plus its latency target.
OBJECTIVE_SECONDS = 0.22


class Silence(NamedTuple):
    """Connections that go silent.

    Attributes:
      at: when, in seconds from the start of the load.
      servers: beginnings of the names of the servers behind them.
      ways: directions that go silent.
    """

    at: float
    servers: tuple[str, ...]
    ways: Way = Way.BOTH


_ALL = ("front", "w", "store")
SCENARIOS: dict[str, tuple[Silence, ...]] = {
    "none": (),
    "once": (Silence(4, _ALL),),
    "series": tuple(Silence(at, _ALL) for at in range(4, 11)),
    "peers": tuple(Silence(at, ("front",)) for at in range(4, 11)),
    "workers": tuple(Silence(at, ("w",)) for at in range(4, 11)),
    "store": tuple(Silence(at, ("store",)) for at in range(4, 11)),
    "to-server": tuple(Silence(at, _ALL, Way.TO_SERVER) for at in range(4, 11)),
    "to-client": tuple(Silence(at, _ALL, Way.TO_CLIENT) for at in range(4, 11)),
}


class Answer(NamedTuple):
    """What a caller got: when it sent, the status, and how long it took in seconds."""

    sent: float
    status: int
    took: float


class Load:
    """Callers that send jobs at random times to random entries.

    Args:
      system: the running system.
      seed: seed of all random choices.
    """

    def __init__(self, system: PlatformSystem, seed: int) -> None:
        self._system = system
        self._random = random.Random(seed)
        self._start = time.monotonic()
        self.answers: list[Answer] = []

    def run(self, seconds: float) -> None:
        """Send jobs for a time, then wait for the answers."""
        self._start = time.monotonic()
        calls = []
        while time.monotonic() - self._start < seconds:
            calls.append(gevent.spawn(self._call))
            gevent.sleep(self._random.expovariate(JOBS_PER_SECOND))
        gevent.joinall(calls)

    def _call(self) -> None:
        job_id = f"{self._random.getrandbits(64):016x}"
        number = self._random.randrange(ENTRIES)
        sent = time.monotonic()
        status, _, _ = self._system.submit(number, job_id)
        took = time.monotonic() - sent
        self.answers.append(Answer(sent - self._start, status, took))


class Outcome(NamedTuple):
    """What came of a play.

    Attributes:
      answers: what the callers got.
      ends: the ends of runs, the closed connections and rare log lines, counted.
      violations: promises that the workers saw broken.
    """

    answers: list[Answer]
    ends: Counter[str]
    violations: list[str]


def play(
    silences: tuple[Silence, ...], seconds: float, seed: int, folder: Path
) -> Outcome:
    """Serve callers for a time while connections go silent."""
    with PlatformSystem(folder, ENTRIES, SIDECARS, relayed=True) as system:
        system.wait_until_serving()
        for silence in silences:
            gevent.spawn_later(silence.at, _silence, system, silence)
        load = Load(system, seed)
        load.run(seconds)
        violations = [each for w in system.workers for each in w.worker.violations]
        return Outcome(load.answers, _ends(system), violations)


def _silence(system: PlatformSystem, silence: Silence) -> None:
    for name, relay in system.relays.items():
        if name.startswith(silence.servers):
            relay.stall_connections(silence.ways)


def _ends(system: PlatformSystem) -> Counter[str]:
    """Count the ends of runs by reason, and the closed connections by reason."""
    counts: Counter[str] = Counter()
    for process in (*system.sidecars, *system.entries):
        for line in process.lines():
            if line["message"] in ("run ended", "connection closed"):
                reason = line["details"].get("reason", "")
                counts[f"{line['message']}: {reason}"] += 1
            elif line["message"] in ("no sidecar heard", "lease withheld"):
                counts[line["message"]] += 1
    return counts


def _print(outcome: Outcome) -> None:
    print("second  sent  200  in time  slowest ms  statuses")
    for second in range(SECONDS):
        sent = [each for each in outcome.answers if int(each.sent) == second]
        done = [each for each in sent if each.status == 200]
        in_time = sum(each.took <= OBJECTIVE_SECONDS for each in done)
        slowest = max((each.took for each in sent), default=0.0) * 1000
        others = dict(Counter(each.status for each in sent if each.status != 200))
        print(
            f"{second:6} {len(sent):5} {len(done):4} {in_time:8} {slowest:11.0f}"
            f"  {others or ''}"
        )
    for reason, count in outcome.ends.most_common():
        print(f"{count:6} {reason}")
    for each in outcome.violations:
        print(f"broken: {each}")


def main(arguments: list[str]) -> None:
    """Play the scenario named in the arguments."""
    if not arguments or arguments[0] not in SCENARIOS:
        print(f"usage: python -m tests.platform.silence {'|'.join(SCENARIOS)} [SEED]")
        sys.exit(2)
    seed = int(arguments[1]) if len(arguments) > 1 else 0
    with tempfile.TemporaryDirectory() as folder:
        _print(play(SCENARIOS[arguments[0]], SECONDS, seed, Path(folder)))


if __name__ == "__main__":
    main(sys.argv[1:])
