"""The entries that a sidecar connects to."""

from datetime import timedelta

import pytest
from hypothesis import given, strategies as st

from gypsumspoke.runs.entry_group import (
    INITIAL_SIZE,
    MAX_DIALLED,
    MAX_SIZE,
    MIN_SIDECARS_PER_ENTRY,
    MIN_SIZE,
    RESIZE_INTERVAL,
    SIDECARS_PER_ENTRY,
    SUBSTITUTE_DELAY,
    SURPLUS_DELAY,
    EntryGroup,
    adapted_size,
)
from tests.runs.world import START, ms


def addresses(count):
    return tuple(f"10.0.{number // 256}.{number % 256}:8166" for number in range(count))


def connected_group(known, seed="side0"):
    """Return a group that is connected to all entries that it selects."""
    group = EntryGroup(seed, START)
    for address in group.select(known):
        group.record_connected(f"entry-{address}", address)
    return group


def record_counts(group, known, count):
    """Let all entries of the group state how many sidecars they have."""
    for address in group.select(known):
        group.record_sidecars(f"entry-{address}", count)


def test_a_small_fleet_has_one_group_of_all_entries():
    assert set(EntryGroup("side0", START).select(addresses(4))) == set(addresses(4))
    assert EntryGroup("side0", START).select(()) == ()


def test_groups_are_small_and_spread_over_the_entries():
    known = addresses(35)
    counts = dict.fromkeys(known, 0)
    for number in range(160):
        selected = EntryGroup(f"side{number}", START).select(known)
        assert len(selected) == INITIAL_SIZE
        for address in selected:
            counts[address] += 1
    # Four standard deviations of a fair draw.
    mean = 160 * INITIAL_SIZE / 35
    assert all(abs(count - mean) < 4 * mean**0.5 for count in counts.values())


def test_a_restarted_sidecar_has_the_same_group():
    known = addresses(35)
    later = START + timedelta(hours=1)
    assert EntryGroup("a", START).select(known) == EntryGroup("a", later).select(known)


def test_an_entry_that_comes_or_goes_changes_few_groups():
    known = addresses(35)
    changed = 0
    for number in range(160):
        group = EntryGroup(f"side{number}", START)
        before = set(group.select(known))
        after = set(group.select(known[1:]))
        assert len(before - after) <= 1
        changed += before != after
    assert changed < 2 * 160 * INITIAL_SIZE / 35


def test_an_unreachable_entry_is_replaced_until_it_is_back():
    """Entries are lost; their sidecars must not be left with fewer of them."""
    known = addresses(35)
    group = connected_group(known)
    before = group.select(known)
    lost = before[0]
    now = START + ms(5000)
    group.record_lost(f"entry-{lost}", now)
    assert group.select(known) == before
    now += SUBSTITUTE_DELAY
    group.advance(now)
    (substitute,) = set(group.select(known)) - set(before)
    group.record_connected(f"entry-{substitute}", substitute)
    assert group.surplus == ()
    # It is still dialled, and is used again once it is back.
    assert lost in group.select(known)
    group.record_connected(f"entry-{lost}", lost)
    assert substitute in group.select(known)
    group.advance(now + SURPLUS_DELAY)
    assert group.surplus == (f"entry-{substitute}",)
    group.record_lost(f"entry-{substitute}", now + SURPLUS_DELAY)
    assert group.select(known) == before


def test_dials_are_bounded_while_all_entries_are_down():
    known = addresses(200)
    group = EntryGroup("side0", START)
    now = START
    for _ in range(50):
        group.advance(now)
        assert len(group.select(known)) <= INITIAL_SIZE * MAX_DIALLED
        now += ms(100)


def test_the_only_live_entry_of_a_small_fleet_is_found():
    known = addresses(15)
    group = EntryGroup("side0", START)
    dialled = set()
    now = START
    for _ in range(50):
        group.advance(now)
        dialled |= set(group.select(known))
        now += ms(100)
    assert dialled == set(known)


def test_an_entry_that_comes_and_goes_moves_no_connections_each_time():
    """A substitute is kept for a while, or each short loss would cost two dials."""
    known = addresses(35)
    group = connected_group(known)
    lost = group.select(known)[0]
    group.record_lost(f"entry-{lost}", START)
    group.advance(START + SUBSTITUTE_DELAY)
    (substitute,) = set(group.select(known)) - set(connected_group(known).select(known))
    group.record_connected(f"entry-{substitute}", substitute)
    group.record_connected(f"entry-{lost}", lost)
    group.select(known)
    group.advance(START + SUBSTITUTE_DELAY + SURPLUS_DELAY / 2)
    group.select(known)
    assert group.surplus == ()
    group.record_lost(f"entry-{lost}", START + SUBSTITUTE_DELAY + SURPLUS_DELAY / 2)
    group.advance(START + SUBSTITUTE_DELAY * 2 + SURPLUS_DELAY)
    assert substitute in group.select(known)
    assert group.surplus == ()


def test_groups_grow_when_entries_have_too_few_sidecars():
    """With more entries than sidecars each would otherwise have next to none."""
    group = connected_group(addresses(60))
    record_counts(group, addresses(60), 2)
    now = START
    for _ in range(6):
        now += RESIZE_INTERVAL
        group.advance(now)
    assert len(group.select(addresses(60))) == 60


def test_groups_shrink_when_entries_have_more_sidecars_than_they_need():
    group = connected_group(addresses(35))
    record_counts(group, addresses(35), 1000)
    group.advance(START + RESIZE_INTERVAL)
    assert group.size == MIN_SIZE


def test_an_entry_that_has_not_counted_its_sidecars_changes_nothing():
    group = connected_group(addresses(35))
    record_counts(group, addresses(35), 0)
    group.advance(START + RESIZE_INTERVAL)
    assert group.size == INITIAL_SIZE


@pytest.mark.parametrize("entries, sidecars", [(35, 160), (9, 54), (60, 400)])
def test_sizes_settle(entries, sidecars):
    size = INITIAL_SIZE
    for _ in range(20):
        size = adapted_size(size, [round(sidecars * min(size, entries) / entries)])
    settled = sidecars * min(size, entries) / entries
    assert adapted_size(size, [settled]) == size
    assert settled >= MIN_SIDECARS_PER_ENTRY


@given(st.integers(1, 200), st.lists(st.integers(1, 10_000), max_size=20))
def test_sizes_are_bounded(size, counts):
    wanted = adapted_size(size, counts)
    assert wanted == size or MIN_SIZE <= wanted <= MAX_SIZE
    assert wanted <= max(size * 2, MIN_SIZE)


def test_enough_sidecars_lie_within_the_range_that_changes_nothing():
    assert adapted_size(INITIAL_SIZE, [SIDECARS_PER_ENTRY]) == INITIAL_SIZE
