"""Record of a group's term and primary in the key-value service (HTTP interface)."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import msgspec
import structlog
import trio

from .decoding import DECODING_ERRORS
from .errors import KeyValueError, KeyValueTimeoutError
from .kv import KeyValueStore

__all__ = ["GroupRecord", "GroupRecordCache", "TermReservation", "record_key"]

_log = structlog.get_logger(__name__)
_Result = TypeVar("_Result")

# A write and the read that determines its outcome must leave enough time to finish the promotion
# within 7 s.
SWAP_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
WATCH_RETRY_INTERVAL_S = 1.0


class TermReservation(NamedTuple):
    """A term that one VM may use exclusively while the key-value service is unreachable."""

    term: int
    vm: str


class GroupRecord(NamedTuple):
    """The group's last recorded term; `primary` is None until the promotion is complete."""

    term: int
    primary: str | None
    promoter: str
    nonce: str
    reserved: TermReservation | None

    @property
    def highest_term(self) -> int:
        """Return the highest term that may be in use or reserved."""
        return max(self.term, self.reserved.term if self.reserved else 0)


class _ReservationBody(msgspec.Struct):
    term: int
    vm: str


class _RecordBody(msgspec.Struct):
    term: int
    primary: str | None
    promoter: str
    nonce: str
    reserved: _ReservationBody | None = None


def record_key(group: str) -> str:
    """Return the key of a group's record in the key-value service."""
    return f"tanagerfront/group/{group}"


def encode_record(record: GroupRecord) -> bytes:
    """Encode the record as JSON."""
    reserved = _ReservationBody(*record.reserved) if record.reserved else None
    return msgspec.json.encode(_RecordBody(*record[:4], reserved))


def decode_record(value: bytes) -> GroupRecord:
    """Decode a record from JSON; raises KeyValueError."""
    try:
        body = msgspec.json.decode(value, type=_RecordBody)
    except DECODING_ERRORS as error:
        raise KeyValueError("group record is malformed") from error
    reserved = TermReservation(body.reserved.term, body.reserved.vm) if body.reserved else None
    return GroupRecord(body.term, body.primary, body.promoter, body.nonce, reserved)


async def _call_with_timeout(call: Callable[[], Awaitable[_Result]], timeout_s: float) -> _Result:
    """Run a call with a timeout; raises KeyValueTimeoutError, which leaves the outcome unknown."""
    with trio.move_on_after(timeout_s):
        return await call()
    raise KeyValueTimeoutError(f"key-value service did not answer within {timeout_s} s")


class GroupRecordCache:
    """One VM's cached copy of a group's record, updated by a watch."""

    def __init__(self, store: KeyValueStore, group: str, vm: str) -> None:
        self._store = store
        self._key = record_key(group)
        self._vm = vm
        self._record: GroupRecord | None = None
        self._revision = 0
        self._loaded = False

    @property
    def key(self) -> str:
        """Return the key of the record."""
        return self._key

    @property
    def record(self) -> GroupRecord | None:
        """Return the record as last read or written."""
        return self._record

    @property
    def loaded(self) -> bool:
        """Return whether the record, or its absence, is known with its current revision."""
        return self._loaded

    async def watch(self) -> None:
        """Update the cached record until cancelled."""
        while True:
            try:
                await self.refresh()
                async for event in self._store.watch(self._key, self._revision + 1):
                    if event.key == self._key:
                        self._update_cache(event.value, event.revision)
            except KeyValueError as error:
                _log.info("watch of the group record ended", key=self._key, reason=str(error))
            await trio.sleep(WATCH_RETRY_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the record from the key-value service; raises KeyValueError."""
        values, revision = await _call_with_timeout(
            lambda: self._store.range(self._key), READ_TIMEOUT_S
        )
        found = next((value for value in values if value.key == self._key), None)
        if found is None:
            # The store may have been restored from a copy without the record.
            self._update_cache(None, revision)
        else:
            self._update_cache(found.value, found.revision)

    async def compare_and_swap(
        self, *, term: int, primary: str | None, reserved: TermReservation | None
    ) -> GroupRecord | None:
        """Write a new record if the cached one is current; return it, or None if not written.

        Raises KeyValueError if the record cannot be read or the outcome stays unknown.
        """
        if not self._loaded:
            await self.refresh()
        record = GroupRecord(term, primary, self._vm, secrets.token_hex(8), reserved)
        value, revision = encode_record(record), self._revision if self._record else 0
        try:
            written = await _call_with_timeout(
                lambda: self._store.put_if(self._key, value, revision), SWAP_TIMEOUT_S
            )
        except KeyValueTimeoutError:
            # The nonce shows whether the write took effect. If it takes effect after this read, its
            # term stays unused.
            await self.refresh()
            return record if self._record == record else None
        if written:
            # The new revision is unknown; the next write reads it unless the watch was faster.
            self._record = record
            self._loaded = False
            return record
        await self.refresh()
        return None

    def _update_cache(self, value: bytes | None, revision: int) -> None:
        if revision < self._revision:
            return
        self._record = decode_record(value) if value is not None else None
        self._revision = revision
        self._loaded = True
