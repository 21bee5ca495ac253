"""DRAIN: the time of day jumps back between two starts of a worker.

Its later life is born before the earlier one, so its heartbeats are answered and
ignored, also those that say that it drains.
"""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

from small_system import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    NOT_RUN,
    SmallSystem,
    job_body,
    main,
    new_job_id,
    step,
)

# As many workers as the site has, so that one is within the shares of its sheet.
ENTRIES, WORKERS = 2, 11
TASK_MS = 150
TIME_ERROR_SECONDS = 2.4
DOWN_SECONDS = 0.3
# Seconds of the load: the time of day jumps ahead and back, the worker crashes twice.
AHEAD_AT, FIRST_CRASH_AT, BACK_AT, SECOND_CRASH_AT = 1.0, 1.5, 3.0, 3.2
DRAINS_AT = 9.0
# Beyond ``drain_ms``, which a worker goes on for at least.
SERVES_ON_SECONDS = 3.0
PAUSE_SECONDS = 0.025


class DrainCheck:
    """Notes starts later than ``drain_ms`` after a draining heartbeat's answer."""

    def __init__(self, system: SmallSystem, worker) -> None:
        self._record = system.record
        self.acknowledged: float | None = None
        self.is_broken = False
        worker.on_start = lambda run, fields: self._see(run)
        worker.on_drain_acknowledged = self._acknowledge

    def _acknowledge(self) -> None:
        if self.acknowledged is None:
            self.acknowledged = self._record.now()

    def _see(self, run) -> None:
        if self.acknowledged is None:
            return
        since_ms = (self._record.now() - self.acknowledged) * 1000
        if since_ms > BOUNDS["drain_ms"]:
            self.is_broken = True
            self._record.write(
                "BROKEN-drain", task=run.task, after_answer_ms=round(since_ms)
            )


async def send_load(system: SmallSystem) -> None:
    """Send jobs until cancelled."""
    sending = set()
    while True:
        body = job_body(step(4, TASK_MS))
        entry = random.randrange(ENTRIES)
        call = asyncio.create_task(system.submit(entry, new_job_id(), body, 3000))
        sending.add(call)
        call.add_done_callback(sending.discard)
        await asyncio.sleep(PAUSE_SECONDS)


async def restart(worker) -> None:
    """Let a worker crash and start again under its id."""
    worker.crash()
    await asyncio.sleep(DOWN_SECONDS)
    await worker.start()


async def case(with_trouble: bool) -> int:
    async with SmallSystem(
        FOLDER, ENTRIES, WORKERS, lambda task: TASK_MS / 1000
    ) as system:
        worker = system.workers[0]
        check = DrainCheck(system, worker)
        await system.wait_until_serving(TASK_MS)
        loading = asyncio.create_task(send_load(system))
        begun = system.record.now()

        async def wait_until(seconds: float) -> None:
            await asyncio.sleep(max(begun + seconds - system.record.now(), 0))

        await wait_until(AHEAD_AT)
        if with_trouble:
            worker.time_error = TIME_ERROR_SECONDS
            system.record.write("time-of-day", id=worker.name, error=worker.time_error)
        await wait_until(FIRST_CRASH_AT)
        await restart(worker)
        await wait_until(BACK_AT)
        if with_trouble:
            worker.time_error = 0.0
            system.record.write("time-of-day", id=worker.name, error=worker.time_error)
        await wait_until(SECOND_CRASH_AT)
        await restart(worker)
        await wait_until(DRAINS_AT)
        worker.drain()
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + SERVES_ON_SECONDS)
        await worker.leave()
        loading.cancel()
        if check.acknowledged is None:
            return NOT_RUN
        return BROKEN if check.is_broken else HELD


if __name__ == "__main__":
    main(case)
