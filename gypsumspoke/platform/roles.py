"""Starts the two roles on the platform."""

import logging
import os
import sys
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any, NoReturn

from returns.pipeline import is_successful

from gypsumspoke.core.clock import SteadyClock
from gypsumspoke.platform.configuration import parse_configuration
from gypsumspoke.platform.entry_store import EntryStore
from gypsumspoke.platform.settings import read_settings, settings_path
from gypsumspoke.platform.store import Store, Watch
from gypsumspoke.runs.coordinator_state import ConfigurationChanged
from gypsumspoke.runs.directory import EntriesRead
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.settings import RunSettings, address_text
from gypsumspoke.shell.early_listeners import EarlyListeners
from gypsumspoke.shell.log_stream import LogStream
from gypsumspoke.shell.logs import configure_logs
from gypsumspoke.shell.settings_file import SettingsFile

# Table of the addresses at which entries listen for peers, by instance.
ENTRIES_TABLE = "gypsumspoke-entries"
# A change must be in force two seconds after it; an open connection that went silent is
# then noticed by this wait and the client's time-out.
_CONFIGURATION_WAIT = timedelta(milliseconds=1000)
# New entries are rare, and the first peer tells of them too.
_ENTRIES_WAIT = timedelta(seconds=10)
_BAD_SETTINGS = 2

_log = logging.getLogger(__name__)


def run_entry(listeners: EarlyListeners | None = None) -> NoReturn:
    """Run an entry until it is told to stop, and end the process.

    Args:
      listeners: ports that listen already.
    """
    from gypsumspoke.platform import callers
    from gypsumspoke.shell import run_entry as role

    settings = _start("entry")
    adapter = role.EntryAdapter(
        parse_configuration,
        callers.Callers,
        callers.readiness,
        _entry_store,
        SettingsFile(settings_path(), read_settings),
    )
    listeners = listeners or EarlyListeners()
    _exit(role.run(settings, SteadyClock(), adapter, listeners))


def run_sidecar(listeners: EarlyListeners | None = None) -> NoReturn:
    """Run a sidecar until it is told to stop, and end the process.

    Args:
      listeners: ports that listen already.
    """
    from gypsumspoke.platform.registration import WorkerRegistration
    from gypsumspoke.platform.worker import WorkerClient
    from gypsumspoke.shell import run_sidecar as role

    settings = _start("sidecar")
    adapter = role.SidecarAdapter(
        WorkerClient,
        WorkerRegistration,
        _sidecar_store,
        SettingsFile(settings_path(), read_settings),
    )
    listeners = listeners or EarlyListeners()
    _exit(role.run(settings, SteadyClock(), adapter, listeners))


def _start(role: str) -> RunSettings:
    read = read_settings(settings_path())
    if not is_successful(read):
        sys.stderr.write(f"{read.failure()}\n")
        sys.exit(_BAD_SETTINGS)
    settings = read.unwrap()
    stream = LogStream(sys.stdout.fileno())
    configure_logs(stream, "INFO", role, settings.instance)
    return settings


def _exit(status: int) -> NoReturn:
    logging.shutdown()
    os._exit(status)


def _entry_store(settings: RunSettings, post: Callable[[Any], None]) -> EntryStore:
    watches = (
        Watch("op", _CONFIGURATION_WAIT, partial(_take_operator_rows, post)),
        Watch(ENTRIES_TABLE, _ENTRIES_WAIT, partial(_take_entries, post)),
    )
    store = EntryStore(settings, watches, post)
    own = address_text(settings.peers).encode()
    store.put(ENTRIES_TABLE, settings.instance, own)
    return store


def _sidecar_store(settings: RunSettings, post: Callable[[Any], None]) -> Store:
    watch = Watch(ENTRIES_TABLE, _ENTRIES_WAIT, partial(_take_entries, post))
    return Store(settings.store, (watch,))


def _take_operator_rows(post: Callable[[Any], None], rows: dict[str, bytes]) -> None:
    if "config" not in rows:
        return
    text = rows["config"].decode()
    parsed = parse_configuration(text)
    if not is_successful(parsed):
        details = {"reason": parsed.failure()}
        _log.error({"message": "unreadable configuration", "details": details})
        return
    post(ConfigurationChanged(RoutingTable(parsed.unwrap()), text))


def _take_entries(post: Callable[[Any], None], rows: dict[str, bytes]) -> None:
    post(EntriesRead(tuple(rows[key].decode() for key in sorted(rows))))
