"""Runs an entry or a sidecar on the platform."""

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
from gypsumspoke.platform.cordons import parse_cordons
from gypsumspoke.platform.entry_store import EntryStore, watch_cancelled_jobs
from gypsumspoke.platform.settings import read_settings, settings_path
from gypsumspoke.platform.sidecar_store import SidecarStore
from gypsumspoke.platform.store import Table, Watch
from gypsumspoke.runs.coordinator_state import ConfigurationChanged
from gypsumspoke.runs.directory import EntriesRead
from gypsumspoke.runs.routing import RoutingTable
from gypsumspoke.runs.settings import RunSettings, address_text
from gypsumspoke.shell.early_listeners import EarlyListeners
from gypsumspoke.shell.log_stream import LogStream
from gypsumspoke.shell.logs import configure_logs
from gypsumspoke.shell.settings_file import SettingsFile

# Peer addresses of the entries, by instance.
ENTRIES_TABLE = "gypsumspoke-entries"
# Long-poll time. A silent connection is noticed after this time plus ``CALL_TIMEOUT``,
# and the platform requires a change to be in force within two seconds.
_CONFIGURATION_WAIT = timedelta(milliseconds=1000)
# New entries are rare, and peers report them too.
_ENTRIES_WAIT = timedelta(seconds=10)
_INVALID_SETTINGS_STATUS = 2

_log = logging.getLogger(__name__)


def run_entry(listeners: EarlyListeners | None = None) -> NoReturn:
    """Run an entry until it is stopped, then end the process.

    Args:
      listeners: sockets that are listening already.
    """
    from gypsumspoke.platform import callers
    from gypsumspoke.shell import run_entry as role

    settings = _load_settings("entry")
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
    """Run a sidecar until it is stopped, then end the process.

    Args:
      listeners: sockets that are listening already.
    """
    from gypsumspoke.platform.registration import WorkerRegistration
    from gypsumspoke.platform.worker import WorkerClient
    from gypsumspoke.shell import run_sidecar as role

    settings = _load_settings("sidecar")
    adapter = role.SidecarAdapter(
        WorkerClient,
        WorkerRegistration,
        _sidecar_store,
        SettingsFile(settings_path(), read_settings),
    )
    listeners = listeners or EarlyListeners()
    _exit(role.run(settings, SteadyClock(), adapter, listeners))


def _load_settings(role: str) -> RunSettings:
    """Read the settings and configure logging, or end the process on an error."""
    read = read_settings(settings_path())
    if not is_successful(read):
        sys.stderr.write(f"{read.failure()}\n")
        sys.exit(_INVALID_SETTINGS_STATUS)
    settings = read.unwrap()
    stream = LogStream(sys.stdout.fileno())
    configure_logs(stream, "INFO", role, settings.instance)
    return settings


def _exit(status: int) -> NoReturn:
    logging.shutdown()
    os._exit(status)


def _entry_store(settings: RunSettings, post: Callable[[Any], None]) -> EntryStore:
    watches = (
        Watch("op", _CONFIGURATION_WAIT, partial(_on_operator_rows, post)),
        Watch(ENTRIES_TABLE, _ENTRIES_WAIT, partial(_on_entry_rows, post)),
        watch_cancelled_jobs(post),
    )
    store = EntryStore(settings, watches, post)
    own = address_text(settings.peers).encode()
    store.put(ENTRIES_TABLE, entry_key(settings), own)
    return store


def _sidecar_store(settings: RunSettings, post: Callable[[Any], None]) -> SidecarStore:
    watch = Watch(ENTRIES_TABLE, _ENTRIES_WAIT, partial(_on_entry_rows, post))
    return SidecarStore(settings, (watch,), post)


def _on_operator_rows(post: Callable[[Any], None], table: Table) -> None:
    # The cordons come first, so that no job is placed without them.
    post(parse_cordons(table))
    if "config" not in table.rows:
        return
    text = table.rows["config"].decode(errors="replace")
    parsed = parse_configuration(text)
    if not is_successful(parsed):
        details = {"reason": parsed.failure()}
        _log.error({"message": "unreadable configuration", "details": details})
        return
    post(ConfigurationChanged(RoutingTable(parsed.unwrap()), text))


def entry_key(settings: RunSettings) -> str:
    """Return the key of an entry's row: its failure domain and its name."""
    return f"{settings.failure_domain}/{settings.instance}"


def _on_entry_rows(post: Callable[[Any], None], table: Table) -> None:
    addresses = []
    domains = {}
    for key, value in sorted(table.rows.items()):
        address = value.decode(errors="replace")
        addresses.append(address)
        # Entries of earlier versions have a key without a failure domain.
        domain, separator, _ = key.rpartition("/")
        if separator:
            domains[address] = domain
    post(EntriesRead(tuple(addresses), domains))
