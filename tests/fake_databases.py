"""In-memory database group and key-value service for tests under trio's mock clock.

The instances are the state machines of the stand-in database; only the HTTP layer and the pull loop
are replaced. Tests block paths between named nodes and pause a VM at a named step.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from tanagerfront.configuration import Acknowledge, Group, Instance
from tanagerfront.databases import FollowResult, InstanceStatus, Statement
from tanagerfront.entry_id import EntryId
from tanagerfront.errors import (
    ConnectionLostError,
    KeyValueTimeoutError,
    KeyValueUnavailableError,
    NotPrimaryError,
    StaleTermError,
)
from tanagerfront.groups import LiveGroupMonitor, OpenSession
from tanagerfront.http_client import Address
from tanagerfront.kv import KeyValue, WatchEvent
from tanagerfront.promotion import Promoter, PromotionSettings
from tanagerfront_standin.database_sql import SqlStore
from tanagerfront_standin.database_state import Delays, InstanceState, Refusal

LATENCY_S = 0.001
PULL_INTERVAL_S = 0.02
INSTANCE_NAMES = ("a", "b", "c")
KEY_VALUE_SERVICE = "service"


class FakeNetwork:
    """Simulates blocked paths between nodes and pauses VMs at named steps."""

    def __init__(self) -> None:
        self.blocked: set[frozenset[str]] = set()
        self.pause_events: dict[tuple[str, str], trio.Event] = {}
        self.reached_steps: list[tuple[str, str]] = []

    def block(self, one: str, *others: str) -> None:
        self.blocked |= {frozenset((one, other)) for other in others}

    def heal(self) -> None:
        self.blocked.clear()

    def is_open(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.blocked

    async def reach_step(self, vm: str, name: str) -> None:
        self.reached_steps.append((vm, name))
        event = self.pause_events.get((vm, name))
        if event is not None:
            await event.wait()


def make_group(acknowledge: str = "replicated") -> Group:
    """Return the configuration of a group of three instances."""
    instances = tuple(
        Instance(name, f"domain-{name}", Address("127.0.0.1", 7101 + index))
        for index, name in enumerate(INSTANCE_NAMES)
    )
    return Group("orders-1", instances, 16, 2, Acknowledge(acknowledge))


class FakeSession:
    """A control session of one VM to one instance."""

    def __init__(self, network: FakeNetwork, vm: str, state: InstanceState) -> None:
        self._network = network
        self._vm = vm
        self._state = state

    async def _call(
        self, name: str, timeout_s: float, action: Callable[[], Awaitable[None] | None]
    ) -> InstanceStatus:
        if name != "status":
            await self._network.reach_step(self._vm, f"before {name}")
        await self._cross_network(timeout_s, executed="no")
        try:
            pending = action()
            if pending is not None:
                await pending
        except Refusal as refusal:
            if refusal.name == "stale-term":
                raise StaleTermError("stale term", term=refusal.term) from refusal
            raise NotPrimaryError(refusal.name) from refusal
        status = self._state.status()
        await self._cross_network(timeout_s, executed="unknown")
        if name != "status":
            await self._network.reach_step(self._vm, f"after {name}")
        return status

    async def _cross_network(self, timeout_s: float, *, executed: str) -> None:
        await trio.sleep(LATENCY_S)
        if not self._network.is_open(self._vm, self._state.name):
            await trio.sleep(timeout_s)
            raise ConnectionLostError(
                "no reply before the timeout", executed="no" if executed == "no" else "unknown"
            )

    async def status(
        self,
        term: int = -1,
        held: int = -1,
        wait_s: float = 0.0,
        *,
        applied: int | None = None,
        timeout_s: float = 1.0,
    ) -> InstanceStatus:
        async def wait() -> None:
            known = (term, held, applied)
            with trio.move_on_after(wait_s):
                while known == (self._state.term, self._state.held, self._state.applied):
                    await self._state.wait_change()

        return await self._call("status", timeout_s, wait)

    async def fence(self, term: int, timeout_s: float = 1.0) -> InstanceStatus:
        return await self._call("fence", timeout_s, lambda: self._state.fence(term))

    async def promote(self, term: int, timeout_s: float = 1.0) -> InstanceStatus:
        return await self._call("promote", timeout_s, lambda: self._state.promote(term))

    async def follow(self, term: int, primary: str, timeout_s: float = 1.0) -> FollowResult:
        async def follow() -> None:
            self._state.follow(term, primary)
            with trio.move_on_after(timeout_s / 2):
                while self._state.synced_term < term:
                    await self._state.wait_change()

        status = await self._call("follow", timeout_s, follow)
        return FollowResult(status, self._state.discarded)

    async def close(self) -> None:
        pass


class FakeGroup:
    """Three instances that replicate to each other over the paths that are not blocked."""

    def __init__(self, *, primary: str | None = "a", acknowledge: str = "replicated") -> None:
        self.network = FakeNetwork()
        self.group = make_group(acknowledge)
        self.states = {
            name: InstanceState(
                name,
                SqlStore("CREATE TABLE t (k TEXT PRIMARY KEY)"),
                Delays(),
                primary=name == primary,
            )
            for name in INSTANCE_NAMES
        }
        # Every (term, instance) that has been primary at some time.
        self.primaries: set[tuple[int, str]] = set()
        for name in INSTANCE_NAMES:
            if primary and name != primary:
                self.states[name].follow(1, primary)

    def close(self) -> None:
        for state in self.states.values():
            state.store.close()

    def open_session(self, vm: str) -> OpenSession:
        by_address = {
            instance.address: self.states[instance.name] for instance in self.group.instances
        }

        async def open_session(address: Address, timeout_s: float) -> FakeSession:
            state = by_address[address]
            await trio.sleep(LATENCY_S)
            if not self.network.is_open(vm, state.name):
                await trio.sleep(timeout_s)
                raise ConnectionLostError("cannot connect", executed="no")
            return FakeSession(self.network, vm, state)

        return open_session

    def write(self, key: str, instance: str) -> EntryId:
        """Commit a write on an instance in that instance's current term; raises Refusal."""
        state = self.states[instance]
        state.check_primary()
        statement = Statement("INSERT INTO t VALUES (?)", (key,))
        state.store.writer.begin()
        state.store.writer.run(statement, 0)
        state.store.writer.commit()
        return state.append_local((statement,))

    def read_keys(self, instance: str) -> set[str]:
        reader = self.states[instance].store.open_reader()
        rows = reader.run(Statement("SELECT k FROM t"), 0)[0].rows
        reader.close()
        return {str(row[0]) for row in rows}

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for name in INSTANCE_NAMES:
                nursery.start_soon(self._replicate, name)

    async def _replicate(self, name: str) -> None:
        state = self.states[name]
        while True:
            self.primaries |= {
                (other.term, other.name) for other in self.states.values() if other.is_primary
            }
            if state.primary not in (None, name) and self.network.is_open(name, str(state.primary)):
                self._pull(state, self.states[str(state.primary)])
            state.apply_due()
            await trio.sleep(PULL_INTERVAL_S)

    def _pull(self, state: InstanceState, primary: InstanceState) -> None:
        if not primary.is_primary or primary.term != state.term:
            return
        last = state.entry_id(state.held)
        if last.position > primary.held or primary.entry_id(last.position) != last:
            state.discard_divergent(state.term, primary.term_starts, primary.held)
        state.record_primary_position(primary.term, primary.held)
        state.append_received(primary.term, primary.entries_after(state.held, 1000))


