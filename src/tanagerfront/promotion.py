"""Promotion of a database when a group's primary fails or leaves."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import structlog
import trio

from .databases import DatabaseSession
from .errors import ConnectionLostError, DatabaseError
from .group_health import (
    StallDetector,
    has_caught_up_replica,
    is_majority_reachable,
    is_primary_leaving,
    is_primary_reachable,
    needs_redirect,
    stall_is_failure,
)
from .group_record import GroupRecordCache
from .groups import GroupSnapshot, InstanceSnapshot, OpenSession
from .kv import KeyValueStore
from .promotion_attempt import PromotionAttempt, PromotionAttemptSettings, redirect
from .term_allocation import TermAllocator

__all__ = ["ConfirmPrimaryFailure", "PromotionMonitor", "PromotionSettings", "Promoter"]

_log = structlog.get_logger(__name__)

# Asks the other homes whether they, too, do not reach the primary (None: no primary is known) of
# the term; true only if VMs in two failure domains agree, as far as the group has so many homes.
ConfirmPrimaryFailure = Callable[[int, str | None], Awaitable[bool]]


class PromotionMonitor(Protocol):
    """What a promoter needs of the group's monitor."""

    @property
    def snapshot(self) -> GroupSnapshot:
        """Return the current view."""

    async def wait_change(self) -> GroupSnapshot:
        """Wait for the next change of the view."""

    def observe_term(self, term: int) -> None:
        """Note a term that an instance answered with."""

    def set_handing_over(self, handing_over: bool) -> None:
        """Hold new work back while the primary hands over, or let it continue."""


class PromotionSettings(NamedTuple):
    """Times of a promoter in seconds."""

    # A primary must be unreachable for this long; shorter times promote on brief stalls.
    suspicion_delay_s: float = 0.6
    # No further entry of the primary reached a majority for this long; it exceeds the time from a
    # write to its replication under load.
    stall_timeout_s: float = 1.2
    # Each rank waits this much longer; it exceeds the usual time of a complete attempt.
    rank_delay_s: float = 0.4
    confirm_timeout_s: float = 1.0
    retry_interval_s: float = 0.3
    maintenance_interval_s: float = 0.25
    # A misplaced instance is repaired after this time, which a running attempt normally needs
    # to redirect it itself.
    repair_delay_s: float = 0.5
    # New work waits at most this long for a leaving primary's replica to catch up.
    hand_over_timeout_s: float = 2.0
    hand_over_retry_interval_s: float = 5.0
    attempt: PromotionAttemptSettings = PromotionAttemptSettings()


