"""Requests that were given up: what a partition holds back of them is not delivered afterwards."""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from front_fakes import registration
from support import TestCase, trio_test
from tanagerfront.drain import DrainTiming
from tanagerfront.errors import ConnectionLostError, TanagerfrontError
from tanagerfront.http_client import Address, HttpConnection
from tanagerfront.instance_pool import InstanceStatement
from tanagerfront.messages import Message, ServiceProbe, ServiceProbeReply
from tanagerfront.peers import PeerNetwork
from tanagerfront.platform.instance_control import LineInstanceControl
from tanagerfront.platform.instance_wire import open_instance
from tanagerfront.platform.store import StoreClient
from tanagerfront.session_model import Verbatim
from tanagerfront_standin.link import TcpLink
from test_drain import AUTHORIZATION, READ, DrainBench

# Longer than bytes that were held back need to arrive once their link is restored.
DELIVERY_S = 0.3
GIVEN_UP_S = 0.1

SENDER = """
import sys, trio
from tanagerfront.http_client import Address, HttpConnection

async def main():
    connection = await HttpConnection.open(Address("127.0.0.1", int(sys.argv[1])))
    print("connected", flush=True)
    sys.stdin.readline()
    await connection.request("POST", "/act", b"{}", timeout_s=60)

trio.run(main)
"""


class Target:
    """A server that answers the first lines of a session at an instance, and records the rest."""

    def __init__(self) -> None:
        self.received = b""
        self.closed = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            async for data in stream:
                if data.startswith(b"CONNECT"):
                    await stream.send_all(b"READY I 1.0\r\n")
                else:
                    self.received += data
        self.closed += 1


@asynccontextmanager
async def open_link() -> AsyncIterator[tuple[TcpLink, Address, Target]]:
    """Yield a link to a target, and the address at which the link is reached."""
    async with trio.open_nursery() as nursery:
        target = Target()
        listeners = await nursery.start(trio.serve_tcp, target.serve, 0)
        link = TcpLink(Address("127.0.0.1", listeners[0].socket.getsockname()[1]))
        yield link, await nursery.start(link.run), target
        nursery.cancel_scope.cancel()


async def restore(link: TcpLink) -> None:
    """Restore a link and wait until all that it held back has arrived."""
    link.restore()
    await trio.sleep(DELIVERY_S)


class LeavingCallerTest(TestCase):
    @trio_test
    async def test_no_write_is_sent_for_a_caller_of_the_http_interface_that_has_left(self) -> None:
        # Guards against a write or a commit that a VM makes after it was frozen, when its caller
        # has given up and written again through another VM.
        vm = DrainBench(DrainTiming(delay_s=0, limit_s=5))
        write = b'{"statements": [{"sql": "DELETE FROM t"}], "mode": "write"}'
        async with vm.serving():
            for path, body in (("/batch", write), ("/transaction", b""), ("/batch", READ)):
                caller = await trio.open_tcp_stream(*vm.address)
                # Without a checkpoint in between, the VM reads the request of a caller that left.
                os.write(caller.socket.fileno(), _request(f"/v1/groups/orders-1{path}", body))
                if path == "/transaction":
                    await caller.receive_some()
                    os.write(caller.socket.fileno(), _request("/v1/transaction/commit", b""))
                caller.socket.close()
                await trio.sleep(DELIVERY_S)
        self.assertEqual(["read"], [request.mode for request in vm.bench.home.requests])
        self.assertNotIn("commit", vm.bench.home.actions)


def _request(path: str, body: bytes) -> bytes:
    [(name, value)] = AUTHORIZATION
    head = f"POST {path} HTTP/1.1\r\n{name}: {value}\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


