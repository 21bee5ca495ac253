"""Bounds on what the clients of a process may occupy, from its memory and descriptors.

Imports only the standard library: a process needs them before its libraries are loaded.
"""

from typing import NamedTuple

from gypsumspoke.core.process_limits import ProcessLimits

# Connections that may arrive before a server accepts them; more are retried by TCP.
BACKLOG = 1024

# Descriptors kept for files, peers, the store and the worker.
_RESERVED_DESCRIPTORS = 512
_MIN_CONNECTIONS = 64

# Parts of the memory: for requests that are being read and answers that clients don't
# read, for received bytes and for answers that wait in the sockets, and for jobs in
# progress. The rest is for the process itself.
_HELD_PART = 1 / 8
_UNREAD_PART = 1 / 6
_UNSENT_PART = 1 / 16
_JOBS_PART = 1 / 6
_MIN_BUFFER = 2 * 1024
_MAX_BUFFER = 64 * 1024


class SocketBuffers(NamedTuple):
    """Sizes of a connection's buffers in the system, which reserves twice as much.

    Attributes:
      receive: value of SO_RCVBUF.
      send: value of SO_SNDBUF.
    """

    receive: int
    send: int


class ClientLimits(NamedTuple):
    """Bounds on all clients of a process together.

    Attributes:
      connections: maximum number of open connections.
      held_bytes: maximum size of all requests that are being read, and of the answers
        whose clients don't read them.
      buffers: buffers of a connection.
      job_bytes: maximum memory of the jobs in progress.
    """

    connections: int
    held_bytes: int
    buffers: SocketBuffers
    job_bytes: int


def client_limits(limits: ProcessLimits) -> ClientLimits:
    """Return the bounds on the clients of a process with these limits."""
    descriptors = (limits.descriptors - _RESERVED_DESCRIPTORS) * 3 // 4
    connections = max(descriptors, _MIN_CONNECTIONS)
    unread = int(limits.memory_bytes * _UNREAD_PART) // (connections + BACKLOG) // 2
    unsent = int(limits.memory_bytes * _UNSENT_PART) // connections // 2
    return ClientLimits(
        connections,
        int(limits.memory_bytes * _HELD_PART),
        SocketBuffers(_buffer(unread), _buffer(unsent)),
        int(limits.memory_bytes * _JOBS_PART),
    )


def _buffer(size: int) -> int:
    return min(max(size, _MIN_BUFFER), _MAX_BUFFER)
