"""Parses the settings of one process: its identity and the addresses it uses.

What is the same for all processes is in the manifest instead. A process with invalid
settings must not start, since a wrong worker name or failure domain would mislead its
peers. Unknown keys are errors too.
"""

import socket
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Literal, NamedTuple, NotRequired, TypedDict

from msgspec import Meta
from returns.result import Failure, Result, Success

from gypsumspoke.core.values import Role
from gypsumspoke.parser.documents import (
    DocumentError,
    Fields,
    Name,
    check_fields,
    read_document,
)

DEFAULT_PARTITION_COUNT = 64
DEFAULT_DRAIN_TIMEOUT_SECONDS = 30.0
DEFAULT_LOG_LEVEL = "INFO"

SettingsError = DocumentError

_ListenPort = Annotated[int, Meta(ge=0, le=65535)]
_Port = Annotated[int, Meta(ge=1, le=65535)]
_NameOrEmpty = Annotated[
    str, Meta(pattern=r"^([A-Za-z0-9][A-Za-z0-9._-]*)?$", max_length=63)
]


class Settings(NamedTuple):
    """Valid settings of one process.

    Attributes:
      role: entry or sidecar.
      worker: name of the worker; the same after a restart.
      host: IPv4 address on which this process listens and peers connect to it.
      peer_port: TCP port for peers; 0 for any free port, as for the next two.
      http_port: TCP port for callers; 0 for a sidecar.
      admin_port: TCP port for metrics, health and administration.
      failure_domain, rack, region: location of the worker.
      service: name of the upstream's service; empty for an entry, and for a sidecar
        whose upstream announces itself.
      slots: number of tasks that the upstream runs at once; 0 if ``service`` is empty.
      upstream_host, upstream_port: address of the upstream; empty and 0 for an entry.
        The port may be 0 if the upstream announces itself.
      table_host, table_port: address of the platform's table service.
      partition_count: number of partitions; the same in every process.
      drain_timeout: maximum duration of a graceful stop.
      log_level: name of a level of ``logging``.
    """

    role: Role
    worker: str
    host: str
    peer_port: int
    http_port: int
    admin_port: int
    failure_domain: str
    rack: str
    region: str
    service: str
    slots: int
    upstream_host: str
    upstream_port: int
    table_host: str
    table_port: int
    partition_count: int
    drain_timeout: timedelta
    log_level: str


class _SettingsSchema(TypedDict):
    role: Literal["entry", "sidecar"]
    worker: Name
    host: str
    peer_port: _ListenPort
    http_port: NotRequired[_ListenPort]
    admin_port: _ListenPort
    failure_domain: Name
    rack: Name
    region: Name
    service: NotRequired[_NameOrEmpty]
    slots: NotRequired[Annotated[int, Meta(ge=0, le=1024)]]
    upstream_host: NotRequired[str]
    upstream_port: NotRequired[_ListenPort]
    table_host: str
    table_port: _Port
    partition_count: NotRequired[Annotated[int, Meta(ge=1, le=65536)]]
    drain_timeout_seconds: NotRequired[Annotated[float, Meta(ge=0, le=3600)]]
    log_level: NotRequired[Literal["DEBUG", "INFO", "WARNING", "ERROR"]]


_ONLY_ENTRY = ("http_port",)
_ONLY_SIDECAR = ("service", "slots", "upstream_host", "upstream_port")
_REQUIRED_IF_ANNOUNCED = ("upstream_host",)
_HOSTS = ("host", "table_host", "upstream_host")
_ANY_ADDRESS = "0.0.0.0"


def read_settings(path: str | Path) -> Result[Settings, tuple[SettingsError, ...]]:
    """Read and validate a settings file.

    Args:
      path: file in JSON with comments.

    Returns:
      The settings, or all errors.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((SettingsError("", f"can't read the file: {error}"),))
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, tuple[SettingsError, ...]]:
    """Parse and validate the text of a settings file."""
    return read_document(text).alt(lambda error: (error,)).bind(_validate)


def _validate(raw: object) -> Result[Settings, tuple[SettingsError, ...]]:
    fields, errors = check_fields(_SettingsSchema, raw)
    errors.extend(_host_errors(fields))
    errors.extend(_role_errors(fields, raw))
    if errors:
        return Failure(tuple(errors))
    return Success(_settings(fields))


def _host_errors(fields: Fields) -> list[SettingsError]:
    errors = []
    for key in _HOSTS:
        host = fields.get(key)
        if host and not _is_ipv4_address(host):
            errors.append(SettingsError(key, "expected an IPv4 address"))
    # Peers connect to the registered host; with 0.0.0.0 they would reach themselves.
    if fields.get("host") in ("", _ANY_ADDRESS):
        errors.append(SettingsError("host", "expected an address that peers can reach"))
    if fields.get("table_host") == "":
        errors.append(SettingsError("table_host", "expected an IPv4 address"))
    return errors


def _is_ipv4_address(host: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True


def _role_errors(fields: Fields, raw: object) -> list[SettingsError]:
    if "role" not in fields:
        return []
    if fields["role"] == Role.ENTRY.value:
        return _missing(_ONLY_ENTRY, raw) + _not_applicable(_ONLY_SIDECAR, fields)
    errors = _missing(_ONLY_SIDECAR, raw) + _empty(_required_values(fields), fields)
    return errors + _not_applicable(_ONLY_ENTRY, fields)


def _required_values(fields: Fields) -> tuple[str, ...]:
    """Return the keys that a sidecar's settings must give a value for.

    Service and slots are either both set or both announced by the upstream. Slots
    without a service are most likely a forgotten name.
    """
    is_announced = not fields.get("service") and not fields.get("slots")
    return _REQUIRED_IF_ANNOUNCED if is_announced else _ONLY_SIDECAR


def _missing(keys: tuple[str, ...], raw: object) -> list[SettingsError]:
    return [
        SettingsError(key, "missing for this role") for key in keys if key not in raw
    ]


def _empty(keys: tuple[str, ...], fields: Fields) -> list[SettingsError]:
    return [
        SettingsError(key, "must not be empty or 0 for this role")
        for key in keys
        if key in fields and not fields[key]
    ]


def _not_applicable(keys: tuple[str, ...], fields: Fields) -> list[SettingsError]:
    return [
        SettingsError(key, "does not apply to this role")
        for key in keys
        if fields.get(key)
    ]


def _settings(fields: Fields) -> Settings:
    drain = fields.get("drain_timeout_seconds", DEFAULT_DRAIN_TIMEOUT_SECONDS)
    return Settings(
        role=Role(fields["role"]),
        worker=fields["worker"],
        host=fields["host"],
        peer_port=fields["peer_port"],
        http_port=fields.get("http_port", 0),
        admin_port=fields["admin_port"],
        failure_domain=fields["failure_domain"],
        rack=fields["rack"],
        region=fields["region"],
        service=fields.get("service", ""),
        slots=fields.get("slots", 0),
        upstream_host=fields.get("upstream_host", ""),
        upstream_port=fields.get("upstream_port", 0),
        table_host=fields["table_host"],
        table_port=fields["table_port"],
        partition_count=fields.get("partition_count", DEFAULT_PARTITION_COUNT),
        drain_timeout=timedelta(seconds=drain),
        log_level=fields.get("log_level", DEFAULT_LOG_LEVEL),
    )
