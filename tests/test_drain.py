"""Tests of the graceful shutdown: probes, new callers, requests in progress and signals."""

from __future__ import annotations

import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import trio

from entry_fakes import KEY, EntryBench
from support import TestCase, trio_test
from tanagerfront.caller_connections import CallerConnections
from tanagerfront.drain import Drain, DrainState, DrainStatus, DrainTiming
from tanagerfront.errors import ConnectionLostError
from tanagerfront.http_client import Address, HttpConnection, HttpReply
from tanagerfront.http_server import serve_http

AUTHORIZATION = [("authorization", f"Bearer {KEY}")]
READ = b'{"statements": [{"sql": "SELECT 1"}], "mode": "read"}'
RAW_READ = b"POST /v1/groups/orders-1/batch HTTP/1.1\r\nauthorization: Bearer %s\r\n" % KEY.encode()
RAW_READ += b"content-length: %d\r\n\r\n%s" % (len(READ), READ)


class DrainBench:
    """The caller port of a VM on fake services, with a drain."""

    def __init__(self, timing: DrainTiming, max_connections: int = 10) -> None:
        self.bench = EntryBench()
        self.status = DrainStatus()
        services = self.bench.services._replace(readiness=self.status)
        self.connections = CallerConnections(services, self.bench.metrics, max_connections)
        self.timing = timing
        self.release = mock.AsyncMock()

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[trio.Nursery]:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        self.drain = Drain(self.status, self.timing, self.connections, listeners, self.release)
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_http, listeners, self.connections.handler)
            yield nursery
            if self.status.state is not DrainState.DONE:
                nursery.cancel_scope.cancel()

    async def connect(self) -> HttpConnection:
        return await HttpConnection.open(self.address, timeout_s=1)

    async def batch(self, connection: HttpConnection) -> HttpReply:
        path = "/v1/groups/orders-1/batch"
        return await connection.request("POST", path, READ, headers=AUTHORIZATION, timeout_s=5)


class DrainTest(TestCase):
    @trio_test
    async def test_request_in_progress_finishes_and_idle_connections_close(self) -> None:
        # Guards against a shutdown that interrupts a request or waits for idle connections.
        vm = DrainBench(DrainTiming(delay_s=0.5, limit_s=20))
        vm.bench.home.outcomes = [1.5]
        replies: list[HttpReply] = []
        async with vm.serving() as nursery:
            idle, slow = await vm.connect(), await vm.connect()

            async def call() -> None:
                replies.append(await vm.batch(slow))

            nursery.start_soon(call)
            await trio.sleep(0.05)
            vm.drain.request_shutdown()
            with trio.fail_after(4):
                await vm.drain.run()
            # The server tasks end by themselves when the last connection is closed.
        self.assertEqual([200], [reply.status for reply in replies])
        self.assertEqual("close", replies[0].headers["connection"])
        vm.release.assert_awaited_once()
        self.assertEqual(DrainState.DONE, vm.status.state)
        with self.assertRaises(ConnectionLostError):
            await idle.request("GET", "/healthz", timeout_s=1)

    @trio_test
    async def test_new_callers_are_served_during_the_delay_and_refused_after_it(self) -> None:
        # Guards against refused connections while the load balancer still uses this VM.
        vm = DrainBench(DrainTiming(delay_s=0.6, limit_s=5))
        async with vm.serving() as nursery:
            nursery.start_soon(vm.drain.run)
            vm.drain.request_shutdown()
            await trio.sleep(0.1)
            ready = await (await vm.connect()).request("GET", "/readyz", timeout_s=1)
            served = await vm.batch(await vm.connect())
            self.assertEqual((503, 200), (ready.status, served.status))
            await trio.sleep(1)
            with self.assertRaises(ConnectionLostError) as caught:
                await vm.connect()
            self.assertEqual("no", caught.exception.executed)

    @trio_test
    async def test_drain_limit_ends_the_wait_for_a_request(self) -> None:
        # Guards against a VM that never stops because a request never ends, and against a request
        # that is cut off without an answer when the limit has passed.
        vm = DrainBench(DrainTiming(delay_s=0, limit_s=0.3))
        vm.bench.home.outcomes = [60.0]
        async with vm.serving() as nursery:
            stream = await trio.open_tcp_stream(*vm.address)
            await stream.send_all(RAW_READ)
            await trio.sleep(0.1)
            vm.drain.request_shutdown()
            with trio.fail_after(2):
                await vm.drain.run()
            vm.release.assert_awaited_once()
            answer = bytes(await stream.receive_some())
            self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
            self.assertIn(b'"executed":"unknown"', answer)
            self.assertEqual(0, vm.connections.busy)
            await stream.aclose()
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_open_transaction_can_commit_during_the_drain(self) -> None:
        # Guards against a transaction that the shutdown interrupts between two requests.
        vm = DrainBench(DrainTiming(delay_s=0, limit_s=5))
        async with vm.serving() as nursery:
            connection = await vm.connect()

            async def step(path: str) -> int:
                reply = await connection.request("POST", path, headers=AUTHORIZATION, timeout_s=1)
                return reply.status

            self.assertEqual(200, await step("/v1/groups/orders-1/transaction"))
            vm.drain.request_shutdown()
            nursery.start_soon(vm.drain.run)
            await trio.sleep(0.5)
            self.assertEqual(200, await step("/v1/transaction/commit"))

    @trio_test
    async def test_first_signal_begins_the_drain_and_the_second_ends_the_wait(self) -> None:
        # Guards against a first signal that ends the process at once and an ignored second one.
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            vm = DrainBench(DrainTiming(delay_s=30, limit_s=30))
            async with vm.serving() as nursery:
                await nursery.start(vm.drain.watch_signals)
                nursery.start_soon(vm.drain.run)
                os.kill(os.getpid(), signal_number)
                await self._wait_for_state(vm, DrainState.ANNOUNCED)
                os.kill(os.getpid(), signal_number)
                await self._wait_for_state(vm, DrainState.DONE)
                nursery.cancel_scope.cancel()

    async def _wait_for_state(self, vm: DrainBench, state: DrainState) -> None:
        for _ in range(200):
            if vm.status.state is state:
                return
            await trio.sleep(0.01)
        self.fail(f"the state is {vm.status.state}, expected {state}")

    @trio_test
    async def test_connections_above_the_limit_are_refused(self) -> None:
        # Guards against memory use that grows without bound with the number of connections.
        vm = DrainBench(DrainTiming(), max_connections=1)
        async with vm.serving():
            first, second = await vm.connect(), await vm.connect()
            self.assertEqual(200, (await vm.batch(first)).status)
            refused = await vm.batch(second)
            self.assertEqual((503, "close"), (refused.status, refused.headers["connection"]))
            await first.close()
            await trio.sleep(0.05)
            self.assertEqual(200, (await vm.batch(await vm.connect())).status)
            gauge = vm.bench.metrics.set_connections.call_args_list
            self.assertEqual([1, 0, 1], [call.args[1] for call in gauge])
