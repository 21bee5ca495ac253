"""Cutting records into parts for frames."""

from hypothesis import given, strategies as st

from gypsumspoke.core.chunks import CHUNK_BYTES, CHUNK_RECORDS, cut

SIZES = st.lists(
    st.sampled_from([0, 1, CHUNK_BYTES // 2, CHUNK_BYTES, CHUNK_BYTES * 3])
)


def size_of(size):
    return size


@given(SIZES, st.integers(min_value=0, max_value=2 * CHUNK_RECORDS))
def test_all_records_come_in_order_and_only_a_single_one_is_over_the_bound(sizes, more):
    records = sizes + [0] * more
    parts = cut(records, size_of)
    assert [size for part in parts for size in part] == records
    for part in parts:
        assert 0 < len(part) <= CHUNK_RECORDS
        assert sum(part) <= CHUNK_BYTES or len(part) == 1
