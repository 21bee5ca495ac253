"""Fuzz tests of settings, announcements and manifests: an error or a usable value."""

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
from tests.fuzz.texts import mutated_documents

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


def decoded(name):
    """Return the decoded value of an example file."""
    return read_document((EXAMPLES / name).read_text()).unwrap()


@given(
    mutated_documents(decoded("sidecar.json"))
    | mutated_documents(decoded("entry.json"))
)
@example(json.dumps({**decoded("entry.json"), "host": "\ud800"}))
@example(json.dumps({**decoded("entry.json"), "role": "\ud800"}))
def test_settings(text):
    parsed = parse_settings(text)
    if not is_successful(parsed):
        assert all(str(error) for error in parsed.failure())
        return
    settings = parsed.unwrap()
    assert isinstance(settings, Settings)
    # Names are written to metrics, logs and rows, which can't encode lone surrogates.
    json.dumps(settings, default=str, ensure_ascii=False).encode()


@given(mutated_documents({"service": "a", "slots": 8, "port": 1, "leaving": False}))
def test_an_announcement(text):
    parsed = parse_announcement(text)
    if is_successful(parsed):
        assert isinstance(parsed.unwrap(), Announcement)
        json.dumps(parsed.unwrap(), ensure_ascii=False).encode()


@given(mutated_documents(decoded("manifest.json")))
def test_a_stored_manifest_is_parsed_alike(text):
    """A manifest is stored as strict JSON, which other processes must parse alike."""
    parsed = parse_manifest(text)
    if not is_successful(parsed):
        assert all(isinstance(error, str) for error in parsed.failure())
        return
    assert isinstance(parsed.unwrap(), Manifest)
    stored = to_strict_json(text).unwrap().encode()
    assert parse_manifest(stored.decode()) == parsed


@given(mutated_documents(decoded("manifest.json")))
@example('{"services": ["\\ud800"]} // a comment')
def test_strict_json_is_read_as_the_same_document(text):
    read = read_document(text)
    stored = to_strict_json(text)
    assert is_successful(stored) == is_successful(read)
    if is_successful(stored):
        stored.unwrap().encode()
        assert read_document(stored.unwrap()) == read
        assert Success(json.loads(stored.unwrap())) == read
