"""Calls between VMs over real streams on the loopback interface."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import trio

from standin_group import free_address
from support import TestCase, trio_test
from tanagerfront.errors import (
    ConnectionLostError,
    PeerUnreachableError,
    RateLimitedError,
    SqlError,
    StaleTermError,
    TanagerfrontError,
)
from tanagerfront.http_client import Address
from tanagerfront.messages import Message, ServiceProbe, ServiceProbeReply
from tanagerfront.peers import PeerNetwork

LOOPBACK = Address("127.0.0.1", 0)


@contextlib.asynccontextmanager
async def two_networks() -> AsyncIterator[tuple[PeerNetwork, PeerNetwork]]:
    async with trio.open_nursery() as nursery:
        first, second = PeerNetwork("a", LOOPBACK), PeerNetwork("b", LOOPBACK)
        await nursery.start(first.run)
        await nursery.start(second.run)
        first.set_peers({"b": second.listen_address})
        second.set_peers({"a": first.listen_address})
        yield first, second
        nursery.cancel_scope.cancel()


async def echo_after_delay(vm: str, probe: ServiceProbe) -> Message:
    """Reply with the number in the probe after a delay of 100 ms minus the number in ms."""
    number = float(probe.vm)
    await trio.sleep((100 - number) / 1000)
    return ServiceProbeReply(number)


class PeersTest(TestCase):
    @trio_test
    async def test_replies_reach_the_waiter_of_their_request(self) -> None:
        # Guards against a reply that reaches the waiter of another request.
        async with two_networks() as (first, second):
            second.register(ServiceProbe, echo_after_delay)
            replies: dict[int, Message] = {}

            async def call_peer(number: int) -> None:
                # Every third caller times out before its reply, so that late replies arrive too.
                probe = ServiceProbe(str(number))
                if number % 3:
                    replies[number] = await first.call("b", probe, 30)
                    return
                with contextlib.suppress(ConnectionLostError, PeerUnreachableError):
                    replies[number] = await first.call("b", probe, 0.03)

            async with trio.open_nursery() as nursery:
                for number in range(100):
                    nursery.start_soon(call_peer, number)
            wrong = {n: r for n, r in replies.items() if r != ServiceProbeReply(float(n))}
            self.assertEqual({}, wrong)
            self.assertTrue({n for n in range(100) if n % 3} <= replies.keys())
            # A caller that timed out leaves no waiter for a late reply.
            self.assertEqual({}, first._links["b"][0]._waiters)

    @trio_test
    async def test_errors_keep_class_and_attributes(self) -> None:
        # Guards against an error that changes its class or `executed` between VMs.
        errors: list[TanagerfrontError] = [
            RateLimitedError("slow down", retry_after_s=1.5),
            SqlError("no such table", code="syntax", index=2, executed="unknown"),
            StaleTermError("old", term=7),
            ConnectionLostError("gone", executed="no"),
        ]

        async def raise_error(vm: str, probe: ServiceProbe) -> Message:
            raise errors[int(probe.vm)]

        async with two_networks() as (first, second):
            second.register(ServiceProbe, raise_error)
            for number, sent in enumerate(errors):
                with self.assertRaises(type(sent)) as caught:
                    await first.call("b", ServiceProbe(str(number)), 5)
                self.assertEqual(vars(sent), vars(caught.exception))

    @trio_test
    async def test_failing_handler_replies_with_an_error(self) -> None:
        # Guards against a defect in one handler that ends the process or leaves its caller waiting.
        async def raise_unexpected(vm: str, probe: ServiceProbe) -> Message:
            raise ZeroDivisionError

        async with two_networks() as (first, second):
            second.register(ServiceProbe, raise_unexpected)
            with self.assertRaises(TanagerfrontError) as caught:
                await first.call("b", ServiceProbe(""), 5)
            self.assertEqual("unknown", caught.exception.executed)

    @trio_test
    async def test_unsent_and_sent_calls_report_different_outcomes(self) -> None:
        # Guards against `executed` "no" for a message that the peer may have handled, and against
        # "unknown" for one that was never sent.
        async with two_networks() as (first, second):
            second.register(ServiceProbe, echo_after_delay)
            with self.assertRaises(ConnectionLostError) as lost:
                await first.call("b", ServiceProbe("-900"), 0.1)
            self.assertEqual("unknown", lost.exception.executed)
            first.set_peers({"b": free_address()})
            with self.assertRaises(PeerUnreachableError) as unsent:
                await first.call("b", ServiceProbe("1"), 5)
            self.assertEqual("no", unsent.exception.executed)

    @trio_test
    async def test_cancelled_caller_cancels_the_handler(self) -> None:
        # Guards against a handler that continues after its caller was cancelled.
        ended = trio.Event()

        async def wait_forever(vm: str, probe: ServiceProbe) -> Message:
            try:
                await trio.sleep_forever()
            finally:
                ended.set()
            raise AssertionError

        async with two_networks() as (first, second):
            second.register(ServiceProbe, wait_forever)
            with trio.move_on_after(0.1):
                await first.call("b", ServiceProbe(""), 60)
            with trio.fail_after(2):
                await ended.wait()

    @trio_test
    async def test_silent_stream_is_replaced(self) -> None:
        # Guards against calls that keep using an open stream on which the peer no longer replies.
        async with two_networks() as (first, second), trio.open_nursery() as nursery:
            second.register(ServiceProbe, echo_after_delay)
            relay = Relay(second.listen_address)
            first.set_peers({"b": await nursery.start(relay.run)})
            await first.call("b", ServiceProbe("100"), 5)
            relay.silence_open_connections()
            started = trio.current_time()
            with self.assertRaises(ConnectionLostError):
                await first.call("b", ServiceProbe("100"), 30)
            self.assertLess(trio.current_time() - started, 4)
            await first.call("b", ServiceProbe("100"), 5)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_stream_is_reopened_after_a_peer_restart(self) -> None:
        # Guards against a stream that is not reopened after its peer's process was replaced.
        async with two_networks() as (first, second), trio.open_nursery() as nursery:
            old = PeerNetwork("c", LOOPBACK)
            async with trio.open_nursery() as old_nursery:
                old.register(ServiceProbe, echo_after_delay)
                await old_nursery.start(old.run)
                first.set_peers({"c": old.listen_address})
                await first.call("c", ServiceProbe("100"), 5)
                old_nursery.cancel_scope.cancel()
            with self.assertRaises(TanagerfrontError):
                await first.call("c", ServiceProbe("100"), 5)
            new = PeerNetwork("c", old.listen_address)
            new.register(ServiceProbe, echo_after_delay)
            await nursery.start(new.run)
            await trio.sleep(0.5)
            await first.call("c", ServiceProbe("100"), 5)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_slow_handler_does_not_replace_the_stream(self) -> None:
        # Guards against replacing a stream because one handler is slow.
        async with two_networks() as (first, second):
            second.register(ServiceProbe, echo_after_delay)
            reply = await first.call("b", ServiceProbe("-2900"), 10)
            self.assertEqual(ServiceProbeReply(-2900), reply)


class Relay:
    """A TCP relay whose open connections can be silenced while new ones work."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._silenced = 0
        self._opened = 0

    def silence_open_connections(self) -> None:
        self._silenced = self._opened

    async def run(self, *, task_status: trio.TaskStatus[Address]) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        task_status.started(Address("127.0.0.1", listeners[0].socket.getsockname()[1]))
        await trio.serve_listeners(self._relay, listeners)

    async def _relay(self, caller: trio.SocketStream) -> None:
        self._opened += 1
        number = self._opened
        target = await trio.open_tcp_stream(*self._target)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, number, caller, target)
            nursery.start_soon(self._copy, number, target, caller)

    async def _copy(self, number: int, source: trio.SocketStream, to: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in source:
                if number > self._silenced:
                    await to.send_all(data)
