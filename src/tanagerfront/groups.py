"""What a home knows of a group of databases."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from .configuration import Group, Instance
from .databases import InstanceStatus
from .entry_id import EntryId

__all__ = ["GroupMonitor", "GroupView", "InstanceView"]


class InstanceView(NamedTuple):
    """One instance as last seen; `observed_at` is in trio's clock, in seconds."""

    instance: Instance
    status: InstanceStatus | None
    reachable: bool
    observed_at: float


class GroupView(NamedTuple):
    """A group as last seen; `primary` is None while no primary of `term` is known."""

    group: Group
    term: int
    primary: InstanceView | None
    instances: tuple[InstanceView, ...]
    # New work waits while the primary hands over to another instance.
    handing_over: bool = False


class GroupMonitor(Protocol):
    """Follow the instances of one group by long polls."""

    @property
    def view(self) -> GroupView:
        """Return the current view."""

    async def wait_primary(self, deadline: float) -> GroupView:
        """Wait for a primary that takes work; raises UnavailableError at the deadline."""

    async def wait_acknowledged(self, entry: EntryId, deadline: float) -> None:
        """Wait until the write may be acknowledged; raises OutcomeUnknownError."""

    def report_failure(self, instance: str) -> None:
        """Note that an exchange with an instance failed, so that it is checked at once."""

    def observe_term(self, term: int) -> None:
        """Note a term that an instance answered with."""
