"""Routing of requests."""

import pytest

from gypsumspoke.runs.routing import RoutingTable
from tests.runs.world import CONFIGURATION, ROUTE

ROUTES = tuple(
    ROUTE._replace(name=name, host=host, path_prefix=prefix)
    for name, host, prefix in (
        ("short", "a.example", "/x/"),
        ("long", "a.example", "/x/y/"),
        ("other", "b.example", "/x/"),
    )
)
TABLE = RoutingTable(CONFIGURATION._replace(routes=ROUTES))


@pytest.mark.parametrize(
    "host, path, name",
    [
        ("a.example", "/x/1", "short"),
        ("a.example", "/x/y/1", "long"),
        ("A.Example", "/x/y/", "long"),
        ("b.example", "/x/y/1", "other"),
    ],
)
def test_the_longest_prefix_of_the_host_decides(host, path, name):
    assert TABLE.find(host, path).name == name


@pytest.mark.parametrize(
    "host, path", [("c.example", "/x/1"), ("a.example", "/y/1"), ("", ""), ("a", "/x")]
)
def test_a_request_that_matches_no_route_has_none(host, path):
    assert TABLE.find(host, path) is None
