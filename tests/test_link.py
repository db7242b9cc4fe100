"""Tests of the TCP link that injects network faults into other tests."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import trio

from support import TestCase, trio_test
from tanagerfront.http_client import Address, drop_unsent_on_close
from tanagerfront_standin.link import Direction, TcpLink

ECHO_TIMEOUT_S = 0.15


class Echo:
    """A server that echoes and records the bytes it receives."""

    def __init__(self) -> None:
        self.received = b""

    async def serve(self, stream: trio.SocketStream) -> None:
        async for data in stream:
            self.received += data
            await stream.send_all(data)


@contextlib.asynccontextmanager
async def open_link() -> AsyncIterator[tuple[TcpLink, Address, Echo]]:
    async with trio.open_nursery() as nursery:
        echo = Echo()
        listeners = await nursery.start(trio.serve_tcp, echo.serve, 0)
        link = TcpLink(Address("127.0.0.1", listeners[0].socket.getsockname()[1]))
        address = await nursery.start(link.run)
        yield link, address, echo
        nursery.cancel_scope.cancel()


async def exchange(stream: trio.SocketStream, data: bytes) -> bytes | None:
    """Send data and return the echo, or None if none arrives within ECHO_TIMEOUT_S."""
    await stream.send_all(data)
    with trio.move_on_after(ECHO_TIMEOUT_S):
        return bytes(await stream.receive_some())
    return None


class LinkTest(TestCase):
    @trio_test
    async def test_new_connections_are_held_while_open_ones_go_on(self) -> None:
        # Guards against a simulated fault that also harms the connections that are open.
        async with open_link() as (link, address, _):
            stream = await trio.open_tcp_stream(*address)
            self.assertEqual(b"1", await exchange(stream, b"1"))
            link.hold_new()
            new = await trio.open_tcp_stream(*address)
            self.assertIsNone(await exchange(new, b"2"))
            self.assertEqual(b"3", await exchange(stream, b"3"))
            link.restore()
            self.assertEqual(b"2", bytes(await new.receive_some()))

    @trio_test
    async def test_cut_holds_bytes_back_until_restored(self) -> None:
        # Guards against a simulated partition that causes a connection error, or that drops bytes
        # that TCP would retransmit.
        async with open_link() as (link, address, echo):
            stream = await trio.open_tcp_stream(*address)
            self.assertEqual(b"1", await exchange(stream, b"1"))
            link.cut()
            self.assertIsNone(await exchange(stream, b"2"))
            new = await trio.open_tcp_stream(*address)
            self.assertIsNone(await exchange(new, b"3"))
            self.assertEqual(b"1", echo.received)
            link.restore()
            self.assertEqual(b"2", await stream.receive_some())
            self.assertEqual(b"3", await new.receive_some())

    @trio_test
    async def test_cut_response_direction_still_delivers_the_request(self) -> None:
        # Guards against simulating a lost response by losing the request.
        async with open_link() as (link, address, echo):
            stream = await trio.open_tcp_stream(*address)
            link.cut_directions(Direction.TO_CLIENT)
            self.assertIsNone(await exchange(stream, b"1"))
            self.assertEqual(b"1", echo.received)
            link.cut_directions(Direction.TO_TARGET)
            self.assertEqual(b"1", await stream.receive_some())
            self.assertIsNone(await exchange(stream, b"2"))
            self.assertEqual(b"1", echo.received)

    @trio_test
    async def test_bytes_held_back_are_lost_with_their_connection(self) -> None:
        # Guards against a link that ends, or delivers what it held back, when their connection is
        # reset by their sender or by the fault injection; a close delivers them.
        async with open_link() as (link, address, echo):
            for ending in ("reset by the link", "reset", "close"):
                stream = await trio.open_tcp_stream(*address)
                self.assertEqual(b"1", await exchange(stream, b"1"))
                link.cut()
                await stream.send_all(ending.encode())
                await trio.sleep(ECHO_TIMEOUT_S)
                if ending == "reset by the link":
                    await link.reset_existing()
                if ending == "reset":
                    drop_unsent_on_close(stream)
                await stream.aclose()
                link.restore()
                await trio.sleep(ECHO_TIMEOUT_S)
            self.assertEqual(b"111close", echo.received)

    @trio_test
    async def test_silenced_connections_stay_silent_while_new_ones_work(self) -> None:
        # Guards against silenced connections that forward again when a cut is restored.
        async with open_link() as (link, address, _echo):
            old = await trio.open_tcp_stream(*address)
            self.assertEqual(b"1", await exchange(old, b"1"))
            link.silence_existing()
            self.assertIsNone(await exchange(old, b"2"))
            new = await trio.open_tcp_stream(*address)
            self.assertEqual(b"3", await exchange(new, b"3"))
            link.cut()
            link.restore()
            self.assertIsNone(await exchange(old, b"4"))

    @trio_test
    async def test_delay_applies_to_each_direction_and_reset_closes_connections(self) -> None:
        # Guards against a delay or reset without effect, which would void the tests that use them.
        async with open_link() as (link, address, _echo):
            stream = await trio.open_tcp_stream(*address)
            link.set_delay(0.05)
            started_at = trio.current_time()
            self.assertEqual(b"1", await exchange(stream, b"1"))
            self.assertGreaterEqual(trio.current_time() - started_at, 0.1)
            await link.reset_existing()
            with contextlib.suppress(trio.BrokenResourceError):
                self.assertEqual(b"", await stream.receive_some())
