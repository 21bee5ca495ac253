"""The pages about the HTTP interfaces agree with the table of kinds and the routes."""

import json
from pathlib import Path

import pytest

from gypsumspoke.core.errors import ANSWER_RULES, ErrorKind, Work
from gypsumspoke.core.values import MAX_TASKS, Outcome
from gypsumspoke.parser.announcement import _AnnouncementSchema
from gypsumspoke.parser.job_request import _JOB_FIELDS, _JOB_REQUIRED
from gypsumspoke.shell import entry_http, operator_http, upstream_http

DOCS = Path(__file__).resolve().parents[1] / "docs"
OPENAPI = json.loads((DOCS / "openapi.json").read_text())
SCHEMAS = OPENAPI["components"]["schemas"]


@pytest.mark.parametrize(
    "schema, values", [("Kind", ErrorKind), ("Work", Work), ("Outcome", Outcome)]
)
def test_the_closed_lists_are_those_of_the_code(schema, values):
    assert SCHEMAS[schema]["enum"] == [value.value for value in values]


def test_the_job_has_the_fields_that_are_parsed():
    job = SCHEMAS["Job"]
    assert set(job["properties"]) == set(_JOB_FIELDS)
    assert set(job["required"]) == set(_JOB_REQUIRED)
    assert job["properties"]["tasks"]["maxItems"] == MAX_TASKS


def test_the_announcement_has_the_fields_that_are_parsed():
    announcement = SCHEMAS["Announcement"]
    assert set(announcement["properties"]) == set(_AnnouncementSchema.__annotations__)
    assert set(announcement["required"]) == _AnnouncementSchema.__required_keys__


def test_every_path_is_described():
    paths = set(OPENAPI["paths"])
    assert {
        entry_http.JOBS_PATH,
        operator_http.MANIFEST_PATH,
        operator_http.MANIFEST_STATUS_PATH,
        operator_http.STATUS_PATH,
        operator_http.WORKERS_PATH + "{worker}/drain",
        operator_http.WORKERS_PATH + "{worker}/gone",
        upstream_http.UPSTREAM_PATH,
    } <= paths


def test_the_page_has_a_row_for_every_kind():
    page = (DOCS / "API.md").read_text()
    for kind, rule in ANSWER_RULES.items():
        claim = rule.work.value if rule.work else "as stated"
        assert f"| `{kind.value}` | {rule.status} | {claim} |" in page
