"""Which VMs do what for the fleet: every VM computes the same answer from the registered VMs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .fleet_store import RegisteredVm
from .rendezvous import rendezvous_score
from .session_model import Organisation

__all__ = ["COORDINATORS", "coordinators", "rate_holders"]

# Coordinators ask the store for all others. Three survive the loss of two VMs at once.
COORDINATORS = 3
# A holder's share of a bucket has to be several tokens, or rounding keeps them from being lent.
TOKENS_PER_HOLDER = 8.0
# One holder may be lost; with more than a few, a VM that needs a token asks in vain too often.
MIN_HOLDERS = 2
MAX_HOLDERS = 7


def _ranked(names: Iterable[str], purpose: str) -> list[str]:
    """Return names in rendezvous order: a VM that joins or leaves moves only its own work."""
    return sorted(names, key=lambda name: rendezvous_score(purpose, name))


def coordinators(vms: Sequence[RegisteredVm]) -> tuple[str, ...]:
    """Return the VMs that follow the store closely, in different failure domains if possible.

    Those with the most processor time go first: they answer the heartbeats of the whole fleet and
    pass changes on, which fills the link of a small VM.
    """
    domains = {each.name: each.failure_domain for each in vms}
    cores = {each.name: each.cores for each in vms}
    ranked = sorted(_ranked(domains, "coordinator"), key=lambda name: -cores[name])
    chosen: list[str] = []
    for name in ranked:
        if len(chosen) < COORDINATORS and domains[name] not in {domains[each] for each in chosen}:
            chosen.append(name)
    chosen += [name for name in ranked if name not in chosen][: COORDINATORS - len(chosen)]
    return tuple(chosen)


def rate_holders(organisation: Organisation, vms: Sequence[str]) -> tuple[str, ...]:
    """Return the VMs among which an organisation's bucket is divided."""
    tokens = organisation.rate_per_s + organisation.burst
    count = min(len(vms), MAX_HOLDERS, max(MIN_HOLDERS, int(tokens / TOKENS_PER_HOLDER)))
    return tuple(_ranked(vms, f"rate/{organisation.name}")[:count])
