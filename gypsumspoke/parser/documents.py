"""Reads JSON with comments and validates objects, reporting all errors at once.

``msgspec`` stops at the first error, so each field is converted separately against its
annotated type. Strict JSON is tried before JSON with comments: the standard library's
parser is far faster than ``json5``, which is imported only when a document needs it.
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
    """An error in a document.

    Attributes:
      path: path of the value, as in ``teams[2].weight``; empty for the whole document.
      reason: what is wrong, including the violated bound.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path or 'document'}: {self.reason}"


def read_document(text: str) -> Result[object, DocumentError]:
    """Read JSON with comments.

    Duplicate keys, NaN, Infinity and lone surrogates are rejected.

    Args:
      text: the document, at most ``MAX_DOCUMENT_CHARACTERS`` long.

    Returns:
      The decoded value, or the error.
    """
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        reason = f"longer than {MAX_DOCUMENT_CHARACTERS} characters"
        return Failure(DocumentError("", reason))
    try:
        value = _loads(text)
        _reject_lone_surrogates(value)
        return Success(value)
    except (ValueError, RecursionError) as error:
        return Failure(DocumentError("", f"not JSON with comments: {error}"))


def to_strict_json(text: str) -> Result[str, DocumentError]:
    """Convert JSON with comments to strict JSON.

    Text that is strict JSON already is returned unchanged, numbers with every digit.
    """
    return read_document(text).map(lambda value: _strict(text, value))


def _strict(text: str, value: object) -> str:
    try:
        json.loads(text)
    except ValueError:
        return json.dumps(value, ensure_ascii=False)
    return text


def _loads(text: str) -> object:
    try:
        return json.loads(
            text,
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except json.JSONDecodeError:
        import json5

        return json5.loads(
            text,
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )


def _reject_duplicate_keys(pairs: list[tuple[str, object]]) -> Fields:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        keys = [key for key, _ in pairs]
        duplicates = sorted({key for key in keys if keys.count(key) > 1})
        raise ValueError(f"keys given twice: {', '.join(duplicates)}")
    return fields


def _reject_lone_surrogates(value: object) -> None:
    r"""Reject lone surrogates, such as the escape ``\ud800`` without its pair.

    JSON allows them, but UTF-8 can't encode them: a field check or a write to the table
    would raise an exception later.
    """
    json.dumps(value, ensure_ascii=False).encode()


def _reject_constant(name: str) -> object:
    raise ValueError(f"{name} is not a number")


def check_fields(
    schema: type, raw: object, path: str = ""
) -> tuple[Fields, list[DocumentError]]:
    """Validate a JSON object against a TypedDict with annotated bounds.

    Args:
      schema: a TypedDict; its values are scalars, TypedDicts or lists of TypedDicts.
      raw: the decoded value.
      path: path of the value in the document.

    Returns:
      The valid fields, and one error for each invalid, missing or unknown key.
    """
    if not isinstance(raw, dict):
        return {}, [DocumentError(path, "expected an object")]
    hints = _hints(schema)
    fields: Fields = {}
    errors = []
    for key in raw.keys() - hints.keys():
        errors.append(DocumentError(_join(path, key), "unknown key"))
    for key in schema.__required_keys__ - raw.keys():
        errors.append(DocumentError(_join(path, key), "missing"))
    for key in hints.keys() & raw.keys():
        value, found = _check_value(hints[key], raw[key], _join(path, key))
        fields[key] = value
        errors.extend(found)
        if found:
            del fields[key]
    return fields, sorted(errors)


@functools.cache
def _hints(schema: type) -> dict[str, object]:
    hints = get_type_hints(schema, include_extras=True)
    for key, hint in hints.items():
        if get_origin(hint) is NotRequired:
            (hints[key],) = get_args(hint)
    return hints


def _check_value(
    hint: object, raw: object, path: str
) -> tuple[object, list[DocumentError]]:
    if _is_schema(hint):
        return check_fields(hint, raw, path)
    if get_origin(hint) is list and _is_schema(get_args(hint)[0]):
        return _check_list(get_args(hint)[0], raw, path)
    try:
        return msgspec.convert(raw, hint), []
    except msgspec.ValidationError as error:
        reason = str(error).replace("`", "")
        return None, [DocumentError(path, reason[:1].lower() + reason[1:])]


def _check_list(
    schema: type, raw: object, path: str
) -> tuple[list[Fields], list[DocumentError]]:
    if not isinstance(raw, list):
        return [], [DocumentError(path, "expected an array")]
    values = []
    errors: list[DocumentError] = []
    for index, element in enumerate(raw):
        fields, found = check_fields(schema, element, f"{path}[{index}]")
        values.append(fields)
        errors.extend(found)
    return values, errors


def _is_schema(hint: object) -> bool:
    return isinstance(hint, type) and issubclass(hint, dict)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else str(key)
