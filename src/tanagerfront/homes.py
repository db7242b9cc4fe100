"""Homes that this VM runs, and the directory of the homes of all groups, for the HTTP interface."""

from __future__ import annotations

import functools
from collections.abc import Callable, Mapping, Sequence

import structlog
import trio

from .configuration import Configuration
from .errors import TanagerfrontError, UnavailableError
from .home import GroupHome, HomeServices
from .home_calls import HomeVm
from .membership import Membership
from .messages import (
    ExecuteReply,
    ExecuteRequest,
    PrimaryReply,
    PrimaryReport,
    TransactionReply,
    TransactionRequest,
)
from .peers import PeerNetwork
from .rendezvous import rendezvous_score
from .role_locks import RoleLocks

__all__ = ["HOME_ROLE", "Homes"]

HOME_ROLE = "home"
# Confirmation by the other homes has to leave time for the rest of a promotion within 7 s.
CONFIRM_TIMEOUT_S = 0.5
RECONCILE_INTERVAL_S = 0.25
IDLE_POLL_INTERVAL_S = 0.02
# A lookup for each request would cost more than an occasional outdated home, which is retried.
HOMES_CACHE_TTL_S = 0.02
# Without replies of other homes, a home promotes only if the key-value service has answered it this
# recently: otherwise this VM may be the one that is partitioned.
MAX_SERVICE_ANSWER_AGE_S = 4.0
_log = structlog.get_logger(__name__)


