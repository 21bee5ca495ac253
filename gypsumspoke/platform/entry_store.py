"""Stores what entries share: their observed caller timeouts and cancelled jobs."""

import json
import logging
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any

from gypsumspoke.platform.jobs import is_job_id
from gypsumspoke.platform.store import Store, Table, Watch
from gypsumspoke.runs.caller_timeouts import CallerTimeoutsRead, StoreCallerTimeouts
from gypsumspoke.runs.cancellations import (
    CancelledJobsRead,
    CancelledJobsStored,
    RemoveCancelledJobs,
    StoreCancelledJobs,
)
from gypsumspoke.runs.settings import RunSettings

CALLER_TIMEOUTS_TABLE = "gypsumspoke-patience"
CANCELLED_JOBS_TABLE = "gypsumspoke-cancelled"
# A silent connection is noticed after this time plus ``CALL_TIMEOUT``; a cancelled job
# has to be known everywhere within seconds.
_CANCELLED_JOBS_WAIT = timedelta(milliseconds=1000)
# Bounds the calls of each entry while all entries cancel jobs.
_CANCELLED_JOBS_PAUSE = timedelta(milliseconds=500)
_MILLISECOND = timedelta(milliseconds=1)

_log = logging.getLogger(__name__)


class EntryStore(Store):
    """Store client of an entry, with its caller timeouts and cancelled jobs.

    Args:
      settings: settings of this process.
      watches: see ``Store``.
      post: queues the events with what was read or stored.
    """

    def __init__(
        self,
        settings: RunSettings,
        watches: tuple[Watch, ...],
        post: Callable[[Any], None],
    ) -> None:
        super().__init__(settings.store, watches)
        self._post = post
        self._instance = settings.instance
        self.read_once(CALLER_TIMEOUTS_TABLE, partial(_on_caller_timeouts, post))

    def store_caller_timeouts(self, effect: StoreCallerTimeouts) -> None:
        """Write this entry's row in the background."""
        timeouts = {route: value // _MILLISECOND for route, value in effect.usual}
        self.put(CALLER_TIMEOUTS_TABLE, self._instance, json.dumps(timeouts).encode())

    def store_cancelled_jobs(self, effect: StoreCancelledJobs) -> None:
        """Write a row in the background, and post that the store has it."""
        value = json.dumps({"jobs": effect.jobs}).encode()
        on_stored = partial(self._post, CancelledJobsStored(effect.key))
        self.put(CANCELLED_JOBS_TABLE, effect.key, value, on_stored=on_stored)

    def remove_cancelled_jobs(self, effect: RemoveCancelledJobs) -> None:
        """Remove rows in the background."""
        self.remove(CANCELLED_JOBS_TABLE, effect.keys)


def watch_cancelled_jobs(post: Callable[[Any], None]) -> Watch:
    """Return the watch of the cancelled jobs of all entries.

    Args:
      post: queues the events with the rows.
    """
    return Watch(
        CANCELLED_JOBS_TABLE,
        _CANCELLED_JOBS_WAIT,
        partial(_on_cancelled_jobs, post),
        _CANCELLED_JOBS_PAUSE,
    )


def _on_cancelled_jobs(post: Callable[[Any], None], table: Table) -> None:
    keys = table.rows.keys() if table.changed is None else table.changed
    rows = {
        key: _decode_jobs(table.rows[key]) if key in table.rows else None
        for key in keys
    }
    post(CancelledJobsRead(rows, is_complete=table.changed is None))


def _decode_jobs(value: bytes) -> frozenset[str]:
    """Return the job ids in a row; empty if it can't be decoded."""
    try:
        jobs = json.loads(value)["jobs"]
        if not isinstance(jobs, list) or not all(map(is_job_id, jobs)):
            raise ValueError("jobs is not a list of job ids")
    except (ValueError, TypeError, KeyError) as error:
        _log.error({"message": "unreadable row", "details": {"reason": repr(error)}})
        return frozenset()
    return frozenset(jobs)


def _on_caller_timeouts(post: Callable[[Any], None], table: Table) -> None:
    stored = [timeouts for timeouts in map(_decode, table.rows.values()) if timeouts]
    post(CallerTimeoutsRead(tuple(stored)))


def _decode(value: bytes) -> dict[str, timedelta]:
    """Return the timeouts by route in a row; empty if it can't be decoded."""
    try:
        return {
            str(route): float(timeout) * _MILLISECOND
            for route, timeout in json.loads(value).items()
        }
    except (ValueError, TypeError, AttributeError) as error:
        _log.error({"message": "unreadable row", "details": {"reason": repr(error)}})
        return {}
