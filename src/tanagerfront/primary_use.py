"""Decision whether this VM may use a group's primary (session interface); no input or output."""

from __future__ import annotations

import enum

from .confirmed_state import ConfirmedState
from .instance_directory import Group

__all__ = ["PrimaryObstacle", "primary_obstacle"]


class PrimaryObstacle(enum.Enum):
    """Reason why a VM may not use a group's primary at the moment."""

    UNKNOWN = "unknown"
    MOVING = "moving"
    NOT_CONFIRMED = "not-confirmed"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"


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
    if not confirmed_state.primaries_confirmed:
        return PrimaryObstacle.NOT_CONFIRMED
    leaving_since = primary.leaving_since
    if leaving_since is not None and now - leaving_since > confirmed_state.limits.leaving_s:
        return PrimaryObstacle.LEAVING
    if primary.unreachable_since is not None:
        return PrimaryObstacle.UNREACHABLE
    return None
