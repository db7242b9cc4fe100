"""Which instances may execute a statement of the session interface, and why others may not.

Sessions place statements with it, and operators see with it where one would go. No input or
output.
"""

from __future__ import annotations

import enum

from .entry_id import EntryId
from .instance_directory import Group, Instance, InstanceDirectory
from .placement import Candidate
from .session_model import Route

__all__ = ["OutOfUse", "out_of_use", "read_candidates", "required_entry"]

# Reads use positions that are fresher than the route's maximum staleness by this much.
STALENESS_MARGIN_S = 0.1


class OutOfUse(enum.Enum):
    """Why an instance gets no new read."""

    EVACUATED = "evacuated"
    LEAVING = "leaving"
    COLD = "cold"
    UNREACHABLE = "unreachable"
    UNUSABLE_PRIMARY = "unusable-primary"


def out_of_use(
    group: Group, instance: Instance, usable_primary: Instance | None
) -> OutOfUse | None:
    """Return why an instance gets no new read, None if it may get one.

    `usable_primary` is the group's primary if this VM may use it now.
    """
    if instance.evacuation is not None:
        return OutOfUse.EVACUATED
    if instance is usable_primary:
        return None
    if instance is group.primary:
        return OutOfUse.UNUSABLE_PRIMARY
    if instance.leaving:
        return OutOfUse.LEAVING
    if not instance.pool.may_begin_work:
        return OutOfUse.COLD
    return OutOfUse.UNREACHABLE if instance.unreachable_since is not None else None


def read_candidates(
    directory: InstanceDirectory,
    group: Group,
    usable_primary: Instance | None,
    organisation: str,
    *,
    with_load: bool,
) -> list[Candidate]:
    """Return the candidates for a read that replicas may execute."""
    return [
        directory.candidate(group, instance, organisation, with_load=with_load)
        for instance in group.instances.values()
        if out_of_use(group, instance, usable_primary) is None
    ]


def required_entry(
    route: Route, group: Group, received_boottime_s: float, session_entry: EntryId | None
) -> EntryId:
    """Return the entry that a replica must have applied for a read.

    `session_entry` is the last write of a session that reads its own writes. Raises LookupError if
    the read has to go to the primary.
    """
    if route.max_staleness_s is None:
        raise LookupError("the route accepts no stale reads")
    required = group.samples.oldest_since(
        received_boottime_s - route.max_staleness_s + STALENESS_MARGIN_S
    )
    if required is None:
        raise LookupError("no recent position of the primary is known")
    return required if session_entry is None else max(required, session_entry)
