"""Load on the real processes on this machine, to compare placement strategies.

The same jobs go through each strategy in turn within a round, on the same processes:
the machine's own noise then touches all of them alike. What the sidecars learned of the
workers' speed stays between settings. The processes are those of ``tests/standins``, so
this runs from a checkout only.
"""

import json
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any, NamedTuple

import gevent
from gevent.pool import Pool
from prometheus_client.parser import text_string_to_metric_families
from returns.result import Success

from gypsumspoke.core.clock import SystemClock
from gypsumspoke.tools.caller_client import JOBS_PATH, cancel, new_key
from gypsumspoke.tools.http_client import Address, Request, exchange
from gypsumspoke.tools.measure_report import Tally
from gypsumspoke.tools.measure_workload import (
    DEADLINE,
    PlannedJob,
    Worker,
    Workload,
    uneven_workers,
)
from gypsumspoke.tools.operator_client import apply_manifest

HOST = "127.0.0.1"
SERVICE = "estimate"
ENTRIES = ("entry-1", "entry-2")
PARTITIONS = 64

_BOUND_SECONDS = 60.0
_ANSWER_SECONDS = DEADLINE + 5
_MOST_CALLERS = 1000
_PAUSE_SECONDS = 0.1
_PER_TASK = "gypsumspoke_messages_per_task"
_WASTED = "gypsumspoke_wasted_messages"


class Counts(NamedTuple):
    """Sums over the sidecars.

    Attributes:
      jobs: jobs that ended at their homes.
      per_task: messages per task, summed over these jobs.
      wasted: wasted messages by reason.
    """

    jobs: float
    per_task: float
    wasted: Counter[str]


class LoadError(Exception):
    """The system did not get into the state that a measurement needs."""


def manifest_text(placement: str, teams: list[str]) -> str:
    """Return a manifest with a strategy and quotas that bind nobody."""
    quota = {"tasks_per_second": 100_000, "burst_tasks": 100_000}
    return json.dumps(
        {
            "services": [{"name": SERVICE}],
            "teams": [{"name": team, **quota} for team in teams],
            "policy": {"placement": placement},
        }
    )


def job_body(job: PlannedJob, key: str) -> dict[str, Any]:
    """Return the submission of a planned job."""
    tasks = [
        {"body": {"sleep_seconds": task.run}, "declared_seconds": task.declared}
        for task in job.tasks
    ]
    return {
        "key": key,
        "team": job.team,
        "service": SERVICE,
        "deadline_seconds": DEADLINE,
        "tasks": tasks,
    }


def read_counts(texts: list[str]) -> Counts:
    """Return the sums over the sidecars' metrics pages."""
    jobs = per_task = 0.0
    wasted: Counter[str] = Counter()
    for text in texts:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name == _PER_TASK + "_count":
                    jobs += sample.value
                elif sample.name == _PER_TASK + "_sum":
                    per_task += sample.value
                elif sample.name == _WASTED + "_sum":
                    wasted[sample.labels["reason"]] += round(sample.value)
    return Counts(jobs, per_task, wasted)


def add_counts(tally: Tally, before: Counts, after: Counts) -> None:
    """Put the messages between two readings into a tally.

    The sidecars give messages per task of each job; their mean over jobs stands for
    all tasks, so that ``messages_per_task`` of the report is that mean.
    """
    jobs = max(1.0, after.jobs - before.jobs)
    tally.messages = (after.per_task - before.per_task) / jobs * tally.tasks
    for reason, messages in (after.wasted - before.wasted).items():
        tally.waste(reason, messages)


def version_everywhere(text: str, version: int, processes: int) -> bool:
    """Return whether a manifest status shows a version at that many processes."""
    shown = [one["manifest_version"] for one in json.loads(text)["processes"]]
    return shown == [version] * processes


