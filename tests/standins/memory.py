"""Watches the memory of child processes.

Bytes that a process has received and not read count towards its memory.
"""

from pathlib import Path

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


def unread_bytes(hosts: set[str]) -> dict[str, int]:
    """Return the bytes that have been received and not read, by own IP address."""
    unread = dict.fromkeys(hosts, 0)
    by_hex = {_hex_address(host): host for host in hosts}
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split(None, 5)
            host = by_hex.get(fields[1].partition(":")[0])
            # The queue of a listener counts connections, not bytes.
            if host is not None and fields[3] != "0A":
                unread[host] += int(fields[4].partition(":")[2], 16)
    return unread


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
      peak_bytes, peak_unread: the highest values seen.
      is_over: whether it exceeded ``max_bytes`` and was therefore killed.
    """

    def __init__(self, process: Process, host: str, max_bytes: int) -> None:
        self.process = process
        self.host = host
        self._max_bytes = max_bytes
        self.peak_bytes = 0
        self.peak_unread = 0
        self.is_over = False

    def look(self, unread: int) -> None:
        """Record the memory, and kill the process if it is over the maximum."""
        memory = resident_bytes(self.process.pid) + unread
        self.peak_bytes = max(self.peak_bytes, memory)
        self.peak_unread = max(self.peak_unread, unread)
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
            unread = unread_bytes(hosts)
            for each in self._watched:
                if not each.is_over:
                    each.look(unread[each.host])
            gevent.sleep(_INTERVAL_SECONDS)
