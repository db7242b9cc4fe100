"""The groups of which this VM is a home, and the homes of all groups."""

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
# Asking the other homes has to leave room for the rest of a promotion within 7 s.
CONFIRM_TIMEOUT_S = 0.5
RECHECK_S = 0.25
IDLE_CHECK_S = 0.02
# Finding the homes anew for each request costs more than a wrong choice, which is retried.
KNOWN_HOMES_S = 0.02
# A lone home promotes only while the service answers it, as it may be the one that is cut off.
SERVICE_FRESH_S = 4.0
_log = structlog.get_logger(__name__)


class Homes:
    """Start and stop the homes that this VM's seats ask for."""

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
        self._in_progress = 0
        self._known_homes: dict[str, tuple[float, Sequence[HomeVm]]] = {}
        network.register(ExecuteRequest, self._execute_for_peer)
        network.register(TransactionRequest, self._transact_for_peer)
        network.register(PrimaryReport, self._answer_primary_report)

    @property
    def active(self) -> Mapping[str, GroupHome]:
        """Return the homes that run here, by group."""
        return {group: home for group, (home, _scope) in self._homes.items()}

    def homes(self, group: str) -> Sequence[HomeVm]:
        """Return the live homes of a group, at most KNOWN_HOMES_S old."""
        known = self._known_homes.get(group)
        now = trio.current_time()
        if known is None or now - known[0] > KNOWN_HOMES_S:
            known = self._known_homes[group] = (now, self._find_homes(group))
        return known[1]

    def _find_homes(self, group: str) -> Sequence[HomeVm]:
        """Return the live homes; those that are shutting down only if there are no others."""
        holders = set(self._role_locks.holders(HOME_ROLE, group).values())
        serving = [
            vm for vm in self._membership.live() if vm.id in holders and self._serves(vm.id, group)
        ]
        staying = [vm for vm in serving if not vm.draining]
        return [HomeVm(vm.id, vm.failure_domain) for vm in staying or serving]

    def _serves(self, vm: str, group: str) -> bool:
        return vm != self._membership.vm_id or group in self._homes

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Run one batch at this VM; raises TanagerfrontError."""
        home = self._home(request.group)
        self._in_progress += 1
        try:
            return await home.executor.execute(request)
        finally:
            self._in_progress -= 1

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no batch or transaction is in progress here, at most `timeout_s`."""
        with trio.move_on_after(timeout_s):
            # Only a shutdown waits here, so the requests need not pay for an event.
            while self._busy():  # noqa: ASYNC110
                await trio.sleep(IDLE_CHECK_S)

    def _busy(self) -> bool:
        open_transactions = sum(home.transactions.open_count for home in self.active.values())
        return self._in_progress + open_transactions > 0

    async def transact(self, request: TransactionRequest) -> TransactionReply:
        """Run one step of a transaction at this VM; raises TanagerfrontError."""
        return await self._transact_for_peer(self._membership.vm_id, request)

    async def run(self) -> None:
        """Follow the seats and the configuration until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._abort_for_lost_peers)
            while True:
                await self._reconcile(nursery)
                # The validity of a seat can end without any message, so it is looked at regularly.
                with trio.move_on_after(RECHECK_S):
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
                    functools.partial(self._confirm, name),
                    functools.partial(self._rank, name),
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

    def _rank(self, group: str) -> int:
        """Return this VM's place among the homes of a group."""
        vms = {home.vm for home in self.homes(group)} | {self._membership.vm_id}
        ordered = sorted(vms, key=lambda vm: rendezvous_score(group, vm))
        return ordered.index(self._membership.vm_id)

    async def _confirm(self, group: str, term: int, primary: str | None) -> bool:
        """Tell whether two VMs of two failure domains do not reach the primary.

        A home that still reaches it has no veto: it may be cut off together with the primary.
        """
        report = PrimaryReport(group, term, primary or "")
        others = set(self._role_locks.holders(HOME_ROLE, group).values()) - {self._membership.vm_id}
        replies: list[PrimaryReply] = []

        async def ask(vm: str) -> None:
            try:
                reply = await self._network.call(vm, report, CONFIRM_TIMEOUT_S)
            except TanagerfrontError:
                return
            if isinstance(reply, PrimaryReply):
                replies.append(reply)

        async with trio.open_nursery() as nursery:
            for vm in others:
                nursery.start_soon(ask, vm)
        if any(not reply.reachable and self._in_other_domain(reply) for reply in replies):
            return True
        silent = not replies
        return silent and self._services.store.last_answer_age_s < SERVICE_FRESH_S

    def _in_other_domain(self, reply: PrimaryReply) -> bool:
        return reply.failure_domain != self._services.failure_domain

    async def _abort_for_lost_peers(self) -> None:
        """Roll back the transactions of entry VMs that no longer answer."""
        known = {vm.id for vm in self._membership.live()}
        while True:
            await self._membership.wait_changed()
            live = {vm.id for vm in self._membership.live()}
            for vm in known - live:
                for home in self.active.values():
                    await home.transactions.abort_all(vm)
            known = live
