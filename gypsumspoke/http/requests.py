"""Reads HTTP requests from a stream of bytes, within bounds; does no I/O."""

from enum import Enum

from returns.result import Failure, Success

from gypsumspoke.http.chunks import ChunkDecoder, MalformedChunk
from gypsumspoke.http.heads import RequestHead, parse_head
from gypsumspoke.http.values import MAX_REQUEST_LINE_BYTES, Unread

# Up to these sizes a header, or chunks with it, are decoded at once. Decoding more
# takes so long that others must be served in between.
SMALL_BYTES = 4 * 1024
SMALL_CHUNKED_BYTES = 1024
# Up to this size a body is read even if the application doesn't want it, so that the
# connection can carry another request.
SMALL_BODY_BYTES = 16 * 1024


class Stage(Enum):
    """How far a request is read.

    In ``HEAD_READ`` the reader waits for ``begin_body``.
    """

    HEAD = "head"
    HEAD_READ = "head_read"
    BODY = "body"
    COMPLETE = "complete"
    REFUSED = "refused"


class RequestReader:
    """Reads one request after another.

    Args:
      kept: names of the header fields to keep, in lower case.
      max_header_bytes: maximum size of all header lines of the next request.
    """

    __slots__ = (
        "_kept",
        "_max_header_bytes",
        "_buffer",
        "_arrived",
        "_searched",
        "_body",
        "_left",
        "_chunks",
        "_max_body_bytes",
        "stage",
        "head",
        "refusal",
        "is_cut",
    )

    def __init__(self, kept: frozenset[str], max_header_bytes: int) -> None:
        self._kept = kept
        self._buffer = bytearray()
        self.next_request(max_header_bytes)

    def next_request(self, max_header_bytes: int) -> None:
        """Begin with the next request; bytes that have arrived already are kept."""
        self._max_header_bytes = max_header_bytes
        self._arrived = len(self._buffer)
        self._searched = 0
        self._body: bytearray | None = None
        self._left = 0
        self._chunks: ChunkDecoder | None = None
        self._max_body_bytes = 0
        self.stage = Stage.HEAD
        self.head: RequestHead | None = None
        self.refusal: Unread | None = None
        # Whether the rest of the body stays in the stream.
        self.is_cut = False

    @property
    def held(self) -> int:
        """Number of bytes that are kept."""
        return len(self._buffer) + (len(self._body) if self._body else 0)

    @property
    def has_begun(self) -> bool:
        """Whether a byte of the request has arrived."""
        return self.stage is not Stage.HEAD or bool(self._buffer)

    @property
    def is_large(self) -> bool:
        """Whether to read the rest may take long."""
        if self.stage is not Stage.BODY:
            return self._arrived > SMALL_BYTES
        if self._chunks is None:
            return self._left > SMALL_BODY_BYTES
        return self._arrived > SMALL_CHUNKED_BYTES

    @property
    def content_length(self) -> int | None:
        """Size of the body as far as it is known; None without a body."""
        if self.head.is_chunked:
            return len(self._body) if self._body is not None else self._max_body_bytes
        return self.head.content_length

    def append(self, chunk: bytes) -> None:
        """Add bytes of the stream."""
        self._buffer += chunk
        self._arrived += len(chunk)

    def clear(self) -> None:
        """Forget all bytes."""
        self._buffer = bytearray()
        self._body = None

    def take_body(self) -> bytes:
        """Return the body of a complete request, once."""
        body, self._body = self._body, None
        return bytes(body) if body else b""

    def advance(self) -> Stage:
        """Decode what has arrived; return the stage reached."""
        if self.stage is Stage.HEAD:
            self._read_head()
        elif self.stage is Stage.BODY:
            self._read_body()
        return self.stage

    def begin_body(self, max_bytes: int) -> Stage:
        """Read the body, after the head.

        Args:
          max_bytes: size up to which it is read; a larger one is cut.
        """
        self._max_body_bytes = max(max_bytes, SMALL_BODY_BYTES)
        self._body = bytearray()
        self.stage = Stage.BODY
        if self.head.is_chunked:
            self._chunks = ChunkDecoder(self._max_body_bytes)
        else:
            self._left = self.head.content_length or 0
            if self._left > self._max_body_bytes:
                self.is_cut = True
                self.stage = Stage.COMPLETE
        return self.stage

    def _refuse(self, refusal: Unread) -> None:
        self.refusal = refusal
        self.stage = Stage.REFUSED

    def _read_head(self) -> None:
        if not self._searched:
            # Some clients send an empty line behind a body.
            del self._buffer[: len(self._buffer) - len(self._buffer.lstrip(b"\r\n"))]
        start = max(self._searched - 3, 0)
        ends = (self._buffer.find(b"\n\r\n", start), self._buffer.find(b"\n\n", start))
        found = [end for end in ends if end >= 0]
        end = min(found) if found else len(self._buffer)
        line_end = self._buffer.find(b"\n", 0, MAX_REQUEST_LINE_BYTES)
        if line_end < 0 and end >= MAX_REQUEST_LINE_BYTES:
            self._refuse(Unread.REQUEST_LINE_TOO_LONG)
        elif line_end >= 0 and end - line_end > self._max_header_bytes:
            self._refuse(Unread.HEADER_TOO_LARGE)
        elif not found:
            self._searched = len(self._buffer)
        else:
            self._parse_head(end)

    def _parse_head(self, end: int) -> None:
        text = bytes(self._buffer[:end])
        length = 3 if self._buffer[end + 1 : end + 2] == b"\r" else 2
        del self._buffer[: end + length]
        match parse_head(text, self._kept):
            case Success(head):
                self.head = head
                self.stage = Stage.HEAD_READ
            case Failure(_):
                self._refuse(Unread.MALFORMED_REQUEST)

    def _read_body(self) -> None:
        if self._chunks is not None:
            self._read_chunks()
            return
        taken = self._buffer[: self._left]
        del self._buffer[: self._left]
        self._body += taken
        self._left -= len(taken)
        if not self._left:
            self.stage = Stage.COMPLETE

    def _read_chunks(self) -> None:
        try:
            self._chunks.decode(self._buffer, self._body)
        except MalformedChunk:
            self._refuse(Unread.MALFORMED_REQUEST)
            return
        if len(self._body) > self._max_body_bytes:
            self.is_cut = True
        if self.is_cut or self._chunks.is_complete:
            self.stage = Stage.COMPLETE
