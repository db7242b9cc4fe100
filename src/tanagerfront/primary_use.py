"""Decisions on the use of a group's primary, and on waiting for it (session interface).

The load pattern: during a failover all writes of a group, and most of its reads while the replicas
lag, arrive at VMs that may use no primary. No input or output.
"""

from __future__ import annotations

import enum

from .confirmed_state import CONFIRMATION_MARGIN_S, ConfirmedState, StalenessLimits
from .instance_directory import Group

__all__ = ["PrimaryObstacle", "expected_wait_s", "primary_obstacle"]

# A failover that every VM acknowledged, or whose step-down was answered, takes 0.5 to 0.7 s.
PROMPT_FAILOVER_S = 0.8


class PrimaryObstacle(enum.Enum):
    """Reason why a VM may not use a group's primary at the moment."""

    UNKNOWN = "unknown"
    MOVING = "moving"
    SUPERSEDED = "superseded"
    NOT_CONFIRMED = "not-confirmed"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    EVACUATED = "evacuated"


def primary_obstacle(
    group: Group, confirmed_state: ConfirmedState, now: float
) -> PrimaryObstacle | None:
    """Return why this VM may not use the group's primary, None if it may.

    `now` is a reading of `boottime_s`.
    """
    primary = group.primary
    if primary is None:
        moving = group.primary_record is not None and group.primary_record.moving
        return PrimaryObstacle.MOVING if moving else PrimaryObstacle.UNKNOWN
    if group.superseded:
        return PrimaryObstacle.SUPERSEDED
    if not confirmed_state.primaries_confirmed:
        return PrimaryObstacle.NOT_CONFIRMED
    leaving_since = primary.leaving_since
    if leaving_since is not None and now - leaving_since > confirmed_state.limits.leaving_s:
        return PrimaryObstacle.LEAVING
    if primary.evacuation is not None and primary.evacuation.primary_ended(now):
        return PrimaryObstacle.EVACUATED
    if primary.unreachable_since is not None:
        return PrimaryObstacle.UNREACHABLE
    return None


def expected_wait_s(group: Group, limits: StalenessLimits, now: float) -> float:
    """Return the expected time in seconds until a moving primary may be used, 0 if not known.

    It is infinite while an evacuation leaves no instance that could become primary.

    A failover that has not ended promptly waits for a VM that does not answer, until that VM can't
    be using the old primary any more; it ends earlier only if the VM returns or loses its lease.
    """
    evacuated = any(instance.evacuation is not None for instance in group.instances.values())
    if evacuated and not group.successors(None):
        return float("inf")
    if group.moving_since is None or now - group.moving_since < PROMPT_FAILOVER_S:
        return 0.0
    return max(0.0, group.moving_since + limits.primary_s + CONFIRMATION_MARGIN_S - now)
