"""Hypothesis strategies for every message, from the annotations of the tuples."""

import types
import typing
from datetime import datetime, timedelta, timezone
from enum import Enum

from hypothesis import strategies as st

_LONG = st.integers(min_value=-(2**63), max_value=2**63 - 1)
_LONGEST = timedelta(days=100_000_000)  # Microseconds fit 64 bits.
_LEAVES = {
    str: st.text(max_size=20),
    bytes: st.binary(max_size=50),
    int: _LONG,
    float: st.floats(allow_nan=False),
    bool: st.booleans(),
    types.NoneType: st.none(),
    datetime: st.datetimes(timezones=st.just(timezone.utc)),
    timedelta: st.timedeltas(-_LONGEST, _LONGEST),
}


def values_of(annotation):
    """Return a strategy for an annotation used in a message."""
    if annotation in _LEAVES:
        return _LEAVES[annotation]
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin in (types.UnionType, typing.Union):
        return st.one_of(*map(values_of, arguments))
    if origin is tuple and arguments[-1] is Ellipsis:
        return st.lists(values_of(arguments[0]), max_size=3).map(tuple)
    if origin is tuple:
        return st.tuples(*map(values_of, arguments))
    if issubclass(annotation, Enum):
        return st.sampled_from(annotation)
    hints = typing.get_type_hints(annotation)
    fields = {name: values_of(hints[name]) for name in annotation._fields}
    return st.builds(annotation, **fields)