class Promoter:
    """Watch one group at a home and promote when needed.

    `vm` must be unique to this start of the process: a restarted VM must not use a term that its
    predecessor reserved and may have used. `rank` is the VM's place among the group's homes.
    """

    def __init__(
        self,
        monitor: PromotionMonitor,
        store: KeyValueStore,
        vm: str,
        confirm: ConfirmPrimaryFailure,
        rank: Callable[[], int],
        settings: PromotionSettings | None = None,
        *,
        open_session: OpenSession = DatabaseSession.open,
        on_discard: Callable[[str, int], None] | None = None,
    ) -> None:
        self._monitor = monitor
        self._confirm = confirm
        self._rank = rank
        self._settings = settings or PromotionSettings()
        self._open_session = open_session
        self._on_discard = on_discard
        self._group_name = monitor.snapshot.group.name
        self._records = GroupRecordCache(store, self._group_name, vm)
        self._terms = TermAllocator(self._records, vm)
        self._attempting = trio.Lock()
        self._stall = StallDetector()
        self._discarded: dict[tuple[str, int], int] = {}
        self._misplaced_since: dict[str, float] = {}
        self._promotions = 0

    @property
    def discarded_entries(self) -> int:
        """Return how many log entries replicas discarded on this promoter's instruction."""
        return sum(self._discarded.values())

    @property
    def promotions(self) -> int:
        """Return how many promotions this promoter completed."""
        return self._promotions

    async def run(self) -> None:
        """Promote, repair and record until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._records.watch)
            nursery.start_soon(self._replace_failed_primaries)
            nursery.start_soon(self._hand_over_leaving_primaries)
            nursery.start_soon(self._maintain)

    def reaches_primary(self, term: int) -> bool:
        """Answer another home that suspects the primary of a term."""
        view = self._monitor.snapshot
        return view.term > term or (is_primary_reachable(view) and not self._is_stalled(view, 0.5))

    async def _replace_failed_primaries(self) -> None:
        while True:
            view = await self._wait_suspicion()
            if await self._is_confirmed(view) and await self._wait_turn(view.term):
                await self._attempt(avoid_primary=is_primary_reachable(self._monitor.snapshot))
            await trio.sleep(self._settings.retry_interval_s)

    async def _wait_suspicion(self) -> GroupSnapshot:
        """Wait until the primary has failed for a time while a majority is reachable."""
        since, term = trio.current_time(), -1
        while True:
            view = self._monitor.snapshot
            if is_primary_reachable(view) or view.term != term:
                # A new term means that another promoter is at work.
                since, term = trio.current_time(), view.term
            waited_s = trio.current_time() - since
            failed = waited_s >= self._settings.suspicion_delay_s or self._is_stalled(view)
            if failed and is_majority_reachable(view):
                return view
            with trio.move_on_after(max(self._settings.suspicion_delay_s - waited_s, 0.05)):
                await self._monitor.wait_change()

    def _is_stalled(self, view: GroupSnapshot, share: float = 1.0) -> bool:
        stalled_s = self._stall.stalled_s(view)
        return stall_is_failure(view) and stalled_s >= self._settings.stall_timeout_s * share

    async def _is_confirmed(self, view: GroupSnapshot) -> bool:
        primary = view.primary.instance.name if view.primary else None
        with trio.move_on_after(self._settings.confirm_timeout_s):
            confirmed = await self._confirm(view.term, primary)
            _log.info(
                "primary suspected", group=self._group_name, primary=primary, confirmed=confirmed
            )
            return confirmed
        return False

    async def _wait_turn(self, term: int) -> bool:
        """Wait for this VM's turn; return whether a promotion is still needed."""

        def needed() -> bool:
            view = self._monitor.snapshot
            return view.term == term and (not is_primary_reachable(view) or self._is_stalled(view))

        with trio.move_on_after(self._rank() * self._settings.rank_delay_s):
            while needed():
                await self._monitor.wait_change()
        return needed()

    async def _attempt(self, *, avoid_primary: bool = False) -> None:
        """Take a term and try to promote in it, another instance if the primary is cut off."""
        primary = self._monitor.snapshot.primary
        avoid = primary.instance.name if primary and avoid_primary else None
        async with self._attempting:
            term = await self._terms.allocate(self._monitor.snapshot.term)
            if term is None:
                return
            attempt = PromotionAttempt(
                self._monitor.snapshot.group,
                term,
                self._open_session,
                self._settings.attempt,
                self._note_discard,
            )
            try:
                promoted = await attempt.promote(avoid)
                self._monitor.observe_term(attempt.superseding_term)
                if promoted is not None:
                    await self._complete(attempt, term, promoted)
            finally:
                with trio.CancelScope(shield=True):
                    await attempt.close()

    async def _complete(self, attempt: PromotionAttempt, term: int, primary: str) -> None:
        self._promotions += 1
        self._monitor.observe_term(term)
        _log.warning("promoted", group=self._group_name, primary=primary, term=term)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(attempt.redirect_others, primary)
            nursery.start_soon(
                functools.partial(
                    self._terms.record_primary, term, primary, renew_reservation=False
                )
            )

    async def _hand_over_leaving_primaries(self) -> None:
        while True:
            while not is_primary_leaving(self._monitor.snapshot):
                await self._monitor.wait_change()
            await self._hand_over()
            await trio.sleep(self._settings.hand_over_retry_interval_s)

    async def _hand_over(self) -> None:
        """Hold new work back until a replica has everything, then promote it."""
        self._monitor.set_handing_over(True)
        try:
            if await self._waitcaught_up():
                await self._attempt()
        finally:
            self._monitor.set_handing_over(False)

    async def _waitcaught_up(self) -> bool:
        """Wait until it is this VM's turn and a replica has caught up; false at the limit."""
        with trio.move_on_after(self._settings.hand_over_timeout_s):
            await trio.sleep(self._rank() * self._settings.rank_delay_s)
            while is_primary_leaving(self._monitor.snapshot):
                if has_caught_up_replica(self._monitor.snapshot):
                    return True
                await self._monitor.wait_change()
        return False

    async def _maintain(self) -> None:
        """Repair misplaced instances and keep the record current."""
        while True:
            await trio.sleep(self._settings.maintenance_interval_s)
            async with trio.open_nursery() as nursery:
                for instance in self._due_for_repair():
                    nursery.start_soon(self._repair, instance)
            if self._records.loaded and not self._attempting.locked():
                await self._update_record()

    def _due_for_repair(self) -> list[InstanceSnapshot]:
        view, now = self._monitor.snapshot, trio.current_time()
        misplaced = [at for at in view.instances if needs_redirect(at, view)]
        names = {at.instance.name for at in misplaced}
        since = self._misplaced_since
        self._misplaced_since = {name: since.get(name, now) for name in names}
        delay_s = self._settings.repair_delay_s + self._rank() * self._settings.rank_delay_s
        due = now - delay_s
        return [at for at in misplaced if self._misplaced_since[at.instance.name] <= due]

    async def _repair(self, at: InstanceSnapshot) -> None:
        """Fence an old primary or a diverging replica and make it follow the primary."""
        view, settings = self._monitor.snapshot, self._settings.attempt
        if view.primary is None:
            return
        primary, name = view.primary.instance.name, at.instance.name
        try:
            session = await self._open_session(at.instance.address, settings.open_timeout_s)
            try:
                await session.fence(view.term, settings.call_timeout_s)
                discarded = await redirect(session, name, view.term, primary, settings)
            finally:
                await session.close()
        except (ConnectionLostError, DatabaseError) as error:
            _log.info("cannot repair", instance=name, reason=str(error))
        else:
            self._note_discard(name, view.term, discarded)

    def _note_discard(self, instance: str, term: int, discarded: int) -> None:
        """Count discarded entries; an instance answers with its total of the term."""
        before = self._discarded.get((instance, term), 0)
        if discarded > before:
            self._discarded[(instance, term)] = discarded
            if self._on_discard is not None:
                self._on_discard(instance, discarded - before)

    async def _update_record(self) -> None:
        """Record the group's primary, and keep a term reserved for the first home."""
        view = self._monitor.snapshot
        if view.primary is not None and view.primary.reachable and self._rank() == 0:
            name = view.primary.instance.name
            await self._terms.record_primary(view.term, name, renew_reservation=True)
