"""Tests of the table from error kind to answer."""

from gypsumspoke.core.errors import ANSWER_RULES, ErrorKind, Work

KINDS_OF_AN_ENTRY = (
    ErrorKind.INVALID_REQUEST,
    ErrorKind.QUOTA_EXCEEDED,
    ErrorKind.ENTRY_OVERLOADED,
    ErrorKind.ENTRY_DRAINING,
    ErrorKind.HOME_UNREACHABLE,
    ErrorKind.HOME_SILENT,
)


def test_every_kind_has_an_answer():
    assert set(ANSWER_RULES) == set(ErrorKind)


def test_an_entry_never_claims_not_run():
    for kind in KINDS_OF_AN_ENTRY:
        assert ANSWER_RULES[kind].work is not Work.NOT_RUN
