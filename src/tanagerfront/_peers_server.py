"""Server side of peer streams, on asyncio."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from grpclib.const import Cardinality, Handler

from ._peers_impl import (
    EXCHANGE_METHOD,
    IDLE_CLOSE_S,
    MAX_QUEUED_FRAMES,
    NO_REPLY_ID,
    VM_METADATA,
    Outbox,
    run_until_first_ends,
)
from .decoding import DECODING_ERRORS
from .messages import Cancel, Frame, Message

__all__ = ["PeerService", "ServerStream"]

# The client closes an idle stream first; this removes streams whose client has failed.
SERVER_IDLE_CLOSE_S = 3 * IDLE_CLOSE_S


class ServerStream:
    """Server side of one stream."""

    def __init__(
        self, vm: str, start_handler: Callable[[ServerStream, Frame], trio.CancelScope]
    ) -> None:
        self._vm = vm
        self._start_handler = start_handler
        self._outbox = Outbox()
        self._handlers: dict[int, trio.CancelScope] = {}
        self._space_freed = asyncio.Event()

    @property
    def vm(self) -> str:
        """Return the VM that opened the stream."""
        return self._vm

    def send_reply(self, request: int, message: Message) -> None:
        """Queue a reply unless the request was cancelled."""
        if self._handlers.pop(request, None) is not None:
            self._outbox.put_reply(Frame(NO_REPLY_ID, request, message))

    async def run(self, stream: Any) -> None:
        """Exchange frames until the stream ends, then cancel the handlers still running."""
        try:
            await run_until_first_ends(self._read(stream), self._write(stream))
        finally:
            handlers, self._handlers = self._handlers, {}
            for scope in handlers.values():
                scope.cancel()

    async def _read(self, stream: Any) -> None:
        while True:
            async with asyncio.timeout(SERVER_IDLE_CLOSE_S):
                frames = await stream.recv_message()
            if frames is None:
                return
            if not frames:
                # Answers a ping at once, so that a slow handler is not taken for a failed peer.
                self._outbox.request_ping()
            for frame in frames:
                self._dispatch(frame)
            while len(self._outbox) + len(self._handlers) >= MAX_QUEUED_FRAMES:
                # Stops reading, so that HTTP/2 flow control slows the peer down.
                self._space_freed.clear()
                await self._space_freed.wait()

    def _dispatch(self, frame: Frame) -> None:
        if isinstance(frame.message, Cancel):
            scope = self._handlers.pop(frame.message.request, None)
            if scope is not None:
                scope.cancel()
            return
        scope = self._start_handler(self, frame)
        if frame.id != NO_REPLY_ID:
            self._handlers[frame.id] = scope

    async def _write(self, stream: Any) -> None:
        while True:
            await self._outbox.wait()
            batch = self._outbox.pop_batch()
            self._space_freed.set()
            if batch is not None:
                await stream.send_message(batch)


class PeerService:
    """grpclib service that accepts peer streams."""

    def __init__(self, serve: Callable[[str, Any], Awaitable[None]]) -> None:
        self._serve = serve

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method path."""
        return {EXCHANGE_METHOD: Handler(self._exchange, Cardinality.STREAM_STREAM, list, list)}

    async def _exchange(self, stream: Any) -> None:
        vm = (stream.metadata or {}).get(VM_METADATA, "")
        with contextlib.suppress(TimeoutError, *DECODING_ERRORS):
            await self._serve(str(vm), stream)
