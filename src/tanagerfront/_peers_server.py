"""The answering side of peer streams, on asyncio."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio
from grpclib.const import Cardinality, Handler

from ._peers_impl import (
    IDLE_CLOSE_S,
    MAX_QUEUED_FRAMES,
    METHOD,
    NO_REPLY_ID,
    VM_METADATA,
    Outbox,
    first_to_end,
)
from .messages import Cancel, Frame, Message

__all__ = ["PeerService", "ServerStream"]

# The calling side closes an idle stream first; this removes streams whose caller vanished.
SERVER_IDLE_CLOSE_S = 3 * IDLE_CLOSE_S


class ServerStream:
    """The answering side of one stream."""

    def __init__(self, vm: str, start: Callable[[ServerStream, Frame], trio.CancelScope]) -> None:
        self._vm = vm
        self._start = start
        self._outbox = Outbox()
        self._running: dict[int, trio.CancelScope] = {}
        self._room = asyncio.Event()

    @property
    def vm(self) -> str:
        """Return the VM that opened the stream."""
        return self._vm

    def answer(self, request: int, message: Message) -> None:
        """Queue a reply unless its caller has gone."""
        if self._running.pop(request, None) is not None:
            self._outbox.put_reply(Frame(NO_REPLY_ID, request, message))

    async def run(self, stream: Any) -> None:
        """Exchange frames until the stream ends, then cancel the handlers whose caller is gone."""
        try:
            await first_to_end(self._read(stream), self._write(stream))
        finally:
            running, self._running = self._running, {}
            for scope in running.values():
                scope.cancel()

    async def _read(self, stream: Any) -> None:
        while True:
            async with asyncio.timeout(SERVER_IDLE_CLOSE_S):
                frames = await stream.recv_message()
            if frames is None:
                return
            if not frames:
                # Slow handlers do not look like silence: a ping is answered at once.
                self._outbox.request_ping()
            for frame in frames:
                self._dispatch(frame)
            while len(self._outbox) + len(self._running) >= MAX_QUEUED_FRAMES:
                # Not reading on makes the flow control of HTTP/2 slow the peer down.
                self._room.clear()
                await self._room.wait()

    def _dispatch(self, frame: Frame) -> None:
        if isinstance(frame.message, Cancel):
            scope = self._running.pop(frame.message.request, None)
            if scope is not None:
                scope.cancel()
            return
        scope = self._start(self, frame)
        if frame.id != NO_REPLY_ID:
            self._running[frame.id] = scope

    async def _write(self, stream: Any) -> None:
        while True:
            await self._outbox.wait()
            batch = self._outbox.take()
            self._room.set()
            if batch is not None:
                await stream.send_message(batch)


class PeerService:
    """The grpclib service that accepts the streams of peers."""

    def __init__(self, serve: Callable[[str, Any], Awaitable[None]]) -> None:
        self._serve = serve

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods of the service."""
        return {METHOD: Handler(self._exchange, Cardinality.STREAM_STREAM, list, list)}

    async def _exchange(self, stream: Any) -> None:
        vm = (stream.metadata or {}).get(VM_METADATA, "")
        with contextlib.suppress(TimeoutError, msgspec.MsgspecError):
            await self._serve(str(vm), stream)
