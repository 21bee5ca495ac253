"""The addresses that a process connects to."""

import pytest
from hypothesis import given, strategies as st

from gypsumspoke.runs.directory import (
    MAX_ADDRESSES,
    DialEntries,
    Directory,
    neighbours,
)


def test_a_sidecar_dials_the_addresses_of_all_sources():
    directory = Directory("", ("10.0.0.9:1",))
    assert directory.to_dial == ("10.0.0.9:1",)
    (effect,) = directory.update_from_store(("10.0.0.1:1", "10.0.0.2:1"))
    assert set(effect.addresses) == {"10.0.0.9:1", "10.0.0.1:1", "10.0.0.2:1"}
    (effect,) = directory.update_from_peer(("10.0.0.3:1",))
    assert "10.0.0.3:1" in effect.addresses


def test_of_two_entries_one_dials_the_other():
    low, high = "10.0.0.1:1", "10.0.0.2:1"
    one, other = Directory(low, ()), Directory(high, ())
    assert one.update_from_store((low, high)) == [DialEntries((high,))]
    assert other.update_from_store((low, high)) == []


def test_known_addresses_change_nothing():
    directory = Directory("", ("10.0.0.1:1",))
    assert directory.update_from_store(("10.0.0.1:1",)) == []
    assert directory.update_from_peer(("10.0.0.1:1",)) == []


def test_the_number_of_addresses_is_bounded():
    directory = Directory("", ())
    many = range(1, MAX_ADDRESSES + 1000)
    directory.update_from_peer(tuple(f"10.0.0.1:{port}" for port in many))
    assert len(directory.known) == MAX_ADDRESSES


@pytest.mark.parametrize(
    "text", ["", "10.0.0.1", "10.0.0.1:", ":1", "host:1", "10.0.0.1:0", "1.2.3.4:99999"]
)
def test_malformed_addresses_are_ignored(text):
    """One address that can't be dialled must not keep the others from being dialled."""
    directory = Directory("", (text, "10.0.0.9:1"))
    directory.update_from_store((text, "10.0.0.1:1", "10.0.0.1:1"))
    directory.update_from_peer((text,))
    assert set(directory.known) == {"10.0.0.9:1", "10.0.0.1:1"}


def test_an_entry_that_comes_back_at_another_address_is_dialled_there():
    directory = Directory("", ())
    directory.update_from_store(("10.0.0.1:1", "10.0.0.2:1"))
    (effect,) = directory.update_from_store(("10.0.0.1:1", "10.0.0.3:1"))
    assert effect.addresses == ("10.0.0.1:1", "10.0.0.3:1")


@given(st.integers(1, 300), st.integers(0, 299))
def test_entries_are_connected_by_few_links(count, lost):
    """A configuration must reach every entry that can't read it from the store."""
    known = tuple(f"10.0.{number // 256}.{number % 256}:1" for number in range(count))
    links = {own: set(neighbours(own, known)) for own in known}
    for own, others in links.items():
        assert own not in others
        assert all(own in links[other] for other in others)
        assert len(others) <= 2 * count.bit_length()
    reached, found = set(), {known[lost % count]}
    while found:
        reached |= found
        found = {other for own in found for other in links[own]} - reached
    assert reached == set(known)


def test_a_few_entries_are_all_linked():
    known = tuple(f"10.0.0.{number}:1" for number in range(1, 6))
    for own in known:
        assert set(neighbours(own, known)) == set(known) - {own}
