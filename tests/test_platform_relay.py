"""Sessions of other VMs at a home, over real sockets, also while the home stops."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from front_fakes import GROUP, FakeInstance, RecordingLog, registration, vm
from support import TestCase, trio_test
from tanagerfront.errors import ConnectionLostError
from tanagerfront.instance_directory import InstanceDirectory
from tanagerfront.instance_pool import InstanceRefusedError, InstanceStatement
from tanagerfront.platform.instance_wire import InstanceConnection, open_relay
from tanagerfront.platform.relay_wire import RelayConnections
from tanagerfront.session_model import Begin, TransactionState, Verbatim


class Home:
    """A VM that holds the connections of one instance."""

    def __init__(self) -> None:
        self.instance = FakeInstance()
        self.directory = InstanceDirectory(self.instance.open, "suame")
        self.relays = RelayConnections(self.directory, RecordingLog())
        self.address = ("127.0.0.1", 0)

    async def open(self, instance: str = "i-1") -> InstanceConnection:
        host, port = self.address
        home = vm("home")._replace(host=host, port=port)
        return await open_relay(home, registration(instance), "foremen")


@asynccontextmanager
async def home() -> AsyncIterator[Home]:
    made = Home()
    await made.directory.set_connection_shares(1, {GROUP: 16})
    await made.directory.apply(registration("i-1", primary=True))
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    made.address = listeners[0].socket.getsockname()[:2]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, made.relays.serve, listeners)
        yield made
        nursery.cancel_scope.cancel()


def say(text: str) -> list[InstanceStatement]:
    return [InstanceStatement("q", Verbatim(text))]


class RelayConnectionsTest(TestCase):
    @trio_test
    async def test_statements_reach_the_instance_unchanged(self) -> None:
        async with home() as tested:
            connection = await tested.open()
            [reply] = await connection.run(say("WRITE 1a4 some data"))
            self.assertEqual(b"signed", reply.signature)
            self.assertEqual(["WRITE 1a4 some data"], tested.instance.caller_statements)

    @trio_test
    async def test_an_unknown_instance_is_refused(self) -> None:
        async with home() as tested:
            with self.assertRaises(InstanceRefusedError):
                await tested.open("i-2")

    @trio_test
    async def test_a_home_that_stops_lets_transactions_end(self) -> None:
        # Guards against transactions of other VMs that are cut when their home is restarted.
        async with home() as tested:
            idle, busy = await tested.open(), await tested.open()
            await busy.run([InstanceStatement("-", Begin(False))])
            tested.relays.stop()
            with self.assertRaises(ConnectionLostError):
                await idle.run(say("READ 1"))
            await busy.run(say("WRITE 1 x"))
            [reply] = await busy.run(say("COMMIT"))
            self.assertEqual(TransactionState.IDLE, reply.state)
            await trio.sleep(0.05)
            self.assertEqual(0, tested.relays.count)
            with self.assertRaises(InstanceRefusedError):
                await tested.open()

    @trio_test
    async def test_a_statement_ends_when_its_vm_gives_up(self) -> None:
        # Guards against a home whose connections and slots are all held by statements whose
        # answers were lost (hfva-harvest-grown trouble-1: no statement of a group for 5 s).
        async with home() as tested:
            tested.instance.answer = lambda _instance, _statement: None
            connection = await tested.open()
            with trio.move_on_after(0.05):
                await connection.run(say("READ 1"))
            self.assertEqual(1, tested.instance.open_now)
            await connection.close()
            await trio.sleep(0.05)
            self.assertEqual((0, 0), (tested.instance.open_now, tested.relays.count))

    @trio_test
    async def test_a_statement_sent_before_the_last_answer_is_kept(self) -> None:
        async with home() as tested:
            connection = await tested.open()
            replies = await connection.run([*say("READ 1"), *say("READ 2"), *say("READ 3")])
            self.assertEqual([b"signed"] * 3, [each.signature for each in replies])

    @trio_test
    async def test_a_control_statement_is_not_relayed(self) -> None:
        async with home() as tested:
            connection = await tested.open()
            with self.assertRaises(ConnectionLostError):
                await connection.run(say("STEPDOWN 9"))
            self.assertEqual([], tested.instance.caller_statements)
