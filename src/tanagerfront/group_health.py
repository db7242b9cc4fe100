"""Conditions on a group snapshot that decide about promotions and repairs (HTTP interface)."""

from __future__ import annotations

import trio

from .acknowledgement import majority_size
from .configuration import Acknowledge
from .groups import GroupSnapshot, InstanceSnapshot

__all__ = [
    "StallDetector",
    "has_caught_up_replica",
    "is_majority_reachable",
    "is_primary_leaving",
    "is_primary_reachable",
    "needs_redirect",
    "stall_is_failure",
]


def is_primary_reachable(snapshot: GroupSnapshot) -> bool:
    """Return whether the primary of the group's term is reachable."""
    return snapshot.primary is not None and snapshot.primary.reachable


def is_majority_reachable(snapshot: GroupSnapshot) -> bool:
    """Return whether this VM reaches enough instances to fence a majority."""
    reachable = sum(1 for instance in snapshot.instances if instance.reachable)
    return reachable >= majority_size(len(snapshot.instances))


def has_caught_up_replica(snapshot: GroupSnapshot) -> bool:
    """Return whether a reachable replica that is not leaving holds all the primary's entries."""
    primary = snapshot.primary.status if snapshot.primary else None
    return primary is not None and any(
        instance.status.term == primary.term and instance.status.held >= primary.held
        for instance in snapshot.instances
        if instance.status
        and instance.reachable
        and not instance.instance.leaving
        and instance.status.role == "replica"
    )


def is_primary_leaving(snapshot: GroupSnapshot) -> bool:
    """Return whether the primary is leaving and a reachable remaining instance can replace it."""
    return (
        snapshot.primary is not None
        and snapshot.primary.reachable
        and snapshot.primary.instance.leaving
        and any(
            instance.reachable and not instance.instance.leaving for instance in snapshot.instances
        )
    )


def needs_redirect(instance: InstanceSnapshot, snapshot: GroupSnapshot) -> bool:
    """Return whether a reachable instance does not follow the primary of the group's term."""
    if snapshot.primary is None or not snapshot.primary.reachable or instance.status is None:
        return False
    name = snapshot.primary.instance.name
    if not instance.reachable or instance.instance.name == name:
        return False
    return instance.status.term < snapshot.term or instance.status.primary != name


class StallDetector:
    """Measure how long no further entry of the primary has reached a majority.

    A primary that is cut off from its replicas answers probes, but none of its writes can be
    acknowledged. Replication that is slow but advances is no stall.
    """

    def __init__(self) -> None:
        self._last_progress = (-1, -1)
        self._last_progress_at = float("-inf")

    def stalled_s(self, snapshot: GroupSnapshot) -> float:
        """Return the seconds without progress while the primary has more entries."""
        status = snapshot.primary.status if snapshot.primary else None
        now = trio.current_time()
        replicated = _majority_held_position(snapshot)
        if (
            status is None
            or replicated >= status.held
            or self._last_progress != (snapshot.term, replicated)
        ):
            self._last_progress, self._last_progress_at = (snapshot.term, replicated), now
        return now - self._last_progress_at


def _majority_held_position(snapshot: GroupSnapshot) -> int:
    """Return the last log position of the group's term that a majority is known to hold."""
    statuses = (instance.status for instance in snapshot.instances if instance.status is not None)
    held = sorted(
        (status.held for status in statuses if status.last_term == snapshot.term), reverse=True
    )
    majority = majority_size(len(snapshot.instances))
    return held[majority - 1] if len(held) >= majority else 0


def stall_is_failure(snapshot: GroupSnapshot) -> bool:
    """Return whether a stall counts as a failure of the primary.

    In other acknowledge modes, writes are acknowledged without replication.
    """
    return snapshot.group.acknowledge is Acknowledge.REPLICATED
