"""Keep-alive HTTP/1.1 client connection of both interfaces, on trio and httptools."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

import httptools
import trio

from .errors import ConnectionLostError

__all__ = [
    "Address",
    "HttpConnection",
    "HttpReply",
    "drop_unsent_on_close",
    "enable_keepalive",
    "has_event",
    "open_tcp",
    "parse_address",
    "set_user_timeout",
]

RECEIVE_BYTES = 65536
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 10_000
# A body that is still arriving may pause for this time, as long as a shared link is full.
BODY_PAUSE_S = 0.6


class SocketOptions(Protocol):
    """A TCP socket, or a stream over one."""

    def setsockopt(self, level: int, option: int, value: int | bytes, /) -> None:
        """Set a socket option."""


class Address(NamedTuple):
    """TCP address; the host is an IP address."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class HttpReply(NamedTuple):
    """Response to a request; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def parse_address(text: str) -> Address:
    """Parse an address of the form HOST:PORT; raises ValueError."""
    host, separator, port = text.strip().rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not HOST:PORT")
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError(f"port {number} is not between 0 and 65535")
    return Address(host.strip("[]"), number)


def enable_keepalive(
    stream: trio.SocketStream,
    *,
    user_timeout_ms: int = USER_TIMEOUT_MS,
    idle_s: int = KEEPALIVE_IDLE_S,
    interval_s: int = KEEPALIVE_INTERVAL_S,
) -> None:
    """Let the kernel detect a peer that disappeared without a reset, also on an idle connection."""
    _set_options(
        stream,
        (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
        (socket.IPPROTO_TCP, "TCP_KEEPIDLE", idle_s),
        (socket.IPPROTO_TCP, "TCP_KEEPINTVL", interval_s),
        (socket.IPPROTO_TCP, "TCP_KEEPCNT", KEEPALIVE_PROBES),
    )
    set_user_timeout(stream, user_timeout_ms)


def set_user_timeout(sock: SocketOptions, timeout_ms: int) -> None:
    """Let the kernel give the connection up when sent bytes stay unacknowledged for this long."""
    _set_options(sock, (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", timeout_ms))


def _set_options(sock: SocketOptions, *options: tuple[int, str, int]) -> None:
    for level, name, value in options:
        if hasattr(socket, name):
            with contextlib.suppress(OSError):
                sock.setsockopt(level, getattr(socket, name), value)


def drop_unsent_on_close(sock: SocketOptions, drop: bool = True) -> None:
    """Let the kernel drop bytes that are still to be delivered when the connection is closed.

    Otherwise it goes on sending them after the close, and after the end of the process, so that a
    request that was given up may be executed much later.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", int(drop), 0))


