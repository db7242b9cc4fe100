"""HTTP server and client: framing, limits and unresponsive peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from support import TestCase, trio_test
from tanagerfront.errors import BadRequestError, ConnectionLostError
from tanagerfront.http_client import Address, HttpConnection
from tanagerfront.http_server import ConnectionHandler, HttpLimits, Request, Response, serve_http


async def _write_much(write: Callable[[bytes], Awaitable[None]]) -> None:
    for _ in range(100):
        await write(b"x" * 1_000_000)


class EchoHandler(ConnectionHandler):
    async def handle(self, request: Request) -> Response:
        if request.path == "/slow":
            await trio.sleep(60)
        if request.path == "/stream":
            return Response(200, stream=_write_much)
        if request.path == "/defect":
            raise RuntimeError("unexpected")
        return Response(200, request.body)

    def handle_bad_request(self, error: BadRequestError) -> Response:
        return Response(error.status, error.message.encode(), close=True)


async def start_server(nursery: trio.Nursery, limits: HttpLimits) -> Address:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    await nursery.start(serve_http, listeners, lambda _stream: EchoHandler(), limits)
    return Address("127.0.0.1", listeners[0].socket.getsockname()[1])


class HttpTest(TestCase):
    @trio_test
    async def test_connection_serves_several_requests(self) -> None:
        # Guards against state of a request that leaks into the next one on the same connection.
        async with trio.open_nursery() as nursery:
            address = await start_server(nursery, HttpLimits())
            connection = await HttpConnection.open(address)
            for number in range(3):
                body = b"x" * number * 70000
                reply = await connection.request("POST", "/", body, timeout_s=5)
                self.assertEqual((200, body), (reply.status, reply.body))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_defect_in_a_handler_ends_only_its_connection(self) -> None:
        # Guards against an unexpected error in one request that ends the process.
        async with trio.open_nursery() as nursery:
            address = await start_server(nursery, HttpLimits())
            other = await HttpConnection.open(address)
            connection = await HttpConnection.open(address)
            with self.assertRaises(ConnectionLostError):
                await connection.request("GET", "/defect", b"", timeout_s=5)
            self.assertEqual(200, (await other.request("GET", "/", b"", timeout_s=5)).status)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_streamed_body_that_is_not_read_ends_the_connection(self) -> None:
        # Guards against a connection that is held for ever by a peer that stops reading.
        async with trio.open_nursery() as nursery:
            address = await start_server(nursery, HttpLimits(write_timeout_s=0.2))
            stream = await trio.open_tcp_stream(*address)
            await stream.send_all(b"GET /stream HTTP/1.1\r\n\r\n")
            await trio.sleep(0.5)
            received = 0
            with trio.fail_after(5):
                try:
                    while data := await stream.receive_some(1_000_000):
                        received += len(data)
                except trio.BrokenResourceError:
                    pass
            self.assertLess(received, 100_000_000)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_oversized_body_is_rejected(self) -> None:
        # Guards against a request body that exhausts the memory of the VM.
        async with trio.open_nursery() as nursery:
            address = await start_server(nursery, HttpLimits(max_body_bytes=10))
            connection = await HttpConnection.open(address)
            reply = await connection.request("POST", "/", b"x" * 11, timeout_s=5)
            self.assertEqual(413, reply.status)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_malformed_request_gets_status_400(self) -> None:
        # Guards against a parser error that ends the process or leaves the request unanswered.
        async with trio.open_nursery() as nursery:
            address = await start_server(nursery, HttpLimits())
            stream = await trio.open_tcp_stream(*address)
            await stream.send_all(b"\x00\x01 nonsense\r\n\r\n")
            response = await stream.receive_some(1000)
            self.assertTrue(response.startswith(b"HTTP/1.1 400"))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_repeated_authorization_header_is_rejected(self) -> None:
        # Guards against a request with two keys, of which two readers could use different ones.
        async with trio.open_nursery() as nursery:
            address = await start_server(nursery, HttpLimits())
            connection = await HttpConnection.open(address)
            headers = [("authorization", "Bearer a"), ("authorization", "Bearer b")]
            reply = await connection.request("GET", "/", headers=headers, timeout_s=5)
            self.assertEqual(400, reply.status)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_timeout_closes_the_connection(self) -> None:
        # Guards against reuse of a connection on which the late reply to a timed-out request would
        # be taken for the reply to the next one.
        async with trio.open_nursery() as nursery:
            address = await start_server(nursery, HttpLimits())
            connection = await HttpConnection.open(address)
            with self.assertRaises(ConnectionLostError) as caught:
                await connection.request("GET", "/slow", timeout_s=0.05)
            self.assertEqual("unknown", caught.exception.executed)
            self.assertFalse(connection.usable)
            nursery.cancel_scope.cancel()
