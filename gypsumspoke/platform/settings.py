"""Reads the settings file that the platform provides."""

import json
import os
from datetime import timedelta
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from gypsumspoke.platform.limits import process_limits
from gypsumspoke.runs.budget import DEFAULT_BOUNDS, Bounds, Budget, budget_for
from gypsumspoke.runs.settings import Address, RunSettings, parse_address
from gypsumspoke.runs.values import DEFAULT_REMOTE_SLOWDOWN

PATH_VARIABLE = "GYPSUMSPOKE_SETTINGS"
# Not part of the settings file; the deployment configures the scraper for this port.
METRICS_PORT = 9464
_MILLISECOND = timedelta(milliseconds=1)


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises:
      KeyError: the environment variable is not set.
    """
    return Path(os.environ[PATH_VARIABLE])


def read_settings(path: Path) -> Result[RunSettings, str]:
    """Read the settings file; the platform requires unknown fields to be ignored.

    Args:
      path: JSON file.

    Returns:
      The settings, or an error message.
    """
    try:
        return Success(_decode(json.loads(path.read_text(encoding="utf-8"))))
    except OSError as error:
        return Failure(f"{path}: {error.strerror}")
    except KeyError as error:
        return Failure(f"{path}: {error.args[0]} is missing")
    except (ValueError, TypeError, AttributeError) as error:
        return Failure(f"{path}: {error}")


def _budget(fields: dict[str, Any]) -> Budget:
    """Return the time budget within the platform's bounds.

    Raises:
      ValueError: callers resubmit so early that a run of the first submission could
        still be running, so that two runs of one task would overlap undetected.
    """
    bounds = Bounds(
        resend=_bound(fields, "resend_ms", DEFAULT_BOUNDS.resend),
        stop=_bound(fields, "stop_ms", DEFAULT_BOUNDS.stop),
        max_lease=_bound(fields, "max_hold_ms", DEFAULT_BOUNDS.max_lease),
    )
    match budget_for(bounds):
        case Success(budget):
            return budget
        case Failure(reason):
            raise ValueError(f"bounds: {reason}")
    raise AssertionError("a result is a success or a failure")


def _bound(fields: dict[str, Any], name: str, default: timedelta) -> timedelta:
    return fields[name] * _MILLISECOND if name in fields else default


def _decode(fields: dict[str, Any]) -> RunSettings:
    listen = fields["listen"]
    is_entry = "front" in fields["serves"]
    return RunSettings(
        # "node" is the name of the instance that runs this process.
        instance=fields["node"],
        failure_domain=fields["zone"],
        host=fields["ip"],
        callers=_address(listen, "front"),
        readiness=_address(listen, "ready"),
        # "control" is where peers connect to an entry, and a worker to its sidecar.
        peers=_address(listen, "control") if is_entry else None,
        registration=None if is_entry else _address(listen, "control"),
        worker=_address(fields, "app"),
        service=fields.get("service", ""),
        metrics=(fields["ip"], METRICS_PORT),
        known_entries=tuple(fields["seeds"]),
        store=parse_address(fields["platform"]["address"]),
        grace=timedelta(seconds=fields["bounds"]["grace_s"]),
        budget=_budget(fields["bounds"]),
        remote_slowdown=float(
            fields["bounds"].get("remote_slowdown", DEFAULT_REMOTE_SLOWDOWN)
        ),
        limits=process_limits(fields),
    )


def _address(fields: dict[str, Any], name: str) -> Address | None:
    return parse_address(fields[name]) if fields.get(name) else None
