"""Promotion of a replica when a group's primary fails or leaves (HTTP interface)."""

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

# Asks the group's other homes whether they cannot reach the primary of the term either (None: no
# primary is known). Returns True only if VMs in two failure domains agree, provided that the group
# has that many homes.
ConfirmPrimaryFailure = Callable[[int, str | None], Awaitable[bool]]


class PromotionMonitor(Protocol):
    """The part of a group's monitor that a promoter uses."""

    @property
    def snapshot(self) -> GroupSnapshot:
        """Return the current snapshot of the group."""

    async def wait_change(self) -> GroupSnapshot:
        """Wait for the next change of the snapshot and return the new one."""

    def observe_term(self, term: int) -> None:
        """Record a term that an instance reported."""

    def set_handing_over(self, handing_over: bool) -> None:
        """Hold new statements back while the primary hands over, or release them."""


class PromotionSettings(NamedTuple):
    """Delays, timeouts and intervals of a promoter in seconds."""

    # How long a primary must be unreachable; with a shorter delay, brief stalls cause promotions.
    suspicion_delay_s: float = 0.6
    # How long no further entry of the primary has reached a majority; must exceed the time from a
    # write to its replication under load.
    stall_timeout_s: float = 1.2
    # Additional delay per rank; exceeds the usual duration of a complete attempt, so that the
    # homes do not attempt a promotion at the same time.
    rank_delay_s: float = 0.4
    confirm_timeout_s: float = 1.0
    retry_interval_s: float = 0.3
    maintenance_interval_s: float = 0.25
    # Delay before an instance that does not follow the primary is repaired; a running attempt
    # normally redirects it within this time.
    repair_delay_s: float = 0.5
    # Limits how long new statements wait for a replica of a leaving primary to catch up.
    hand_over_timeout_s: float = 2.0
    hand_over_retry_interval_s: float = 5.0
    attempt: PromotionAttemptSettings = PromotionAttemptSettings()


