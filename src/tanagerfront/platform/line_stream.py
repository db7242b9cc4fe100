"""Lines of a TCP stream within the size limit of one message."""

from __future__ import annotations

import select

import trio

from ..errors import ConnectionLostError, TooLargeError
from .lines import END, MAX_MESSAGE_BYTES

__all__ = ["LineStream"]

RECEIVE_BYTES = 16384
# What a peer may send while its statement runs; the rest waits in the socket.
MAX_AHEAD_BYTES = 65536


class LineStream:
    """Read lines from and write bytes to one stream."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    @property
    def idle(self) -> bool:
        """Tell whether the peer has neither sent anything unread nor closed the connection."""
        return not self._buffer and not self._ready(select.POLLIN)

    @property
    def closed_by_peer(self) -> bool:
        """Tell whether the peer has closed the connection and nothing of it is unread."""
        return not self._buffer and self._ready(select.POLLRDHUP)

    def _ready(self, events: int) -> bool:
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), events)
        return bool(poll.poll(0))

    async def send(self, data: bytes) -> None:
        """Send bytes; raises ConnectionLostError."""
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError("the connection broke while sending") from error

    async def read_line(self) -> bytes:
        """Return the next line without its end; raises TooLargeError or ConnectionLostError."""
        searched = 0
        while (end := self._buffer.find(END, searched)) < 0:
            if len(self._buffer) > MAX_MESSAGE_BYTES:
                raise TooLargeError("message exceeds 1 MiB")
            searched = max(0, len(self._buffer) - 1)
            self._buffer += await self._receive()
        line = bytes(self._buffer[:end])
        del self._buffer[: end + len(END)]
        return line

    async def read_ahead(self, scope: trio.CancelScope) -> None:
        """Read into the buffer while nobody waits for a line; cancel a scope if the peer closes."""
        while len(self._buffer) < MAX_AHEAD_BYTES:
            try:
                self._buffer += await self._receive()
            except ConnectionLostError:
                # The next call that reads or sends reports it.
                scope.cancel()
                return

    async def close(self) -> None:
        """Close without waiting for the peer."""
        await trio.aclose_forcefully(self._stream)

    async def close_gracefully(self) -> None:
        """Send the end of the stream and close it."""
        await self._stream.aclose()

    async def _receive(self) -> bytes | bytearray:
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError("the connection broke") from error
        if not data:
            raise ConnectionLostError("the peer closed the connection")
        return data
