"""Settings and manifests with a fault: an error value, or a value that can be used."""

import json
from pathlib import Path

from hypothesis import example, given
from returns.pipeline import is_successful
from returns.result import Success

from gypsumspoke.core.policy import Manifest
from gypsumspoke.parser.announcement import Announcement, parse_announcement
from gypsumspoke.parser.documents import read_document, to_strict_json
from gypsumspoke.parser.manifest import parse_manifest
from gypsumspoke.parser.settings import Settings, parse_settings
from tests.fuzz.texts import spoiled_documents

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


def plain(name):
    """Return the plain value of an example file."""
    return read_document((EXAMPLES / name).read_text()).unwrap()


@given(
    spoiled_documents(plain("sidecar.json")) | spoiled_documents(plain("entry.json"))
)
@example(json.dumps({**plain("entry.json"), "host": "\ud800"}))
@example(json.dumps({**plain("entry.json"), "role": "\ud800"}))
def test_settings(text):
    parsed = parse_settings(text)
    if not is_successful(parsed):
        assert all(str(error) for error in parsed.failure())
        return
    settings = parsed.unwrap()
    assert isinstance(settings, Settings)
    # Names go into metrics, log lines and rows; a lone surrogate fails in each.
    json.dumps(settings, default=str, ensure_ascii=False).encode()


@given(spoiled_documents({"service": "a", "slots": 8, "port": 1, "leaving": False}))
def test_an_announcement(text):
    parsed = parse_announcement(text)
    if is_successful(parsed):
        assert isinstance(parsed.unwrap(), Announcement)
        json.dumps(parsed.unwrap(), ensure_ascii=False).encode()


@given(spoiled_documents(plain("manifest.json")))
def test_a_manifest_is_the_same_after_the_table(text):
    """What one process accepts is stored as strict JSON and accepted by all others."""
    parsed = parse_manifest(text)
    if not is_successful(parsed):
        assert all(isinstance(error, str) for error in parsed.failure())
        return
    assert isinstance(parsed.unwrap(), Manifest)
    stored = to_strict_json(text).unwrap().encode()
    assert parse_manifest(stored.decode()) == parsed


@given(spoiled_documents(plain("manifest.json")))
@example('{"services": ["\\ud800"]} // a comment')
def test_plain_json_is_read_as_the_same_document(text):
    read = read_document(text)
    stored = to_strict_json(text)
    assert is_successful(stored) == is_successful(read)
    if is_successful(stored):
        stored.unwrap().encode()
        assert read_document(stored.unwrap()) == read
        assert Success(json.loads(stored.unwrap())) == read
