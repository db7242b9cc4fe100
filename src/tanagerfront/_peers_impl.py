"""Codec, send queue and waiters of both sides of a peer stream."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Coroutine
from typing import Any

import msgspec
import trio
from grpclib.config import Configuration
from grpclib.encoding.base import CodecBase

from .errors import OverloadedError, TanagerfrontError
from .messages import Frame, Message

__all__ = [
    "GRPC_CONFIGURATION",
    "IDLE_CLOSE_S",
    "MAX_QUEUED_FRAMES",
    "EXCHANGE_METHOD",
    "NO_REPLY_ID",
    "VM_METADATA",
    "FrameCodec",
    "Outbox",
    "Waiter",
    "run_until_first_ends",
]

EXCHANGE_METHOD = "/tanagerfront.Peers/Exchange"
VM_METADATA = "vm"
NO_REPLY_ID = 0
# Bounds the memory of one stream; calls above the limit are rejected.
MAX_QUEUED_FRAMES = 4096
# Limits how long a batch delays the frames behind it at the receiver.
MAX_BATCH_FRAMES = 256
# The calling side closes a stream that has been idle for this long.
IDLE_CLOSE_S = 60.0
GRPC_CONFIGURATION = Configuration(
    http2_connection_window_size=16 * 1024 * 1024, http2_stream_window_size=16 * 1024 * 1024
)


class FrameCodec(CodecBase):
    """Encode a list of frames as msgpack; an empty list is a ping."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(list[Frame])

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of one item."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> list[Frame]:
        """Return the frames of one item; raises msgspec.MsgspecError."""
        return self._decoder.decode(data)


class Waiter:
    """Pending call and its result."""

    __slots__ = ("abandoned", "done", "error", "reply", "sent")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.reply: Message | None = None
        self.error: TanagerfrontError | None = None
        # Set when the frame is handed to a stream; from then on the peer may have handled it.
        self.sent = False
        self.abandoned = False

    def fail(self, error: TanagerfrontError) -> None:
        """End the call with an error."""
        self.error = error
        self.done.set()


class Outbox:
    """Bounded send queue that returns frames in batches."""

    def __init__(self) -> None:
        self._queue: collections.deque[tuple[Frame, Waiter | None]] = collections.deque()
        self._not_empty = asyncio.Event()
        self._ping = False

    def __len__(self) -> int:
        return len(self._queue)

    def put(self, frame: Frame, waiter: Waiter | None = None) -> None:
        if len(self._queue) >= MAX_QUEUED_FRAMES:
            raise OverloadedError("the queue to the peer is full")
        self.put_reply(frame, waiter)

    def put_reply(self, frame: Frame, waiter: Waiter | None = None) -> None:
        """Queue a frame without the size check; the reader of requests bounds the replies."""
        self._queue.append((frame, waiter))
        self._not_empty.set()

    def request_ping(self) -> None:
        self._ping = True
        self._not_empty.set()

    def clear(self) -> None:
        self._queue.clear()
        self._ping = False
        self._not_empty.clear()

    async def wait(self) -> None:
        await self._not_empty.wait()

    def pop_batch(self) -> list[Frame] | None:
        """Return the next batch and mark it as sent; None if there is nothing to send."""
        batch: list[Frame] = []
        while self._queue and len(batch) < MAX_BATCH_FRAMES:
            frame, waiter = self._queue.popleft()
            if waiter is not None:
                if waiter.abandoned:
                    continue
                waiter.sent = True
            batch.append(frame)
        ping, self._ping = self._ping, False
        if not self._queue:
            self._not_empty.clear()
        return batch if batch or ping else None


async def run_until_first_ends(*coroutines: Coroutine[Any, Any, None]) -> None:
    """Run coroutines until one ends, cancel the others and raise the error of the first."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()
