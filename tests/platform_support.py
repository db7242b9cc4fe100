"""Start stand-ins of the platform in the test process."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from support import trio_test
from tanagerfront.http_client import Address, HttpConnection, HttpReply
from tanagerfront_standin.key_value import KeyValueOptions, KeyValueService


async def listen() -> tuple[list[trio.SocketListener], Address]:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    return listeners, Address("127.0.0.1", listeners[0].socket.getsockname()[1])


async def start_key_value(
    nursery: trio.Nursery, options: KeyValueOptions | None = None
) -> tuple[KeyValueService, Address]:
    service = KeyValueService(options or KeyValueOptions(progress_interval_s=0.1))
    listeners, address = await listen()
    await nursery.start(service.serve, listeners)
    return service, address


def key_value_test(method: Callable[..., Awaitable[None]]) -> Any:
    """Run an async test method with a key-value service on loopback and its address."""

    @functools.wraps(method)
    async def run(self: Any) -> None:
        async with trio.open_nursery() as nursery:
            await method(self, *await start_key_value(nursery, self.options))
            nursery.cancel_scope.cancel()

    return trio_test(run)


async def exchange(address: Address, method: str, path: str, **options: Any) -> HttpReply:
    connection = await HttpConnection.open(address)
    try:
        return await connection.request(method, path, timeout_s=5, **options)
    finally:
        await connection.close()