def has_event(stream: trio.SocketStream, events: int) -> bool:
    """Return whether an event of `select.poll`, or an error, is pending on a connection."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), events)
    return bool(poll.poll(0))


async def open_tcp(address: Address, *, timeout_s: float) -> trio.SocketStream:
    """Connect within `timeout_s` seconds; raises ConnectionLostError with executed `no`.

    Bytes that the peer has not received are dropped when the connection is closed.
    """
    try:
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(address.host, address.port)
        drop_unsent_on_close(stream)
    except (OSError, trio.TooSlowError) as error:
        raise ConnectionLostError(f"cannot connect to {address}", executed="no") from error
    return stream


class _ReplyParser:
    """Build one reply from httptools callbacks."""

    def __init__(self) -> None:
        self._parser: Any = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.head_complete = False
        self.done = False
        self.keep_alive = True

    @property
    def status(self) -> int:
        return int(self._parser.get_status_code())

    @property
    def content_length(self) -> int:
        """Return the announced length of the body in bytes, 0 if none was announced."""
        text = self.headers.get("content-length", "")
        return int(text) if self.head_complete and text.isdecimal() else 0

    def feed(self, data: bytes | bytearray) -> None:
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.head_complete = True

    def on_body(self, body: bytes) -> None:
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        self.done = True
        self.keep_alive = self._parser.should_keep_alive()


class HttpConnection:
    """Client connection that carries one exchange at a time; any failure closes it."""

    def __init__(self, address: Address, stream: trio.SocketStream) -> None:
        self._address = address
        self._stream = stream
        self._usable = True
        self._busy = False
        # Whether a request has been sent whose reply has not been read completely.
        self._unanswered = False
        self._arriving_bytes = 0

    @property
    def arriving_bytes(self) -> int:
        """Return the announced length of the body that is arriving, 0 if none is."""
        return self._arriving_bytes

    @property
    def address(self) -> Address:
        """Return the address of the server."""
        return self._address

    @property
    def usable(self) -> bool:
        """Return whether another exchange can be started."""
        return self._usable and not self._busy

    @classmethod
    async def open(
        cls, address: Address, *, timeout_s: float = 5.0, user_timeout_ms: int = USER_TIMEOUT_MS
    ) -> HttpConnection:
        """Connect within `timeout_s` seconds; raises ConnectionLostError with executed `no`.

        A request that the peer has not received within `user_timeout_ms` is not delivered any more,
        even if this process is stopped meanwhile.
        """
        stream = await open_tcp(address, timeout_s=timeout_s)
        enable_keepalive(stream, user_timeout_ms=user_timeout_ms)
        return cls(address, stream)

    def _encode(
        self, method: str, path: str, body: bytes, headers: Sequence[tuple[str, str]]
    ) -> bytes:
        lines = [
            f"{method} {path} HTTP/1.1",
            f"host: {self._address}",
            f"content-length: {len(body)}",
            "content-type: application/json",
        ]
        lines += [f"{name}: {value}" for name, value in headers]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body

    async def _exchange(
        self,
        data: bytes,
        parser: _ReplyParser,
        scope: trio.CancelScope,
        min_body_bytes_per_s: float | None,
    ) -> None:
        deadline = scope.deadline
        self._unanswered = True
        try:
            await self._stream.send_all(data)
            while not parser.done:
                received = await self._stream.receive_some(RECEIVE_BYTES)
                if not received:
                    raise ConnectionLostError(f"{self._address} closed the connection")
                parser.feed(received)
                self._arriving_bytes = parser.content_length
                if min_body_bytes_per_s is not None:
                    latest = deadline + parser.content_length / min_body_bytes_per_s
                    scope.deadline = max(deadline, min(latest, trio.current_time() + BODY_PAUSE_S))
            self._unanswered = False
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError(f"connection to {self._address} was lost") from error
        except httptools.HttpParserError as error:
            raise ConnectionLostError(f"{self._address} sent a malformed HTTP response") from error

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        headers: Sequence[tuple[str, str]] = (),
        timeout_s: float,
        min_body_bytes_per_s: float | None = None,
    ) -> HttpReply:
        """Send a request and return the whole reply, within `timeout_s` seconds.

        With `min_body_bytes_per_s` a body that keeps arriving may take longer, up to the time that
        its announced length takes at this rate. Raises ConnectionLostError.
        """
        if not self.usable:
            raise ConnectionLostError(f"connection to {self._address} is closed", executed="no")
        parser = _ReplyParser()
        self._busy = True
        reusable = False
        try:
            with trio.fail_after(timeout_s) as scope:
                await self._exchange(
                    self._encode(method, path, body, headers), parser, scope, min_body_bytes_per_s
                )
            reusable = parser.keep_alive
        except trio.TooSlowError as error:
            message = f"{self._address} did not answer within {timeout_s:.3f} s"
            raise ConnectionLostError(message) from error
        finally:
            self._busy = False
            self._arriving_bytes = 0
            if not reusable:
                await self.close()
        return HttpReply(parser.status, parser.headers, b"".join(parser.chunks))

    async def stream(
        self, method: str, path: str, body: bytes = b"", *, idle_timeout_s: float
    ) -> AsyncIterator[bytes]:
        """Yield the body of a reply as it arrives.

        Raises ConnectionLostError when no data arrives for `idle_timeout_s` seconds.
        """
        parser = _ReplyParser()
        self._busy = self._unanswered = True
        try:
            await self._stream.send_all(self._encode(method, path, body, ()))
            while not parser.done:
                with trio.fail_after(idle_timeout_s):
                    received = await self._stream.receive_some(RECEIVE_BYTES)
                if not received:
                    raise ConnectionLostError(f"{self._address} closed the connection")
                parser.feed(received)
                chunks, parser.chunks = parser.chunks, []
                for chunk in chunks:
                    yield chunk
        except trio.TooSlowError as error:
            raise ConnectionLostError(
                f"{self._address} sent no data before the idle timeout"
            ) from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError(f"connection to {self._address} was lost") from error
        except httptools.HttpParserError as error:
            raise ConnectionLostError(f"{self._address} sent a malformed HTTP response") from error
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the connection without waiting for the peer; withdraw an unanswered request."""
        self._usable = False
        if not self._unanswered:
            with contextlib.suppress(OSError):
                drop_unsent_on_close(self._stream, False)
        await trio.aclose_forcefully(self._stream)
