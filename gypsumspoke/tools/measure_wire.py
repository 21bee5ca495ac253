"""Measure the codec and the links: bytes, processor time and messages per second.

Run: python -m gypsumspoke.tools.measure_wire. The figures feed docs/CAPACITY.md. The
codec is timed alone; the links are timed with both ends in this one process, so the
processor time of a message is that of sender and receiver together.
"""

import statistics
import time
from collections.abc import Callable
from datetime import datetime, timedelta, timezone
from typing import NamedTuple

import click
import gevent

from gypsumspoke.core.clock import SystemClock
from gypsumspoke.core.errors import Work
from gypsumspoke.core.events import Received
from gypsumspoke.core.messages import (
    Heartbeat,
    JobAnswer,
    Message,
    StartTask,
    SubmitJob,
    TaskOutcome,
)
from gypsumspoke.core.values import (
    Answer,
    AttemptId,
    JobKey,
    Load,
    Member,
    Outcome,
    Role,
    Submission,
    Task,
)
from gypsumspoke.wire.codec import decode, encode
from gypsumspoke.wire.frames import frame
from gypsumspoke.wire.hello import PROTOCOL_VERSION, Hello
from gypsumspoke.wire.links import PeerLinks

_HOST = "127.0.0.1"
_NOW = datetime(2030, 1, 1, 12, 0, 0, 123456, tzinfo=timezone.utc)
_KEY = JobKey("orchards", "0190a5f0-7c1e-7d3a-9c55-6f2f1c9a1b2c")
_ATTEMPT = AttemptId(_KEY, 12, 1, 7)
_DIGEST = b"0123456789abcdef"
_LOAD = Load(8, 3, 8, timedelta(milliseconds=240))
_MICRO = 1_000_000
_LINK_BOUND_SECONDS = 120
_BATCH = 1000


class CodecFigures(NamedTuple):
    """One message type: bytes with the frame, and microseconds of processor time."""

    name: str
    frame_bytes: int
    encode_micros: float
    decode_micros: float


class LinkFigures(NamedTuple):
    """One-way messages over one connection, both ends in one process."""

    messages_per_second: float
    micros_per_message: float


def sample_messages(body_bytes: int, tasks: int) -> tuple[Message, ...]:
    """Return one message of each kind that a job or a quiet second needs.

    Args:
      body_bytes: size of each task's body and result.
      tasks: number of tasks of the job.
    """
    body = b"x" * body_bytes
    submission = Submission(
        _KEY, _NOW, 0, "invoicing", _NOW, True, (Task(body),) * tasks, _DIGEST
    )
    start = StartTask(
        _ATTEMPT, 41, 0, _NOW, _DIGEST, tasks, "invoicing", _NOW, True, body
    )
    run_time = timedelta(milliseconds=180)
    return (
        Heartbeat("worker-1-0123456789abcdef", _NOW, 9, 900, 90, _LOAD, False, False),
        start,
        TaskOutcome(_ATTEMPT, Outcome.DONE, body, "", _LOAD, run_time),
        SubmitJob("entry-1-17", 41, submission),
        JobAnswer("entry-1-17", _KEY, Answer(None, Work.RAN, (body,) * tasks)),
    )


def micros_per_call(call: Callable[[], object], calls: int, rounds: int) -> float:
    """Return the median over rounds of the processor time of one call."""
    timed = []
    for _ in range(rounds):
        begin = time.process_time()
        for _ in range(calls):
            call()
        timed.append((time.process_time() - begin) / calls * _MICRO)
    return statistics.median(timed)


def measure_codec(message: Message, calls: int, rounds: int) -> CodecFigures:
    """Return size and processor time of one message."""
    payload = encode(message)
    return CodecFigures(
        type(message).__name__,
        len(frame(payload).unwrap()),
        micros_per_call(lambda: encode(message), calls, rounds),
        micros_per_call(lambda: decode(payload), calls, rounds),
    )


def measure_link(message: Message, messages: int) -> LinkFigures:
    """Send a message many times over one connection on loopback.

    Raises:
      gevent.Timeout: they did not all arrive in time.
    """
    sender, receiver = _new_links("sender"), _new_links("receiver")
    port = receiver.listen(_HOST, 0)
    received = _Counted()
    sender.start(lambda event: None)
    receiver.start(received.take)
    sender.set_addresses([_member("receiver", port)])
    try:
        with gevent.Timeout(_LINK_BOUND_SECONDS):
            _send_all(sender, message, 1, received)
            wall, processor = time.perf_counter(), time.process_time()
            _send_all(sender, message, messages, received)
            wall = time.perf_counter() - wall
            processor = time.process_time() - processor
    finally:
        sender.close()
        receiver.close()
    return LinkFigures(messages / wall, processor / messages * _MICRO)


class _Counted:
    """Counts the messages that arrived."""

    def __init__(self) -> None:
        self.count = 0

    def take(self, event: object) -> None:
        self.count += isinstance(event, Received)


def _send_all(
    sender: PeerLinks, message: Message, messages: int, received: _Counted
) -> None:
    """Send in batches and wait for each, so that no queue reaches its bound."""
    wanted = received.count + messages
    while messages:
        batch = min(messages, _BATCH)
        for _ in range(batch):
            sender.send("receiver", message)
        messages -= batch
        while received.count < wanted - messages:
            gevent.sleep(0)


def _new_links(name: str) -> PeerLinks:
    return PeerLinks(Hello(PROTOCOL_VERSION, name, name, 64), SystemClock())


def _member(name: str, port: int) -> Member:
    return Member(
        name, name, Role.SIDECAR, _HOST, port, "d", "r", "s", 8, _NOW, None, 0
    )


@click.command()
@click.option("--body-bytes", default=200, show_default=True)
@click.option("--tasks", default=20, show_default=True, help="Tasks of the job.")
@click.option("--calls", default=3000, show_default=True)
@click.option("--rounds", default=5, show_default=True)
def main(body_bytes: int, tasks: int, calls: int, rounds: int) -> None:
    """Print the figures as a table."""
    samples = sample_messages(body_bytes, tasks)
    click.echo("message       frame bytes  encode us  decode us")
    for message in samples:
        row = measure_codec(message, calls, rounds)
        click.echo(
            f"{row.name:<12}{row.frame_bytes:>13}"
            f"{row.encode_micros:>11.1f}{row.decode_micros:>11.1f}"
        )
    click.echo("\nlink, both ends in one process")
    click.echo("message       messages/s  us per message")
    for message in samples[:3]:
        runs = [measure_link(message, calls * 3) for _ in range(rounds)]
        rate = statistics.median(run.messages_per_second for run in runs)
        micros = statistics.median(run.micros_per_message for run in runs)
        click.echo(f"{type(message).__name__:<12}{rate:>12.0f}{micros:>16.1f}")


if __name__ == "__main__":
    main()
