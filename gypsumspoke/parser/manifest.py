"""Parses the manifest, the operators' configuration of the whole system.

Every process parses the manifest when it takes effect and must come to the same result,
so validation depends on the text alone. Each number has its unit in its key.
"""

from datetime import timedelta
from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta
from returns.result import Failure, Result, Success

from gypsumspoke.core.placement import STRATEGIES
from gypsumspoke.core.policy import (
    DEFAULT_POLICY,
    Manifest,
    Policy,
    ServicePolicy,
    TeamPolicy,
)
from gypsumspoke.core.values import MAX_RETENTION
from gypsumspoke.parser.documents import (
    DocumentError,
    Fields,
    Name,
    check_fields,
    read_document,
)

DEFAULT_CONNECTIONS = 64
DEFAULT_CONNECT_TIMEOUT_SECONDS = 1.0
DEFAULT_ANSWER_TIMEOUT_SECONDS = 30.0
DEFAULT_QUEUE_LIMIT_TASKS = 8
DEFAULT_WEIGHT = 1.0

_Count = Annotated[int, Meta(ge=1, le=10_000_000)]
_Timeout = Annotated[float, Meta(ge=0.01, le=600)]
_Share = Annotated[float, Meta(ge=0, le=1)]


class _ServiceSchema(TypedDict):
    name: Name
    connections: NotRequired[Annotated[int, Meta(ge=1, le=1024)]]
    connect_timeout_seconds: NotRequired[_Timeout]
    answer_timeout_seconds: NotRequired[_Timeout]
    queue_limit_tasks: NotRequired[Annotated[int, Meta(ge=0, le=10_000)]]


class _TeamSchema(TypedDict):
    name: Name
    tasks_per_second: Annotated[float, Meta(ge=0, le=1_000_000)]
    burst_tasks: _Count
    weight: NotRequired[Annotated[float, Meta(ge=0.001, le=1000)]]


class _PolicySchema(TypedDict, total=False):
    retention_seconds: Annotated[float, Meta(ge=1, le=MAX_RETENTION.total_seconds())]
    clock_skew_seconds: Annotated[float, Meta(ge=0.01, le=60)]
    retry_budget_share: _Share
    task_attempts: Annotated[int, Meta(ge=1, le=100)]
    message_weight_share: _Share
    ledger_limit_submissions: _Count
    kept_bytes: Annotated[int, Meta(ge=0, le=10_000_000_000)]
    home_queue_limit_tasks: _Count
    unreachable_after_seconds: Annotated[float, Meta(ge=0.1, le=3600)]
    takeover_after_seconds: Annotated[float, Meta(ge=0.1, le=3600)]
    placement: Literal[*STRATEGIES]


class _ManifestSchema(TypedDict):
    services: list[_ServiceSchema]
    teams: list[_TeamSchema]
    policy: NotRequired[_PolicySchema]


def parse_manifest(text: str) -> Result[Manifest, tuple[str, ...]]:
    """Parse and validate a manifest.

    Args:
      text: JSON with comments.

    Returns:
      The manifest, or all errors, each as ``path: reason``.
    """
    return read_document(text).alt(lambda error: (str(error),)).bind(_validate)


def _validate(raw: object) -> Result[Manifest, tuple[str, ...]]:
    fields, errors = check_fields(_ManifestSchema, raw)
    errors.extend(_list_errors(fields))
    if not errors:
        manifest = _manifest(fields)
        errors.extend(_consistency_errors(manifest))
    if errors:
        return Failure(tuple(str(error) for error in errors))
    return Success(manifest)


def _list_errors(fields: Fields) -> list[DocumentError]:
    """Return errors for empty lists and duplicate names.

    With an empty list, perhaps from a failed build, every caller would be refused.
    """
    errors = []
    for key in ("services", "teams"):
        names = [element.get("name") for element in fields.get(key, ())]
        if key in fields and not names:
            errors.append(DocumentError(key, "must not be empty"))
        for index, name in enumerate(names):
            if name is not None and name in names[:index]:
                path = f"{key}[{index}].name"
                errors.append(DocumentError(path, f"{name} is named twice"))
    return errors


def _consistency_errors(manifest: Manifest) -> list[DocumentError]:
    """Return errors for values that are valid but inconsistent with each other."""
    policy = manifest.policy
    errors = []
    if policy.retention <= 2 * policy.clock_skew:
        reason = "must be over twice policy.clock_skew_seconds"
        errors.append(DocumentError("policy.retention_seconds", reason))
    for index, service in enumerate(manifest.services):
        path = f"services[{index}].answer_timeout_seconds"
        # A task could outlive its record, and a resubmission would start it again.
        if service.answer_timeout >= policy.retention:
            reason = "must be less than policy.retention_seconds"
            errors.append(DocumentError(path, reason))
        if service.answer_timeout < service.connect_timeout:
            reason = "must not be less than connect_timeout_seconds"
            errors.append(DocumentError(path, reason))
    return errors


def _manifest(fields: Fields) -> Manifest:
    return Manifest(
        services=tuple(_service(service) for service in fields["services"]),
        teams=tuple(_team(team) for team in fields["teams"]),
        policy=_policy(fields.get("policy", {})),
    )


def _service(fields: Fields) -> ServicePolicy:
    connect = fields.get("connect_timeout_seconds", DEFAULT_CONNECT_TIMEOUT_SECONDS)
    answer = fields.get("answer_timeout_seconds", DEFAULT_ANSWER_TIMEOUT_SECONDS)
    return ServicePolicy(
        name=fields["name"],
        connections=fields.get("connections", DEFAULT_CONNECTIONS),
        connect_timeout=timedelta(seconds=connect),
        answer_timeout=timedelta(seconds=answer),
        queue_limit=fields.get("queue_limit_tasks", DEFAULT_QUEUE_LIMIT_TASKS),
    )


def _team(fields: Fields) -> TeamPolicy:
    return TeamPolicy(
        name=fields["name"],
        tasks_per_second=fields["tasks_per_second"],
        burst=fields["burst_tasks"],
        weight=fields.get("weight", DEFAULT_WEIGHT),
    )


def _policy(fields: Fields) -> Policy:
    values = {}
    for key, value in fields.items():
        if key.endswith("_seconds"):
            values[key.removesuffix("_seconds")] = timedelta(seconds=value)
        else:
            values[_POLICY_FIELDS.get(key, key)] = value
    return DEFAULT_POLICY._replace(**values)


_POLICY_FIELDS = {
    "retry_budget_share": "retry_budget",
    "message_weight_share": "message_weight",
    "ledger_limit_submissions": "ledger_limit",
    "home_queue_limit_tasks": "home_queue_limit",
}
