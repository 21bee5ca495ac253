"""Tests of commands to a worker and the events that answer them."""

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

TIMEOUT_SECONDS = 5


def renew(
    worker: PlatformWorker, command: RenewCommand
) -> RenewalAnswered | RenewalFailed:
    """Send a lease renewal and return the event that answers it."""
    events = []
    client = WorkerClient(worker.address, events.append, SteadyClock())
    try:
        client.renew(command)
        with gevent.Timeout(TIMEOUT_SECONDS):
            while not events:
                gevent.sleep(0.005)
    finally:
        client.close()
    (event,) = events
    return event


def test_the_events_of_a_renewal_have_its_number():
    """Without the number, the answer could be matched to another renewal, and the
    next one would be late.
    """
    command = RenewCommand("w-1", None, 0, timedelta(), 3, number=7)
    with PlatformWorker("w-1") as worker:
        answered = renew(worker, command)
        assert isinstance(answered, RenewalAnswered)
        assert (answered.token, answered.number) == (3, 7)
        refused = renew(worker, command._replace(token=2, number=8))
        assert isinstance(refused, RenewalFailed)
        assert (refused.token, refused.number) == (2, 8)
        worker.silent = True
        unanswered = renew(worker, command._replace(number=9))
        worker.silent = False
        assert isinstance(unanswered, RenewalFailed)
        assert unanswered.number == 9
