"""JSON with comments to checked fields, with all errors at once.

A person who corrects a file wants every fault in one go, and ``msgspec`` stops at the
first, so each field is converted on its own against its annotated type. Strict JSON is
tried before JSON with comments: the manifest is parsed again in every process on every
change, and the standard library's parser is far faster than ``json5``, which is
imported only when a document needs it.
"""

import functools
import json
from typing import (
    Annotated,
    NamedTuple,
    NotRequired,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec
from returns.result import Failure, Result, Success

MAX_DOCUMENT_CHARACTERS = 1_000_000

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=63)
]

Fields = dict[str, object]


class DocumentError(NamedTuple):
    """One fault of a document.

    Attributes:
      path: where it is, such as ``teams[2].weight``; empty for the whole document.
      reason: what is wrong, with the bound that was broken.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path or 'document'}: {self.reason}"


def read_document(text: str) -> Result[object, DocumentError]:
    """Read JSON with comments.

    Duplicate keys, NaN, Infinity and halves of surrogate pairs are refused.

    Args:
      text: the document, at most ``MAX_DOCUMENT_CHARACTERS`` long.

    Returns:
      The plain value, or why it can't be read.
    """
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        reason = f"longer than {MAX_DOCUMENT_CHARACTERS} characters"
        return Failure(DocumentError("", reason))
    try:
        value = _loads(text)
        _refuse_lone_surrogates(value)
        return Success(value)
    except (ValueError, RecursionError) as error:
        return Failure(DocumentError("", f"not JSON with comments: {error}"))


def to_strict_json(text: str) -> Result[str, DocumentError]:
    """Return the document as strict JSON for programs that don't read comments.

    Text that is strict JSON already comes back unchanged, digit by digit.
    """
    return read_document(text).map(lambda value: _plain(text, value))


def _plain(text: str, value: object) -> str:
    try:
        json.loads(text)
    except ValueError:
        return json.dumps(value, ensure_ascii=False)
    return text


def _loads(text: str) -> object:
    try:
        return json.loads(
            text,
            object_pairs_hook=_refuse_duplicates,
            parse_constant=_refuse_constant,
        )
    except json.JSONDecodeError:
        import json5

        return json5.loads(
            text,
            object_pairs_hook=_refuse_duplicates,
            parse_constant=_refuse_constant,
        )


def _refuse_duplicates(pairs: list[tuple[str, object]]) -> Fields:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        keys = [key for key, _ in pairs]
        twice = sorted({key for key in keys if keys.count(key) > 1})
        raise ValueError(f"keys given twice: {', '.join(twice)}")
    return fields


def _refuse_lone_surrogates(value: object) -> None:
    r"""Refuse an escape such as ``\ud800`` without the other half of its pair.

    JSON allows them, but no UTF-8 holds them: the first place that encodes the text, a
    check of a field or the write to the table, would fail with an exception.
    """
    json.dumps(value, ensure_ascii=False).encode()


def _refuse_constant(name: str) -> object:
    raise ValueError(f"{name} is not a number")


def check_fields(
    shape: type, raw: object, path: str = ""
) -> tuple[Fields, list[DocumentError]]:
    """Check a JSON object against a TypedDict with annotated bounds.

    Args:
      shape: a TypedDict; its values are scalars, TypedDicts or lists of TypedDicts.
      raw: the value read.
      path: where the value stands in the document.

    Returns:
      The fields that are right, and one error for each that is wrong, missing or
      unknown.
    """
    if not isinstance(raw, dict):
        return {}, [DocumentError(path, "expected an object")]
    hints = _hints(shape)
    fields: Fields = {}
    errors = []
    for key in raw.keys() - hints.keys():
        errors.append(DocumentError(_join(path, key), "unknown key"))
    for key in shape.__required_keys__ - raw.keys():
        errors.append(DocumentError(_join(path, key), "missing"))
    for key in hints.keys() & raw.keys():
        value, found = _check_value(hints[key], raw[key], _join(path, key))
        fields[key] = value
        errors.extend(found)
        if found:
            del fields[key]
    return fields, sorted(errors)


@functools.cache
def _hints(shape: type) -> dict[str, object]:
    hints = get_type_hints(shape, include_extras=True)
    for key, hint in hints.items():
        if get_origin(hint) is NotRequired:
            (hints[key],) = get_args(hint)
    return hints


def _check_value(
    hint: object, raw: object, path: str
) -> tuple[object, list[DocumentError]]:
    if _is_shape(hint):
        return check_fields(hint, raw, path)
    if get_origin(hint) is list and _is_shape(get_args(hint)[0]):
        return _check_list(get_args(hint)[0], raw, path)
    try:
        return msgspec.convert(raw, hint), []
    except msgspec.ValidationError as error:
        reason = str(error).replace("`", "")
        return None, [DocumentError(path, reason[:1].lower() + reason[1:])]


def _check_list(
    shape: type, raw: object, path: str
) -> tuple[list[Fields], list[DocumentError]]:
    if not isinstance(raw, list):
        return [], [DocumentError(path, "expected an array")]
    values = []
    errors: list[DocumentError] = []
    for index, element in enumerate(raw):
        fields, found = check_fields(shape, element, f"{path}[{index}]")
        values.append(fields)
        errors.extend(found)
    return values, errors


def _is_shape(hint: object) -> bool:
    return isinstance(hint, type) and issubclass(hint, dict)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else str(key)
