"""Which VM should hold which seat: rendezvous order, spread over failure domains."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .membership import LiveVm
from .rendezvous import rendezvous_score

__all__ = ["Candidate", "LockHolder", "claim_order", "number_to_release"]


class LockHolder(NamedTuple):
    """Who holds a seat."""

    vm: str
    failure_domain: str


class Candidate(NamedTuple):
    """A VM that may claim a seat; smaller ones come first."""

    domain_locks: int
    vm_locks: int
    score: int
    vm: str


def claim_order(
    role: str, name: str, index: int, live: Iterable[LiveVm], holders: Iterable[LockHolder]
) -> list[Candidate]:
    """Return the live VMs in the order in which they should claim a free seat."""
    taken = tuple(holders)
    domains = Counter(holder.failure_domain for holder in taken)
    vms = Counter(holder.vm for holder in taken)
    return sorted(
        Candidate(
            domains[vm.failure_domain],
            vms[vm.id],
            rendezvous_score(role, name, index, vm.id),
            vm.id,
        )
        for vm in live
        if not vm.draining
    )


def number_to_release(
    own: LiveVm, live: Sequence[LiveVm], holders: Mapping[int, LockHolder]
) -> int | None:
    """Return the seat that this VM should release because seats are spread unevenly.

    A seat moves only if another failure domain has two seats less, or another VM of the same
    failure domain does; so every release improves the spread and the process ends.
    """
    domains = Counter(holder.failure_domain for holder in holders.values())
    vms = Counter(holder.vm for holder in holders.values())
    others = [vm for vm in live if not vm.draining and vm.id != own.id]
    own_domain = own.failure_domain
    # Only the holder of the last seat of a crowded domain moves, so that two do not move at once.
    of_domain = [i for i, holder in holders.items() if holder.failure_domain == own_domain]
    last = max(of_domain, default=None)
    crowded = any(domains[vm.failure_domain] + 2 <= domains[own_domain] for vm in others)
    if crowded and last is not None and holders[last].vm == own.id:
        return last
    beside = [vm for vm in others if vm.failure_domain == own_domain]
    if any(vms[vm.id] + 2 <= vms[own.id] for vm in beside):
        return max(index for index, holder in holders.items() if holder.vm == own.id)
    return None