class WithdrawalTest(TestCase):
    @trio_test
    async def test_a_request_that_was_given_up_is_not_delivered_later(self) -> None:
        # Guards against a call to the platform or a database that is executed after its sender has
        # given it up, when others have acted meanwhile.
        async with open_link() as (link, address, target):
            for cancelled in (False, True):
                connection = await HttpConnection.open(address)
                # The link has opened its connection to the target.
                await trio.sleep(DELIVERY_S / 10)
                link.cut()
                with trio.move_on_after(GIVEN_UP_S if cancelled else 60):
                    with contextlib.suppress(ConnectionLostError):
                        await connection.request("POST", "/act", b"{}", timeout_s=GIVEN_UP_S * 2)
                await restore(link)
                self.assertEqual(b"", target.received)

    @trio_test
    async def test_a_request_of_a_killed_process_is_not_delivered_later(self) -> None:
        # Guards against an order of a promoter that was killed, delivered after its successor, or
        # its next process, has acted.
        async with open_link() as (link, address, target):
            sender = await trio.lowlevel.open_process(
                [sys.executable, "-c", SENDER, str(address.port)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            assert sender.stdin is not None and sender.stdout is not None
            await sender.stdout.receive_some()
            link.cut()
            await sender.stdin.send_all(b"\n")
            await trio.sleep(DELIVERY_S)
            sender.kill()
            await sender.wait()
            await restore(link)
            self.assertEqual(b"", target.received)

    @trio_test
    async def test_a_call_to_the_store_that_was_given_up_is_not_delivered_later(self) -> None:
        # Guards against a renewal that prolongs the lease of a VM that has ended.
        async with open_link() as (link, address, target):
            link.cut()
            with contextlib.suppress(TanagerfrontError):
                await StoreClient(address, GIVEN_UP_S).keep_alive(7)
            await restore(link)
            self.assertEqual(b"", target.received)

    @trio_test
    async def test_statements_that_were_given_up_are_not_delivered_later(self) -> None:
        # Guards against a write that takes effect after the caller was told that its outcome is
        # unknown and has written again, and against a late step-down or pause.
        async with open_link() as (link, address, target):
            entry = registration("i-1")._replace(address=address)
            for number in range(2):
                connection = await open_instance(entry, "foremen")
                link.cut()
                with trio.move_on_after(GIVEN_UP_S):
                    await connection.run([InstanceStatement(f"w{number}", Verbatim("WRITE 1 a"))])
                await connection.close()
                await restore(link)
                self.assertEqual(b"", target.received)
            with trio.move_on_after(GIVEN_UP_S):
                await LineInstanceControl().step_down(entry, 7)
            self.assertEqual(b"QUERY - STEPDOWN 7\r\n", target.received)

    @trio_test
    async def test_a_call_to_a_vm_that_was_given_up_is_not_delivered_later(self) -> None:
        # Guards against a write that a home executes seconds after its entry VM has told the caller
        # that the outcome is unknown.
        received: list[str] = []

        async def receive(_vm: str, probe: ServiceProbe) -> Message:
            received.append(probe.vm)
            return ServiceProbeReply(0.0)

        async with trio.open_nursery() as nursery:
            local = Address("127.0.0.1", 0)
            first, second = PeerNetwork("a", local), PeerNetwork("b", local)
            await nursery.start(first.run)
            await nursery.start(second.run)
            second.register(ServiceProbe, receive)
            link = TcpLink(second.listen_address)
            first.set_peers({"b": await nursery.start(link.run)})
            await first.call("b", ServiceProbe("answered"), 5)
            link.cut()
            with contextlib.suppress(ConnectionLostError):
                await first.call("b", ServiceProbe("given up"), GIVEN_UP_S)
            # The silent stream is replaced.
            with contextlib.suppress(ConnectionLostError):
                await first.call("b", ServiceProbe("lost"), 10)
            await restore(link)
            self.assertEqual(["answered"], received)
            await first.call("b", ServiceProbe("later"), 5)
            self.assertEqual(["answered", "later"], received)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_a_connection_without_an_open_request_is_closed_and_not_reset(self) -> None:
        # Guards against connections that an instance counts for seconds after they were closed,
        # because a reset is sent only once.
        async with trio.open_nursery() as nursery:
            errors: list[Exception] = []

            async def serve(stream: trio.SocketStream) -> None:
                try:
                    async for data in stream:
                        if data.startswith(b"CONNECT"):
                            await stream.send_all(b"READY I 1.0\r\n")
                        else:
                            await stream.send_all(b"HTTP/1.1 200 -\r\ncontent-length: 0\r\n\r\n")
                except trio.BrokenResourceError as error:
                    errors.append(error)

            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            connection = await HttpConnection.open(address)
            await connection.request("GET", "/", timeout_s=5)
            await connection.close()
            entry = registration("i-1")._replace(address=address)
            await (await open_instance(entry, "foremen")).close()
            await trio.sleep(DELIVERY_S)
            nursery.cancel_scope.cancel()
        self.assertEqual([], errors)
