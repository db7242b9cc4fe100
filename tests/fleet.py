"""VMs with role locks, run in one process, and the faults that Hypothesis applies to them."""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator, Mapping

import trio
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st

from fakes import FakeHub, FakeKv, FakeService, Faults
from tanagerfront.membership import Membership
from tanagerfront.role_locks import LeaseSettings, RoleLocks, VmLease

DOMAINS = {"a": "d1", "b": "d1", "c": "d2", "d": "d2", "e": "d3"}
LOCK_COUNTS = {("limit", "x"): 2, ("home", "g"): 1}


class PausableLease(VmLease):
    """A lease whose timers do not run while its VM is paused."""

    faults: Faults

    def _track_contact(self) -> None:
        if not self.faults.paused(self._membership.vm_id):
            super()._track_contact()

    def _extend(self) -> None:
        if not self.faults.paused(self._membership.vm_id):
            super()._extend()


class Vm:
    """The parts of a VM that claim and hold role locks."""

    def __init__(self, fleet: Fleet, vm: str) -> None:
        self.id = vm
        self.kv = FakeKv(fleet.service, vm)
        self.membership = Membership(
            fleet.hub.network(vm),
            fleet.fetch,
            failure_domain=DOMAINS[vm],
            incarnation="1",
            service_age_s=lambda: self.kv.last_answer_age_s,
        )
        rng = random.Random(vm)
        self.lease = PausableLease(self.kv, self.membership, settings=LeaseSettings(), rng=rng)
        self.lease.faults = fleet.faults
        self.role_locks = RoleLocks(self.kv, self.lease, self.membership, rng=rng)
        self.role_locks.set_lock_counts(LOCK_COUNTS)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.membership.run)
            nursery.start_soon(self.lease.run)
            nursery.start_soon(self.role_locks.run)


class Fleet:
    def __init__(self, nursery: trio.Nursery) -> None:
        self.faults = Faults()
        self.service = FakeService(self.faults)
        self.hub = FakeHub(self.faults, nursery)
        self.vms: dict[str, Vm] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.nursery = nursery

    async def fetch(self) -> tuple[object, ...]:
        return self.hub.listed()

    def start(self, vms: str) -> None:
        for vm in vms:
            self.vms[vm] = Vm(self, vm)
            self.scopes[vm] = trio.CancelScope()
            self.nursery.start_soon(self._run, vm)

    async def _run(self, vm: str) -> None:
        with self.scopes[vm]:
            await self.vms[vm].run()

    def valid_holders(self) -> Mapping[tuple[str, str, int], list[str]]:
        """Return the VMs that are running and consider a role lock theirs now, by lock."""
        holders: dict[tuple[str, str, int], list[str]] = {}
        for vm in self.vms.values():
            if not self.faults.paused(vm.id):
                for role, name in LOCK_COUNTS:
                    for number in vm.role_locks.held_numbers(role, name):
                        holders.setdefault((role, name, number), []).append(vm.id)
        return holders

    def is_uncovered_partition(
        self, service_cuts: set[str], peer_cuts: set[tuple[str, str]]
    ) -> bool:
        """Return whether the faults form the one partition that the design does not cover.

        In it, a majority that cannot reach the service also cannot reach a VM that does.
        """
        majority = len(self.vms) // 2 + 1
        connected = self.vms.keys() - service_cuts
        return any(
            sum((vm, other) in peer_cuts for vm in service_cuts) >= majority for other in connected
        )


@contextlib.asynccontextmanager
async def fleet(vms: str = "abcde") -> AsyncIterator[Fleet]:
    async with trio.open_nursery() as nursery:
        running = Fleet(nursery)
        running.start(vms)
        yield running
        nursery.cancel_scope.cancel()


# Without the shrink phase, which takes minutes, as one example covers minutes of the mock clock.
PROFILE = settings(
    max_examples=25,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.explicit, Phase.reuse, Phase.generate),
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["down", "up", "cut", "isolate", "part", "heal", "pause", "resume", "lose"]
        ),
        st.sets(st.sampled_from("abcde"), min_size=1, max_size=4),
        st.sampled_from([0.3, 1.4, 2.0, 4.0, 9.0, 14.0, 25.0]),
    ),
    min_size=1,
    max_size=8,
)


def apply_step(running: Fleet, action: str, vms: set[str]) -> None:
    faults = running.faults
    service_cuts, peer_cuts = set(faults.service_cuts), set(faults.peer_cuts)
    outgoing = {(one, other) for one in vms for other in running.vms if other not in vms}
    severed = outgoing | {(other, one) for one, other in outgoing}
    match action:
        case "down" | "up":
            running.service.set_down(action == "down")
        case "cut":
            service_cuts |= vms
        case "part":
            peer_cuts |= severed
        case "isolate":
            service_cuts |= vms
            peer_cuts |= severed
        case "heal":
            service_cuts, peer_cuts = set(), set()
        case "pause":
            for vm in vms:
                faults.pause(vm)
        case "resume":
            for vm in vms:
                faults.resume(vm)
        case "lose":
            faults.lost_replies |= dict.fromkeys(vms, 2)
    unreachable = set(running.vms) if faults.service_down else service_cuts
    if not running.is_uncovered_partition(unreachable, peer_cuts):
        faults.service_cuts, faults.peer_cuts = service_cuts, peer_cuts
