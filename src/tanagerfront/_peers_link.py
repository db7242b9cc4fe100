"""Client side of a peer stream, on asyncio."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import Any

import trio
from grpclib.client import Channel
from grpclib.const import Cardinality
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol

from ._peers_impl import (
    EXCHANGE_METHOD,
    GRPC_CONFIGURATION,
    IDLE_CLOSE_S,
    NO_REPLY_ID,
    VM_METADATA,
    FrameCodec,
    Outbox,
    Waiter,
    run_until_first_ends,
)
from .decoding import DECODING_ERRORS
from .errors import ConnectionLostError, OverloadedError, PeerUnreachableError
from .http_client import Address, drop_unsent_on_close, set_user_timeout
from .messages import Cancel, Frame, Message

__all__ = ["PeerLink"]

CONNECT_TIMEOUT_S = 2.0
# Calls within this time after a failed connection attempt fail at once.
CONNECT_RETRY_S = 0.25
PING_AFTER_S = 0.5
# A stream without a reply to frames or pings for this long is replaced.
SILENCE_TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 0.25
STREAM_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError, *DECODING_ERRORS)


_log = logging.getLogger(__name__)


class _PeerChannel(Channel):
    """Channel that can withdraw what the peer has not received, also if the process is killed."""

    _transport: asyncio.Transport | None = None

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        self._transport = protocol.connection._transport
        sock = self._transport.get_extra_info("socket")
        drop_unsent_on_close(sock)
        set_user_timeout(sock, int(SILENCE_TIMEOUT_S * 1000))
        return protocol

    def end(self, *, answered: bool) -> None:
        """Close the connection; withdraw what was sent unless the peer has `answered` all of it."""
        if self._transport is not None and not self._transport.is_closing():
            if answered:
                drop_unsent_on_close(self._transport.get_extra_info("socket"), False)
            else:
                self._transport.abort()
        self.close()


class PeerLink:
    """Client side of the stream to one peer, opened on demand and replaced after a failure."""

    def __init__(self, own_vm: str, vm: str, address: Address, codec: FrameCodec) -> None:
        self._own_vm = own_vm
        self._vm = vm
        self._address = address
        self._codec = codec
        self._outbox = Outbox()
        self._waiters: dict[int, Waiter] = {}
        self._next_id = NO_REPLY_ID
        self._failed_at = float("-inf")
        self._received_at = 0.0
        self._unanswered_since: float | None = None
        self._connected = False
        self._closed = False

    @property
    def address(self) -> Address:
        """Return the address of the peer."""
        return self._address

    @property
    def connected(self) -> bool:
        """Return whether a stream is open."""
        return self._connected

    def submit(self, message: Message) -> tuple[int, Waiter]:
        """Queue a request; raises PeerUnreachableError or OverloadedError."""
        self._check_usable()
        waiter = Waiter()
        self._next_id += 1
        self._outbox.put(Frame(self._next_id, None, message), waiter)
        self._waiters[self._next_id] = waiter
        return self._next_id, waiter

    def queue_message(self, message: Message) -> None:
        """Queue a message without a reply; raises PeerUnreachableError or OverloadedError."""
        self._check_usable()
        self._outbox.put(Frame(NO_REPLY_ID, None, message))

    def abandon(self, request: int) -> None:
        """Remove a waiter; sends Cancel if its request was sent and has no reply yet."""
        waiter = self._waiters.pop(request, None)
        if waiter is None or waiter.done.is_set():
            return
        waiter.abandoned = True
        if waiter.sent and not self._closed:
            with contextlib.suppress(OverloadedError):
                self._outbox.put(Frame(NO_REPLY_ID, None, Cancel(request)))

    def _check_usable(self) -> None:
        recently_failed = trio.current_time() - self._failed_at < CONNECT_RETRY_S
        if self._closed or recently_failed:
            raise PeerUnreachableError(f"VM {self._vm} at {self._address} cannot be reached")

    async def run(self) -> None:
        """Open a stream whenever frames are queued, until cancelled."""
        try:
            while True:
                await self._outbox.wait()
                try:
                    await self._run_stream()
                except Exception as error:
                    if not isinstance(error, (TimeoutError, *STREAM_ERRORS)):
                        # A defect in the handling of one stream must not end the process.
                        _log.exception("stream to VM %s failed", self._vm)
                    self._fail_waiters(f"stream to VM {self._vm} ended: {error!r}")
        finally:
            self._closed = True
            self._fail_waiters(f"stream to VM {self._vm} was closed")
            self._fail_queued()

    async def _run_stream(self) -> None:
        channel = _PeerChannel(*self._address, codec=self._codec, config=GRPC_CONFIGURATION)
        request = channel.request(
            EXCHANGE_METHOD,
            Cardinality.STREAM_STREAM,
            list,
            list,
            metadata={VM_METADATA: self._own_vm},
        )
        try:
            async with request as stream:
                if not await self._connect(stream):
                    return
                await run_until_first_ends(
                    self._write(stream), self._read(stream), self._watch_liveness()
                )
                raise StreamTerminatedError("stream closed by the peer or idle")
        finally:
            self._connected = False
            channel.end(answered=self._unanswered_since is None)

    async def _connect(self, stream: Any) -> bool:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_request()
        except (TimeoutError, *STREAM_ERRORS):
            self._failed_at = trio.current_time()
            self._fail_queued()
            return False
        self._connected = True
        self._received_at = trio.current_time()
        self._unanswered_since = None
        return True

    async def _write(self, stream: Any) -> None:
        while True:
            await self._outbox.wait()
            batch = self._outbox.pop_batch()
            if batch is None:
                continue
            if self._unanswered_since is None:
                self._unanswered_since = trio.current_time()
            await stream.send_message(batch)

    async def _read(self, stream: Any) -> None:
        while (frames := await stream.recv_message()) is not None:
            self._received_at = trio.current_time()
            self._unanswered_since = self._received_at if self._waiters else None
            for frame in frames:
                self._deliver(frame)

    def _deliver(self, frame: Frame) -> None:
        """Pass a reply to the waiter of its request; drops late replies."""
        if frame.reply_to is None:
            return
        waiter = self._waiters.pop(frame.reply_to, None)
        if waiter is not None:
            waiter.reply = frame.message
            waiter.done.set()

    async def _watch_liveness(self) -> None:
        """Ping a silent peer; returns on an idle stream, raises TimeoutError on a silent one."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            if self._unanswered_since is None:
                if now - self._received_at > IDLE_CLOSE_S:
                    return
                continue
            silence_s = now - self._unanswered_since
            if silence_s > SILENCE_TIMEOUT_S:
                raise TimeoutError(f"no reply for {silence_s:.1f} s")
            if silence_s >= PING_AFTER_S:
                self._outbox.request_ping()

    def _fail_waiters(self, reason: str) -> None:
        sent = [number for number, waiter in self._waiters.items() if waiter.sent]
        for number in sent:
            self._waiters.pop(number).fail(ConnectionLostError(reason))

    def _fail_queued(self) -> None:
        self._outbox.clear()
        unsent = [number for number, waiter in self._waiters.items() if not waiter.sent]
        for number in unsent:
            error = PeerUnreachableError(f"VM {self._vm} at {self._address} cannot be reached")
            self._waiters.pop(number).fail(error)
