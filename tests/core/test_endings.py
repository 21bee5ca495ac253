"""Ends of jobs."""

from gypsumspoke.core import endings, jobs
from gypsumspoke.core.effects import Observe
from gypsumspoke.core.errors import ErrorKind, Work
from gypsumspoke.core.values import Outcome
from tests.core.system import System, settled_system


def test_results_too_large_for_a_frame_are_answered_as_run(monkeypatch):
    """An answer over the frame bound could not be sent, and the caller would time out.

    A resubmission gets the same answer and starts nothing.
    """
    monkeypatch.setattr(jobs, "MAX_ANSWER_BYTES", 9)
    system = settled_system()
    submission = system.submission("k", tasks=2)
    for _ in range(2):
        system.submit(submission)
        system.run(1)
    first, second = system.answers(submission.key)
    assert (first.kind, first.work) == (ErrorKind.RESULT_LOST, Work.RAN)
    assert first.results == ()
    assert first.outcomes == (Outcome.DONE, Outcome.DONE)
    assert "10 bytes" in first.detail
    assert second == first
    assert set(system.starts(submission.key).values()) == {1}
    assert system.counts[ErrorKind.RESULT_LOST] == 1


def test_results_at_the_bound_are_answered_in_full(monkeypatch):
    monkeypatch.setattr(jobs, "MAX_ANSWER_BYTES", 10)
    system = settled_system()
    submission = system.submission("k", tasks=2)
    system.submit(submission)
    system.run(1)
    assert [answer.kind for answer in system.answers(submission.key)] == [None]


class ObservedSystem(System):
    """Records the values that homes observe."""

    def __init__(self, **options):
        self.observed = []
        super().__init__(**options)

    def _perform(self, node, effect):
        if isinstance(effect, Observe):
            self.observed.append(effect)
        super()._perform(node, effect)


def test_a_complete_job_is_measured_by_team():
    system = ObservedSystem()
    system.run(3)
    system.hold_upstreams = True
    system.submit(system.submission("k", tasks=2))
    system.run(1)
    system.hold_upstreams = False
    system.run(1)
    by_team = {effect.name for effect in system.observed if effect.label == "team"}
    assert by_team == {"response_seconds", "response_over_ideal", "messages_per_task"}


def test_refusals_stay_true_when_their_table_is_full(monkeypatch):
    """A floor replaces the refusal records, and late resubmissions stay refused.

    They run only with the attempt number that the last refusal issued.
    """
    monkeypatch.setattr(endings, "MAX_REFUSALS", 3)
    system = settled_system(workers=3, partitions=1)
    submissions = [system.submission(f"k{number}", tasks=1) for number in range(10)]
    for submission in submissions:
        system.submit(submission._replace(service="other"))
    system.run(0.5)
    home = system.nodes[system.owner(submissions[0].key)].state.home
    assert home.ledger.refused_count(0) < 3
    for submission in submissions:
        system.submit(submission)
    system.run(1)
    assert not system.started
    for submission in submissions:
        answer = system.answers(submission.key)[-1]
        system.submit(submission._replace(attempt=answer.next_attempt))
    system.run(2)
    for submission in submissions:
        assert set(system.starts(submission.key).values()) == {1}
