"""The time budget that keeps two runs of one task apart.

A caller whose connection broke sends its job again after ``RESEND`` through any entry,
and the job may then run from the start, but not beside its old runs. The entry that
took it may be dead, cut off or frozen, and so may a sidecar. So a run is allowed only
for a bounded time after its coordinator was last known to live:

* a sidecar stops the runs of an entry that it has not heard for ``ENTRY_SILENCE``;
* a worker kills all runs when its lease ends, which its sidecar extends by ``LEASE`` at
  a time. A sidecar that is dead or frozen does not extend it.

At worst the entry is lost at 0, its sidecar freezes just before ``ENTRY_SILENCE``, and
the worker's clock is slow: the runs end by ``RUNS_DEAD_AFTER``, which is below
``RESEND``. An entry that lives waits the same time before it places a run of a silent
sidecar elsewhere.
"""

from datetime import timedelta

# From the platform's bounds: the shortest pause before a caller's second copy.
RESEND = timedelta(milliseconds=1300)
# From the platform's pages: a worker's clock may be this much slow.
WORKER_CLOCK_ERROR = 0.02
# From the platform's bounds: a stop takes at most this long.
STOP_TAKES = timedelta(milliseconds=50)
# An accepted stop has taken effect, and shows, by then: the bound on a stop and
# a fifth of it for the worker's clock and its whole milliseconds.
STOP_SHOWS_AFTER = STOP_TAKES * 1.2

# Sidecars report, and entries answer, this often. Three reports may be lost or late
# before an entry counts as silent.
REPORT_INTERVAL = timedelta(milliseconds=100)
ENTRY_SILENCE = timedelta(milliseconds=500)
# Three renewals may fail before the worker kills what runs. Renewals come each
# ``RENEWAL_INTERVAL`` at the latest.
LEASE = timedelta(milliseconds=600)
RENEWAL_INTERVAL = timedelta(milliseconds=60)
# An order may be this old, by the sidecar's own clock: two report intervals, the way
# there and back, and some load. An older one was held up or its sender was paused.
ORDER_FRESH = timedelta(milliseconds=350)

# From the platform's bounds: a worker shortens longer leases to this.
LONGEST_LEASE = timedelta(milliseconds=1000) * (1 + WORKER_CLOCK_ERROR)
LEASE_AT_MOST = LEASE * (1 + WORKER_CLOCK_ERROR)
RUNS_DEAD_AFTER = ENTRY_SILENCE + LEASE_AT_MOST + STOP_TAKES
