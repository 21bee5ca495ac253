"""Strategies that mutate a valid document in one place.

Random text fails at the first character; a valid document with one changed value or
character reaches the inner checks.
"""

import copy
import json

from hypothesis import strategies as st

_NUMBERS = st.one_of(
    st.integers(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=True, allow_infinity=True),
    st.sampled_from([0, -1, 1e308, 5e-324, 0.1]),
)
_TEXTS = st.one_of(
    st.text(),
    st.text(st.characters(exclude_categories=())),
    st.sampled_from(["", "0.0.0.0", "a\n", "\ud800", "0197f0a3-5c1e-7b2a-9c44-0d7a"]),
)
VALUES = st.recursive(
    st.none() | st.booleans() | _NUMBERS | _TEXTS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(_TEXTS, inner, max_size=3),
    max_leaves=6,
)


def mutated_documents(valid):
    """Return a strategy for the JSON text of a document with at most one mutation.

    Args:
      valid: the JSON value of a valid document.
    """
    return st.one_of(
        _replaced(valid).map(json.dumps),
        _replaced(valid).map(lambda value: json.dumps(value, ensure_ascii=False)),
        _edited(json.dumps(valid)),
        st.text(max_size=60),
    )


@st.composite
def _replaced(draw, valid):
    """Replace, add or drop one value anywhere in the document."""
    document = copy.deepcopy(valid)
    container, key = draw(st.sampled_from(list(_positions(document))))
    action = draw(st.sampled_from(["replace", "add", "drop", "keep"]))
    if action == "replace":
        container[key] = draw(VALUES)
    elif action == "add" and isinstance(container, dict):
        container[draw(_TEXTS)] = draw(VALUES)
    elif action == "drop":
        del container[key]
    return document


def _positions(value):
    """Yield the container and the key of each value inside the document."""
    if isinstance(value, dict):
        inner = value.items()
    elif isinstance(value, list):
        inner = enumerate(value)
    else:
        return
    for key, each in list(inner):
        yield value, key
        yield from _positions(each)


@st.composite
def _edited(draw, text):
    """Change, drop or insert characters at one place."""
    start = draw(st.integers(0, len(text)))
    length = draw(st.integers(0, 3))
    return text[:start] + draw(st.text(max_size=3)) + text[start + length :]
