"""A minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple


class Request(NamedTuple):
    """A request: header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """A status and a JSON value."""

    status: int
    value: Any


Handler = Callable[[Request], Awaitable[Answer]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    return await reader.readexactly(int(headers.get("content-length") or 0))


async def _serve(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            first, headers = await _read_head(reader)
            method, path, _ = first.split(" ", 2)
            body = await _read_body(reader, headers)
            status, value = await handler(Request(method, path, headers, body))
            payload = json.dumps(value).encode()
            writer.write(
                f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
            )
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


async def start_server(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve requests with a handler."""

    async def connected(reader, writer):
        await _serve(handler, reader, writer)

    return await asyncio.start_server(connected, host, port, backlog=512)


def _encode(
    address: tuple[str, int],
    method: str,
    path: str,
    value: Any,
    headers: dict[str, str] | None,
) -> bytes:
    body = b"" if value is None else json.dumps(value).encode()
    fields = {
        "Host": f"{address[0]}:{address[1]}",
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **(headers or {}),
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {each}" for name, each in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    value: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> Answer | None:
    """Send one request on a new connection.

    Returns:
      The answer, or None if there was none in time.
    """
    payload = _encode(address, method, path, value, headers)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(payload)
            first, answered = await _read_head(reader)
            text = await _read_body(reader, answered)
            return Answer(int(first.split(" ")[1]), json.loads(text or b"null"))
    except (OSError, EOFError, asyncio.TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def send_until_reset(
    address: tuple[str, int],
    method: str,
    path: str,
    value: Any,
    headers: dict[str, str],
    seconds: float,
) -> None:
    """Send one request, and reset its connection after some time."""
    _, writer = await asyncio.open_connection(*address)
    writer.write(_encode(address, method, path, value, headers))
    await writer.drain()
    await asyncio.sleep(seconds)
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
