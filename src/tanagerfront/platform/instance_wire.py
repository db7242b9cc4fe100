"""Connections to instances over the line protocol (session interface)."""

from __future__ import annotations

from collections.abc import Sequence

import trio

from ..errors import BadRequestError, ConnectionLostError, TooManyConnectionsError
from ..fleet_store import RELAY_VERSION, RegisteredVm
from ..http_client import Address, enable_keepalive, open_tcp
from ..instance_pool import InstanceRefusedError, InstanceStatement
from ..session_model import FailureCode, InstanceRegistration, Reply
from .line_stream import LineStream
from .lines import (
    Complete,
    Error,
    InstanceMessage,
    Ready,
    Row,
    decode_instance_line,
    encode_connect,
    encode_query,
)

__all__ = ["USER_TIMEOUT_MS", "InstanceConnection", "open_instance", "open_relay", "can_connect"]

# An instance in the same region acknowledges a packet within 10 ms. Bytes that stay unacknowledged
# for longer than this show an unresponsive instance or a network path that lost the connection.
USER_TIMEOUT_MS = 600
# A TCP connection takes one round trip, under 10 ms in a region.
TCP_CONNECT_TIMEOUT_S = 0.3


class InstanceConnection:
    """One session at an instance; any failure makes the connection unusable."""

    def __init__(
        self, stream: LineStream, relay_version: int | None = None, home: str = ""
    ) -> None:
        self._stream = stream
        # The process at the other end of a relayed session, which its load readings come from.
        self._home = home
        self._opened_at = trio.current_time()
        # None for an instance, and for a home that accepts only the first version.
        self._relay_version = relay_version
        self._usable = False

    @property
    def usable(self) -> bool:
        """Return whether every reply was read completely."""
        return self._usable

    @property
    def alive(self) -> bool:
        """Return whether the connection is open and no unsolicited data is pending."""
        return self._usable and self._stream.idle

    async def connect(self, group: str, organisation: str, instance: str) -> None:
        """Open the session.

        Raises TooManyConnectionsError, InstanceRefusedError or ConnectionLostError.
        """
        await self._stream.send(encode_connect(group, organisation, instance, self._relay_version))
        match await self._read_message():
            case Ready():
                self._usable = True
            case Error(failure) if failure.code is FailureCode.CONNECTION_LIMIT:
                raise TooManyConnectionsError(failure.text, executed="no")
            case Error(failure):
                raise InstanceRefusedError(failure)
            case message:
                raise ConnectionLostError(f"unexpected {type(message).__name__} after CONNECT")

    async def run(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        """Send statements in one write and return their replies; raises ConnectionLostError.

        A cancelled call leaves the connection unusable.
        """
        self._usable = False
        to_home = self._relay_version is not None
        await self._stream.send(
            b"".join(encode_query(statement, to_home=to_home) for statement in statements)
        )
        replies = [await self._read_reply() for _ in statements]
        self._usable = True
        return replies

    async def close(self) -> None:
        """Close without waiting; the instance rolls back an open transaction.

        Statements without a reply are withdrawn if the instance has not received them.
        """
        answered, self._usable = self._usable, False
        await self._stream.close(answered=answered)

    async def _read_reply(self) -> Reply:
        rows: list[bytes] = []
        signature: bytes | None = None
        failure = None
        while True:
            match await self._read_message():
                case Row(data):
                    rows.append(data)
                case Complete(proof):
                    signature = proof
                case Error(reported):
                    failure = reported
                case Ready(state, reached, load):
                    if signature is None and failure is None:
                        raise ConnectionLostError("reply ended without COMPLETE or ERROR")
                    if load is not None:
                        load = load._replace(home=self._home, session_opened_at=self._opened_at)
                    return Reply(tuple(rows), failure, signature, state, reached, load)

    async def _read_message(self) -> InstanceMessage:
        try:
            return decode_instance_line(await self._stream.read_line())
        except BadRequestError as error:
            raise ConnectionLostError(str(error)) from error


async def open_instance(
    registration: InstanceRegistration, organisation: str
) -> InstanceConnection:
    """Open a session at an instance.

    Raises InstanceRefusedError, TooManyConnectionsError or ConnectionLostError.
    """
    return await _open(registration.address, registration, organisation)


async def open_relay(
    home: RegisteredVm, registration: InstanceRegistration, organisation: str
) -> InstanceConnection:
    """Open a session at an instance through another VM; raises as `open_instance` does."""
    version = min(home.relay_version, RELAY_VERSION)
    return await _open(
        home.address,
        registration,
        organisation,
        version if version > 1 else None,
        home.incarnation,
    )


async def _open(
    address: Address,
    registration: InstanceRegistration,
    organisation: str,
    relay_version: int | None = None,
    home: str = "",
) -> InstanceConnection:
    stream = await open_tcp(address, timeout_s=TCP_CONNECT_TIMEOUT_S)
    enable_keepalive(stream, user_timeout_ms=USER_TIMEOUT_MS, idle_s=1, interval_s=1)
    connection = InstanceConnection(LineStream(stream), relay_version, home)
    try:
        await connection.connect(registration.group, organisation, registration.id)
    except BaseException:
        await connection.close()
        raise
    return connection


async def can_connect(address: Address) -> bool:
    """Return whether a server accepts TCP connections at an address."""
    try:
        stream = await open_tcp(address, timeout_s=TCP_CONNECT_TIMEOUT_S)
    except ConnectionLostError:
        return False
    await LineStream(stream).close(answered=True)
    return True
