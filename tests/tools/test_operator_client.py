"""Applying a manifest under races and lost answers."""

import json

import pytest
from gevent.pywsgi import WSGIServer

from gypsumspoke.tools.exit_codes import ExitCode
from gypsumspoke.tools.http_client import Address
from gypsumspoke.tools.operator_client import apply_manifest

ANSWER_LOST = "504 Gateway Timeout"


class FakeEntry:
    """Keeps one manifest by compare-and-set, and the ids of accepted changes."""

    def __init__(self):
        self.version = 3
        self.text = "{}"
        self.accepted = {}
        self.answers_to_lose = 0
        self.before_write = lambda: None

    def __call__(self, environ, start):
        if environ["REQUEST_METHOD"] == "GET":
            start("200 OK", [("ETag", f'"{self.version}"')])
            return [self.text.encode()]
        self.before_write()
        status, version = self.write(environ)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            status = ANSWER_LOST
        start(status, [])
        return [json.dumps({"version": version}).encode()]

    def write(self, environ):
        change_id = environ["HTTP_GYPSUMSPOKE_CHANGE_ID"]
        if change_id not in self.accepted:
            if environ["HTTP_IF_MATCH"] != f'"{self.version}"':
                return "409 Conflict", None
            self.replace(environ["wsgi.input"].read().decode())
            self.accepted[change_id] = self.version
        return "200 OK", self.accepted[change_id]

    def replace(self, text):
        self.version += 1
        self.text = text


@pytest.fixture
def entry():
    return FakeEntry()


@pytest.fixture
def admin(entry):
    server = WSGIServer(("127.0.0.1", 0), entry, log=None)
    server.start()
    yield Address("127.0.0.1", server.server_port)
    server.stop(timeout=0)


def test_a_change_takes_the_next_version(entry, admin):
    assert apply_manifest(admin, "new").unwrap() == 4
    assert entry.text == "new"


def test_a_racing_change_is_a_conflict(entry, admin):
    """The slower operator is told, and the faster one's manifest stays.

    Both read version 3, the other one writes version 4, then this write arrives: it
    names version 3 and must not replace what its operator never saw.
    """
    entry.before_write = lambda: entry.replace("theirs")
    error = apply_manifest(admin, "mine").failure()
    assert error.code is ExitCode.CONFLICT
    assert entry.text == "theirs"


def test_a_lost_answer_is_resolved(entry, admin):
    """The operator learns the version though the first answer never came.

    The write takes effect, its answer is lost, and the same change is sent again. Its
    change id is known by then, so it gets the version it got before.
    """
    entry.answers_to_lose = 1
    assert apply_manifest(admin, "new").unwrap() == 4
    assert entry.version == 4


def test_without_any_answer_the_outcome_is_unknown(entry, admin):
    """The operator is told that the change may be in force, and how to find out.

    All answers are lost, the first after the write took effect. The same change id
    later gets that version and does not write again.
    """
    entry.answers_to_lose = 5
    error = apply_manifest(admin, "new", "change-1").failure()
    assert error.code is ExitCode.UNKNOWN
    assert "--change-id change-1" in error.reason
    assert apply_manifest(admin, "new", "change-1").unwrap() == 4
    assert entry.version == 4
