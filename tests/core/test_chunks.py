"""Tests of splitting records into chunks."""

from hypothesis import given, strategies as st

from gypsumspoke.core.chunks import (
    MAX_CHUNK_BYTES,
    MAX_CHUNK_RECORDS,
    split_into_chunks,
)

SIZES = st.lists(
    st.sampled_from([0, 1, MAX_CHUNK_BYTES // 2, MAX_CHUNK_BYTES, MAX_CHUNK_BYTES * 3])
)


def size_of(size):
    return size


@given(SIZES, st.integers(min_value=0, max_value=2 * MAX_CHUNK_RECORDS))
def test_all_records_come_in_order_and_only_a_single_one_is_over_the_bound(sizes, more):
    records = sizes + [0] * more
    parts = split_into_chunks(records, size_of)
    assert [size for part in parts for size in part] == records
    for part in parts:
        assert 0 < len(part) <= MAX_CHUNK_RECORDS
        assert sum(part) <= MAX_CHUNK_BYTES or len(part) == 1
