"""The open caller connections of one VM: their number, and closing them for a shutdown."""

from __future__ import annotations

from typing import Protocol

import trio

from .entry import CallerHandler
from .entry_services import EntryServices, new_request_id
from .errors import BadRequestError, OverloadedError
from .http_server import ConnectionHandler, Request, Response
from .problems import problem_response

__all__ = ["CallerConnections"]

# A connection is idle for closing only after this time without a request, since the next request
# of a busy caller may be on its way.
MIN_IDLE_S = 0.2


class ConnectionMetrics(Protocol):
    """The gauge that the connections feed."""

    def set_connections(self, kind: str, count: int) -> None:
        """Set the number of open connections of a kind."""


class _RefusingHandler(ConnectionHandler):
    """Answer a connection above the limit once, then close it."""

    async def handle(self, request: Request) -> Response:
        error = OverloadedError("this VM has as many connections as it may have")
        return problem_response(error, new_request_id(), close=True)

    def handle_bad_request(self, error: BadRequestError) -> Response:
        return problem_response(error, new_request_id(), close=True)


class _TrackedHandler(CallerHandler):
    """A caller's handler that is known to the connections of the VM."""

    def __init__(
        self, connections: CallerConnections, services: EntryServices, stream: trio.abc.Stream
    ) -> None:
        super().__init__(services, lambda: connections.closing)
        self._connections = connections
        self._stream = stream
        self._last_request_at = trio.current_time()

    @property
    def idle(self) -> bool:
        """Tell whether the connection can be closed without interrupting its caller."""
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
        """Close the connection; a request that arrives at this moment does not run."""
        self.refuse_requests()
        await trio.aclose_forcefully(self._stream)


class CallerConnections:
    """Handlers of the open caller connections."""

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
        """Tell whether each connection closes after its current request."""
        return self._closing

    def handler(self, stream: trio.abc.Stream) -> ConnectionHandler:
        """Return the handler of a new connection."""
        if len(self._open) >= self._max_connections:
            return _RefusingHandler()
        handler = _TrackedHandler(self, self._services, stream)
        self._open.add(handler)
        self._metrics.set_connections("callers", len(self._open))
        return handler

    def remove(self, handler: _TrackedHandler) -> None:
        """Forget a connection that has ended."""
        self._open.discard(handler)
        self._metrics.set_connections("callers", len(self._open))

    def close_after_requests(self) -> None:
        """Let each connection close after the request that it serves next or now."""
        self._closing = True

    async def close_idle(self) -> None:
        """Close the connections that have had no request for a moment."""
        for handler in [handler for handler in self._open if handler.idle]:
            await handler.close_idle()
