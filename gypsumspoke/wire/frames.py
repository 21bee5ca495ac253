"""Frames on a byte stream: a four-byte length, then that many bytes.

An empty frame is a link heartbeat: it says that the connection still carries bytes, and
nothing else. The reader is free of I/O, so that truncated, oversized and oddly cut
input is tested without a socket.
"""

from returns.result import Failure, Result, Success

MAX_FRAME_BYTES = 4 * 1024 * 1024
HEARTBEAT_FRAME = b"\x00\x00\x00\x00"

_LENGTH_BYTES = 4


def frame(payload: bytes) -> Result[bytes, str]:
    """Return the payload with its length in front, or why it can't be sent."""
    if len(payload) > MAX_FRAME_BYTES:
        return Failure(f"frame of {len(payload)} bytes, over {MAX_FRAME_BYTES}")
    return Success(len(payload).to_bytes(_LENGTH_BYTES, "big") + payload)


class FrameReader:
    """Cuts a byte stream into payloads.

    It holds at most one incomplete frame, so at most ``MAX_FRAME_BYTES`` and what one
    read from the socket returned.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def incomplete(self) -> bool:
        """Whether the stream would be cut inside a frame if it ended now."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> Result[list[bytes], str]:
        """Take the next bytes of the stream.

        Args:
          chunk: bytes as they arrived.

        Returns:
          The payloads that are complete now, heartbeats left out. After a failure the
          stream has lost its frame boundaries and must be closed.
        """
        self._buffer += chunk
        payloads = []
        start = 0
        while len(self._buffer) - start >= _LENGTH_BYTES:
            body = start + _LENGTH_BYTES
            length = int.from_bytes(self._buffer[start:body], "big")
            # Without the bound a garbage length would make the process collect up to
            # 4 GiB from one connection. The length is judged before the body arrives.
            if length > MAX_FRAME_BYTES:
                return Failure(f"frame of {length} bytes, over {MAX_FRAME_BYTES}")
            if len(self._buffer) - body < length:
                break
            if length:
                payloads.append(bytes(self._buffer[body : body + length]))
            start = body + length
        del self._buffer[:start]
        return Success(payloads)
