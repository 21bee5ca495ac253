"""Log lines never block, and their number is bounded."""

import json
import os

import pytest

from gypsumspoke.shell.log_stream import BUFFER_BYTES, BURST_LINES, LogStream


class Seconds:
    """A steady clock that is set by hand."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_a_reader_that_stands_still_blocks_nothing_and_lost_lines_are_told(pipe):
    """Nobody reads; the pipe fills, then the buffer, then lines are dropped. When the
    reader goes on it finds whole lines, and one that says how many are missing.
    """
    reader, writer = pipe
    seconds = Seconds()
    stream = LogStream(writer, seconds)
    line = json.dumps({"message": "x" * 1000}) + "\n"
    for _ in range(1000):
        seconds.now += 0.01
        stream.write(line)
    assert stream.dropped > 0
    held = b""
    for _ in range(200):
        seconds.now += 1
        stream.write(line)
        held += os.read(reader, 1 << 20)
        if b"dropped" in held:
            break
    lines = [json.loads(each) for each in held.splitlines()[:-1]]
    told = [each for each in lines if each["message"] == "log lines dropped"]
    assert told and told[0]["details"]["lines"] > 0
    assert len(held) < 2 * BUFFER_BYTES + 1_000_000


def test_a_burst_of_lines_is_bounded(pipe):
    reader, writer = pipe
    stream = LogStream(writer, Seconds())
    for _ in range(BURST_LINES + 50):
        stream.write("{}\n")
    stream.flush()
    assert len(os.read(reader, 1 << 20).splitlines()) == BURST_LINES
    assert stream.dropped == 50


def test_a_reader_that_is_gone_is_no_error():
    reader, writer = os.pipe()
    stream = LogStream(writer, Seconds())
    os.close(reader)
    stream.write("{}\n")
    os.close(writer)
