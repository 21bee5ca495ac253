"""The addresses that a process connects to."""

from gypsumspoke.runs.directory import MAX_ADDRESSES, DialEntries, Directory


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
    directory.update_from_peer(tuple(f"10.0.{number}.1:1" for number in range(200)))
    assert len(directory.known) == MAX_ADDRESSES
