"""What an entry concludes from the reports of a sidecar's next process."""

from gypsumspoke.core.effects import Send
from gypsumspoke.core.events import Received
from gypsumspoke.runs.messages import WorkerReport
from gypsumspoke.runs.values import JobEnd
from tests.runs.test_path import settled
from tests.runs.world import job, ms


def test_a_late_report_of_an_earlier_process_ends_no_run_of_the_next():
    """A sidecar's process is lost without a sign and replaced, and the connection to
    the next one is reset. The last report of the first, which lay on the way, says that
    nothing of an earlier process runs; it says nothing of the next.
    """
    world = settled(sidecars=2)
    first = world.processes["side0"].name
    reports = [
        effect.message
        for _, name, effect in world.log
        if name == first
        and isinstance(effect, Send)
        and isinstance(effect.message, WorkerReport)
    ]
    world.power_off("side0")
    world.start_sidecar("side0")
    world.run(ms(600))
    for worker in world.workers.values():
        worker.takes = lambda task: ms(1000)
    world.submit("entry0", "r1", job("j1", count=4), ms(9000))
    world.run(ms(50))
    assert world.workers["side0"].running
    world.heal("entry0", "side0")
    entry = world.processes["entry0"]
    world.post(entry, Received(first, reports[-1]))
    world.run(ms(3000))
    assert not world.broken
    assert world.end_of("r1") is JobEnd.COMPLETED
    assert len(world.starts_of("j1")) == 4