class Homes:
    """Run a home for each group of which this VM holds a home lock."""

    def __init__(
        self,
        services: HomeServices,
        network: PeerNetwork,
        membership: Membership,
        role_locks: RoleLocks,
        configuration: Callable[[], Configuration],
    ) -> None:
        self._services = services
        self._network = network
        self._membership = membership
        self._role_locks = role_locks
        self._configuration = configuration
        self._homes: dict[str, tuple[GroupHome, trio.CancelScope]] = {}
        self._batches_in_progress = 0
        self._homes_cache: dict[str, tuple[float, Sequence[HomeVm]]] = {}
        network.register(ExecuteRequest, self._execute_for_peer)
        network.register(TransactionRequest, self._transact_for_peer)
        network.register(PrimaryReport, self._answer_primary_report)

    @property
    def active(self) -> Mapping[str, GroupHome]:
        """Return the homes that run here, by group."""
        return {group: home for group, (home, _scope) in self._homes.items()}

    def homes(self, group: str) -> Sequence[HomeVm]:
        """Return the live homes of a group, cached for up to HOMES_CACHE_TTL_S."""
        cached = self._homes_cache.get(group)
        now = trio.current_time()
        if cached is None or now - cached[0] > HOMES_CACHE_TTL_S:
            cached = self._homes_cache[group] = (now, self._look_up_homes(group))
        return cached[1]

    def _look_up_homes(self, group: str) -> Sequence[HomeVm]:
        """Return the live homes; draining ones only if there are no others."""
        holders = set(self._role_locks.holders(HOME_ROLE, group).values())
        serving = [
            vm
            for vm in self._membership.live()
            if vm.id in holders and self._is_serving(vm.id, group)
        ]
        not_draining = [vm for vm in serving if not vm.draining]
        return [HomeVm(vm.id, vm.failure_domain) for vm in not_draining or serving]

    def _is_serving(self, vm: str, group: str) -> bool:
        return vm != self._membership.vm_id or group in self._homes

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Run one batch at this VM; raises TanagerfrontError."""
        home = self._home(request.group)
        self._batches_in_progress += 1
        try:
            return await home.executor.execute(request)
        finally:
            self._batches_in_progress -= 1

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no batch or transaction is in progress here, at most `timeout_s`."""
        with trio.move_on_after(timeout_s):
            # Only a shutdown waits here, so polling spares the requests the cost of an event.
            while self._is_busy():  # noqa: ASYNC110
                await trio.sleep(IDLE_POLL_INTERVAL_S)

    def _is_busy(self) -> bool:
        open_transactions = sum(home.transactions.open_count for home in self.active.values())
        return self._batches_in_progress + open_transactions > 0

    async def transact(self, request: TransactionRequest) -> TransactionReply:
        """Run one step of a transaction at this VM; raises TanagerfrontError."""
        return await self._transact_for_peer(self._membership.vm_id, request)

    async def run(self) -> None:
        """Start, update and stop homes as role locks and configuration change, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._abort_for_lost_peers)
            while True:
                await self._reconcile(nursery)
                # A role lock can expire without a notification, so it is also checked regularly.
                with trio.move_on_after(RECONCILE_INTERVAL_S):
                    await self._role_locks.wait_changed()

    async def _reconcile(self, nursery: trio.Nursery) -> None:
        configuration = self._configuration()
        for name in list(self._homes):
            if name not in configuration.groups or not self._role_locks.held_numbers(
                HOME_ROLE, name
            ):
                _log.info("home_stopped", group=name)
                self._homes.pop(name)[1].cancel()
        for name, group in configuration.groups.items():
            held = self._role_locks.held_numbers(HOME_ROLE, name)
            if not held:
                continue
            if name in self._homes:
                await self._homes[name][0].update(group, len(held))
            else:
                home = GroupHome(
                    group,
                    len(held),
                    self._services,
                    functools.partial(self._confirm_primary_failure, name),
                    functools.partial(self._promotion_rank, name),
                )
                self._homes[name] = (home, trio.CancelScope())
                await nursery.start(self._run_home, name)

    async def _run_home(
        self, name: str, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        home, scope = self._homes[name]
        _log.info("home_started", group=name)
        with scope:
            await home.run(task_status=task_status)

    def _home(self, group: str) -> GroupHome:
        entry = self._homes.get(group)
        if entry is None or not self._role_locks.held_numbers(HOME_ROLE, group):
            raise UnavailableError(f"this VM is not a home of group {group}")
        return entry[0]

    async def _execute_for_peer(self, _vm: str, request: ExecuteRequest) -> ExecuteReply:
        return await self.execute(request)

    async def _transact_for_peer(self, vm: str, request: TransactionRequest) -> TransactionReply:
        return await self._home(request.group).transactions.handle(vm, request)

    async def _answer_primary_report(self, _vm: str, report: PrimaryReport) -> PrimaryReply:
        entry = self._homes.get(report.group)
        if entry is None:
            raise UnavailableError(f"this VM is not a home of group {report.group}")
        home = entry[0]
        reachable = home.promoter.reaches_primary(report.term)
        return PrimaryReply(reachable, home.snapshot.term, self._services.failure_domain)

    def _promotion_rank(self, group: str) -> int:
        """Return this VM's position in the rendezvous order of the group's homes, from 0."""
        vms = {home.vm for home in self.homes(group)} | {self._membership.vm_id}
        ordered = sorted(vms, key=lambda vm: rendezvous_score(group, vm))
        return ordered.index(self._membership.vm_id)

    async def _confirm_primary_failure(self, group: str, term: int, primary: str | None) -> bool:
        """Return whether a home in another failure domain does not reach the primary either.

        A home that still reaches the primary has no veto: both may be in the same partition. If no
        other home replies, a recent answer of the key-value service is required instead. A home of
        an earlier term reports on a primary that was replaced; a later term replaced this one.
        """
        report = PrimaryReport(group, term, primary or "")
        others = set(self._role_locks.holders(HOME_ROLE, group).values()) - {self._membership.vm_id}
        replies: list[PrimaryReply] = []

        async def request_reply(vm: str) -> None:
            try:
                reply = await self._network.call(vm, report, CONFIRM_TIMEOUT_S)
            except TanagerfrontError:
                return
            if isinstance(reply, PrimaryReply):
                replies.append(reply)

        async with trio.open_nursery() as nursery:
            for vm in others:
                nursery.start_soon(request_reply, vm)
        if any(reply.term > term for reply in replies):
            return False
        if any(
            not reply.reachable and reply.term == term and self._is_from_other_domain(reply)
            for reply in replies
        ):
            return True
        no_replies = not replies
        return no_replies and self._services.store.last_answer_age_s < MAX_SERVICE_ANSWER_AGE_S

    def _is_from_other_domain(self, reply: PrimaryReply) -> bool:
        return reply.failure_domain != self._services.failure_domain

    async def _abort_for_lost_peers(self) -> None:
        """Roll back the transactions of entry VMs that are no longer live."""
        previous = {vm.id for vm in self._membership.live()}
        while True:
            await self._membership.wait_changed()
            live = {vm.id for vm in self._membership.live()}
            for vm in previous - live:
                for home in self.active.values():
                    await home.transactions.abort_for_vm(vm)
            previous = live
