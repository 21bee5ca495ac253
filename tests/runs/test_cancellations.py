"""Cancelled jobs: what entries tell each other through the store."""

from datetime import datetime, timedelta

from gypsumspoke.core.events import Drain
from gypsumspoke.runs.cancellations import (
    MAX_JOBS_PER_ROW,
    MAX_UNSTORED,
    REMOVAL_INTERVAL,
    RETENTION,
    WRITE_INTERVAL,
    AnswerCancel,
    CancelEnd,
    Cancellations,
    CancelledJobsRead,
    CancelledJobsStored,
    RemoveCancelledJobs,
    StoreCancelledJobs,
)
from gypsumspoke.runs.coordinator_stop import MIN_DRAIN
from gypsumspoke.runs.values import JobEnd, RefusalReason
from tests.runs.world import START, World, job, ms

LATER = START + WRITE_INTERVAL
STORED = CancelEnd(is_known=True, is_stored=True)


def settled(**more) -> World:
    """Return a world that has run for two seconds."""
    world = World(**more)
    world.run(ms(2000))
    return world


def cancelled(world: World) -> World:
    """Submit the job j1 to entry0 and cancel it there while it runs."""
    world.submit("entry0", "r1", job("j1"))
    world.run(ms(100))
    world.cancel("entry0", "c1", "j1")
    world.run(ms(100))
    return world


def known(*jobs: str, at: datetime = START) -> Cancellations:
    """Return cancellations with one stored row of another entry."""
    cancellations = Cancellations("e1", START)
    read(cancellations, {"e2/1": frozenset(jobs)}, at)
    return cancellations


def read(cancellations, rows, now=START, is_complete=False) -> set[str]:
    return cancellations.record_read(CancelledJobsRead(rows, is_complete), now)


def stored(cancellations: Cancellations, *jobs: str, at: datetime = LATER) -> str:
    """Cancel jobs and confirm their row; return its key."""
    for each in jobs:
        cancellations.add(each, f"c-{each}")
    (write,) = cancellations.to_store(at)
    cancellations.record_stored(CancelledJobsStored(write.key), at)
    return write.key


# Entries


def test_a_cancelled_job_is_not_run_again_at_any_entry():
    """A repeated request would otherwise be taken for a new job."""
    world = cancelled(settled())
    assert world.cancel_ends["c1"] == STORED
    assert world.answers["r1"].end is JobEnd.FAILED
    started = world.starts_of("j1")
    world.run(ms(4000))
    for entry in ("entry0", "entry1"):
        world.submit(entry, f"again-{entry}", job("j1"))
        world.run(ms(500))
        answer = world.answers[f"again-{entry}"]
        assert (answer.end, answer.reason) == (JobEnd.FAILED, RefusalReason.CANCELLED)
    assert world.starts_of("j1") == started


def test_a_cancelled_job_is_not_run_after_a_loss_of_all_processes():
    world = cancelled(settled())
    for host in list(world.processes):
        world.kill(host)
    for host in ("entry0", "entry1"):
        world.start_entry(host)
    for host in ("side0", "side1"):
        world.start_sidecar(host)
    world.run(ms(3000))
    started = world.starts_of("j1")
    world.submit("entry1", "r2", job("j1"))
    world.run(ms(500))
    assert world.end_of("r2") is JobEnd.FAILED
    assert world.starts_of("j1") == started


def test_a_repeated_request_that_overtakes_the_cancel_ends_with_it():
    """An entry that learns of the cancel only then must not start later steps."""
    world = settled()
    world.cut_from_store.add("entry1")
    first = job("j1", count=1)
    second = first.steps[0]._replace(after=(0,))
    chain = first._replace(steps=(first.steps[0], second))
    world.submit("entry0", "r1", chain)
    world.run(ms(100))
    world.cancel("entry0", "c1", "j1")
    world.run(ms(100))
    world.submit("entry1", "r2", chain)
    world.run(ms(100))
    assert len(world.starts_of("j1")) == 2
    world.cut_from_store.clear()
    world.read_cancelled_jobs("entry1")
    assert world.end_of("r2") is JobEnd.FAILED
    world.run(ms(1000))
    assert len(world.starts_of("j1")) == 2
    assert not world.violations


def test_an_entry_cut_off_from_the_store_learns_of_a_cancel_when_it_is_back():
    world = settled()
    world.cut_from_store.add("entry1")
    cancelled(world)
    world.cut_from_store.clear()
    world.read_cancelled_jobs("entry1")
    world.submit("entry1", "r2", job("j1"))
    world.run(ms(500))
    assert world.end_of("r2") is JobEnd.FAILED


def test_a_cancel_is_acknowledged_only_once_it_is_stored():
    """The loss of the entry would otherwise undo an acknowledged cancel."""
    world = settled()
    world.cut_from_store.add("entry0")
    cancelled(world)
    assert world.end_of("r1") is JobEnd.FAILED
    assert "c1" not in world.cancel_ends
    world.cut_from_store.clear()
    world.run(ms(1000))
    assert world.cancel_ends["c1"] == STORED


def test_a_stopping_entry_stores_its_cancels_first():
    world = settled()
    world.cut_from_store.add("entry0")
    cancelled(world)
    world.post(world.processes["entry0"], Drain())
    world.run(MIN_DRAIN + ms(500))
    assert world.processes["entry0"].alive
    world.cut_from_store.clear()
    world.run(ms(1000))
    assert world.cancel_ends["c1"] == STORED
    assert not world.processes["entry0"].alive


