"""Line-based reading and writing of a TCP stream with a limit on the message size."""

from __future__ import annotations

import contextlib
import select

import trio

from ..errors import ConnectionLostError, TooLargeError
from ..http_client import drop_unsent_on_close, has_event
from .lines import END, MAX_MESSAGE_BYTES

__all__ = ["LineStream"]

RECEIVE_BYTES = 16384
# What a peer may send while its statement runs; the rest stays in the socket's buffer.
MAX_READ_AHEAD_BYTES = 65536


class LineStream:
    """Buffered stream that reads lines and writes bytes."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    @property
    def idle(self) -> bool:
        """Return whether the connection is open and no data from the peer is unread."""
        return not self._buffer and not has_event(self._stream, select.POLLIN)

    @property
    def closed_by_peer(self) -> bool:
        """Return whether the peer has closed the connection and none of its data is buffered."""
        return not self._buffer and has_event(self._stream, select.POLLRDHUP)

    async def send(self, data: bytes) -> None:
        """Send bytes; raises ConnectionLostError."""
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError("connection failed while sending") from error

    async def read_line(self) -> bytes:
        """Return the next line without its terminator.

        Raises TooLargeError for a message above 1 MiB, and ConnectionLostError.
        """
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
        """Fill the buffer while no reader waits for a line; cancel `scope` if the peer closes."""
        while len(self._buffer) < MAX_READ_AHEAD_BYTES:
            try:
                self._buffer += await self._receive()
            except ConnectionLostError:
                # The next call that reads or sends raises the error.
                scope.cancel()
                return

    async def close(self, *, answered: bool = False) -> None:
        """Close without waiting for the peer.

        A connection that this process opened is reset, which withdraws what the peer has not
        received, unless all that was sent is `answered`.
        """
        if answered:
            with contextlib.suppress(OSError):
                drop_unsent_on_close(self._stream, False)
        await trio.aclose_forcefully(self._stream)

    async def close_gracefully(self) -> None:
        """Send the end of the stream, then close."""
        await self._stream.aclose()

    async def _receive(self) -> bytes | bytearray:
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError("connection failed while receiving") from error
        if not data:
            raise ConnectionLostError("peer closed the connection")
        return data
