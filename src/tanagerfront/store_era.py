"""Eras of the store, which may return from an older copy (session interface).

What was written since the copy is lost then, and its revisions are given out again. The store
counts these returns as its era. Revisions are therefore numbered across eras, and nothing of a new
era is relied on before the fleet has had time to write again what was lost. No input or output.
"""

from __future__ import annotations

__all__ = [
    "FIRST_ERA",
    "SETTLING_S",
    "EraProgress",
    "era_of",
    "era_start",
    "global_revision",
    "stored_revision",
]

# The era of a new store. Its revisions stay as they are, so that VMs of earlier versions, which
# know no eras, agree on them.
FIRST_ERA = 1
# Revisions of an era; a store with 3,200 writes/s reaches them in ten years.
REVISIONS_PER_ERA = 1 << 40
# Time after the first VM has noticed a new era until the fleet relies on the store again. By then
# the other VMs have noticed it too, with a call or a heartbeat, and have written again what they
# know. A primary that was confirmed before the outage is used for three seconds, so a longer time
# would leave statements without a primary.
SETTLING_S = 1.0


def global_revision(era: int, revision: int) -> int:
    """Number a revision of the store across eras; 0, of a missing key, stays 0."""
    return era_start(era) + revision if revision else 0


def era_start(era: int) -> int:
    """Return a revision below all that are given out in an era, and above those of earlier eras."""
    return (era - FIRST_ERA) * REVISIONS_PER_ERA


def stored_revision(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision % REVISIONS_PER_ERA


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // REVISIONS_PER_ERA + FIRST_ERA


class EraProgress:
    """How far this VM and the fleet have come in the current era.

    Times are readings of `boottime_s`.
    """

    def __init__(self) -> None:
        self._era = FIRST_ERA
        self._noticed_at = float("-inf")
        self._settled_era: int | None = None
        self._confirmed = False

    @property
    def era(self) -> int:
        """Return the current era."""
        return self._era

    @property
    def settled(self) -> bool:
        """Return whether the fleet has written again what the store lost."""
        return self._settled_era is not None and self._settled_era >= self._era

    @property
    def confirmed(self) -> bool:
        """Return whether the state of this VM has been confirmed in this era."""
        return self._confirmed

    def begin(self, era: int, now: float) -> None:
        """Begin an era that was noticed in a reply of the store."""
        self._era = era
        self._noticed_at = now
        self._confirmed = False

    def settle(self, era: int, *, at_first_load: bool = False) -> None:
        """Record that the fleet relies on the store in this era."""
        self._settled_era = max(self._settled_era or 0, era)
        if at_first_load and self.settled:
            # The era began before this VM did.
            self._noticed_at = float("-inf")

    def record_confirmation(self) -> None:
        """Record that the VM's state has been confirmed in this era."""
        self._confirmed = True

    def settling_is_due(self, now: float, rank: int, stagger_s: float) -> bool:
        """Return whether the coordinator of this rank is to let the fleet rely on the store."""
        return not self.settled and now - self._noticed_at >= SETTLING_S + rank * stagger_s

    def for_s(self, now: float) -> float:
        """Return for how many seconds this VM has known the era."""
        return now - self._noticed_at
