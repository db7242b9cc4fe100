"""Callers' connections over real sockets while the VM stops (session interface)."""

from __future__ import annotations

import os
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import trio

from front_fakes import FakeInstance
from support import TestCase, trio_test
from tanagerfront.errors import ConnectionLostError
from tanagerfront.instance_pool import InstanceStatement
from tanagerfront.platform.caller_wire import CallerConnections
from tanagerfront.platform.line_stream import LineStream
from tanagerfront.session_model import Reply, Rollback
from tanagerfront.shutdown import MIN_IDLE_S, Shutdown
from test_caller_session import Vm, start_vm

GRACE_S = 6.0


class WireCaller:
    """A caller with one connection."""

    def __init__(self, lines: LineStream) -> None:
        self._lines = lines

    async def ask(self, message: str) -> str:
        """Send a message and return the first line of the answer."""
        await self._lines.send(message.encode() + b"\r\n")
        with trio.fail_after(5):
            answer = [(await self._lines.read_line()).decode()]
            while message.startswith("QUERY") and not answer[-1].startswith("READY"):
                answer.append((await self._lines.read_line()).decode())
        return answer[0]

    async def is_closed(self) -> bool:
        """Return whether the VM closes the connection within a moment."""
        with trio.move_on_after(0.1):
            try:
                await self._lines.read_line()
            except ConnectionLostError:
                return True
        return False


class StoppingVm:
    """A VM that serves callers and can be stopped as if that had begun some seconds ago."""

    def __init__(self, vm: Vm, address: tuple[str, int]) -> None:
        self.vm = vm
        self.connections = CallerConnections(vm.services)
        self.address = address

    async def connect(self) -> WireCaller:
        return WireCaller(LineStream(await trio.open_tcp_stream(*self.address)))

    async def open_session(self) -> WireCaller:
        caller = await self.connect()
        assert (await caller.ask("CONNECT primary secret")).startswith("READY")
        return caller

    def stop(self, since_s: float) -> Shutdown:
        shutdown = Shutdown(trio.current_time() - since_s, GRACE_S)
        self.vm.confirmed_state.shutdown = shutdown
        return shutdown


@asynccontextmanager
async def stopping_vm() -> AsyncIterator[StoppingVm]:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    stopping = StoppingVm(await start_vm(), listeners[0].socket.getsockname()[:2])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, stopping.connections.serve, listeners)
        yield stopping
        nursery.cancel_scope.cancel()


class LeavingCallerTest(TestCase):
    async def _leave(self, stopping: StoppingVm, *texts: str) -> None:
        """Send statements and leave before the VM reads them, as if it had been frozen."""
        caller = await trio.open_tcp_stream(*stopping.address)
        await caller.send_all(b"CONNECT primary secret\r\n")
        await caller.receive_some()
        *first, last = texts
        for text in first:
            await caller.send_all(f"QUERY q {text}\r\n".encode())
            await caller.receive_some()
        # Without a checkpoint in between, the VM reads the statement when its caller has left.
        os.write(caller.socket.fileno(), f"QUERY q {last}\r\n".encode())
        caller.socket.close()
        await trio.sleep(0.2)

    @trio_test
    async def test_no_write_is_sent_for_a_caller_that_has_left(self) -> None:
        # Guards against a write that a VM makes after it was frozen, when its caller has given up
        # and written again through another VM.
        async with stopping_vm() as stopping:
            await self._leave(stopping, "WRITE 1 old")
            await self._leave(stopping, "BEGIN", "WRITE 1 old", "COMMIT")
            self.assertEqual(["WRITE 1 old"], stopping.vm.primary.caller_statements)
            rolled_back = [statement.statement for _, statement in stopping.vm.primary.received]
            self.assertIn(Rollback(), rolled_back)
            caller = await stopping.open_session()
            await caller.ask("QUERY q WRITE 1 new")
            self.assertEqual("WRITE 1 new", stopping.vm.primary.caller_statements[-1])


