"""Mutation tests: without a protective mechanism, the test that covers it must fail."""

from datetime import datetime, timezone

import pytest

from gypsumspoke.core import (
    dispatch,
    endings,
    epochs,
    fences,
    home,
    inquiries,
    ledger,
    pause_check,
    record_replication,
    refused_attempts,
    start_records,
    task_starts,
)
from gypsumspoke.core.counters import RetryReason
from tests.core import (
    test_executor_starts as executor_tests,
    test_takeover as takeover_tests,
)

LONG_AGO = datetime(2000, 1, 1, tzinfo=timezone.utc)


def _without_refusal(reason):
    original = task_starts._refusal_reason

    def refusal_reason(state, message, now):
        found = original(state, message, now)
        return None if found is reason else found

    return refusal_reason


def _raise_epoch_only(state, partition, epoch):
    known = state.epochs.get(partition, 0)
    state.epochs[partition] = max(known, epoch)
    return []


def _settle_unconfirmed(state, confirmation, now):
    state.confirmations.pop(confirmation.partition, None)
    return endings._resolve_confirmation(state, confirmation, confirmed=True, now=now)


def _find_uncovered_except_former_owner(state, ownership, parts, now):
    found = _FIND_UNCOVERED(state, ownership, parts, now)
    former = ownership.replaced_row
    return found - ({former.owner} if former is not None else set())


class AnyEpoch(int):
    """An epoch that equals every other one, which disables the comparison."""

    def __eq__(self, other):
        return True

    def __ne__(self, other):
        return False

    __hash__ = int.__hash__


_FIND_UNCOVERED = fences._find_uncovered

DISABLED_SAFEGUARDS = [
    pytest.param(
        task_starts,
        "_refusal_reason",
        _without_refusal(RetryReason.STALE_EPOCH),
        takeover_tests.test_a_paused_home_that_wakes_starts_nothing,
        id="executors refuse lower epochs",
    ),
    pytest.param(
        task_starts,
        "_refusal_reason",
        _without_refusal(RetryReason.EXECUTOR_JOINING),
        executor_tests.test_nothing_starts_before_the_map_was_read,
        id="executors wait for the map",
    ),
    pytest.param(
        epochs,
        "raise_epoch",
        _raise_epoch_only,
        executor_tests.test_a_fence_drops_the_former_homes_waiting_tasks,
        id="a fence drops waiting tasks",
    ),
    pytest.param(
        refused_attempts.RefusedAttempts,
        "add",
        lambda self, attempt, until: None,
        executor_tests.test_an_attempt_answered_never_seen_does_not_start_later,
        id="refused attempts never start",
    ),
    pytest.param(
        pause_check.PauseCheck,
        "record_event",
        lambda self, now: [],
        takeover_tests.test_a_replaced_pair_that_wakes_starts_nothing,
        id="a paused executor checks its registration",
    ),
    pytest.param(
        fences,
        "floor_birth",
        lambda now, skew: LONG_AGO,
        takeover_tests.test_a_key_refused_before_a_takeover_stays_refused_after_it,
        id="older unknown keys need a new attempt number",
    ),
    pytest.param(
        fences,
        "floor_birth",
        lambda now, skew: now,
        takeover_tests.test_a_key_born_ahead_of_the_next_homes_clock_stays_refused,
        id="the floor allows for clocks that differ",
    ),
    pytest.param(
        fences,
        "_find_uncovered",
        lambda state, ownership, parts, now: set(),
        takeover_tests.test_keys_whose_records_were_lost_are_unknown,
        id="lost records make old keys unknown",
    ),
    pytest.param(
        fences,
        "_find_uncovered",
        _find_uncovered_except_former_owner,
        takeover_tests.test_a_failure_before_replication_makes_old_keys_unknown,
        id="the former owner's executor must be covered",
    ),
    pytest.param(
        fences,
        "owner_cover",
        lambda incarnation, epoch: incarnation,
        takeover_tests.test_what_an_owner_told_does_not_cover_later_starts,
        id="an owner's cover ends with its ownership",
    ),
    pytest.param(
        inquiries,
        "_is_covered",
        lambda inquiry: True,
        takeover_tests.test_a_task_whose_executor_died_is_not_tried_elsewhere,
        id="a missing record is proof only with a cover",
    ),
    pytest.param(
        endings,
        "_send_to_next",
        _settle_unconfirmed,
        takeover_tests.test_a_paused_home_that_wakes_does_not_say_not_run,
        id="not run is confirmed before it is answered",
    ),
    pytest.param(
        home.adoption,
        "replicate_lost_records",
        lambda state, lost, now: [],
        takeover_tests.test_a_home_replicates_the_records_of_a_lost_executor,
        id="homes replicate the records of lost executors",
    ),
    pytest.param(
        record_replication,
        "OWN_RECORDS_EPOCH",
        AnyEpoch(),
        takeover_tests.test_a_replaced_home_does_not_tell_on_what_its_successor_placed,
        id="only a current home replicates records of others",
    ),
    pytest.param(
        home.adoption,
        "forgotten_before",
        lambda state, ownership: LONG_AGO,
        takeover_tests.test_a_longer_retention_brings_no_forgotten_key_back,
        id="keys without records stay expired",
    ),
    pytest.param(
        fences,
        "_adopt",
        lambda state, ownership, parts, complete: {},
        takeover_tests.test_a_job_is_resumed_by_the_next_home_without_a_second_start,
        id="the next home adopts what was started",
    ),
]


@pytest.mark.parametrize("module, name, replacement, scenario", DISABLED_SAFEGUARDS)
def test_fails_without_its_safeguard(monkeypatch, module, name, replacement, scenario):
    monkeypatch.setattr(module, name, replacement)
    with pytest.raises((AssertionError, ValueError)):
        scenario()


def test_the_modules_under_test_are_the_ones_in_use():
    assert dispatch.complete_job is endings.complete_job
    assert fences.floor_birth is ledger.floor_birth
    assert epochs.fence_acks is start_records.fence_acks
