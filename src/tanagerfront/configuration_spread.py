"""Decides from which VMs a VM fetches large values of the store (session interface).

Load: a configuration with thousands of routes reaches a fleet of VMs with small links at once. If
each VM read it from the store, or all from one VM, the transfers would fill links for seconds.
Each failure domain forms a tree. Its root, a coordinator where the domain has one, reads the value
over the domain's border, and the other VMs fetch it from the VM above them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from .fleet_store import RegisteredVm
from .rendezvous import rendezvous_score

__all__ = ["spread_sources", "spread_tree"]

# VMs that fetch from a VM with the least processor time of its failure domain. Others serve more in
# proportion, because the links of VMs grow with their processor time.
FETCHERS_PER_VM = 8
# Each source that does not answer delays the value by its timeout, before the store is read.
MAX_SOURCES = 3


def spread_tree(vms: Iterable[RegisteredVm], coordinators: Sequence[str]) -> dict[str, str | None]:
    """Return the VM above each VM of one failure domain, None for the root."""
    ranked = sorted(
        vms,
        key=lambda vm: (
            vm.name not in coordinators,
            -vm.cores,
            rendezvous_score("spread", vm.name),
        ),
    )
    if not ranked:
        return {}
    least = min(vm.cores for vm in ranked)
    places = _places(ranked, least)
    tree: dict[str, str | None] = {ranked[0].name: None}
    # There are at least as many places as VMs, since each VM offers several.
    tree.update({vm.name: above for vm, above in zip(ranked[1:], places, strict=False)})
    return tree


def _places(ranked: Sequence[RegisteredVm], least_cores: float) -> Iterator[str]:
    for vm in ranked:
        share = vm.cores / least_cores if least_cores > 0 else 1.0
        for _ in range(int(FETCHERS_PER_VM * share)):
            yield vm.name


def spread_sources(
    own: RegisteredVm, vms: Sequence[RegisteredVm], coordinators: Sequence[str], announcer: str
) -> tuple[str, ...]:
    """Return the VMs to ask for large values, in this order, before the store is read."""
    domain = {vm.name: vm for vm in vms if vm.failure_domain == own.failure_domain}
    domain[own.name] = own
    tree = spread_tree(domain.values(), coordinators)
    root = next(iter(tree))
    remote = sorted(coordinators, key=lambda name: rendezvous_score(own.failure_domain, name))
    candidates = (tree[own.name], root, announcer, *remote)
    known = {vm.name for vm in vms} - {own.name}
    sources = dict.fromkeys(name for name in candidates if name is not None and name in known)
    return tuple(sources)[:MAX_SOURCES]