class ObservedStream:
    """A VM's end of a connection, whose next transfer can coincide with an event."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.socket = stream.socket
        self.on_received: Callable[[], object] | None = None
        self.on_sending: Callable[[], object] | None = None

    async def receive_some(self, max_bytes: int) -> bytes | bytearray:
        data = await self._stream.receive_some(max_bytes)
        # The wait is over, but its task has not gone on yet.
        if self.on_received is not None:
            self.on_received()
        return data

    async def send_all(self, data: bytes) -> None:
        if self.on_sending is not None:
            self.on_sending()
        await self._stream.send_all(data)

    async def aclose(self) -> None:
        await self._stream.aclose()


@asynccontextmanager
async def observed_caller(stopping: StoppingVm) -> AsyncIterator[tuple[ObservedStream, WireCaller]]:
    vm_end, caller_end = (
        trio.SocketStream(trio.socket.from_stdlib_socket(end)) for end in socket.socketpair()
    )
    stream: Any = ObservedStream(vm_end)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stopping.connections.serve, stream)
        yield stream, WireCaller(LineStream(caller_end))
        nursery.cancel_scope.cancel()


def _never(_instance: FakeInstance, _statement: InstanceStatement) -> Reply | None:
    return None


class StopTest(TestCase):
    @trio_test
    async def test_a_statement_that_may_not_end_in_time_is_refused_and_not_run(self) -> None:
        # Guards against a request that is taken in the last moments of a VM and cut off while an
        # instance is at work on it.
        async with stopping_vm() as stopping:
            caller = await stopping.open_session()
            stopping.stop(since_s=4.5)
            self.assertEqual("ERROR BUSY this VM is stopping", await caller.ask("QUERY a READ 1"))
            self.assertTrue(await caller.is_closed())
            self.assertEqual([], stopping.vm.primary.caller_statements)

    @trio_test
    async def test_a_new_session_is_refused_before_it_sends_a_statement(self) -> None:
        # Guards against callers who are sent here for want of other VMs and learn of it late.
        async with stopping_vm() as stopping:
            stopping.stop(since_s=4.5)
            caller = await stopping.connect()
            answer = await caller.ask("CONNECT primary secret")
            self.assertEqual("ERROR BUSY this VM is stopping", answer)
            self.assertTrue(await caller.is_closed())

    @trio_test
    async def test_a_commit_that_may_not_end_in_time_is_refused_and_rolled_back(self) -> None:
        # Guards against a commit that is cut off, so that its caller can't tell whether it ran.
        async with stopping_vm() as stopping:
            caller = await stopping.open_session()
            await caller.ask("QUERY a BEGIN")
            await caller.ask("QUERY b WRITE 1 x")
            stopping.stop(since_s=4.5)
            self.assertTrue((await caller.ask("QUERY c COMMIT")).startswith("ERROR BUSY"))
            await trio.sleep(0.05)
            self.assertNotIn("COMMIT", stopping.vm.primary.caller_statements)

    @trio_test
    async def test_statements_are_served_while_there_is_time(self) -> None:
        # Guards against refusals at a VM that could still serve its callers.
        async with stopping_vm() as stopping:
            caller = await stopping.open_session()
            for since_s in (0.0, 2.9, 4.0):
                stopping.stop(since_s)
                self.assertEqual("ROW row", await caller.ask(f"QUERY a READ {since_s:g}"))

    @trio_test
    async def test_a_session_is_not_closed_before_its_first_statement_can_arrive(self) -> None:
        # Guards against a caller whose statement crosses the closing of its new session.
        async with stopping_vm() as stopping:
            shutdown = stopping.stop(since_s=1.0)
            connected, caller = await stopping.connect(), await stopping.open_session()
            stopping.connections.close_waiting(shutdown)
            self.assertEqual("ROW row", await caller.ask("QUERY a READ 1"))
            self.assertEqual("READY I -", await connected.ask("CONNECT primary secret"))
            await trio.sleep(MIN_IDLE_S + 0.05)
            stopping.connections.close_waiting(shutdown)
            self.assertTrue(await caller.is_closed())

    @trio_test
    async def test_a_statement_in_progress_at_the_end_gets_an_answer(self) -> None:
        # Guards against connections that end without an answer to a request.
        async with stopping_vm() as stopping:
            stopping.vm.primary.answer = _never
            caller = await stopping.open_session()
            await caller.ask("QUERY a BEGIN")
            answers: list[str] = []

            async def write() -> None:
                answers.append(await caller.ask("QUERY b WRITE 1 x"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(write)
                await trio.sleep(0.1)
                self.assertEqual(1, stopping.connections.interrupt())
            self.assertIn("ERROR INDOUBT", answers[0])
            self.assertTrue(await caller.is_closed())
            with trio.fail_after(2):
                await stopping.connections.wait_closed()

    @trio_test
    async def test_a_message_that_arrives_as_the_vm_ends_gets_an_answer(self) -> None:
        # Guards against a message that is read, and whose answer is cut off by the interruption.
        for message, answer in (
            ("CONNECT primary secret", "ERROR BUSY this VM is stopping"),
            ("QUERY a READ 1", "ERROR BUSY this VM is stopping"),
            ("QUERY a NONSENSE", "ERROR MALFORMED"),
        ):
            async with stopping_vm() as stopping, observed_caller(stopping) as (stream, caller):
                if message.startswith("QUERY"):
                    await caller.ask("CONNECT primary secret")
                stream.on_received = stopping.connections.interrupt
                self.assertIn(answer, await caller.ask(message))
                self.assertTrue(await caller.is_closed())
                self.assertEqual([], stopping.vm.primary.caller_statements)

    @trio_test
    async def test_a_reply_that_is_being_sent_as_the_vm_ends_is_sent(self) -> None:
        # Guards against an interruption that cuts off the reply to a statement that has ended.
        async with stopping_vm() as stopping, observed_caller(stopping) as (stream, caller):
            await caller.ask("CONNECT primary secret")
            stream.on_sending = stopping.connections.interrupt
            self.assertEqual("ROW row", await caller.ask("QUERY a READ 1"))
            self.assertTrue(await caller.is_closed())
