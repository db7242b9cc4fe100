"""In-memory key-value service and peer network with faults, for trio's mock clock."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

import trio

from tanagerfront.errors import (
    ConnectionLostError,
    KeyValueTimeoutError,
    KeyValueUnavailableError,
    PeerUnreachableError,
)
from tanagerfront.http_client import Address
from tanagerfront.kv import KeyValue, WatchEvent
from tanagerfront.messages import ErrorReply, Message
from tanagerfront.peers import PeerNetwork, error_from_reply

KV_TIMEOUT_S = 2.0
LATENCY_S = 0.002
KV_LATENCY_S = 0.002


class ListedVm(NamedTuple):
    id: str
    address: Address


class Faults:
    """Active faults, shared by the service, its clients and the networks."""

    def __init__(self) -> None:
        self.service_down = False
        # VMs that cannot reach the service, and pairs (from, to) that cannot reach each other.
        self.service_cuts: set[str] = set()
        self.peer_cuts: set[tuple[str, str]] = set()
        self.lost_replies: dict[str, int] = {}
        self.duplicated: set[str] = set()
        self._resumed: dict[str, trio.Event] = {}

    def cut(self, first: str, second: str) -> None:
        self.peer_cuts |= {(first, second), (second, first)}

    def heal(self) -> None:
        self.peer_cuts.clear()
        self.service_cuts.clear()

    def pause(self, vm: str) -> None:
        self._resumed.setdefault(vm, trio.Event())

    def resume(self, vm: str) -> None:
        if vm in self._resumed:
            self._resumed.pop(vm).set()

    def paused(self, vm: str) -> bool:
        return vm in self._resumed

    async def wait_while_paused(self, vm: str) -> None:
        """Wait until the VM is not paused; calls and messages that arrive meanwhile are delayed."""
        while vm in self._resumed:
            await self._resumed[vm].wait()

    def consume_lost_reply(self, vm: str) -> bool:
        remaining = self.lost_replies.get(vm, 0)
        self.lost_replies[vm] = max(0, remaining - 1)
        return remaining > 0


class FakeService:
    """State of the key-value service."""

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.values: dict[str, KeyValue] = {}
        self.leases: dict[int, tuple[int, float]] = {}
        self.log: list[WatchEvent] = []
        self.revision = 0
        self._next_lease = 1000
        self._changed = trio.Event()

    def set_down(self, down: bool) -> None:
        self.expire()
        recovered = self.faults.service_down and not down
        self.faults.service_down = down
        if recovered:
            now = trio.current_time()
            self.leases = {lease: (ttl, now + ttl) for lease, (ttl, _) in self.leases.items()}

    def expire(self) -> None:
        if self.faults.service_down:
            return
        now = trio.current_time()
        for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, value in self.values.items() if value.lease == lease]:
            self.write(key, None, 0)

    def write(self, key: str, value: bytes | None, lease: int) -> None:
        self.revision += 1
        if value is None:
            del self.values[key]
        else:
            self.values[key] = KeyValue(key, value, self.revision, lease)
        self.log.append(WatchEvent(key, value, self.revision))
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def swap(self, key: str, value: bytes | None, revision: int, lease: int) -> bool:
        current = self.values.get(key)
        if (current.revision if current else 0) != revision:
            return False
        if lease and lease not in self.leases:
            return False
        if value is not None or current is not None:
            self.write(key, value, lease)
        return True

    def new_lease(self, ttl_s: int) -> int:
        self._next_lease += 1
        self.leases[self._next_lease] = (ttl_s, trio.current_time() + ttl_s)
        return self._next_lease

    def renew(self, lease: int) -> float:
        if lease not in self.leases:
            return 0.0
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, trio.current_time() + ttl_s)
        return float(ttl_s)

    async def wait_changed(self) -> None:
        await self._changed.wait()


class FakeKv:
    """Client of the service on one VM; implements KeyValueStore."""

    def __init__(self, service: FakeService, vm: str) -> None:
        self._service = service
        self._faults = service.faults
        self._vm = vm
        self._answered_at = -math.inf
        self.calls = 0

    @property
    def last_answer_age_s(self) -> float:
        return trio.current_time() - self._answered_at

    def _reachable(self) -> bool:
        return not self._faults.service_down and self._vm not in self._faults.service_cuts

    async def _call(self, change: Callable[[], Any]) -> Any:
        self.calls += 1
        await self._faults.wait_while_paused(self._vm)
        await trio.sleep(KV_LATENCY_S)
        if not self._reachable():
            await trio.sleep(KV_TIMEOUT_S)
            raise KeyValueUnavailableError("the service cannot be reached")
        self._service.expire()
        result = change()
        await trio.sleep(KV_LATENCY_S)
        await self._faults.wait_while_paused(self._vm)
        if self._faults.consume_lost_reply(self._vm) or not self._reachable():
            await trio.sleep(KV_TIMEOUT_S)
            raise KeyValueTimeoutError("the service did not reply")
        self._answered_at = trio.current_time()
        return result

    async def get(self, key: str) -> KeyValue | None:
        return await self._call(lambda: self._service.values.get(key))  # type: ignore[no-any-return]

    async def range(self, prefix: str) -> tuple[tuple[KeyValue, ...], int]:
        def read() -> tuple[tuple[KeyValue, ...], int]:
            values = self._service.values.values()
            found = tuple(value for value in values if value.key.startswith(prefix))
            return found, self._service.revision

        return await self._call(read)  # type: ignore[no-any-return]

    async def put_if(self, key: str, value: bytes, revision: int, *, lease: int = 0) -> bool:
        swap = self._service.swap
        return await self._call(lambda: swap(key, value, revision, lease))  # type: ignore[no-any-return]

    async def delete_if(self, key: str, revision: int) -> bool:
        swap = self._service.swap
        return await self._call(lambda: swap(key, None, revision, 0))  # type: ignore[no-any-return]

    async def grant(self, ttl_s: int) -> int:
        return await self._call(lambda: self._service.new_lease(ttl_s))  # type: ignore[no-any-return]

    async def keep_alive(self, lease: int) -> float:
        return await self._call(lambda: self._service.renew(lease))  # type: ignore[no-any-return]

    async def revoke(self, lease: int) -> None:
        await self._call(lambda: self._service.end_lease(lease))

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        position = start_revision
        while True:
            await self._call(lambda: None)
            for event in [entry for entry in self._service.log if entry.revision >= position]:
                position = event.revision + 1
                if event.key.startswith(prefix):
                    yield event
            with trio.move_on_after(1):
                await self._service.wait_changed()


class FakeHub:
    """Connect the fake networks of the VMs in one process."""

    def __init__(self, faults: Faults, nursery: trio.Nursery) -> None:
        self.faults = faults
        self.networks: dict[str, FakeNetwork] = {}
        self.nursery = nursery

    def network(self, vm: str) -> FakeNetwork:
        address = Address("127.0.0.1", 20000 + len(self.networks))
        self.networks[vm] = FakeNetwork(self, vm, address)
        return self.networks[vm]

    def listed(self) -> tuple[ListedVm, ...]:
        return tuple(ListedVm(vm, net.listen_address) for vm, net in self.networks.items())


class FakeNetwork(PeerNetwork):
    """Peer network whose messages are lost, delayed or delivered twice according to the faults."""

    def __init__(self, hub: FakeHub, vm: str, address: Address) -> None:
        super().__init__(vm, address)
        self._hub = hub
        self._faults = hub.faults

    async def _transfer(self, source: str, target: str) -> bool:
        await self._faults.wait_while_paused(source)
        await trio.sleep(LATENCY_S)
        await self._faults.wait_while_paused(target)
        return (source, target) not in self._faults.peer_cuts

    async def _deliver(self, vm: str, message: Message) -> Message | None:
        peer = self._hub.networks.get(vm)
        if peer is None or not await self._transfer(self._vm_id, vm):
            return None
        for _ in range(2 if self._vm_id in self._faults.duplicated else 1):
            reply = await peer._handle(self._vm_id, message)
        return reply if await self._transfer(vm, self._vm_id) else None

    async def call(self, vm: str, message: Message, timeout_s: float) -> Message:
        await self._faults.wait_while_paused(self._vm_id)
        done = trio.Event()
        replies: list[Message | None] = []

        async def exchange() -> None:
            replies.append(await self._deliver(vm, message))
            done.set()

        # The peer handles a message even if its caller no longer waits.
        self._hub.nursery.start_soon(exchange)
        with trio.move_on_after(timeout_s):
            await done.wait()
            if replies[0] is None:
                await trio.sleep_forever()
        await self._faults.wait_while_paused(self._vm_id)
        if not replies or replies[0] is None:
            raise ConnectionLostError(f"VM {vm} did not answer")
        if isinstance(replies[0], ErrorReply):
            raise error_from_reply(replies[0])
        return replies[0]

    def send(self, vm: str, message: Message) -> None:
        if vm not in self._hub.networks:
            raise PeerUnreachableError(f"VM {vm} is not known")
        self._hub.nursery.start_soon(self._deliver, vm, message)
