"""UNASKED: a request that arrives again starts a job that has been cancelled.

The system keeps nothing of a cancelled job, so that a late copy of its request is a
new job to every entry.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

from small_system import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    NOT_RUN,
    PREFIX,
    SmallSystem,
    call,
    job_body,
    main,
    new_job_id,
    step,
)

TASK_SECONDS = 1.8
DEADLINE_MS = 6000
# From the request until its client cancels the job.
CANCELS_AFTER = 0.5
# From the answer to the request until the request arrives again.
ARRIVES_AGAIN_AFTER = 4.0
# Jobs that nobody cancels, for each one that is cancelled.
OTHERS = 3
ROUNDS = 3


class CancelCheck:
    """Notes starts of a job later than ``cancel_ms`` after its cancelling."""

    def __init__(self, system: SmallSystem) -> None:
        self._record = system.record
        self.acknowledged: dict[str, float] = {}
        self.is_broken = False
        for worker in system.workers:
            worker.on_start = lambda run, fields: self._see(run)

    def _see(self, run) -> None:
        acknowledged = self.acknowledged.get(run.task.partition(".")[0])
        if acknowledged is None:
            return
        since_ms = (self._record.now() - acknowledged) * 1000
        if since_ms > BOUNDS["cancel_ms"]:
            self.is_broken = True
            self._record.write(
                "BROKEN-unasked", task=run.task, after_cancel_ms=round(since_ms)
            )


async def play(system: SmallSystem, check: CancelCheck, with_trouble: bool) -> bool:
    """Submit jobs, cancel one, and perhaps let its request arrive again.

    Returns:
      Whether the cancel was acknowledged and the request answered with 2xx.
    """
    body = job_body(step(2, round(TASK_SECONDS * 1000)))
    job_id = new_job_id()
    requests = [
        asyncio.create_task(system.submit(0, each, body, DEADLINE_MS))
        for each in (job_id, *(new_job_id() for _ in range(OTHERS)))
    ]
    await asyncio.sleep(CANCELS_AFTER)
    system.record.write("delete-sent", entry=0, job=job_id)
    cancelled = await call(system.front(0), "DELETE", PREFIX + job_id)
    system.record.write("delete-answered", entry=0, job=job_id, answer=cancelled)
    check.acknowledged[job_id] = system.record.now()
    answer = await requests[0]
    await asyncio.sleep(ARRIVES_AGAIN_AFTER)
    if with_trouble:
        system.record.write("arrives-again", entry=1, job=job_id)
        await system.submit(1, job_id, body, DEADLINE_MS)
    await asyncio.gather(*requests)
    return all(each is not None and each[0] == 200 for each in (cancelled, answer))


async def case(with_trouble: bool) -> int:
    async with SmallSystem(FOLDER, 2, 3, lambda task: TASK_SECONDS) as system:
        check = CancelCheck(system)
        await system.wait_until_serving(round(TASK_SECONDS * 1000))
        for _ in range(ROUNDS):
            if not await play(system, check, with_trouble):
                return NOT_RUN
        return BROKEN if check.is_broken else HELD


if __name__ == "__main__":
    main(case)
