"""Judge from the view of a group whether its primary serves and its replicas follow."""

from __future__ import annotations

import trio

from .acknowledgement import majority_size
from .configuration import Acknowledge
from .groups import GroupSnapshot, InstanceSnapshot

__all__ = [
    "StallDetector",
    "has_caught_up_replica",
    "stall_is_failure",
    "is_primary_reachable",
    "is_primary_leaving",
    "needs_redirect",
    "is_majority_reachable",
]


def is_primary_reachable(view: GroupSnapshot) -> bool:
    """Tell whether the primary of the group's term is reachable."""
    return view.primary is not None and view.primary.reachable


def is_majority_reachable(view: GroupSnapshot) -> bool:
    """Tell whether this VM reaches enough instances to fence a majority."""
    reachable = sum(1 for instance in view.instances if instance.reachable)
    return reachable >= majority_size(len(view.instances))


def has_caught_up_replica(view: GroupSnapshot) -> bool:
    """Tell whether a replica that stays holds everything a leaving primary holds."""
    primary = view.primary.status if view.primary else None
    return primary is not None and any(
        at.status.term == primary.term and at.status.held >= primary.held
        for at in view.instances
        if at.status and at.reachable and not at.instance.leaving and at.status.role == "replica"
    )


def is_primary_leaving(view: GroupSnapshot) -> bool:
    """Tell whether the primary is leaving and an instance that stays could replace it."""
    return (
        view.primary is not None
        and view.primary.reachable
        and view.primary.instance.leaving
        and any(at.reachable and not at.instance.leaving for at in view.instances)
    )


def needs_redirect(at: InstanceSnapshot, view: GroupSnapshot) -> bool:
    """Tell whether a reachable instance does not follow the primary of the group's term."""
    if view.primary is None or not view.primary.reachable or at.status is None:
        return False
    name = view.primary.instance.name
    if not at.reachable or at.instance.name == name:
        return False
    return at.status.term < view.term or at.status.primary != name


class StallDetector:
    """Measure for how long no further entry of the primary has reached a majority.

    A primary that is cut off from its replicas answers probes, but none of its writes can be
    acknowledged. Slow replication keeps advancing and does not count.
    """

    def __init__(self) -> None:
        self._progress = (-1, -1)
        self._since = float("-inf")

    def stalled_s(self, view: GroupSnapshot) -> float:
        """Return the seconds without progress while the primary has more entries."""
        status = view.primary.status if view.primary else None
        now = trio.current_time()
        replicated = _majority_held(view)
        if status is None or replicated >= status.held or self._progress != (view.term, replicated):
            self._progress, self._since = (view.term, replicated), now
        return now - self._since


def _majority_held(view: GroupSnapshot) -> int:
    """Return the last position that a majority is known to hold in the group's term."""
    statuses = (at.status for at in view.instances if at.status is not None)
    held = sorted((at.held for at in statuses if at.last_term == view.term), reverse=True)
    needed = majority_size(len(view.instances))
    return held[needed - 1] if len(held) >= needed else 0


def stall_is_failure(view: GroupSnapshot) -> bool:
    """Tell whether a stall is a failure; other writes are acknowledged without replication."""
    return view.group.acknowledge is Acknowledge.REPLICATED
