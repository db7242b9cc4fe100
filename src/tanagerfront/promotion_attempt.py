"""One attempt to promote an instance in a new term: fence, select, promote, redirect.

Serves the HTTP interface.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

import structlog
import trio

from .acknowledgement import majority_size
from .configuration import Group, Instance
from .databases import InstanceStatus
from .errors import ConnectionLostError, DatabaseError, StaleTermError
from .groups import ControlSession, OpenSession

__all__ = ["PromotionAttempt", "PromotionAttemptSettings", "choose_successor", "redirect"]

_log = structlog.get_logger(__name__)


class PromotionAttemptSettings(NamedTuple):
    """Timeouts of a promotion attempt in seconds."""

    open_timeout_s: float = 0.3
    call_timeout_s: float = 0.5
    # A replica replies to a redirect only after comparing its log with the primary's.
    follow_timeout_s: float = 1.5
    # After a majority is fenced, waits for the other instances: one may hold more entries.
    straggler_wait_s: float = 0.05


def choose_successor(
    statuses: Mapping[str, InstanceStatus], group: Group, avoided_instance: str | None = None
) -> InstanceStatus | None:
    """Return the fenced instance with the highest (last_term, held), or None without a majority.

    An acknowledged entry is held by a majority, so every majority contains an instance that holds
    it, and the highest instance of the majority has the entry in its log. Among equals, one that
    is not leaving is preferred. `avoided_instance` names a primary that is cut off from its
    replicas; it is considered only if the other instances are no majority.
    """
    majority = majority_size(len(group.instances))
    if len(statuses) < majority:
        return None
    others = [status for name, status in statuses.items() if name != avoided_instance]
    leaving = {instance.name: instance.leaving for instance in group.instances}
    return max(
        others if len(others) >= majority else statuses.values(),
        key=lambda status: (
            status.last_term,
            status.held,
            not leaving[status.instance],
            status.applied,
            status.instance,
        ),
    )


async def redirect(
    session: ControlSession,
    instance: str,
    term: int,
    primary: str,
    settings: PromotionAttemptSettings,
) -> int:
    """Make an instance replicate from the primary and return how many entries it discarded.

    Raises ConnectionLostError or DatabaseError.
    """
    result = await session.follow(term, primary, settings.follow_timeout_s)
    if result.discarded:
        _log.warning(
            "replica discarded entries",
            instance=instance,
            term=term,
            primary=primary,
            discarded=result.discarded,
        )
    return result.discarded


class PromotionAttempt:
    """A promotion attempt in one term, which promotes at most one instance."""

    def __init__(
        self,
        group: Group,
        term: int,
        open_session: OpenSession,
        settings: PromotionAttemptSettings,
        on_discard: Callable[[str, int, int], None],
    ) -> None:
        self._group = group
        self._term = term
        self._open_session = open_session
        self._settings = settings
        self._on_discard = on_discard
        self._sessions: dict[str, ControlSession] = {}
        self._fenced_statuses: dict[str, InstanceStatus] = {}
        self._finished_count = 0
        self._fence_finished = trio.Event()
        self._superseding_term = 0

    @property
    def superseding_term(self) -> int:
        """Return the highest later term that an instance reported, or 0."""
        return self._superseding_term

    async def promote(self, avoided_instance: str | None = None) -> str | None:
        """Fence a majority and promote the successor; return its name, or None on failure."""
        await self._fence_majority()
        if self._superseding_term:
            return None
        successor = choose_successor(self._fenced_statuses, self._group, avoided_instance)
        if successor is None:
            return None
        name = successor.instance
        try:
            await self._sessions[name].promote(self._term, self._settings.call_timeout_s)
        except (ConnectionLostError, DatabaseError) as error:
            # The instance may have been promoted, so no other may be promoted in this term.
            _log.warning(
                "promotion failed or its outcome is unknown",
                instance=name,
                term=self._term,
                reason=str(error),
            )
            return None
        return name

    async def redirect_others(self, primary: str) -> None:
        """Make the other fenced instances replicate from the new primary."""
        async with trio.open_nursery() as nursery:
            for name in self._fenced_statuses:
                if name != primary:
                    nursery.start_soon(self._redirect, name, primary)

    async def close(self) -> None:
        """Close the connections of the attempt."""
        for session in self._sessions.values():
            await session.close()

    async def _fence_majority(self) -> None:
        instances = self._group.instances
        majority = majority_size(len(instances))
        async with trio.open_nursery() as nursery:
            for instance in instances:
                nursery.start_soon(self._fence, instance)
            while len(self._fenced_statuses) < majority and self._finished_count < len(instances):
                await self._fence_finished.wait()
            nursery.cancel_scope.deadline = trio.current_time() + self._settings.straggler_wait_s

    async def _fence(self, instance: Instance) -> None:
        name = instance.name
        try:
            session = await self._open_session(instance.address, self._settings.open_timeout_s)
            self._sessions[name] = session
            status = await session.fence(self._term, self._settings.call_timeout_s)
        except StaleTermError as error:
            self._superseding_term = max(self._superseding_term, error.term)
        except (ConnectionLostError, DatabaseError) as error:
            _log.info(
                "cannot fence the instance", instance=name, term=self._term, reason=str(error)
            )
        else:
            self._fenced_statuses[name] = status._replace(instance=name)
        finally:
            self._finished_count += 1
            event, self._fence_finished = self._fence_finished, trio.Event()
            event.set()

    async def _redirect(self, name: str, primary: str) -> None:
        try:
            discarded = await redirect(
                self._sessions[name], name, self._term, primary, self._settings
            )
        except (ConnectionLostError, DatabaseError) as error:
            _log.info(
                "cannot redirect the instance to the new primary",
                instance=name,
                term=self._term,
                reason=str(error),
            )
        else:
            self._on_discard(name, self._term, discarded)
