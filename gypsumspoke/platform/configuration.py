"""Decodes the operators' configuration, a row in the store."""

import json
from datetime import timedelta
from typing import Any

from returns.result import Failure, Result, Success

from gypsumspoke.runs.values import Configuration, RequestLimits, Route


def parse_configuration(text: str) -> Result[Configuration, str]:
    """Decode a configuration.

    Args:
      text: the row's value.

    Returns:
      The configuration, or an error message.
    """
    try:
        return Success(_configuration(json.loads(text)))
    except KeyError as error:
        return Failure(f"{error.args[0]} is missing")
    except (ValueError, TypeError, AttributeError) as error:
        return Failure(str(error))


def _configuration(fields: dict[str, Any]) -> Configuration:
    limits = fields["limits"]
    return Configuration(
        version=int(fields["version"]),
        routes=tuple(_route(route) for route in fields["routes"]),
        limits=RequestLimits(
            header_bytes=limits["max_header_bytes"],
            body_bytes=limits["max_body_bytes"],
            header_timeout=_milliseconds(limits["header_timeout_ms"]),
            idle_timeout=_milliseconds(limits["idle_timeout_ms"]),
        ),
        capacity_checking_services=frozenset(
            service["name"]
            for service in fields["services"]
            if service.get("enforces_capacity")
        ),
    )


def _route(fields: dict[str, Any]) -> Route:
    timeout = fields.get("timeout_ms")
    return Route(
        name=fields["name"],
        host=fields["host"],
        path_prefix=fields["path_prefix"],
        service=fields["service"],
        priority=fields.get("priority", 0),
        attempts=fields.get("attempts", 1),
        timeout=_milliseconds(timeout) if timeout else None,
        target_latency=_milliseconds(fields.get("target_latency_ms", 0)),
        stretch=fields.get("stretch", 1.0),
    )


def _milliseconds(value: float) -> timedelta:
    return timedelta(milliseconds=value)
