"""Decodes request bodies that come in chunks."""

from enum import Enum

# Size of a chunk's first line, with extensions, and of all trailer lines.
_MAX_LINE_BYTES = 8192
_MAX_SIZE_DIGITS = 16


class MalformedChunk(ValueError):
    """The chunks can't be decoded."""


class _Stage(Enum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data_end"
    TRAILER = "trailer"
    COMPLETE = "complete"


class ChunkDecoder:
    """Moves the contents of chunks from a buffer to a body.

    Args:
      max_bytes: the body is cut off behind this size.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._stage = _Stage.SIZE
        self._left = 0
        self._trailer_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Whether the last chunk has been decoded."""
        return self._stage is _Stage.COMPLETE

    def decode(self, buffer: bytearray, body: bytearray) -> None:
        """Decode what is complete, until the body exceeds its maximum size.

        Args:
          buffer: the stream; what is decoded is removed.
          body: what is decoded is appended.

        Raises:
          MalformedChunk: the stream is malformed.
        """
        position = 0
        try:
            while not self.is_complete and len(body) <= self._max_bytes:
                start = position
                if self._stage is _Stage.SIZE:
                    position = self._decode_whole_chunks(buffer, position, body)
                position = self._decode_part(buffer, position, body)
                if position == start and self._stage is not _Stage.DATA:
                    return
                if self._stage is _Stage.DATA and position == len(buffer):
                    return
        finally:
            del buffer[:position]

    def _decode_whole_chunks(
        self, buffer: bytearray, position: int, body: bytearray
    ) -> int:
        """Decode chunks of the plainest form; return where something else begins.

        Small chunks come by the thousand, so that no call is made for each part.
        """
        while len(body) <= self._max_bytes:
            end = buffer.find(b"\r\n", position, position + _MAX_SIZE_DIGITS + 2)
            line = buffer[position:end]
            if end < 0 or not line.isalnum():
                break
            try:
                data_end = end + 2 + int(line, 16)
            except ValueError:
                break
            if data_end == end + 2 or buffer[data_end : data_end + 2] != b"\r\n":
                break
            body += buffer[end + 2 : data_end]
            position = data_end + 2
        return position

    def _decode_part(self, buffer: bytearray, start: int, body: bytearray) -> int:
        """Decode one part; return where the next begins, ``start`` if incomplete."""
        if self._stage is _Stage.DATA:
            end = min(start + self._left, len(buffer))
            body += buffer[start:end]
            self._left -= end - start
            if not self._left:
                self._stage = _Stage.DATA_END
            return end
        end = buffer.find(b"\n", start, start + _MAX_LINE_BYTES)
        if end < 0:
            if len(buffer) - start >= _MAX_LINE_BYTES:
                raise MalformedChunk("a line is too long")
            return start
        line = bytes(buffer[start:end]).removesuffix(b"\r")
        if self._stage is _Stage.SIZE:
            self._begin_chunk(line)
        elif self._stage is _Stage.DATA_END:
            if line:
                raise MalformedChunk("a chunk is longer than declared")
            self._stage = _Stage.SIZE
        else:
            self._skip_trailer(line)
        return end + 1

    def _begin_chunk(self, line: bytes) -> None:
        if not line.isalnum():
            line = line.partition(b";")[0].rstrip(b" \t")
        if not line.isalnum() or len(line) > _MAX_SIZE_DIGITS:
            raise MalformedChunk("malformed chunk size")
        try:
            self._left = int(line, 16)
        except ValueError:
            raise MalformedChunk("malformed chunk size") from None
        self._stage = _Stage.DATA if self._left else _Stage.TRAILER

    def _skip_trailer(self, line: bytes) -> None:
        self._trailer_bytes += len(line)
        if self._trailer_bytes > _MAX_LINE_BYTES:
            raise MalformedChunk("the trailer is too long")
        if not line:
            self._stage = _Stage.COMPLETE
