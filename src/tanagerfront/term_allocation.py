"""Allocation of a group's terms, each to one promotion attempt only (HTTP interface)."""

from __future__ import annotations

import structlog
import trio

from .errors import KeyValueError, KeyValueTimeoutError, KeyValueUnavailableError
from .group_record import GroupRecord, GroupRecordCache, TermReservation

__all__ = ["TermAllocator"]

_log = structlog.get_logger(__name__)

# Limits how often the reservation is written while the homes disagree about their ranks.
RESERVATION_RENEWAL_INTERVAL_S = 5.0


class TermAllocator:
    """Allocate terms from the group record.

    While the key-value service is unavailable, only the term reserved for this VM can be used.
    A newly allocated or reserved term is always higher than every term allocated or reserved
    before, so a VM with an older reservation cannot use the same term as another VM.
    """

    def __init__(self, record_cache: GroupRecordCache, vm: str) -> None:
        self._record_cache = record_cache
        self._vm = vm
        self._used_terms: set[int] = set()
        self._renewed_at = float("-inf")

    async def allocate(self, known_term: int) -> int | None:
        """Return a term above `known_term` that only the caller may use, or None on failure."""
        try:
            if not self._record_cache.loaded:
                await self._record_cache.refresh()
            record = self._record_cache.record
            term = max(known_term, record.highest_term if record else 0) + 1
            reserved = TermReservation(term + 1, self._vm)
            written = await self._record_cache.compare_and_swap(
                term=term, primary=None, reserved=reserved
            )
        except (KeyValueUnavailableError, KeyValueTimeoutError):
            return self._use_reserved_term(known_term)
        except KeyValueError as error:
            _log.error("cannot allocate a term", key=self._record_cache.key, reason=str(error))
            return None
        return term if written else None

    async def record_primary(self, term: int, primary: str, *, renew_reservation: bool) -> None:
        """Record the instances' current primary.

        `renew_reservation` reserves a new term if the recorded reservation is not usable.
        """
        record = self._record_cache.record
        recorded = (record.term, record.primary) if record else (0, None)
        # A record with a later term belongs to a promotion that is in progress or was abandoned.
        if recorded[0] < term or (recorded[0] == term and recorded[1] != primary):
            await self._try_write_record(term, primary, self._reservation_after(record, term))
        elif renew_reservation and record is not None and self._should_renew(record):
            self._renewed_at = trio.current_time()
            reserved = TermReservation(max(term, record.highest_term) + 1, self._vm)
            await self._try_write_record(record.term, record.primary, reserved)

    def _use_reserved_term(self, known_term: int) -> int | None:
        """Return the term reserved for this VM if it is unused, and mark it as used."""
        record = self._record_cache.record
        reserved = record.reserved if record else None
        if reserved is None or not self._is_usable(reserved, known_term):
            return None
        self._used_terms.add(reserved.term)
        return reserved.term

    def _is_usable(self, reserved: TermReservation, known_term: int) -> bool:
        unused = reserved.term not in self._used_terms
        return reserved.vm == self._vm and reserved.term > known_term and unused

    def _reservation_after(self, record: GroupRecord | None, term: int) -> TermReservation:
        """Return the recorded reservation if it is above `term`, or else a new one."""
        reserved = record.reserved if record else None
        if reserved is not None and reserved.term > term:
            return reserved
        return TermReservation(term + 1, self._vm)

    def _should_renew(self, record: GroupRecord) -> bool:
        if trio.current_time() - self._renewed_at < RESERVATION_RENEWAL_INTERVAL_S:
            return False
        return record.reserved is None or not self._is_usable(record.reserved, record.term)

    async def _try_write_record(
        self, term: int, primary: str | None, reserved: TermReservation
    ) -> None:
        try:
            await self._record_cache.compare_and_swap(term=term, primary=primary, reserved=reserved)
        except KeyValueError as error:
            _log.info(
                "cannot update the group record", key=self._record_cache.key, reason=str(error)
            )
