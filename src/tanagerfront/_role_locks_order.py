"""Placement of role locks: rendezvous hashing, balanced over failure domains and VMs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .membership import LiveVm
from .rendezvous import rendezvous_score

__all__ = ["Candidate", "LockHolder", "claim_order", "number_to_release"]


class LockHolder(NamedTuple):
    """The VM that holds a lock, and its failure domain."""

    vm: str
    failure_domain: str


class Candidate(NamedTuple):
    """A VM that may claim a lock; candidates that compare smaller come first.

    The VM's domain and the VM itself already hold `domain_locks` and `vm_locks` locks of the same
    role and name.
    """

    domain_locks: int
    vm_locks: int
    score: int
    vm: str


def claim_order(
    role: str, name: str, number: int, live: Iterable[LiveVm], holders: Iterable[LockHolder]
) -> list[Candidate]:
    """Return the live VMs that are not draining, in the order in which they claim a free lock."""
    held = tuple(holders)
    locks_by_domain = Counter(holder.failure_domain for holder in held)
    locks_by_vm = Counter(holder.vm for holder in held)
    return sorted(
        Candidate(
            locks_by_domain[vm.failure_domain],
            locks_by_vm[vm.id],
            rendezvous_score(role, name, number, vm.id),
            vm.id,
        )
        for vm in live
        if not vm.draining
    )


def number_to_release(
    own: LiveVm, live: Sequence[LiveVm], holders: Mapping[int, LockHolder]
) -> int | None:
    """Return the number of the lock that this VM should release to balance the distribution.

    A lock is released only if another failure domain, or another VM of the same domain, holds at
    least two locks fewer. Each release thus improves the balance, and rebalancing terminates.
    """
    locks_by_domain = Counter(holder.failure_domain for holder in holders.values())
    locks_by_vm = Counter(holder.vm for holder in holders.values())
    candidates = [vm for vm in live if not vm.draining and vm.id != own.id]
    own_domain = own.failure_domain
    # Only the highest numbered lock of an overloaded domain is released, so that two VMs do not
    # release a lock at the same time.
    in_own_domain = [
        number for number, holder in holders.items() if holder.failure_domain == own_domain
    ]
    last_number = max(in_own_domain, default=None)
    overloaded = any(
        locks_by_domain[vm.failure_domain] + 2 <= locks_by_domain[own_domain] for vm in candidates
    )
    if overloaded and last_number is not None and holders[last_number].vm == own.id:
        return last_number
    domain_peers = [vm for vm in candidates if vm.failure_domain == own_domain]
    if any(locks_by_vm[vm.id] + 2 <= locks_by_vm[own.id] for vm in domain_peers):
        return max(number for number, holder in holders.items() if holder.vm == own.id)
    return None
