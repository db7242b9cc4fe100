"""State of one database group at a VM that is a home of it, for the HTTP interface."""

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
from .home_transactions import HomeTransactionLimits, HomeTransactions
from .http_client import Address
from .kv import KeyValueStore
from .pool import ConnectionPool, Session
from .promotion import ConfirmPrimaryFailure, Promoter, PromotionSettings
from .scheduler import FairScheduler

__all__ = ["GroupHome", "HomeServices", "connection_share", "slot_share"]

# Each home keeps one probe connection to an instance and opens another for a promotion.
CONTROL_CONNECTIONS_PER_HOME = 2
# A slot held for longer no longer blocks other requests. This is many times the usual duration of a
# statement and short compared with request deadlines.
SLOT_OVERDUE_S = 0.25
SLOT_CHECK_INTERVAL_S = 0.05
_log = structlog.get_logger(__name__)


class HomeServices(NamedTuple):
    """Services and settings that a VM provides to its homes."""

    vm: str
    incarnation: str
    failure_domain: str
    store: KeyValueStore
    weight_of: Callable[[str], float]
    promotion: PromotionSettings = PromotionSettings()
    transactions: HomeTransactionLimits = HomeTransactionLimits()
    on_discard: Callable[[str, int], None] = lambda _group, _entries: None
    on_promotion: Callable[[str], None] = lambda _group: None


def connection_share(group: Group, role_locks: int) -> int:
    """Return how many sessions `role_locks` home locks may keep open per instance, at least 1."""
    reserve = CONTROL_CONNECTIONS_PER_HOME * group.homes
    return max(1, (group.connections - reserve) * role_locks // group.homes)


def slot_share(group: Group, role_locks: int) -> float:
    """Return the share of an instance's slots that `role_locks` home locks may use."""
    return group.slots * role_locks / group.homes


async def _open_session(address: Address, timeout_s: float) -> Session:
    return await DatabaseSession.open(address, timeout_s)


class GroupHome:
    """Run the probes, connection pools, queues, transactions and promoter of one group."""

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
        # Transactions have their own slots: with shared ones, an idle transaction could occupy the
        # only slot of a home.
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
            # The incarnation keeps this start of the VM from reusing a term that an earlier start
            # reserved and may have used.
            f"{services.vm}/{services.incarnation}",
            confirm,
            rank,
            services.promotion,
            on_discard=lambda _instance, entries: services.on_discard(group.name, entries),
        )

    @property
    def snapshot(self) -> GroupSnapshot:
        """Return the last observed state of the group."""
        return self._monitor.snapshot

    @property
    def executor(self) -> Executor:
        """Return the executor of statement batches."""
        return self._executor

    @property
    def transactions(self) -> HomeTransactions:
        """Return the open transactions."""
        return self._transactions

    @property
    def promoter(self) -> Promoter:
        """Return the promoter of the group."""
        return self._promoter

    @property
    def connections(self) -> int:
        """Return the number of open sessions to instances, without probe connections."""
        return sum(pool.size for pool in self._pools.values())

    def queue_lengths(self) -> dict[str, int]:
        """Return the number of requests that wait for a slot, by instance."""
        return {name: scheduler.queued for name, scheduler in self._schedulers.items()}

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve the group until cancelled, then close all sessions."""
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
        """Apply a changed configuration of the group or number of home locks of this VM."""
        if group == self._group and role_locks == self._role_locks:
            return
        self._group, self._role_locks = group, role_locks
        self._monitor.update_group(group)
        instances = {instance.name: instance for instance in group.instances}
        for name in set(self._pools) - set(instances):
            await self._pools.pop(name).close()
            del self._schedulers[name], self._transaction_schedulers[name]
        for name, instance in instances.items():
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
            await trio.sleep(SLOT_CHECK_INTERVAL_S)
            for scheduler in self._schedulers.values():
                scheduler.release_overdue(SLOT_OVERDUE_S)

    async def _count_promotions(self) -> None:
        counted = 0
        while True:
            await self._monitor.wait_change()
            while counted < self._promoter.promotions:
                counted += 1
                self._services.on_promotion(self._group.name)
