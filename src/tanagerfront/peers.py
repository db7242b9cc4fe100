"""Calls between VMs of the HTTP interface: one batched grpclib stream per peer and direction."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, TypeVar, cast

import trio
import trio_asyncio
from grpclib.server import Server

from ._peers_impl import GRPC_CONFIGURATION, NO_REPLY_ID, FrameCodec, Waiter
from ._peers_link import PeerLink
from ._peers_server import PeerService, ServerStream
from .errors import (
    ConnectionLostError,
    Executed,
    PeerUnreachableError,
    SqlError,
    StaleTermError,
    TanagerfrontError,
    error_for_type,
)
from .http_client import Address
from .messages import ErrorReply, Frame, Message

__all__ = ["PeerNetwork", "error_from_reply", "error_to_reply"]

M = TypeVar("M")
PeerHandler = Callable[[str, Any], Awaitable[Message | None]]
_log = logging.getLogger(__name__)


def error_to_reply(error: TanagerfrontError) -> ErrorReply:
    """Encode an error as a message."""
    reply = ErrorReply(error.problem_type, error.message, error.executed, error.retry_after_s)
    match error:
        case SqlError():
            return ErrorReply(*_common_fields(reply), code=error.code, index=error.index)
        case StaleTermError():
            return ErrorReply(*_common_fields(reply), term=error.term)
    return reply


def _common_fields(reply: ErrorReply) -> tuple[str, str, str, float | None]:
    return reply.problem_type, reply.message, reply.executed, reply.retry_after_s


def error_from_reply(reply: ErrorReply) -> TanagerfrontError:
    """Decode an error as an instance of its original class."""
    cls = error_for_type(reply.problem_type)
    executed = cast(Executed, reply.executed)
    arguments: dict[str, Any] = {"executed": executed, "retry_after_s": reply.retry_after_s}
    if issubclass(cls, SqlError):
        arguments |= {"code": reply.code, "index": reply.index}
    if issubclass(cls, StaleTermError):
        arguments |= {"term": reply.term}
    return cls(reply.message, **arguments)


class _RunState(NamedTuple):
    """Nursery and event loop of a running network."""

    nursery: trio.Nursery
    loop: trio_asyncio.TrioEventLoop


class PeerNetwork:
    """Streams to and from the other VMs."""

    def __init__(self, vm_id: str, listen_address: Address) -> None:
        self._vm_id = vm_id
        self._listen_address = listen_address
        self._codec = FrameCodec()
        self._handlers: dict[type, PeerHandler] = {}
        self._peers: dict[str, Address] = {}
        self._links: dict[str, tuple[PeerLink, trio.CancelScope]] = {}
        self._run_state: _RunState | None = None

    @property
    def vm_id(self) -> str:
        """Return the id of this VM."""
        return self._vm_id

    @property
    def listen_address(self) -> Address:
        """Return the address that peers connect to; its port is the bound one once running."""
        return self._listen_address

    def register(
        self, message_type: type[M], handler: Callable[[str, M], Awaitable[Message | None]]
    ) -> None:
        """Set the handler of a message type; its TanagerfrontError is raised at the caller."""
        self._handlers[message_type] = cast(PeerHandler, handler)

    def set_peers(self, peers: Mapping[str, Address]) -> None:
        """Replace the peer addresses and close the streams to removed or moved peers."""
        self._peers = dict(peers)
        for vm, (link, scope) in list(self._links.items()):
            if self._peers.get(vm) != link.address:
                del self._links[vm]
                scope.cancel()

    async def call(self, vm: str, message: Message, timeout_s: float) -> Message:
        """Return the reply of a peer.

        Raises the error that its handler raised, PeerUnreachableError if the message was not sent,
        ConnectionLostError if it was sent but no reply arrived, or OverloadedError if the queue
        is full.
        """
        if vm == self._vm_id:
            return await self._call_local(message, timeout_s)
        link = self._link(vm)
        request, waiter = link.submit(message)
        try:
            with trio.move_on_after(timeout_s):
                await waiter.done.wait()
        finally:
            link.abandon(request)
        return self._result(vm, waiter, timeout_s)

    def send(self, vm: str, message: Message) -> None:
        """Queue a message without a reply; raises PeerUnreachableError or OverloadedError."""
        if vm == self._vm_id:
            self._nursery().start_soon(self._handle, vm, message)
            return
        self._link(vm).queue_message(message)

    @staticmethod
    def _result(vm: str, waiter: Waiter, timeout_s: float) -> Message:
        if waiter.error is not None:
            raise waiter.error
        if isinstance(waiter.reply, ErrorReply):
            raise error_from_reply(waiter.reply)
        if waiter.reply is not None:
            return waiter.reply
        message = f"VM {vm} did not answer within {timeout_s:.3f} s"
        raise ConnectionLostError(message) if waiter.sent else PeerUnreachableError(message)

    async def _call_local(self, message: Message, timeout_s: float) -> Message:
        with trio.move_on_after(timeout_s):
            reply = await self._handle(self._vm_id, message)
            if isinstance(reply, ErrorReply):
                raise error_from_reply(reply)
            return reply
        raise ConnectionLostError(f"local handler did not reply within {timeout_s:.3f} s")

    def _nursery(self) -> trio.Nursery:
        if self._run_state is None:
            raise PeerUnreachableError("the peer network is not running")
        return self._run_state.nursery

    def _link(self, vm: str) -> PeerLink:
        existing = self._links.get(vm)
        if existing is not None:
            return existing[0]
        address = self._peers.get(vm)
        if address is None or self._run_state is None:
            raise PeerUnreachableError(f"VM {vm} is not a known peer")
        link = PeerLink(self._vm_id, vm, address, self._codec)
        scope = trio.CancelScope()
        self._links[vm] = (link, scope)
        self._run_state.nursery.start_soon(self._run_link, link, scope, self._run_state.loop)
        return link

    @staticmethod
    async def _run_link(
        link: PeerLink, scope: trio.CancelScope, loop: trio_asyncio.TrioEventLoop
    ) -> None:
        with scope:
            await trio_asyncio.aio_as_trio(link.run, loop=loop)()

    async def _handle(self, vm: str, message: Message) -> Message:
        """Return the reply of the handler, or its error as ErrorReply."""
        handler = self._handlers.get(type(message))
        try:
            if handler is None:
                name = type(message).__name__
                raise PeerUnreachableError(f"VM {self._vm_id} has no handler for {name}")
            reply = await handler(vm, message)
        except TanagerfrontError as error:
            return error_to_reply(error)
        except Exception as error:
            _log.exception("handler of message type %s failed", type(message).__name__)
            return ErrorReply("internal", f"handler failed: {type(error).__name__}", "unknown")
        # A handler without a result still gets a reply sent, so that `call` returns.
        return reply if reply is not None else ErrorReply("internal", "no reply", "yes")

    def _start_handler(self, stream: ServerStream, frame: Frame) -> trio.CancelScope:
        scope = trio.CancelScope()
        self._nursery().start_soon(self._serve_frame, stream, frame, scope)
        return scope

    async def _serve_frame(
        self, stream: ServerStream, frame: Frame, scope: trio.CancelScope
    ) -> None:
        with scope:
            reply = await self._handle(stream.vm, frame.message)
            if frame.id != NO_REPLY_ID:
                stream.send_reply(frame.id, reply)

    async def _serve_stream(self, vm: str, stream: Any) -> None:
        await ServerStream(vm, self._start_handler).run(stream)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen and serve streams until cancelled; raises OSError if the address is in use."""
        async with trio_asyncio.open_loop() as loop:
            server = await trio_asyncio.aio_as_trio(self._start_server)()
            try:
                async with trio.open_nursery() as nursery:
                    self._run_state = _RunState(nursery, loop)
                    task_status.started()
                    await trio.sleep_forever()
            finally:
                self._run_state = None
                self._links.clear()
                server.close()
                with trio.move_on_after(1, shield=True), contextlib.suppress(Exception):
                    await trio_asyncio.aio_as_trio(server.wait_closed)()

    async def _start_server(self) -> Server:
        server = Server(
            [PeerService(self._serve_stream)], codec=self._codec, config=GRPC_CONFIGURATION
        )
        host, port = self._listen_address
        await server.start(host, port)
        sockets = server._server.sockets  # type: ignore[union-attr]
        self._listen_address = Address(host, sockets[0].getsockname()[1])
        return server
