"""Terms of a group: each is taken by one promotion attempt only."""

from __future__ import annotations

import structlog
import trio

from .errors import KeyValueError, KeyValueTimeoutError, KeyValueUnavailableError
from .group_record import GroupRecord, GroupRecordCache, TermReservation

__all__ = ["TermAllocator"]

_log = structlog.get_logger(__name__)

# Limits writes of the reservation when the homes disagree on the rank.
RESERVE_INTERVAL_S = 5.0


class TermAllocator:
    """Take terms from the group record, or the one reserved for this VM during an outage.

    Taking and reserving always go past every term that was taken or reserved before, so a holder
    of an older reservation cannot share a term with anyone.
    """

    def __init__(self, records: GroupRecordCache, vm: str) -> None:
        self._records = records
        self._vm = vm
        self._used_reserved: set[int] = set()
        self._reserved_at = float("-inf")

    async def allocate(self, known: int) -> int | None:
        """Return a term above `known` that only the caller may use, or None."""
        try:
            if not self._records.loaded:
                await self._records.refresh()
            record = self._records.record
            term = max(known, record.highest_term if record else 0) + 1
            reserved = TermReservation(term + 1, self._vm)
            won = await self._records.compare_and_swap(term=term, primary=None, reserved=reserved)
        except (KeyValueUnavailableError, KeyValueTimeoutError):
            return self._take_reserved(known)
        except KeyValueError as error:
            _log.error("cannot take a term", key=self._records.key, reason=str(error))
            return None
        return term if won else None

    async def record_primary(self, term: int, primary: str, *, renew_reservation: bool) -> None:
        """Record the primary the instances have; with `renew` also reserve the next term."""
        record = self._records.record
        known = (record.term, record.primary) if record else (0, None)
        # A record of a later term belongs to a promotion that is under way or was abandoned.
        if known[0] < term or (known[0] == term and known[1] != primary):
            await self._swap(term, primary, self._reservation_after(record, term))
        elif renew_reservation and record is not None and self._may_renew(record):
            self._reserved_at = trio.current_time()
            reserved = TermReservation(max(term, record.highest_term) + 1, self._vm)
            await self._swap(record.term, record.primary, reserved)

    def _take_reserved(self, known: int) -> int | None:
        """Return the term reserved for this VM, once."""
        record = self._records.record
        reserved = record.reserved if record else None
        if reserved is None or not self._is_usable(reserved, known):
            return None
        self._used_reserved.add(reserved.term)
        return reserved.term

    def _is_usable(self, reserved: TermReservation, known: int) -> bool:
        unused = reserved.term not in self._used_reserved
        return reserved.vm == self._vm and reserved.term > known and unused

    def _reservation_after(self, record: GroupRecord | None, term: int) -> TermReservation:
        """Keep a reservation that is still ahead of `term`, or make one."""
        reserved = record.reserved if record else None
        if reserved is not None and reserved.term > term:
            return reserved
        return TermReservation(term + 1, self._vm)

    def _may_renew(self, record: GroupRecord) -> bool:
        if trio.current_time() - self._reserved_at < RESERVE_INTERVAL_S:
            return False
        return record.reserved is None or not self._is_usable(record.reserved, record.term)

    async def _swap(self, term: int, primary: str | None, reserved: TermReservation) -> None:
        try:
            await self._records.compare_and_swap(term=term, primary=primary, reserved=reserved)
        except KeyValueError as error:
            _log.info("cannot update the group record", key=self._records.key, reason=str(error))
