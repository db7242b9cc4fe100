"""One group of databases at a VM that is a home of it."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import NamedTuple

import structlog
import trio

from .configuration import Group, Instance
from .databases import DatabaseSession
from .execution import Executor
from .groups import GroupSnapshot, LiveGroupMonitor
from .home_transactions import HomeTransactions, TransactionSettings
from .http_client import Address
from .kv import KeyValueStore
from .pool import ConnectionPool, Session
from .promotion import ConfirmPrimaryFailure, Promoter, PromotionSettings
from .scheduler import FairScheduler

__all__ = ["GroupHome", "HomeServices", "connection_share", "slot_share"]

# Each home seat keeps one probe connection to an instance and opens one more for a promotion.
CONTROL_CONNECTIONS_PER_HOME = 2
# Many times the usual duration of a statement, and short against the deadlines of requests.
OVERDUE_S = 0.25
OVERDUE_CHECK_S = 0.05
_log = structlog.get_logger(__name__)


class HomeServices(NamedTuple):
    """What a home needs of its VM."""

    vm: str
    incarnation: str
    failure_domain: str
    store: KeyValueStore
    weight_of: Callable[[str], float]
    promotion: PromotionSettings = PromotionSettings()
    transactions: TransactionSettings = TransactionSettings()
    on_discard: Callable[[str, int], None] = lambda _group, _entries: None
    on_promotion: Callable[[str], None] = lambda _group: None


def connection_share(group: Group, role_locks: int) -> int:
    """Return the sessions that `seats` home seats may keep open to one instance, at least 1."""
    reserve = CONTROL_CONNECTIONS_PER_HOME * group.homes
    return max(1, (group.connections - reserve) * role_locks // group.homes)


def slot_share(group: Group, role_locks: int) -> float:
    """Return the part of an instance's slots that `seats` home seats have."""
    return group.slots * role_locks / group.homes


async def _open_session(address: Address, timeout_s: float) -> Session:
    return await DatabaseSession.open(address, timeout_s)


class GroupHome:
    """Probes, connections, queues, transactions and promotion of one group."""

    def __init__(
        self,
        group: Group,
        role_locks: int,
        services: HomeServices,
        confirm: ConfirmPrimaryFailure,
        rank: Callable[[], int],
    ) -> None:
        self._group = group
        self._role_locks = role_locks
        self._services = services
        self._monitor = LiveGroupMonitor(group)
        self._pools: dict[str, ConnectionPool] = {}
        self._schedulers: dict[str, FairScheduler] = {}
        # An idle transaction would occupy the only slot that a home may have in a shared queue.
        self._transaction_schedulers: dict[str, FairScheduler] = {}
        self._nursery: trio.Nursery | None = None
        for instance in group.instances:
            self._add_instance(instance)
        self._executor = Executor(
            self._monitor,
            self._pools,
            self._schedulers,
            weight_of=services.weight_of,
            failure_domain=services.failure_domain,
        )
        self._transactions = HomeTransactions(
            self._executor.access.with_schedulers(self._transaction_schedulers),
            services.transactions,
        )
        self._promoter = Promoter(
            self._monitor,
            services.store,
            # A term reserved for an earlier start of this VM may have been used by it.
            f"{services.vm}/{services.incarnation}",
            confirm,
            rank,
            services.promotion,
            on_discard=lambda _instance, entries: services.on_discard(group.name, entries),
        )

    @property
    def snapshot(self) -> GroupSnapshot:
        """Return the group as last seen."""
        return self._monitor.snapshot

    @property
    def executor(self) -> Executor:
        """Return the executor of batches."""
        return self._executor

    @property
    def transactions(self) -> HomeTransactions:
        """Return the open transactions."""
        return self._transactions

    @property
    def promoter(self) -> Promoter:
        """Return the promoter."""
        return self._promoter

    @property
    def connections(self) -> int:
        """Return the number of open sessions, without probes."""
        return sum(pool.size for pool in self._pools.values())

    def queue_lengths(self) -> dict[str, int]:
        """Return the requests that wait for a slot, by instance."""
        return {name: scheduler.queued for name, scheduler in self._schedulers.items()}

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve the group until cancelled; then close all sessions."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for pool in self._pools.values():
                    nursery.start_soon(pool.run)
                await nursery.start(self._monitor.run)
                await nursery.start(self._transactions.run)
                nursery.start_soon(self._executor.run)
                nursery.start_soon(self._promoter.run)
                nursery.start_soon(self._count_promotions)
                nursery.start_soon(self._release_overdue_slots)
                task_status.started()
        finally:
            with trio.CancelScope(shield=True):
                for pool in self._pools.values():
                    await pool.close()

    async def update(self, group: Group, role_locks: int) -> None:
        """Take over an edit of the group or a change of this VM's seats."""
        if group == self._group and role_locks == self._role_locks:
            return
        self._group, self._role_locks = group, role_locks
        self._monitor.update_group(group)
        wanted = {instance.name: instance for instance in group.instances}
        for name in set(self._pools) - set(wanted):
            await self._pools.pop(name).close()
            del self._schedulers[name], self._transaction_schedulers[name]
        for name, instance in wanted.items():
            if name not in self._pools:
                self._add_instance(instance)
            await self._pools[name].set_share(connection_share(group, role_locks))
            share = slot_share(group, role_locks)
            self._schedulers[name].set_slot_share(share)
            self._transaction_schedulers[name].set_slot_share(share)

    def _add_instance(self, instance: Instance) -> None:
        open_session = functools.partial(_open_session, instance.address)
        pool = ConnectionPool(open_session, connection_share(self._group, self._role_locks))
        self._pools[instance.name] = pool
        share = slot_share(self._group, self._role_locks)
        self._schedulers[instance.name] = FairScheduler(share)
        self._transaction_schedulers[instance.name] = FairScheduler(share)
        if self._nursery is not None:
            self._nursery.start_soon(pool.run)

    async def _release_overdue_slots(self) -> None:
        while True:
            await trio.sleep(OVERDUE_CHECK_S)
            for scheduler in self._schedulers.values():
                scheduler.release_overdue(OVERDUE_S)

    async def _count_promotions(self) -> None:
        counted = 0
        while True:
            await self._monitor.wait_change()
            while counted < self._promoter.promotions:
                counted += 1
                self._services.on_promotion(self._group.name)
