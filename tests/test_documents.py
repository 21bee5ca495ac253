"""The operators' page names everything that an operator can meet."""

from pathlib import Path

import pytest

from gypsumspoke.core.counters import Counter, RetryReason
from gypsumspoke.core.errors import ErrorKind
from gypsumspoke.runs.values import (
    DisplacementReason,
    EndReason,
    IgnoredHeartbeat,
    LeaseEvent,
    LeavingRun,
    RefusalReason,
    SidecarRetry,
    WorkerFailure,
    WorkerRecordEvent,
)
from gypsumspoke.shell.metrics import HISTOGRAMS
from gypsumspoke.shell.runtime import (
    EXIT_DONE,
    EXIT_DRAIN_TIMEOUT,
    EXIT_INTERNAL,
    EXIT_SECOND_SIGNAL,
)
from gypsumspoke.tools.exit_codes import ExitCode

PAGE = (Path(__file__).parents[1] / "docs" / "OPERATIONS.md").read_text()


@pytest.mark.parametrize(
    "words",
    [
        ErrorKind,
        RetryReason,
        Counter,
        DisplacementReason,
        EndReason,
        IgnoredHeartbeat,
        LeaseEvent,
        LeavingRun,
        RefusalReason,
        SidecarRetry,
        WorkerFailure,
        WorkerRecordEvent,
    ],
)
def test_every_word_has_its_line(words):
    assert [word.value for word in words if f"`{word.value}`" not in PAGE] == []


def test_every_histogram_and_exit_code_has_its_line():
    assert [name for name in HISTOGRAMS if f"`gypsumspoke_{name}{{" not in PAGE] == []
    for code in ExitCode:
        assert f"| {code.value} | {code.name} |" in PAGE


def test_every_exit_status_of_a_role_is_named():
    (line,) = [part for part in PAGE.split("\n\n") if part.startswith("A role ends")]
    statuses = {EXIT_DONE, EXIT_INTERNAL, EXIT_DRAIN_TIMEOUT, EXIT_SECOND_SIGNAL}
    assert {str(status) for status in statuses} <= set(line.replace(",", " ").split())