def test_a_cancel_reaches_a_job_that_is_in_progress_at_another_entry():
    """It would go on, since the entry that got the cancel doesn't have it."""
    world = settled()
    world.submit("entry1", "r1", job("j1"))
    world.run(ms(100))
    world.cancel("entry0", "c1", "j1")
    world.run(ms(100))
    assert world.cancel_ends["c1"] == CancelEnd(is_known=False, is_stored=True)
    assert world.end_of("r1") is JobEnd.FAILED
    started = world.starts_of("j1")
    world.submit("entry0", "r2", job("j1"))
    world.run(ms(1000))
    assert world.end_of("r2") is JobEnd.FAILED
    assert world.starts_of("j1") == started


def test_a_job_that_was_given_up_can_still_be_cancelled():
    """Its caller has left and its request may arrive again."""
    world = settled()
    world.submit("entry0", "r1", job("j1"))
    world.run(ms(100))
    world.close_request("entry0", "r1")
    world.run(ms(100))
    world.cancel("entry0", "c1", "j1")
    world.run(ms(100))
    started = world.starts_of("j1")
    world.submit("entry1", "r2", job("j1"))
    world.run(ms(1000))
    assert world.end_of("r2") is JobEnd.FAILED
    assert world.starts_of("j1") == started


# The rows


def test_writes_are_grouped():
    """A write for each cancel would exceed the store's rate in a wave of cancels."""
    cancellations = Cancellations("e1", START)
    cancellations.add("j0", "c0")
    assert cancellations.to_store(START) == [StoreCancelledJobs("e1/1", ("j0",))]
    for number in range(1, 4):
        cancellations.add(f"j{number}", f"c{number}")
    assert cancellations.to_store(LATER) == []
    answered = cancellations.record_stored(CancelledJobsStored("e1/1"), LATER)
    assert answered == [AnswerCancel("c0", STORED)]
    assert cancellations.to_store(LATER - ms(1)) == []
    (write,) = cancellations.to_store(LATER)
    assert write == StoreCancelledJobs("e1/2", ("j1", "j2", "j3"))


def test_a_row_holds_a_bounded_number_of_jobs():
    cancellations = Cancellations("e1", START)
    for number in range(MAX_JOBS_PER_ROW + 1):
        cancellations.add(f"j{number}", f"c{number}")
    (write,) = cancellations.to_store(START)
    assert len(write.jobs) == MAX_JOBS_PER_ROW
    answers = cancellations.record_stored(CancelledJobsStored(write.key), START)
    assert len(answers) == MAX_JOBS_PER_ROW
    (write,) = cancellations.to_store(LATER)
    assert len(write.jobs) == 1


def test_all_requests_for_a_cancel_are_answered():
    cancellations = Cancellations("e1", START)
    cancellations.add("j1", "c1")
    cancellations.to_store(START)
    cancellations.add("j1", "c2")
    answers = cancellations.record_stored(CancelledJobsStored("e1/1"), START)
    assert [answer.request for answer in answers] == ["c1", "c2"]
    assert cancellations.add("j1", "c3") == [AnswerCancel("c3", STORED)]


def test_cancels_that_the_store_does_not_take_are_bounded():
    cancellations = Cancellations("e1", START)
    for number in range(MAX_UNSTORED):
        assert cancellations.add(f"j{number}", f"c{number}") == []
    refused = AnswerCancel("c", CancelEnd(is_known=True, is_stored=False))
    assert cancellations.add("j", "c") == [refused]
    assert len(cancellations) == MAX_UNSTORED


def test_a_row_that_was_written_while_all_rows_were_read_is_kept():
    cancellations = known("j1")
    stored(cancellations, "j2")
    read(cancellations, {}, LATER, is_complete=True)
    assert "j1" not in cancellations
    assert "j2" in cancellations


def test_a_job_in_two_rows_stays_until_both_are_gone():
    cancellations = known("j1")
    read(cancellations, {"e3/1": frozenset({"j1"})})
    read(cancellations, {"e2/1": None})
    assert "j1" in cancellations
    read(cancellations, {"e3/1": None})
    assert "j1" not in cancellations
    assert len(cancellations) == 0


def test_a_row_is_removed_after_its_retention():
    """Rows would otherwise gather in the store, and jobs in memory."""
    cancellations = Cancellations("e1", START)
    key = stored(cancellations, "j1", at=START)
    assert cancellations.to_remove(START + RETENTION - ms(1)) == []
    removal = cancellations.to_remove(START + RETENTION + REMOVAL_INTERVAL)
    assert removal == [RemoveCancelledJobs((key,))]
    assert "j1" not in cancellations


def test_a_row_of_an_entry_that_is_gone_is_removed_by_another():
    cancellations = known("j1")
    assert cancellations.to_remove(START + RETENTION + REMOVAL_INTERVAL) == []
    removal = cancellations.to_remove(START + 2 * RETENTION + REMOVAL_INTERVAL)
    assert removal == [RemoveCancelledJobs(("e2/1",))]


def test_removals_are_rare():
    cancellations = known("j1")
    read(cancellations, {"e3/1": frozenset({"j2"})}, START + timedelta(seconds=1))
    end = START + 2 * RETENTION
    assert len(cancellations.to_remove(end)) == 1
    assert cancellations.to_remove(end + timedelta(seconds=2)) == []
    assert len(cancellations.to_remove(end + REMOVAL_INTERVAL)) == 1


def test_cancels_of_unknown_jobs_are_bounded():
    """Anybody can cancel any number of jobs that nobody sent; their ids are kept for
    minutes, by all entries.
    """
    cancellations = Cancellations("e1", START, max_known=3)
    for number in range(3):
        assert cancellations.add(f"j{number}", f"c{number}", is_known=False) == []
    (answer,) = cancellations.add("j3", "c3", is_known=False)
    assert not answer.end.is_stored and "j3" not in cancellations
    assert cancellations.add("j4", "c4", is_known=True) == []
    assert "j4" in cancellations
