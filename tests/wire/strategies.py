"""Hypothesis strategies for messages, derived from the tuples' annotations."""

import types
import typing
from datetime import datetime, timedelta, timezone
from enum import Enum

from hypothesis import strategies as st

_INT64 = st.integers(min_value=-(2**63), max_value=2**63 - 1)
_MAX_DURATION = timedelta(days=100_000_000)  # Microseconds fit 64 bits.
_STRATEGIES = {
    str: st.text(max_size=20),
    bytes: st.binary(max_size=50),
    int: _INT64,
    float: st.floats(allow_nan=False),
    bool: st.booleans(),
    types.NoneType: st.none(),
    datetime: st.datetimes(timezones=st.just(timezone.utc)),
    timedelta: st.timedeltas(-_MAX_DURATION, _MAX_DURATION),
}


def values_of(annotation):
    """Return a strategy for an annotation used in a message."""
    if annotation in _STRATEGIES:
        return _STRATEGIES[annotation]
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
