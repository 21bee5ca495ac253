"""Log writes never block, and their rate is bounded."""

import json
import os

import pytest

from gypsumspoke.shell.log_stream import BUFFER_BYTES, BURST_LINES, LogStream


class Seconds:
    """A monotonic clock that tests set."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_a_stalled_reader_does_not_block_and_dropped_lines_are_counted(pipe):
    """With a full pipe and buffer, lines are dropped; the reader later receives whole
    lines and a notice with the number of dropped ones.
    """
    reader, writer = pipe
    seconds = Seconds()
    stream = LogStream(writer, seconds)
    line = json.dumps({"message": "x" * 1000}) + "\n"
    for _ in range(1000):
        seconds.now += 0.01
        stream.write(line)
    assert stream.dropped > 0
    received = b""
    for _ in range(200):
        seconds.now += 1
        stream.write(line)
        received += os.read(reader, 1 << 20)
        if b"dropped" in received:
            break
    lines = [json.loads(line) for line in received.splitlines()[:-1]]
    notices = [line for line in lines if line["message"] == "log lines dropped"]
    assert notices and notices[0]["details"]["lines"] > 0
    assert len(received) < 2 * BUFFER_BYTES + 1_000_000


def test_the_line_rate_is_limited(pipe):
    reader, writer = pipe
    stream = LogStream(writer, Seconds())
    for _ in range(BURST_LINES + 50):
        stream.write("{}\n")
    stream.flush()
    assert len(os.read(reader, 1 << 20).splitlines()) == BURST_LINES
    assert stream.dropped == 50


def test_a_closed_pipe_is_no_error():
    reader, writer = os.pipe()
    stream = LogStream(writer, Seconds())
    os.close(reader)
    stream.write("{}\n")
    os.close(writer)
