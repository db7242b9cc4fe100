"""TCP forwarder that tests use to inject network faults between two processes."""

from __future__ import annotations

import enum
import select
from collections.abc import Callable

import trio

from tanagerfront.http_client import Address

__all__ = ["Direction", "TcpLink"]

RECEIVE_BYTES = 65536


class Direction(enum.Enum):
    """Direction of the bytes on a link; the client is the side that connects."""

    TO_TARGET = "to-target"
    TO_CLIENT = "to-client"


class _ForwardedConnection:
    """One forwarded connection; while `silent`, its bytes are not forwarded."""

    def __init__(self, client: trio.SocketStream) -> None:
        self.client = client
        self.silent = False


def _was_reset(source: trio.SocketStream) -> bool:
    """Return whether either side reset the connection, rather than the peer closing it."""
    descriptor = source.socket.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, 0)
    return any(events & select.POLLERR for _, events in poll.poll(0))


class TcpLink:
    """Forward connections from a local port to a target.

    While a direction is cut, its bytes are held back and then delivered once it is restored, as
    with TCP retransmission after packet loss. Neither side sees an error. Bytes held back are lost
    if their sender resets the connection; if it closes the connection, they are delivered.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._cut: frozenset[Direction] = frozenset()
        self._holds_new = False
        self._delay_s = 0.0
        self._connections: set[_ForwardedConnection] = set()
        self._changed = trio.Event()
        # Called with the bytes from a client before they are forwarded.
        self.on_data: Callable[[bytes], None] = lambda data: None

    async def run(self, *, task_status: trio.TaskStatus[Address]) -> None:
        """Forward until cancelled; report the local address to the nursery once listening."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        task_status.started(Address(*listeners[0].socket.getsockname()[:2]))
        await trio.serve_listeners(self._forward, listeners)

    def cut(self) -> None:
        """Hold back the bytes in both directions, on existing and new connections."""
        self.cut_directions(*Direction)

    def cut_directions(self, *directions: Direction) -> None:
        """Hold back the bytes in the given directions and restore the others."""
        self._cut = frozenset(directions)
        self._wake_waiters()

    def hold_new(self) -> None:
        """Hold back the bytes of new connections; those that are open go on."""
        self._holds_new = True

    def restore(self) -> None:
        """Deliver the bytes held back and resume forwarding, except on silenced connections."""
        self._holds_new = False
        self.cut_directions()

    def silence_existing(self) -> None:
        """Permanently stop forwarding on the connections that are currently open."""
        for connection in self._connections:
            connection.silent = True

    async def reset_existing(self) -> None:
        """Abruptly close the connections that are currently open."""
        for connection in tuple(self._connections):
            await trio.aclose_forcefully(connection.client)

    def set_delay(self, delay_s: float) -> None:
        """Delay each chunk of received data by `delay_s` seconds."""
        self._delay_s = delay_s

    def _wake_waiters(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()

    async def _forward(self, client: trio.SocketStream) -> None:
        connection = _ForwardedConnection(client)
        self._connections.add(connection)
        try:
            while self._holds_new:
                await self._changed.wait()
            await self._wait_until_forwarding(connection, Direction.TO_TARGET)
            target = await trio.open_tcp_stream(*self._target)
            async with target, trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(
                    self._pump, connection, client, target, Direction.TO_TARGET, scope
                )
                nursery.start_soon(
                    self._pump, connection, target, client, Direction.TO_CLIENT, scope
                )
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            await trio.aclose_forcefully(client)

    async def _pump(
        self,
        connection: _ForwardedConnection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: Direction,
        scope: trio.CancelScope,
    ) -> None:
        """Copy one direction until either side closes, then cancel both directions."""
        try:
            while data := await source.receive_some(RECEIVE_BYTES):
                if direction is Direction.TO_TARGET:
                    self.on_data(bytes(data))
                await trio.sleep(self._delay_s)
                await self._wait_until_forwarding(connection, direction)
                if _was_reset(source):
                    break
                await sink.send_all(data)
            await self._wait_until_forwarding(connection, direction)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _wait_until_forwarding(
        self, connection: _ForwardedConnection, direction: Direction
    ) -> None:
        if connection.silent:
            await trio.sleep_forever()
        while direction in self._cut:
            await self._changed.wait()
        if connection.silent:
            await trio.sleep_forever()
