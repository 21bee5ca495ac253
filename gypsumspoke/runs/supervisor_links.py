"""A sidecar's connections to the entries of its group (``entry_group.py``).

A connection that is not needed any more must not be closed while its entry may place a
run on it: the entry would take the run for lost only after the time budget. So the
sidecar first reports to the entry that it takes no work. The connection is closed once
the entry has answered such a report that was sent while no run of it was left here:
all placements that it sent before have then arrived, and it has all ends of its runs.
"""

import logging
from datetime import datetime

from gypsumspoke.core.effects import Effect, Log
from gypsumspoke.core.events import PeerConnected, PeerLost
from gypsumspoke.runs import silent_links, supervisor_report
from gypsumspoke.runs.directory import CloseConnection
from gypsumspoke.runs.messages import KnownEntries
from gypsumspoke.runs.supervisor_state import SupervisorState, has_runs_of


def handle_connected(
    event: PeerConnected, state: SupervisorState, now: datetime
) -> list[Effect]:
    """Report to a new peer."""
    state.peers[event.incarnation] = now
    state.taken[event.incarnation] = 0
    silent_links.handle_connected(state, event.incarnation, now)
    return supervisor_report.report_to(state, event.incarnation, now)


def handle_connection_lost(
    event: PeerLost, state: SupervisorState, now: datetime
) -> list[Effect]:
    """Forget the connection.

    Runs of the entry go on, since it may reconnect; otherwise its silence ends them.
    """
    state.peers.pop(event.incarnation, None)
    state.taken.pop(event.incarnation, None)
    state.last_reports.pop(event.incarnation, None)
    state.leaving.pop(event.incarnation, None)
    state.group.record_lost(event.incarnation, now)
    return []


def handle_known_entries(
    message: KnownEntries, sender: str, state: SupervisorState, now: datetime
) -> list[Effect]:
    """Take over the addresses that a peer knows, its own one among them."""
    if message.own and sender in state.peers:
        state.group.record_connected(sender, message.own)
    return state.directory.update_from_peer(message.addresses)


def update_links(state: SupervisorState, now: datetime) -> list[Effect]:
    """Adapt the connections to the group. Called at each tick."""
    effects = _log_resized(state) if state.group.advance(now) else []
    effects += state.directory.refresh()
    surplus = state.group.surplus
    for entry in [entry for entry in state.leaving if entry not in surplus]:
        del state.leaving[entry]
    for entry in surplus:
        state.leaving.setdefault(entry, None)
        if _may_close(state, entry):
            effects += _close(state, entry, now)
    return effects


def _log_resized(state: SupervisorState) -> list[Effect]:
    fields = (
        ("entries", state.group.size),
        ("known", len(state.directory.known)),
        ("sidecars_per_entry", round(state.group.sidecars_per_entry, 1)),
    )
    return [Log(logging.INFO, "entry group resized", fields=fields)]


def _may_close(state: SupervisorState, entry: str) -> bool:
    """Return whether nothing between the entry and this sidecar is under way."""
    if has_runs_of(state, entry):
        state.leaving[entry] = None
        return False
    reported = state.leaving[entry]
    heard = state.heard.get(entry)
    return reported is not None and heard is not None and heard >= reported


def _close(state: SupervisorState, entry: str, now: datetime) -> list[Effect]:
    del state.leaving[entry]
    state.group.record_lost(entry, now)
    log = Log(logging.INFO, "entry left", fields=(("entry", entry),))
    # Dialling stops first, so that the closed connection is not replaced.
    return [*state.directory.refresh(), CloseConnection(entry), log]
