"""HTTP/1.1 server of both interfaces, on trio and httptools, with one task per connection."""

from __future__ import annotations

import contextlib
import http
import math
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote

import httptools
import structlog
import trio

from .errors import BadRequestError, TooLargeError

__all__ = ["ConnectionHandler", "HttpLimits", "Request", "Response", "StreamBody", "serve_http"]

_log = structlog.get_logger(__name__)

RECEIVE_BYTES = 65536
EMPTY_HEADERS: Sequence[tuple[str, str]] = ()
StreamBody = Callable[[Callable[[bytes], Awaitable[None]]], Awaitable[None]]


class HttpLimits(NamedTuple):
    """Size limits and timeouts that a server applies to each connection."""

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    # An idle connection may stay open; a request that has begun must be complete in this time.
    request_read_timeout_s: float = 30.0
    write_timeout_s: float = 30.0
    idle_timeout_s: float = 3600.0


class Request(NamedTuple):
    """Parsed request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


class Response(NamedTuple):
    """Response; `stream`, if given, writes a chunked body in place of `body`."""

    status: int
    body: bytes = b""
    headers: Sequence[tuple[str, str]] = EMPTY_HEADERS
    content_type: str = "application/json"
    close: bool = False
    stream: StreamBody | None = None


class ConnectionHandler:
    """Base class that handles the requests of one connection in order."""

    async def handle(self, request: Request) -> Response:
        """Return the response to a request."""
        raise NotImplementedError

    def handle_bad_request(self, error: BadRequestError) -> Response:
        """Return the response to a request that could not be parsed."""
        return Response(error.status, close=True)

    @property
    def draining(self) -> bool:
        """Return whether the connection is to be closed after the current request."""
        return False

    async def close(self) -> None:
        """Release the resources of the connection; called once, shielded from cancellation."""


class _RequestParser:
    """Build requests from httptools callbacks; raise TooLargeError when one exceeds a limit."""

    def __init__(self, limits: HttpLimits) -> None:
        self._limits = limits
        self._parser: Any = httptools.HttpRequestParser(self)
        self._parsed_requests: list[Request] = []
        self._keep_alive = True
        self._reset()

    @property
    def keep_alive(self) -> bool:
        return self._keep_alive

    @property
    def request_started(self) -> bool:
        return self._request_started

    def _reset(self) -> None:
        self._request_started = False
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0

    def feed(self, data: bytes | bytearray) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BadRequestError("protocol upgrades are not supported") from error
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, BadRequestError):
                raise error.__context__ from None
            raise BadRequestError("malformed HTTP request") from error
        except httptools.HttpParserError as error:
            raise BadRequestError("malformed HTTP request") from error

    def next_request(self) -> Request | None:
        return self._parsed_requests.pop(0) if self._parsed_requests else None

    def on_message_begin(self) -> None:
        self._reset()
        self._request_started = True

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head_bytes(len(name) + len(value))
        key = name.decode("latin-1").lower()
        # Two servers could each choose another one of the values and see different requests.
        if key in self._headers and key in ("authorization", "content-length", "host"):
            raise BadRequestError(f"header {key} is given twice")
        self._headers[key] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.max_body_bytes:
            raise TooLargeError(f"request body exceeds {self._limits.max_body_bytes} bytes")
        self._body.append(body)

    def on_message_complete(self) -> None:
        url = httptools.parse_url(self._url)
        path = unquote((url.path or b"/").decode("latin-1"))
        query = dict(parse_qsl((url.query or b"").decode("latin-1")))
        method = self._parser.get_method().decode("ascii")
        self._keep_alive = self._parser.should_keep_alive()
        self._parsed_requests.append(
            Request(method, path, query, self._headers, b"".join(self._body))
        )
        self._request_started = False

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.max_head_bytes:
            raise TooLargeError(f"request head exceeds {self._limits.max_head_bytes} bytes")


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def _encode_head(response: Response, *, keep_alive: bool) -> bytes:
    lines = [
        f"HTTP/1.1 {response.status} {_reason_phrase(response.status)}",
        f"content-type: {response.content_type}",
        "connection: " + ("keep-alive" if keep_alive else "close"),
    ]
    if response.stream is None:
        lines.append(f"content-length: {len(response.body)}")
    else:
        lines.append("transfer-encoding: chunked")
    lines += [f"{name}: {value}" for name, value in response.headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def _write_stream(
    stream: trio.abc.Stream, body: StreamBody, scope: trio.CancelScope, timeout_s: float
) -> None:
    """Write a chunked body; the timeout applies to each chunk, not to the pauses between them."""

    async def send(data: bytes) -> None:
        scope.deadline = trio.current_time() + timeout_s
        await stream.send_all(data)
        scope.deadline = math.inf

    async def write(chunk: bytes) -> None:
        if chunk:
            await send(b"%x\r\n" % len(chunk) + chunk + b"\r\n")

    await body(write)
    await send(b"0\r\n\r\n")


async def _read_request(
    stream: trio.abc.Stream, parser: _RequestParser, limits: HttpLimits, scope: trio.CancelScope
) -> Request | None:
    """Return the next request, or None when the peer has closed the connection.

    Raises BadRequestError.
    """
    request = parser.next_request()
    if request is None:
        scope.deadline = trio.current_time() + limits.idle_timeout_s
    while request is None:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            return None
        was_started = parser.request_started
        parser.feed(data)
        request = parser.next_request()
        if parser.request_started and not was_started:
            scope.deadline = trio.current_time() + limits.request_read_timeout_s
    return request


async def _serve_connection(
    stream: trio.abc.Stream, handler: ConnectionHandler, limits: HttpLimits
) -> None:
    # One cancel scope serves the whole connection and its deadline is moved: a new scope for each
    # read and write would cost as much as parsing the request.
    with trio.CancelScope() as scope:
        parser = _RequestParser(limits)
        while await _serve_request(stream, handler, limits, parser, scope):
            pass


async def _serve_request(
    stream: trio.abc.Stream,
    handler: ConnectionHandler,
    limits: HttpLimits,
    parser: _RequestParser,
    scope: trio.CancelScope,
) -> bool:
    """Serve one request and return whether the connection stays open."""
    try:
        request = await _read_request(stream, parser, limits, scope)
    except BadRequestError as error:
        response = handler.handle_bad_request(error)
        scope.deadline = trio.current_time() + limits.write_timeout_s
        await stream.send_all(_encode_head(response, keep_alive=False) + response.body)
        return False
    if request is None:
        return False
    # The handler enforces its own deadlines.
    scope.deadline = math.inf
    response = await handler.handle(request)
    keep_alive = parser.keep_alive and not response.close and not handler.draining
    head = _encode_head(response, keep_alive=keep_alive)
    if response.stream is not None:
        await stream.send_all(head)
        await _write_stream(stream, response.stream, scope, limits.write_timeout_s)
    else:
        scope.deadline = trio.current_time() + limits.write_timeout_s
        await stream.send_all(head + response.body)
    return keep_alive


async def serve_http(
    listeners: Sequence[trio.abc.Listener[Any]],
    handler_factory: Callable[[trio.abc.Stream], ConnectionHandler],
    limits: HttpLimits | None = None,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve connections until cancelled; a broken connection ends only its own task.

    `handler_factory` returns the handler of a new connection.
    """
    effective_limits = limits or HttpLimits()

    async def serve_stream(stream: trio.abc.Stream) -> None:
        try:
            await serve_and_close(stream, handler_factory(stream))
        except Exception as error:  # a defect in one connection must not end the others
            _log.error("connection_failed", error=repr(error))

    async def serve_and_close(stream: trio.abc.Stream, handler: ConnectionHandler) -> None:
        try:
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await _serve_connection(stream, handler, effective_limits)
        finally:
            with trio.CancelScope(shield=True):
                await handler.close()
                with trio.move_on_after(1):
                    await stream.aclose()

    async with trio.open_nursery() as nursery:
        for listener in listeners:
            nursery.start_soon(_accept, listener, nursery, serve_stream)
        task_status.started()


async def _accept(
    listener: trio.abc.Listener[Any],
    nursery: trio.Nursery,
    serve_stream: Callable[[trio.abc.Stream], Awaitable[None]],
) -> None:
    # Closing a listener stops only the accepting of connections; open ones are served further.
    try:
        await trio.serve_listeners(serve_stream, [listener], handler_nursery=nursery)
    except* trio.ClosedResourceError:
        pass
