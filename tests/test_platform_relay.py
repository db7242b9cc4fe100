"""Relayed sessions at a home, over real sockets, also while the home stops."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import trio

from front_fakes import GROUP, FakeInstance, RecordingLog, registration, vm
from support import TestCase, trio_test
from tanagerfront.errors import ConnectionLostError
from tanagerfront.instance_directory import InstanceDirectory
from tanagerfront.instance_pool import InstanceRefusedError, InstanceStatement
from tanagerfront.platform import relay_wire
from tanagerfront.platform.instance_wire import InstanceConnection, open_relay
from tanagerfront.platform.relay_wire import RelayConnections
from tanagerfront.session_model import Begin, FailureCode, TransactionState, Verbatim
from tanagerfront.shutdown import Shutdown


class Home:
    """A VM that holds the connections of one instance."""

    def __init__(self) -> None:
        self.instance = FakeInstance()
        self.directory = InstanceDirectory(self.instance.open, "suame")
        self.relays = RelayConnections(self.directory, RecordingLog())
        self.address = ("127.0.0.1", 0)

    async def open(self, instance: str = "i-1", relay_version: int = 1) -> InstanceConnection:
        host, port = self.address
        registered = vm("home")._replace(host=host, port=port, relay_version=relay_version)
        return await open_relay(registered, registration(instance), "foremen")


@asynccontextmanager
async def running_home() -> AsyncIterator[Home]:
    home = Home()
    await home.directory.set_connection_shares(1, {GROUP: 16})
    await home.directory.apply(registration("i-1", primary=True))
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    home.address = listeners[0].socket.getsockname()[:2]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, home.relays.serve, listeners)
        yield home
        nursery.cancel_scope.cancel()


def verbatim(text: str) -> list[InstanceStatement]:
    return [InstanceStatement("q", Verbatim(text))]


class RelayConnectionsTest(TestCase):
    @trio_test
    async def test_statements_reach_the_instance_unchanged(self) -> None:
        async with running_home() as home:
            connection = await home.open()
            [reply] = await connection.run(verbatim("WRITE 1a4 some data"))
            self.assertEqual(b"signed", reply.signature)
            self.assertEqual(["WRITE 1a4 some data"], home.instance.caller_statements)

    @trio_test
    async def test_a_reading_names_the_process_of_the_home_and_the_time_of_its_session(
        self,
    ) -> None:
        # Guards against readings of a former home that pass for those of the present one.
        async with running_home() as home:
            # The share of a fleet with homes, in which this VM admits statements to the slots.
            await home.directory.set_connection_shares(30, {GROUP: 16})
            opened_after = trio.current_time()
            connection = await home.open(relay_version=2)
            [reply] = await connection.run(verbatim("READ x"))
            assert reply.load is not None
            self.assertEqual("inc-home", reply.load.home)
            self.assertLessEqual(opened_after, reply.load.session_opened_at)

    @trio_test
    async def test_an_unknown_instance_is_rejected(self) -> None:
        async with running_home() as home:
            with self.assertRaises(InstanceRefusedError):
                await home.open("i-2")

    @trio_test
    async def test_a_connection_without_a_first_message_ends(self) -> None:
        # Guards against connections that hold a home's descriptors for ever.
        async with running_home() as home:
            with mock.patch.object(relay_wire, "FIRST_MESSAGE_TIMEOUT_S", 0.05):
                stream = await trio.open_tcp_stream(*home.address)
                with trio.fail_after(2):
                    self.assertEqual(b"", await stream.receive_some())
                await trio.sleep(0.05)
            self.assertEqual(0, home.relays.count)

    @trio_test
    async def test_a_stopping_home_lets_open_transactions_finish(self) -> None:
        # Guards against a home that aborts the transactions of other VMs when it restarts.
        async with running_home() as home:
            idle, busy = await home.open(), await home.open()
            await busy.run([InstanceStatement("-", Begin(False))])
            home.relays.stop(Shutdown(trio.current_time(), 6.0))
            with self.assertRaises(ConnectionLostError):
                await idle.run(verbatim("READ 1"))
            await busy.run(verbatim("WRITE 1 x"))
            [reply] = await busy.run(verbatim("COMMIT"))
            self.assertEqual(TransactionState.IDLE, reply.state)
            await trio.sleep(0.05)
            self.assertEqual(0, home.relays.count)
            with self.assertRaises(InstanceRefusedError):
                await home.open()

    @trio_test
    async def test_a_home_that_is_about_to_end_refuses_statements_of_open_transactions(
        self,
    ) -> None:
        # Guards against a commit that is cut off with its home, so that its outcome is unknown.
        async with running_home() as home:
            connection = await home.open()
            await connection.run([InstanceStatement("-", Begin(False))])
            home.relays.stop(Shutdown(trio.current_time() - 4.5, 6.0))
            [reply] = await connection.run(verbatim("COMMIT"))
            assert reply.failure is not None
            self.assertEqual(FailureCode.OVERLOADED, reply.failure.code)
            await trio.sleep(0.05)
            self.assertEqual((0, []), (home.relays.count, home.instance.caller_statements))
            self.assertEqual(0, home.instance.open_now)

    @trio_test
    async def test_a_statement_is_cancelled_when_its_vm_disconnects(self) -> None:
        # Guards against a home whose connections and slots are all held by statements whose
        # replies were lost, which blocked all statements of a group for 5 s
        # (hfva-harvest-grown trouble-1).
        async with running_home() as home:
            home.instance.answer = lambda _instance, _statement: None
            connection = await home.open()
            with trio.move_on_after(0.05):
                await connection.run(verbatim("READ 1"))
            self.assertEqual(1, home.instance.open_now)
            await connection.close()
            await trio.sleep(0.05)
            self.assertEqual((0, 0), (home.instance.open_now, home.relays.count))

    @trio_test
    async def test_pipelined_statements_are_all_answered(self) -> None:
        async with running_home() as home:
            connection = await home.open()
            replies = await connection.run(
                [*verbatim("READ 1"), *verbatim("READ 2"), *verbatim("READ 3")]
            )
            self.assertEqual([b"signed"] * 3, [reply.signature for reply in replies])

    @trio_test
    async def test_a_control_statement_is_not_relayed(self) -> None:
        async with running_home() as home:
            connection = await home.open()
            with self.assertRaises(ConnectionLostError):
                await connection.run(verbatim("STEPDOWN 9"))
            self.assertEqual([], home.instance.caller_statements)
