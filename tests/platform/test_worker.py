"""Orders to a worker, and the events that answer them."""

from datetime import timedelta

import gevent

from gypsumspoke.core.clock import SteadyClock
from gypsumspoke.platform.worker import WorkerClient
from gypsumspoke.runs.worker_commands import (
    RenewalAnswered,
    RenewalFailed,
    RenewCommand,
)
from tests.standins.platform_worker import PlatformWorker

WAIT_AT_MOST = 5


def answer_to(
    worker: PlatformWorker, order: RenewCommand
) -> RenewalAnswered | RenewalFailed:
    """Send a hold and return the event that answers it."""
    events = []
    client = WorkerClient(worker.address, events.append, SteadyClock())
    try:
        client.renew(order)
        with gevent.Timeout(WAIT_AT_MOST):
            while not events:
                gevent.sleep(0.005)
    finally:
        client.close()
    (event,) = events
    return event


def test_what_answers_a_hold_or_says_that_there_is_no_answer_names_the_hold():
    """Without its number it would be taken for the answer to another hold, and the
    sidecar would ask its worker only a few times a second.
    """
    order = RenewCommand("w-1", None, 0, timedelta(), 3, number=7)
    with PlatformWorker("w-1") as worker:
        answered = answer_to(worker, order)
        assert isinstance(answered, RenewalAnswered)
        assert (answered.token, answered.number) == (3, 7)
        refused = answer_to(worker, order._replace(token=2, number=8))
        assert isinstance(refused, RenewalFailed)
        assert (refused.token, refused.number) == (2, 8)
        worker.silent = True
        unanswered = answer_to(worker, order._replace(number=9))
        worker.silent = False
        assert isinstance(unanswered, RenewalFailed)
        assert unanswered.number == 9
