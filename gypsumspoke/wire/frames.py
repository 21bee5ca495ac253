"""Length-prefixed frames on a byte stream: a four-byte length, then the payload.

An empty frame is a link heartbeat, which only shows that the connection works. The
reader does no I/O.
"""

from returns.result import Failure, Result, Success

MAX_FRAME_BYTES = 4 * 1024 * 1024
# The first frame is a hello. Whoever has not sent one yet may be no peer at all.
MAX_FIRST_FRAME_BYTES = 4 * 1024
HEARTBEAT_FRAME = b"\x00\x00\x00\x00"

_LENGTH_BYTES = 4


def frame(payload: bytes) -> Result[bytes, str]:
    """Return the payload with its length prefix, or why it can't be sent."""
    if len(payload) > MAX_FRAME_BYTES:
        return Failure(f"frame of {len(payload)} bytes, over {MAX_FRAME_BYTES}")
    return Success(len(payload).to_bytes(_LENGTH_BYTES, "big") + payload)


class FrameReader:
    """Splits a byte stream into payloads.

    Buffers at most one incomplete frame, so at most ``MAX_FRAME_BYTES`` plus one read;
    before the first frame is complete, ``MAX_FIRST_FRAME_BYTES`` plus one read.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._max_bytes = MAX_FIRST_FRAME_BYTES

    @property
    def incomplete(self) -> bool:
        """Whether the buffer holds part of a frame."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> Result[list[bytes], str]:
        """Process the next bytes of the stream.

        Args:
          chunk: bytes read from the stream.

        Returns:
          The payloads that are complete now, without heartbeats. After a failure the
          frame boundaries are lost and the stream must be closed.
        """
        stream: bytes | bytearray = chunk
        if self._buffer:
            self._buffer += chunk
            stream = self._buffer
        size = len(stream)
        payloads = []
        start = 0
        while size - start >= _LENGTH_BYTES:
            body_start = start + _LENGTH_BYTES
            length = int.from_bytes(stream[start:body_start], "big")
            # Checked before the body arrives: a corrupt length would otherwise make the
            # process buffer up to 4 GiB.
            if length > self._max_bytes:
                return Failure(f"frame of {length} bytes, over {self._max_bytes}")
            if size - body_start < length:
                break
            if length:
                payloads.append(bytes(stream[body_start : body_start + length]))
                self._max_bytes = MAX_FRAME_BYTES
            start = body_start + length
        # Most chunks hold whole frames only, which are not copied into the buffer.
        if stream is self._buffer:
            del self._buffer[:start]
        else:
            self._buffer += stream[start:]
        return Success(payloads)
