"""Fixtures: a table, a home simulated by the test, and an entry process."""

import json
from contextlib import closing
from datetime import datetime, timezone

import pytest

from gypsumspoke.core.rows import (
    member_key,
    member_value,
    partition_key,
    partition_value,
)
from tests.standins.entry_process import (
    MANIFEST,
    PARTITIONS,
    Entry,
    Home,
    write,
)
from tests.standins.processes import Processes


@pytest.fixture
def processes(tmp_path):
    with Processes(tmp_path) as started:
        yield started


@pytest.fixture
def table(processes):
    return processes.start_table()


@pytest.fixture
def home(table):
    home = Home()
    now = datetime.now(timezone.utc)
    rows = {
        partition_key(number): partition_value("home-1", 1, now)
        for number in range(PARTITIONS)
    }
    rows[member_key("home-1")] = member_value(home.member())
    rows["manifest"] = json.dumps(MANIFEST)
    write(table, rows)
    with closing(home.links):
        yield home


@pytest.fixture
def entry(processes, table, home):
    return Entry(processes, table).wait_ready()
