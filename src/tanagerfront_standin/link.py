"""TCP link between two processes that tests can cut, half-cut, silence or delay at run time."""

from __future__ import annotations

import enum

import trio

from tanagerfront.http_client import Address

__all__ = ["Direction", "TcpLink"]

RECEIVE_BYTES = 65536


class Direction(enum.Enum):
    """Direction of the bytes on a link, seen from the connecting side."""

    TO_TARGET = "to-target"
    TO_CLIENT = "to-client"


class _Pair:
    """One forwarded connection."""

    def __init__(self, client: trio.abc.Stream) -> None:
        self.client = client
        self.silent = False


class TcpLink:
    """Forward connections from a local port to a target.

    While a direction is cut its bytes are held back, and delivered when it is restored, as by a
    network that loses packets and a TCP that retransmits them. Neither side sees an error.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._cut: frozenset[Direction] = frozenset()
        self._delay_s = 0.0
        self._pairs: set[_Pair] = set()
        self._changed = trio.Event()

    async def run(self, *, task_status: trio.TaskStatus[Address]) -> None:
        """Forward until cancelled; the local address is passed on once it accepts connections."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        task_status.started(Address(*listeners[0].socket.getsockname()[:2]))
        await trio.serve_listeners(self._forward, listeners)

    def cut(self) -> None:
        """Hold back the bytes of both directions, also of new connections."""
        self.cut_directions(*Direction)

    def cut_directions(self, *directions: Direction) -> None:
        """Hold back the bytes of these directions only."""
        self._cut = frozenset(directions)
        self._notify()

    def restore(self) -> None:
        """Deliver what was held back and forward again; silenced connections stay silent."""
        self.cut_directions()

    def silence_existing(self) -> None:
        """Never forward anything again on the connections that are open now."""
        for pair in self._pairs:
            pair.silent = True

    async def reset_existing(self) -> None:
        """Close the connections that are open now."""
        for pair in tuple(self._pairs):
            await trio.aclose_forcefully(pair.client)

    def set_delay(self, delay_s: float) -> None:
        """Delay each piece of data by this many seconds."""
        self._delay_s = delay_s

    def _notify(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()

    async def _forward(self, client: trio.SocketStream) -> None:
        pair = _Pair(client)
        self._pairs.add(pair)
        try:
            await self._wait_open(pair, Direction.TO_TARGET)
            target = await trio.open_tcp_stream(*self._target)
            async with target, trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, pair, client, target, Direction.TO_TARGET, scope)
                nursery.start_soon(self._pump, pair, target, client, Direction.TO_CLIENT, scope)
        except OSError:
            pass
        finally:
            self._pairs.discard(pair)
            await trio.aclose_forcefully(client)

    async def _pump(
        self,
        pair: _Pair,
        source: trio.abc.Stream,
        sink: trio.abc.Stream,
        direction: Direction,
        scope: trio.CancelScope,
    ) -> None:
        """Copy one direction until either side closes, then end both."""
        try:
            while data := await source.receive_some(RECEIVE_BYTES):
                await trio.sleep(self._delay_s)
                await self._wait_open(pair, direction)
                await sink.send_all(data)
            await self._wait_open(pair, direction)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _wait_open(self, pair: _Pair, direction: Direction) -> None:
        if pair.silent:
            await trio.sleep_forever()
        while direction in self._cut:
            await self._changed.wait()
        if pair.silent:
            await trio.sleep_forever()