class LoadSystem:
    """Entries, sidecars, stand-ins and callers; all processes end on leaving.

    Args:
      workers: the sidecars to start, with the speed of their upstreams.
    """

    def __init__(self, workers: tuple[Worker, ...]) -> None:
        self._workers = workers
        self._stack = ExitStack()
        self._roles: dict[str, Any] = {}
        self._upstreams: dict[str, Any] = {}
        self._ports: dict[str, dict[str, int]] = {}

    def __enter__(self) -> "LoadSystem":
        with ExitStack() as stack:
            self._start(stack)
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *error: object) -> None:
        self._stack.close()

    def put_in_force(self, text: str) -> None:
        """Apply a manifest and wait until every process is ready and has it.

        Raises:
          LoadError: the bound passed first.
        """
        admin = Address(HOST, self._ports[ENTRIES[0]]["admin_port"])
        version = self._wait(
            lambda: apply_manifest(admin, text).value_or(0), "the manifest"
        )
        self._wait(lambda: self._in_force(version), "the manifest everywhere")

    def drive(self, workload: Workload) -> Tally:
        """Submit all jobs at their times, wait for their answers, and count."""
        tally = Tally()
        tally.seconds = workload.length
        before = self._counts()
        pool = Pool(_MOST_CALLERS)
        start = monotonic()
        for job in workload.jobs:
            gevent.sleep(max(0.0, start + job.arrival - monotonic()))
            pool.spawn(self._call, job, tally, start, workload.length)
        pool.join(_ANSWER_SECONDS + _BOUND_SECONDS)
        self._wait(self._idle, "idle upstreams")
        add_counts(tally, before, self._counts())
        return tally

    def _call(self, job: PlannedJob, tally: Tally, start: float, length: float) -> None:
        """Submit one job, cancel it if planned, and count its answer."""
        entry = ENTRIES[job.number % len(ENTRIES)]
        address = Address(HOST, self._ports[entry]["http_port"])
        key = new_key(SystemClock())
        tally.offer(job.team, len(job.tasks))
        if job.cancelled is not None:
            delay = job.cancelled - job.arrival
            gevent.spawn_later(delay, cancel, address, job.team, key)
        body = json.dumps(job_body(job, key)).encode()
        reply = exchange(address, Request("POST", JOBS_PATH, {}, body), _ANSWER_SECONDS)
        end = monotonic() - start
        if not isinstance(reply, Success):
            tally.refuse("no_answer")
        elif reply.unwrap().status != 200:
            tally.refuse(json.loads(reply.unwrap().body)["kind"])
        else:
            # From the planned arrival: a late client must not hide a wait.
            response = end - job.arrival
            tally.complete(job.team, len(job.tasks), response, job.ideal)
            if end <= length:
                tally.in_length += len(job.tasks)

    # -----------------------------------------------------------------------
    # Processes

    def _start(self, stack: ExitStack) -> None:
        # The stand-ins and the processes are started as the tests do it: the product
        # itself starts no process.
        try:
            from tests.standins.processes import Processes
        except ImportError as error:
            raise LoadError("this needs a checkout, for its stand-ins") from error

        folder = Path(stack.enter_context(TemporaryDirectory()))
        processes = stack.enter_context(Processes(folder))
        table = processes.start_table()
        started = {
            worker.name: gevent.spawn(processes.start_upstream)
            for worker in self._workers
        }
        gevent.joinall(list(started.values()), raise_error=True)
        self._upstreams = {name: one.value for name, one in started.items()}
        for worker in self._workers:
            faults = {"slow_factor": worker.factor, "fail": worker.fails}
            self._upstreams[worker.name].post("/faults", faults)
        for name in ENTRIES:
            settings = {**_common(name, table.port), "role": "entry", "http_port": 0}
            self._roles[name] = processes.start_role("entry", settings, wait=False)
        for worker in self._workers:
            settings = {
                **_common(worker.name, table.port),
                "role": "sidecar",
                "service": SERVICE,
                "slots": worker.slots,
                "upstream_host": HOST,
                "upstream_port": self._upstreams[worker.name].port,
            }
            self._roles[worker.name] = processes.start_role(
                "sidecar", settings, wait=False
            )
        for name, role in self._roles.items():
            self._ports[name] = role.wait_for_line("listening")["details"]

    def _page(self, name: str, path: str) -> tuple[int, str]:
        address = Address(HOST, self._ports[name]["admin_port"])
        reply = exchange(address, Request("GET", path))
        if not isinstance(reply, Success):
            return 0, ""
        return reply.unwrap().status, reply.unwrap().body.decode()

    def _in_force(self, version: int) -> bool:
        status, text = self._page(ENTRIES[0], "/v1/manifest/status")
        if status != 200 or not version_everywhere(text, version, len(self._roles)):
            return False
        return all(self._page(name, "/readyz")[0] == 200 for name in self._roles)

    def _idle(self) -> bool:
        pages = [one.get("/running")["running"] for one in self._upstreams.values()]
        return not any(pages)

    def _counts(self) -> Counts:
        names = [worker.name for worker in self._workers]
        return read_counts([self._page(name, "/metrics")[1] for name in names])

    def _wait(self, condition, what: str):
        deadline = monotonic() + _BOUND_SECONDS
        while monotonic() < deadline:
            found = condition()
            if found:
                return found
            gevent.sleep(_PAUSE_SECONDS)
        raise LoadError(f"waited in vain for {what}")


def start_system(straggler: bool) -> LoadSystem:
    """Return the system of today's size, to be entered."""
    return LoadSystem(uneven_workers(straggler, failing=False))


def _common(name: str, table_port: int) -> dict[str, Any]:
    number = name.rpartition("-")[2]
    return {
        "worker": name,
        "host": HOST,
        "peer_port": 0,
        "admin_port": 0,
        "failure_domain": f"{name}-{number}",
        "rack": f"rack-{number}",
        "region": "region-1",
        "table_host": HOST,
        "table_port": table_port,
        "partition_count": PARTITIONS,
    }
