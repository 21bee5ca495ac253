"""Watches the memory of child processes.

Bytes that wait in a process's sockets, either way, count towards its memory.
"""

from pathlib import Path
from typing import NamedTuple

import gevent

from tests.standins.processes import Process

_INTERVAL_SECONDS = 0.1
_KILOBYTE = 1024


def resident_bytes(pid: int) -> int:
    """Return a process's resident memory; 0 once it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * _KILOBYTE
    return 0


class InSockets(NamedTuple):
    """Bytes in the sockets of a process.

    Attributes:
      unread: received by the system and not read by the process.
      unsent: written by the process and not received by the other side.
    """

    unread: int = 0
    unsent: int = 0


def bytes_in_sockets(hosts: set[str], port: int | None = None) -> dict[str, InSockets]:
    """Return the bytes that wait in sockets, by own IP address.

    Args:
      hosts: the addresses.
      port: own port of the sockets; None for any.
    """
    waiting = dict.fromkeys(hosts, InSockets())
    by_hex = {_hex_address(host): host for host in hosts}
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split(None, 5)
            address, _, own_port = fields[1].partition(":")
            host = by_hex.get(address)
            if port is not None and int(own_port, 16) != port:
                continue
            # The queue of a listener counts connections, not bytes.
            if host is not None and fields[3] != "0A":
                unsent, unread = (int(size, 16) for size in fields[4].split(":"))
                before = waiting[host]
                waiting[host] = InSockets(
                    before.unread + unread, before.unsent + unsent
                )
    return waiting


def _hex_address(host: str) -> str:
    numbers = bytes(int(number) for number in host.split("."))
    return f"{int.from_bytes(numbers, 'little'):08X}"


class Watched:
    """A child process whose memory is watched.

    Args:
      process: the child.
      host: its own IP address.
      max_bytes: the memory of its machine.

    Attributes:
      peak_bytes, peak_unread, peak_unsent: the highest values seen.
      is_over: whether it exceeded ``max_bytes`` and was therefore killed.
    """

    def __init__(self, process: Process, host: str, max_bytes: int) -> None:
        self.process = process
        self.host = host
        self._max_bytes = max_bytes
        self.peak_bytes = 0
        self.peak_unread = 0
        self.peak_unsent = 0
        self.is_over = False

    def look(self, waiting: InSockets) -> None:
        """Record the memory, and kill the process if it is over the maximum."""
        memory = resident_bytes(self.process.pid) + sum(waiting)
        self.peak_bytes = max(self.peak_bytes, memory)
        self.peak_unread = max(self.peak_unread, waiting.unread)
        self.peak_unsent = max(self.peak_unsent, waiting.unsent)
        if memory > self._max_bytes:
            self.is_over = True
            self.process.kill()


class MemoryWatch:
    """Context manager that watches processes in the background.

    Args:
      watched: the processes.
    """

    def __init__(self, watched: list[Watched]) -> None:
        self._watched = watched

    def __enter__(self) -> "MemoryWatch":
        self._watching = gevent.spawn(self._watch)
        return self

    def __exit__(self, *error: object) -> None:
        self._watching.kill()

    def _watch(self) -> None:
        hosts = {each.host for each in self._watched}
        while True:
            waiting = bytes_in_sockets(hosts)
            for each in self._watched:
                if not each.is_over:
                    each.look(waiting[each.host])
            gevent.sleep(_INTERVAL_SECONDS)
