"""Tests of reading requests from a stream of bytes."""

import pytest
from hypothesis import given, strategies as st

from gypsumspoke.http.requests import SMALL_BODY_BYTES, RequestReader, Stage
from gypsumspoke.http.values import Unread

MAX_HEADER_BYTES = 2000
MAX_BODY_BYTES = 30_000


def reader():
    return RequestReader(frozenset(("host",)), MAX_HEADER_BYTES)


def read(reading, *pieces):
    """Feed pieces; return the bodies of the complete requests."""
    bodies = []
    for piece in pieces:
        reading.append(piece)
        while True:
            stage = reading.advance()
            if stage is Stage.HEAD_READ:
                stage = reading.begin_body(MAX_BODY_BYTES)
                if stage is Stage.BODY:
                    stage = reading.advance()
            if stage is not Stage.COMPLETE or reading.is_cut:
                break
            bodies.append(reading.take_body())
            reading.next_request(MAX_HEADER_BYTES)
    return bodies


def chunked(*chunks):
    text = b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in chunks)
    return (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + text + b"0\r\n\r\n"
    )


def plain(body):
    return b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


requests = st.lists(
    st.binary(max_size=30).map(lambda body: (body, plain(body)))
    | st.lists(st.binary(min_size=1, max_size=9), max_size=4).map(
        lambda chunks: (b"".join(chunks), chunked(*chunks))
    ),
    max_size=4,
)


@given(requests, st.lists(st.integers(0, 400), max_size=8))
def test_requests_are_read_however_they_are_split(sent, cuts):
    stream = b"".join(each for _, each in sent)
    edges = [0, *sorted(cuts), len(stream)]
    pieces = [stream[start:end] for start, end in zip(edges, edges[1:])]
    reading = reader()
    assert read(reading, *pieces) == [body for body, _ in sent]
    assert not reading.has_begun and not reading.held


@given(st.lists(st.binary(max_size=60), max_size=5))
def test_no_bytes_raise(pieces):
    read(reader(), b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", *pieces)
    read(reader(), *pieces)


def test_a_header_up_to_the_limit_is_taken():
    field = b"x: " + b"y" * (MAX_HEADER_BYTES - 5) + b"\r\n"
    assert len(field) == MAX_HEADER_BYTES
    assert read(reader(), b"GET / HTTP/1.1\r\n" + field + b"\r\n") == [b""]


@pytest.mark.parametrize("end", [b"\r\n\r\n", b""], ids=["complete", "without an end"])
def test_a_header_over_the_limit_is_refused(end):
    """A client could make the process hold any number of bytes."""
    reading = reader()
    read(reading, b"GET / HTTP/1.1\r\nx: " + b"y" * (MAX_HEADER_BYTES + 1) + end)
    assert reading.refusal is Unread.HEADER_TOO_LARGE


def test_a_request_line_without_an_end_is_refused():
    reading = reader()
    read(reading, b"GET /" + b"x" * 9000)
    assert reading.refusal is Unread.REQUEST_LINE_TOO_LONG


def test_a_body_over_the_limit_is_not_read():
    reading = reader()
    head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
    read(reading, head + b"x" * 1000)
    assert (reading.stage, reading.is_cut) == (Stage.COMPLETE, True)
    assert reading.content_length > MAX_BODY_BYTES
    assert reading.take_body() == b""


def test_chunks_over_the_limit_are_cut():
    """A body without a declared length must not grow without bound."""
    reading = reader()
    chunk = b"%x\r\n%s\r\n" % (9000, b"x" * 9000)
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    read(reading, head, *[chunk] * 9)
    assert (reading.stage, reading.is_cut) == (Stage.COMPLETE, True)
    assert reading.content_length > MAX_BODY_BYTES


def test_a_small_body_is_read_even_if_it_is_not_wanted():
    """Otherwise the connection would be closed after each request that is refused."""
    reading = reader()
    reading.append(plain(b"x" * SMALL_BODY_BYTES))
    reading.advance()
    reading.begin_body(0)
    assert reading.advance() is Stage.COMPLETE and not reading.is_cut


@pytest.mark.parametrize(
    "chunks",
    [
        b"x\r\n",
        b"-1\r\n",
        b"+1\r\na\r\n",
        b"1_0\r\n",
        b"\r\n",
        b"1\r\nab\r\n",
        b"f" * 17 + b"\r\n",
        b"1;" + b"x" * 9000,
        b"0\r\n" + b"x: y\r\n" * 3000,
    ],
)
def test_malformed_chunks_are_refused(chunks):
    reading = reader()
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    read(reading, head, chunks)
    assert reading.refusal is Unread.MALFORMED_REQUEST


def test_extensions_and_trailers_are_skipped():
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunks = b"3 ;a=b\r\nabc\r\n0;c\r\nX: y\r\n\r\n"
    assert read(reader(), head + chunks + plain(b"d")) == [b"abc", b"d"]
