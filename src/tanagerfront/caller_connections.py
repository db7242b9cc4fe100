"""Open caller connections of the VM's HTTP interface: their limit, and closing them in a drain."""

from __future__ import annotations

import select
from typing import Protocol

import trio

from .entry import CallerHandler
from .entry_services import EntryServices, new_request_id
from .errors import BadRequestError, OverloadedError
from .http_client import has_event
from .http_server import ConnectionHandler, Request, Response
from .problems import problem_response

__all__ = ["CallerConnections"]

# A drain closes a connection only after this time without a request, because the next request of
# an active caller may already be in transit.
MIN_IDLE_S = 0.2


class ConnectionMetrics(Protocol):
    """Gauge of open connections."""

    def set_connections(self, kind: str, count: int) -> None:
        """Set the number of open connections of a kind."""


def _closed_by_caller(stream: trio.abc.Stream) -> bool:
    return isinstance(stream, trio.SocketStream) and has_event(stream, select.POLLRDHUP)


class _RefusingHandler(ConnectionHandler):
    """Refuse the first request on a connection above the limit, then close it."""

    async def handle(self, request: Request) -> Response:
        error = OverloadedError("this VM has reached its limit of caller connections")
        return problem_response(error, new_request_id(), close=True)

    def handle_bad_request(self, error: BadRequestError) -> Response:
        return problem_response(error, new_request_id(), close=True)


class _TrackedHandler(CallerHandler):
    """Handler registered in CallerConnections, which can close its connection."""

    def __init__(
        self, connections: CallerConnections, services: EntryServices, stream: trio.abc.Stream
    ) -> None:
        super().__init__(services, lambda: connections.closing, lambda: _closed_by_caller(stream))
        self._connections = connections
        self._stream = stream
        self._last_request_at = trio.current_time()

    @property
    def idle(self) -> bool:
        """Return whether the connection can close without interrupting its caller."""
        return not self.busy and trio.current_time() - self._last_request_at >= MIN_IDLE_S

    async def handle(self, request: Request) -> Response:
        try:
            return await super().handle(request)
        finally:
            self._last_request_at = trio.current_time()

    async def close(self) -> None:
        self._connections.remove(self)
        await super().close()

    async def close_idle(self) -> None:
        """Close the connection; a request that arrives meanwhile is refused."""
        self.refuse_requests()
        await trio.aclose_forcefully(self._stream)


class CallerConnections:
    """Registry of the handlers of open caller connections."""

    def __init__(
        self, services: EntryServices, metrics: ConnectionMetrics, max_connections: int
    ) -> None:
        self._services = services
        self._metrics = metrics
        self._max_connections = max_connections
        self._open: set[_TrackedHandler] = set()
        self._closing = False

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def busy(self) -> int:
        """Return the number of connections with a request in progress or a transaction open."""
        return sum(1 for handler in self._open if handler.busy)

    @property
    def closing(self) -> bool:
        """Return whether every connection closes after its current request."""
        return self._closing

    def handler(self, stream: trio.abc.Stream) -> ConnectionHandler:
        """Return the handler of a new connection, which refuses requests above the limit."""
        if len(self._open) >= self._max_connections:
            return _RefusingHandler()
        handler = _TrackedHandler(self, self._services, stream)
        self._open.add(handler)
        self._metrics.set_connections("callers", len(self._open))
        return handler

    def remove(self, handler: _TrackedHandler) -> None:
        """Remove a connection that has ended."""
        self._open.discard(handler)
        self._metrics.set_connections("callers", len(self._open))

    def close_after_requests(self) -> None:
        """Make every connection close after its current or next request."""
        self._closing = True

    def interrupt(self) -> None:
        """Answer the requests in progress now, and refuse all further ones."""
        for handler in self._open:
            handler.interrupt()

    async def close_idle(self) -> None:
        """Close the connections that have been idle for at least MIN_IDLE_S."""
        for handler in [handler for handler in self._open if handler.idle]:
            await handler.close_idle()
