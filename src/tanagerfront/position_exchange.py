"""Positions of primaries that VMs pass on with their replies to heartbeats (session interface).

The load pattern: a fleet of many VMs, each of which serves few requests, so that every VM would
have to query every group's primary for a position by itself. No input or output.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from .entry_id import EntryId
from .instance_directory import InstanceDirectory

__all__ = ["PassedPosition", "positions_to_pass", "record_passed_positions"]

# Older samples have been passed on with the reply to an earlier heartbeat, one each 0.3 s.
MAX_PASSED_AGE_S = 0.4
# Coordinators sample at the same times. More samples would only lengthen the search for one.
MIN_PASSED_INTERVAL_S = 0.2


class PassedPosition(msgspec.Struct, array_like=True, frozen=True):
    """Position that a group's primary reported for a request `age_s` seconds before the reply.

    `instance` and `term` are those of the primary record that was in use then.
    """

    group: str
    instance: str
    term: int
    position: tuple[int, int]
    age_s: float


def positions_to_pass(directory: InstanceDirectory, now: float) -> list[PassedPosition]:
    """Return the recent positions of the recorded primaries; `now` is a reading of `boottime_s`."""
    passed = []
    for group in directory.groups.values():
        record, newest = group.primary_record, group.samples.newest
        if record is None or record.moving or newest is None or group.superseded:
            continue
        requested_at, position = newest
        age_s = now - requested_at
        if age_s <= MAX_PASSED_AGE_S:
            passed.append(PassedPosition(group.name, record.instance, record.term, position, age_s))
    return passed


def record_passed_positions(
    directory: InstanceDirectory, heartbeat_sent_at: float, passed: Iterable[PassedPosition]
) -> None:
    """Add positions from the reply to this VM's heartbeat to the samples of their groups.

    The other VM received the heartbeat after it was sent, and its own request was `age_s` earlier
    than its reply. So the request was not earlier than `heartbeat_sent_at - age_s` by the clock of
    this VM, with no clocks compared.
    """
    for position in passed:
        group = directory.groups.get(position.group)
        record = group.primary_record if group is not None else None
        if group is None or record is None or record.moving:
            continue
        if (record.instance, record.term) != (position.instance, position.term):
            # Positions at another primary may be missing from this one's log.
            continue
        # Also false for a time that is not a number.
        if not 0.0 <= position.age_s <= MAX_PASSED_AGE_S:
            continue
        requested_at = heartbeat_sent_at - position.age_s
        if requested_at - group.samples.latest_at < MIN_PASSED_INTERVAL_S:
            continue
        entry = EntryId(*position.position)
        primary = group.instances.get(record.instance)
        if primary is None:
            continue
        if primary.reached is None or primary.reached < entry:
            # A later term than the record's shows that the record is superseded.
            primary.reached = entry
        if not group.superseded:
            group.samples.add(requested_at, entry)
