"""One attempt to promote an instance in a new term: fence, select, promote, redirect."""

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
    """Times of an attempt in seconds."""

    open_timeout_s: float = 0.3
    call_timeout_s: float = 0.5
    # A follower answers once it has compared its log with the primary's.
    follow_timeout_s: float = 1.5
    # After a majority is fenced, the others get this long, as one may hold more.
    straggler_wait_s: float = 0.05


def choose_successor(
    statuses: Mapping[str, InstanceStatus], group: Group, avoid: str | None = None
) -> InstanceStatus | None:
    """Return the fenced instance with the highest (last_term, held), or None without a majority.

    An acknowledged entry is held by a majority, so every majority has a holder, and the highest
    of them has the entry in its history. Among equals an instance that is not leaving is taken.
    `avoid` names a primary that is cut off from its replicas; it is taken only if the others are
    no majority.
    """
    needed = majority_size(len(group.instances))
    if len(statuses) < needed:
        return None
    others = [status for name, status in statuses.items() if name != avoid]
    leaving = {instance.name: instance.leaving for instance in group.instances}
    return max(
        others if len(others) >= needed else statuses.values(),
        key=lambda at: (at.last_term, at.held, not leaving[at.instance], at.applied, at.instance),
    )


async def redirect(
    session: ControlSession,
    instance: str,
    term: int,
    primary: str,
    settings: PromotionAttemptSettings,
) -> int:
    """Make an instance follow the primary and return how many entries it discarded."""
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
    """An attempt in one term, which promotes at most one instance."""

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
        self._fenced: dict[str, InstanceStatus] = {}
        self._finished = 0
        self._progress = trio.Event()
        self._overtaken_by = 0

    @property
    def superseding_term(self) -> int:
        """Return a higher term that an instance answered with, or 0."""
        return self._overtaken_by

    async def promote(self, avoid: str | None = None) -> str | None:
        """Fence a majority and promote the successor; return its name, or None on failure."""
        await self._fence_majority()
        if self._overtaken_by:
            return None
        successor = choose_successor(self._fenced, self._group, avoid)
        if successor is None:
            return None
        name = successor.instance
        try:
            await self._sessions[name].promote(self._term, self._settings.call_timeout_s)
        except (ConnectionLostError, DatabaseError) as error:
            # The promotion may have happened, so this term must not promote another instance.
            _log.warning("promotion failed", instance=name, term=self._term, reason=str(error))
            return None
        return name

    async def redirect_others(self, primary: str) -> None:
        """Tell the other fenced instances to follow the new primary."""
        async with trio.open_nursery() as nursery:
            for name in self._fenced:
                if name != primary:
                    nursery.start_soon(self._redirect, name, primary)

    async def close(self) -> None:
        """Close the connections of the attempt."""
        for session in self._sessions.values():
            await session.close()

    async def _fence_majority(self) -> None:
        instances = self._group.instances
        needed = majority_size(len(instances))
        async with trio.open_nursery() as nursery:
            for instance in instances:
                nursery.start_soon(self._fence, instance)
            while len(self._fenced) < needed and self._finished < len(instances):
                await self._progress.wait()
            nursery.cancel_scope.deadline = trio.current_time() + self._settings.straggler_wait_s

    async def _fence(self, instance: Instance) -> None:
        name = instance.name
        try:
            session = await self._open_session(instance.address, self._settings.open_timeout_s)
            self._sessions[name] = session
            status = await session.fence(self._term, self._settings.call_timeout_s)
        except StaleTermError as error:
            self._overtaken_by = max(self._overtaken_by, error.term)
        except (ConnectionLostError, DatabaseError) as error:
            _log.info("cannot fence", instance=name, term=self._term, reason=str(error))
        else:
            self._fenced[name] = status._replace(instance=name)
        finally:
            self._finished += 1
            event, self._progress = self._progress, trio.Event()
            event.set()

    async def _redirect(self, name: str, primary: str) -> None:
        try:
            discarded = await redirect(
                self._sessions[name], name, self._term, primary, self._settings
            )
        except (ConnectionLostError, DatabaseError) as error:
            _log.info("cannot redirect", instance=name, term=self._term, reason=str(error))
        else:
            self._on_discard(name, self._term, discarded)
