"""Settings of one process: who it is and where it finds the others.

What differs between two processes stands here; what is the same everywhere stands in
the manifest. A process with bad settings must not start, since a wrong worker name or
failure domain would mislead all others, so each key is checked and an unknown one is
an error rather than ignored.
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

_BoundPort = Annotated[int, Meta(ge=0, le=65535)]
_Port = Annotated[int, Meta(ge=1, le=65535)]
_NameOrEmpty = Annotated[
    str, Meta(pattern=r"^([A-Za-z0-9][A-Za-z0-9._-]*)?$", max_length=63)
]


class Settings(NamedTuple):
    """Checked settings.

    Attributes:
      role: entry or sidecar.
      worker: name of the worker; the same after a restart.
      host: IPv4 number on which this process listens and peers reach it.
      peer_port: TCP port for peers; 0 takes any free one, as do the next two.
      http_port: TCP port for callers; 0 for a sidecar.
      admin_port: TCP port for metrics, health and administration.
      failure_domain, rack, region: where the worker stands.
      service: upstream service beside it; empty for an entry, and for a sidecar whose
        upstream announces itself.
      slots: tasks that the upstream runs at once; 0 where ``service`` is empty.
      upstream_host, upstream_port: the upstream; empty and 0 for an entry. The port
        may be 0 where the upstream announces itself.
      table_host, table_port: the platform's table service.
      partition_count: the same in every process.
      drain_timeout: bound on a graceful stop.
      log_level: as in ``logging``.
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


class _SettingsShape(TypedDict):
    role: Literal["entry", "sidecar"]
    worker: Name
    host: str
    peer_port: _BoundPort
    http_port: NotRequired[_BoundPort]
    admin_port: _BoundPort
    failure_domain: Name
    rack: Name
    region: Name
    service: NotRequired[_NameOrEmpty]
    slots: NotRequired[Annotated[int, Meta(ge=0, le=1024)]]
    upstream_host: NotRequired[str]
    upstream_port: NotRequired[_BoundPort]
    table_host: str
    table_port: _Port
    partition_count: NotRequired[Annotated[int, Meta(ge=1, le=65536)]]
    drain_timeout_seconds: NotRequired[Annotated[float, Meta(ge=0, le=3600)]]
    log_level: NotRequired[Literal["DEBUG", "INFO", "WARNING", "ERROR"]]


_ONLY_ENTRY = ("http_port",)
_ONLY_SIDECAR = ("service", "slots", "upstream_host", "upstream_port")
_NEEDED_OF_ANNOUNCED = ("upstream_host",)
_HOSTS = ("host", "table_host", "upstream_host")
_ANY_ADDRESS = "0.0.0.0"


def read_settings(path: str | Path) -> Result[Settings, tuple[SettingsError, ...]]:
    """Read and check a settings file.

    Args:
      path: file in JSON with comments.

    Returns:
      The settings, or every error found.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((SettingsError("", f"can't read the file: {error}"),))
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, tuple[SettingsError, ...]]:
    """Check settings given as text; see ``read_settings``."""
    return read_document(text).alt(lambda error: (error,)).bind(_check)


def _check(raw: object) -> Result[Settings, tuple[SettingsError, ...]]:
    fields, errors = check_fields(_SettingsShape, raw)
    errors.extend(_host_errors(fields))
    errors.extend(_role_errors(fields, raw))
    if errors:
        return Failure(tuple(errors))
    return Success(_settings(fields))


def _host_errors(fields: Fields) -> list[SettingsError]:
    errors = []
    for key in _HOSTS:
        host = fields.get(key)
        if host and not _is_ip_number(host):
            errors.append(SettingsError(key, "expected an IPv4 number"))
    # Peers dial the registered host; with 0.0.0.0 every one would reach itself.
    if fields.get("host") in ("", _ANY_ADDRESS):
        errors.append(SettingsError("host", "expected an address that peers reach"))
    if fields.get("table_host") == "":
        errors.append(SettingsError("table_host", "expected an IPv4 number"))
    return errors


def _is_ip_number(host: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True


def _role_errors(fields: Fields, raw: object) -> list[SettingsError]:
    if "role" not in fields:
        return []
    if fields["role"] == Role.ENTRY.value:
        return _missing(_ONLY_ENTRY, raw) + _foreign(_ONLY_SIDECAR, fields)
    needed = _missing(_ONLY_SIDECAR, raw) + _empty(_needed_values(fields), fields)
    return needed + _foreign(_ONLY_ENTRY, fields)


def _needed_values(fields: Fields) -> tuple[str, ...]:
    """Return the keys of a sidecar that can't be left to the upstream's announcement.

    Service and slots are both fixed or both announced: slots without a service most
    likely mean a forgotten name, and the sidecar would wait for nothing.
    """
    is_announced = not fields.get("service") and not fields.get("slots")
    return _NEEDED_OF_ANNOUNCED if is_announced else _ONLY_SIDECAR


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


def _foreign(keys: tuple[str, ...], fields: Fields) -> list[SettingsError]:
    return [
        SettingsError(key, "has no meaning for this role")
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
