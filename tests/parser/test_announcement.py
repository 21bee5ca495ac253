"""Tests of parsing announcements of upstreams."""

import pytest

from gypsumspoke.parser.announcement import Announcement, parse_announcement


def test_port_and_leaving_are_optional():
    announcement = parse_announcement('{"service": "estimate", "slots": 8}').unwrap()
    assert announcement == Announcement("estimate", 8, 0, False)


@pytest.mark.parametrize(
    "text, path",
    [
        ('{"slots": 8}', "service"),
        ('{"service": "", "slots": 8}', "service"),
        ('{"service": "a", "slots": 0}', "slots"),
        ('{"service": "a", "slots": 8, "port": 0}', "port"),
        ('{"service": "a", "slots": 8, "leaving": "no"}', "leaving"),
        ('{"service": "a", "slots": 8, "host": "b"}', "host"),
        ("[", ""),
    ],
)
def test_an_invalid_announcement_is_refused_with_the_path(text, path):
    assert path in [error.path for error in parse_announcement(text).failure()]
