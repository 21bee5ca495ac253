"""Tests of parsing the head of a request."""

import pytest
from hypothesis import given, strategies as st
from returns.pipeline import is_successful

from gypsumspoke.http.heads import parse_head

KEPT = frozenset(("host", "prefer"))


def parse(*lines, request="GET /a%20b?c=d HTTP/1.1"):
    return parse_head("\r\n".join((request, *lines)).encode("latin-1"), KEPT)


def test_only_the_fields_asked_for_are_kept():
    head = parse("Host: x", "X-Other: y", "Content-Length:  7 ").unwrap()
    assert (head.method, head.path, head.query) == ("GET", "/a%20b", "c=d")
    assert head.fields == {"host": "x", "content-length": "7"}
    assert (head.content_length, head.is_chunked) == (7, False)


def test_more_than_a_hundred_fields_are_taken():
    """A header of legal size must not be refused for the number of its fields."""
    head = parse(*(f"X{number}: y" for number in range(3000)), "Host: x").unwrap()
    assert head.fields == {"host": "x"}


@pytest.mark.parametrize(
    ("request_line", "connection", "keeps_alive"),
    [
        ("GET / HTTP/1.1", "", True),
        ("GET / HTTP/1.1", "Close", False),
        ("GET / HTTP/1.0", "", False),
        ("GET / HTTP/1.0", "Keep-Alive", True),
    ],
)
def test_whether_the_connection_stays_open(request_line, connection, keeps_alive):
    head = parse(f"Connection: {connection}", request=request_line).unwrap()
    assert head.keeps_alive is keeps_alive


def test_a_full_address_as_target():
    head = parse(request="GET http://host:80/path HTTP/1.1").unwrap()
    assert head.path == "/path"


@pytest.mark.parametrize(
    "line",
    [
        "no colon",
        "name : value",
        ": value",
        " folded: line",
        "Content-Length: -1",
        "Content-Length: 1_0",
        "Transfer-Encoding: gzip",
        "Host: a\rb",
    ],
)
def test_a_malformed_line_is_an_error(line):
    assert not is_successful(parse(line))


def test_contradicting_lengths_are_an_error():
    """Another reading of the length in front of this process would let a client hide a
    request in the body of another.
    """
    assert not is_successful(parse("Content-Length: 3", "Content-Length: 4"))
    assert not is_successful(parse("Content-Length: 3", "Transfer-Encoding: chunked"))
    assert is_successful(parse("Content-Length: 3", "Content-Length: 3"))


@pytest.mark.parametrize(
    "request_line",
    [
        "",
        "GET /",
        "GET  / HTTP/1.1",
        "GET / HTTP/2.0",
        "GET x HTTP/1.1",
        "G(T / HTTP/1.1",
    ],
)
def test_a_malformed_request_line_is_an_error(request_line):
    assert not is_successful(parse(request=request_line))


@given(st.binary(max_size=100))
def test_no_bytes_raise(head):
    parse_head(head, KEPT)