class FakeKeyValueStore:
    """The key-value service as accessed by one VM; all VMs share `data`."""

    def __init__(self, data: dict[str, KeyValue], network: FakeNetwork, vm: str) -> None:
        self._data = data
        self._network = network
        self._vm = vm
        # Fault of the next swap: "before" loses the request, "after" loses the reply.
        self.swap_fault = ""

    @property
    def last_answer_age_s(self) -> float:
        return 0.0

    async def _cross_network(self) -> None:
        await trio.sleep(LATENCY_S)
        if not self._network.is_open(self._vm, KEY_VALUE_SERVICE):
            raise KeyValueUnavailableError("the service is unreachable")

    async def get(self, key: str) -> KeyValue | None:
        await self._cross_network()
        return self._data.get(key)

    async def put_if(self, key: str, value: bytes, revision: int, *, lease: int = 0) -> bool:
        await self._network.reach_step(self._vm, "before swap")
        await self._cross_network()
        fault, self.swap_fault = self.swap_fault, ""
        if fault == "before":
            raise KeyValueTimeoutError("the swap was lost")
        found = self._data.get(key)
        swapped = (found.revision if found else 0) == revision
        if swapped:
            self._data[key] = KeyValue(key, value, revision + 1)
        await self._network.reach_step(self._vm, "after swap")
        if fault == "after":
            raise KeyValueTimeoutError("the swap was lost")
        return swapped

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        last_revision = start_revision - 1
        while True:
            await trio.sleep(0.1)
            await self._cross_network()
            found = self._data.get(prefix)
            if found and found.revision > last_revision:
                last_revision = found.revision
                yield WatchEvent(found.key, found.value, found.revision)

    async def range(self, prefix: str) -> tuple[tuple[KeyValue, ...], int]:
        await self._cross_network()
        found = tuple(value for key, value in self._data.items() if key.startswith(prefix))
        return found, max((value.revision for value in found), default=0)

    async def delete_if(self, key: str, revision: int) -> bool:
        raise NotImplementedError

    async def grant(self, ttl_s: int) -> int:
        raise NotImplementedError

    async def keep_alive(self, lease: int) -> float:
        raise NotImplementedError

    async def revoke(self, lease: int) -> None:
        raise NotImplementedError


class FakeGroupHome:
    """The group monitor and the promoter of one VM."""

    def __init__(
        self,
        cluster: FakeGroup,
        data: dict[str, KeyValue],
        vm: str,
        rank: int,
        *,
        confirmed: bool = True,
        settings: PromotionSettings | None = None,
    ) -> None:
        self.confirmations = 0
        self.store = FakeKeyValueStore(data, cluster.network, vm)
        open_session = cluster.open_session(vm)
        self.monitor = LiveGroupMonitor(cluster.group, open_session=open_session)

        async def confirm(_term: int, _primary: str | None) -> bool:
            self.confirmations += 1
            return confirmed

        self.promoter = Promoter(
            self.monitor, self.store, vm, confirm, lambda: rank, settings, open_session=open_session
        )

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.monitor.run)
            nursery.start_soon(self.promoter.run)