class Promoter:
    """Monitor one group at a home and promote a replica when its primary fails or leaves.

    `vm` must be unique to this start of the process: a restarted VM must not use a term that its
    previous process reserved and may have used. `rank` returns the VM's zero-based position among
    the group's homes.
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
        self._record_cache = GroupRecordCache(store, self._group_name, vm)
        self._terms = TermAllocator(self._record_cache, vm)
        self._attempt_lock = trio.Lock()
        self._stall_detector = StallDetector()
        self._discarded: dict[tuple[str, int], int] = {}
        self._redirect_needed_since: dict[str, float] = {}
        self._promotions = 0

    @property
    def discarded_entries(self) -> int:
        """Return how many log entries replicas discarded when this promoter redirected them."""
        return sum(self._discarded.values())

    @property
    def promotions(self) -> int:
        """Return the number of promotions that this promoter has completed."""
        return self._promotions

    async def run(self) -> None:
        """Promote replicas, repair instances and update the group record until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._record_cache.watch)
            nursery.start_soon(self._replace_failed_primaries)
            nursery.start_soon(self._hand_over_leaving_primaries)
            nursery.start_soon(self._maintain)

    def reaches_primary(self, term: int) -> bool:
        """Return whether this VM reaches the primary of the term or knows a later term.

        Answers another home that suspects a failure. A primary that has been stalled for half the
        stall timeout counts as unreachable.
        """
        snapshot = self._monitor.snapshot
        return snapshot.term > term or (
            is_primary_reachable(snapshot) and not self._is_stalled(snapshot, 0.5)
        )

    async def _replace_failed_primaries(self) -> None:
        while True:
            snapshot = await self._wait_suspected_failure()
            if await self._is_failure_confirmed(snapshot) and await self._wait_rank_delay(
                snapshot.term
            ):
                await self._attempt(avoid_primary=is_primary_reachable(self._monitor.snapshot))
            await trio.sleep(self._settings.retry_interval_s)

    async def _wait_suspected_failure(self) -> GroupSnapshot:
        """Wait until the primary is suspected to have failed and a majority is reachable."""
        since, term = trio.current_time(), -1
        while True:
            snapshot = self._monitor.snapshot
            if is_primary_reachable(snapshot) or snapshot.term != term:
                # A new term means that another promoter is attempting a promotion.
                since, term = trio.current_time(), snapshot.term
            waited_s = trio.current_time() - since
            failed = waited_s >= self._settings.suspicion_delay_s or self._is_stalled(snapshot)
            if failed and is_majority_reachable(snapshot):
                return snapshot
            with trio.move_on_after(max(self._settings.suspicion_delay_s - waited_s, 0.05)):
                await self._monitor.wait_change()

    def _is_stalled(self, snapshot: GroupSnapshot, timeout_factor: float = 1.0) -> bool:
        stalled_s = self._stall_detector.stalled_s(snapshot)
        return (
            stall_is_failure(snapshot)
            and stalled_s >= self._settings.stall_timeout_s * timeout_factor
        )

    async def _is_failure_confirmed(self, snapshot: GroupSnapshot) -> bool:
        primary = snapshot.primary.instance.name if snapshot.primary else None
        with trio.move_on_after(self._settings.confirm_timeout_s):
            confirmed = await self._confirm(snapshot.term, primary)
            _log.info(
                "primary suspected to have failed",
                group=self._group_name,
                primary=primary,
                confirmed=confirmed,
            )
            return confirmed
        return False

    async def _wait_rank_delay(self, term: int) -> bool:
        """Wait for the delay of this VM's rank; return whether a promotion is still needed."""

        def is_promotion_needed() -> bool:
            snapshot = self._monitor.snapshot
            return snapshot.term == term and (
                not is_primary_reachable(snapshot) or self._is_stalled(snapshot)
            )

        with trio.move_on_after(self._rank() * self._settings.rank_delay_s):
            while is_promotion_needed():
                await self._monitor.wait_change()
        return is_promotion_needed()

    async def _attempt(self, *, avoid_primary: bool = False) -> None:
        """Allocate a term and try to promote an instance in it.

        `avoid_primary` prefers the replicas over a primary that is cut off from them.
        """
        primary = self._monitor.snapshot.primary
        avoided_instance = primary.instance.name if primary and avoid_primary else None
        async with self._attempt_lock:
            term = await self._terms.allocate(self._monitor.snapshot.term)
            if term is None:
                return
            attempt = PromotionAttempt(
                self._monitor.snapshot.group,
                term,
                self._open_session,
                self._settings.attempt,
                self._record_discard,
            )
            try:
                promoted = await attempt.promote(avoided_instance)
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
        """Hold new statements back until a replica has caught up, then promote it."""
        self._monitor.set_handing_over(True)
        try:
            if await self._wait_caught_up_replica():
                await self._attempt()
        finally:
            self._monitor.set_handing_over(False)

    async def _wait_caught_up_replica(self) -> bool:
        """Wait for the delay of this VM's rank and a caught-up replica; return False on timeout."""
        with trio.move_on_after(self._settings.hand_over_timeout_s):
            await trio.sleep(self._rank() * self._settings.rank_delay_s)
            while is_primary_leaving(self._monitor.snapshot):
                if has_caught_up_replica(self._monitor.snapshot):
                    return True
                await self._monitor.wait_change()
        return False

    async def _maintain(self) -> None:
        """Repair instances that do not follow the primary and update the group record."""
        while True:
            await trio.sleep(self._settings.maintenance_interval_s)
            async with trio.open_nursery() as nursery:
                for instance in self._instances_due_for_repair():
                    nursery.start_soon(self._repair, instance)
            if self._record_cache.loaded and not self._attempt_lock.locked():
                await self._update_record()

    def _instances_due_for_repair(self) -> list[InstanceSnapshot]:
        snapshot, now = self._monitor.snapshot, trio.current_time()
        affected = [
            instance for instance in snapshot.instances if needs_redirect(instance, snapshot)
        ]
        names = {instance.instance.name for instance in affected}
        since = self._redirect_needed_since
        self._redirect_needed_since = {name: since.get(name, now) for name in names}
        delay_s = self._settings.repair_delay_s + self._rank() * self._settings.rank_delay_s
        due_since = now - delay_s
        return [
            instance
            for instance in affected
            if self._redirect_needed_since[instance.instance.name] <= due_since
        ]

    async def _repair(self, instance: InstanceSnapshot) -> None:
        """Fence an old primary or a diverging replica and make it follow the primary."""
        snapshot, settings = self._monitor.snapshot, self._settings.attempt
        if snapshot.primary is None:
            return
        primary, name = snapshot.primary.instance.name, instance.instance.name
        try:
            session = await self._open_session(instance.instance.address, settings.open_timeout_s)
            try:
                await session.fence(snapshot.term, settings.call_timeout_s)
                discarded = await redirect(session, name, snapshot.term, primary, settings)
            finally:
                await session.close()
        except (ConnectionLostError, DatabaseError) as error:
            _log.info("cannot repair the instance", instance=name, reason=str(error))
        else:
            self._record_discard(name, snapshot.term, discarded)

    def _record_discard(self, instance: str, term: int, discarded: int) -> None:
        """Count discarded entries; an instance reports its total for the term."""
        before = self._discarded.get((instance, term), 0)
        if discarded > before:
            self._discarded[(instance, term)] = discarded
            if self._on_discard is not None:
                self._on_discard(instance, discarded - before)

    async def _update_record(self) -> None:
        """At the home of rank 0, record the group's primary and keep a term reserved."""
        snapshot = self._monitor.snapshot
        if snapshot.primary is not None and snapshot.primary.reachable and self._rank() == 0:
            name = snapshot.primary.instance.name
            await self._terms.record_primary(snapshot.term, name, renew_reservation=True)
