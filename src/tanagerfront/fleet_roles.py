"""Assignment of fleet-wide roles, which every VM derives alike from the registered VMs."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence

from .fleet_store import RegisteredVm
from .rendezvous import rendezvous_score
from .session_model import Organisation

__all__ = ["COORDINATORS", "RateHolders", "coordinators", "rate_holders"]

# Coordinators read the store for all other VMs. Three tolerate the loss of two VMs at once.
COORDINATORS = 3
# A share of a token bucket has to be several tokens, or rounding prevents loans between VMs.
TOKENS_PER_HOLDER = 8.0
# Two holders tolerate the loss of one. With more than a few, a VM that needs a token sends too many
# loan requests that are refused.
MIN_HOLDERS = 2
MAX_HOLDERS = 7


def _ranked(names: Iterable[str], purpose: str) -> list[str]:
    """Return names in rendezvous order: a VM that joins or leaves moves only its own roles."""
    return sorted(names, key=lambda name: rendezvous_score(purpose, name))


def coordinators(vms: Sequence[RegisteredVm]) -> tuple[str, ...]:
    """Return the VMs that check and watch the store, in different failure domains if possible.

    VMs with the most processor time are preferred: coordinators reply to the heartbeats of the
    whole fleet and forward changes, which saturates the link of a small VM.
    """
    domains = {vm.name: vm.failure_domain for vm in vms}
    cores = {vm.name: vm.cores for vm in vms}
    ranked = sorted(_ranked(domains, "coordinator"), key=lambda name: -cores[name])
    chosen: list[str] = []
    for name in ranked:
        if len(chosen) < COORDINATORS and domains[name] not in {domains[other] for other in chosen}:
            chosen.append(name)
    chosen += [name for name in ranked if name not in chosen][: COORDINATORS - len(chosen)]
    return tuple(chosen)


def rate_holders(organisation: Organisation, vms: Sequence[str]) -> tuple[str, ...]:
    """Return the names of the VMs among which an organisation's token bucket is divided."""
    return tuple(_ranked(vms, f"rate/{organisation.name}")[: _holder_count(organisation, len(vms))])


class RateHolders:
    """The holders of all organisations, updated by the VMs that joined and left.

    A VM that joins or leaves changes the ranking of others by nothing, so that an update scores
    only the VMs that joined, and ranks all VMs only for an organisation that lost a holder.
    """

    def __init__(self) -> None:
        self._vms: frozenset[str] = frozenset()
        # The first MAX_HOLDERS VMs of each organisation with their scores, in order.
        self._ranked: dict[str, list[tuple[int, str]]] = {}

    def update(
        self, organisations: Collection[Organisation], vms: Collection[str]
    ) -> dict[str, tuple[str, ...]]:
        """Return the holders by organisation, the same as `rate_holders` for each of them."""
        present = frozenset(vms)
        joined, left = present - self._vms, self._vms - present
        self._vms = present
        previous, self._ranked = self._ranked, {}
        holders: dict[str, tuple[str, ...]] = {}
        for organisation in organisations:
            name = organisation.name
            ranked = previous.get(name)
            if ranked is None or any(vm in left for _, vm in ranked):
                ranked = _scored(present, name)
            elif joined:
                ranked = sorted([*ranked, *_scored(joined, name)])
            del ranked[MAX_HOLDERS:]
            self._ranked[name] = ranked
            count = _holder_count(organisation, len(present))
            holders[name] = tuple(vm for _, vm in ranked[:count])
        return holders


def _scored(vms: Iterable[str], organisation: str) -> list[tuple[int, str]]:
    return sorted((rendezvous_score(f"rate/{organisation}", vm), vm) for vm in vms)


def _holder_count(organisation: Organisation, vms: int) -> int:
    tokens = organisation.rate_per_s + organisation.burst
    return min(vms, MAX_HOLDERS, max(MIN_HOLDERS, int(tokens / TOKENS_PER_HOLDER)))
