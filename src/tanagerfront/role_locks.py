"""Seats: numbered roles, each held by one VM through its lease in the key-value service."""

from __future__ import annotations

import contextlib
import logging
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec
import trio

from ._role_locks_lease import LeaseSettings, VmLease
from ._role_locks_order import LockHolder, claim_order, number_to_release
from .errors import KeyValueError, KeyValueTimeoutError
from .kv import KeyValueStore
from .membership import LiveVm, Membership

__all__ = ["LeaseSettings", "RoleLock", "RoleLockSettings", "RoleLocks", "VmLease"]

PREFIX = "tanagerfront/seat/"
_log = logging.getLogger(__name__)


class RoleLockSettings(NamedTuple):
    """Intervals of the seat registry."""

    reread_s: float = 30.0
    check_s: float = 0.5
    # The n-th candidate claims a free seat after n times this, in case those before it cannot.
    claim_step_s: float = 1.0
    # A seat beyond an even spread is claimed, and given up, only after this time.
    spread_delay_s: float = 10.0
    start_jitter_s: float = 0.5


class RoleLock(NamedTuple):
    """The identity of a seat; `role` is home or limit, `name` a group or organisation."""

    role: str
    name: str
    number: int

    @property
    def key(self) -> str:
        """Return the key in the service."""
        return f"{PREFIX}{self.role}/{self.name}/{self.number}"

    @classmethod
    def parse(cls, key: str) -> RoleLock:
        """Return the seat of a key; raises ValueError."""
        role, _, rest = key.removeprefix(PREFIX).partition("/")
        name, _, number = rest.rpartition("/")
        return cls(role, name, int(number))


class _Record(msgspec.Struct, frozen=True):
    """The value of a seat's key."""

    vm: str
    incarnation: str
    failure_domain: str
    lease: int


class _Entry(NamedTuple):
    """What the service last told about a seat; no record for a deleted one."""

    record: _Record | None
    revision: int


class RoleLocks:
    """Know who holds which seat, and claim seats for this VM."""

    def __init__(
        self,
        kv: KeyValueStore,
        lease: VmLease,
        membership: Membership,
        *,
        settings: RoleLockSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._kv = kv
        self._lease = lease
        self._membership = membership
        self._settings = settings or RoleLockSettings()
        self._rng = rng or random.Random()
        self._wanted: Mapping[tuple[str, str], int] = {}
        self._entries: dict[RoleLock, _Entry] = {}
        self._synced = False
        # Seats of this VM by the revision of their claim: those it may act on, those given up.
        self._active: set[tuple[RoleLock, int]] = set()
        self._released: set[tuple[RoleLock, int]] = set()
        self._free_since: dict[RoleLock, float] = {}
        self._uneven_since: dict[tuple[str, str], float] = {}
        self._draining = False
        self._changed = trio.Event()

    def set_lock_counts(self, wanted: Mapping[tuple[str, str], int]) -> None:
        """Set how many seats each (role, name) has; seats beyond that are released."""
        self._wanted = dict(wanted)
        self._notify()

    def holder(self, role: str, name: str, index: int) -> str | None:
        """Return the VM that holds a seat as far as is known."""
        record = self._record(RoleLock(role, name, index))
        return record.vm if record else None

    def holders(self, role: str, name: str) -> Mapping[int, str]:
        """Return the VMs that hold seats of a role as far as is known, by index."""
        return {index: holder.vm for index, holder in self._holders(role, name).items()}

    def held_numbers(self, role: str, name: str) -> tuple[int, ...]:
        """Return the seats that this VM may act for now."""
        if self._draining or not self._lease.valid:
            return ()
        count = self._wanted.get((role, name), 0)
        role_locks = (RoleLock(role, name, index) for index in range(count))
        return tuple(role_lock.number for role_lock in role_locks if self._is_active(role_lock))

    def claim_revisions(self, role: str, name: str) -> Mapping[int, int]:
        """Return the seats that this VM may act for now, with the revision of their claim."""
        role_locks = [RoleLock(role, name, index) for index in self.held_numbers(role, name)]
        return {role_lock.number: self._entries[role_lock].revision for role_lock in role_locks}

    def held_names(self, role: str) -> frozenset[str]:
        """Return the names of which this VM may act for a seat now."""
        return frozenset(
            name for found, name in self._wanted if found == role and self.held_numbers(role, name)
        )

    async def wait_changed(self) -> None:
        """Return when the holder of any seat, or the wanted seats, changed."""
        await self._changed.wait()

    async def run(self) -> None:
        """Follow and claim seats until cancelled."""
        await trio.sleep(self._rng.uniform(0, self._settings.start_jitter_s))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._claim_forever)

    async def release_all(self) -> None:
        """Act for no seat any more and end the lease; raises KeyValueError."""
        self._draining = True
        self._notify()
        await self._lease.release()

    def _record(self, role_lock: RoleLock) -> _Record | None:
        entry = self._entries.get(role_lock)
        return entry.record if entry else None

    def _holders(self, role: str, name: str) -> dict[int, LockHolder]:
        found = {}
        for index in range(self._wanted.get((role, name), 0)):
            record = self._record(RoleLock(role, name, index))
            if record is not None:
                found[index] = LockHolder(record.vm, record.failure_domain)
        return found

    def _own_locks(self) -> list[RoleLock]:
        """Return the seats claimed by this process under its current lease."""
        own = self._own_record()
        return [role_lock for role_lock, entry in self._entries.items() if entry.record == own]

    def _own_record(self) -> _Record:
        own = self._membership.own
        return _Record(own.id, own.incarnation, own.failure_domain, self._lease.lease)

    def _is_active(self, role_lock: RoleLock) -> bool:
        entry = self._entries.get(role_lock)
        if entry is None or (role_lock, entry.revision) not in self._active:
            return False
        return entry.record is not None and entry.record.lease == self._lease.lease

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _follow(self) -> None:
        """Read all seats and watch them; a silent or broken watch is read over."""
        while True:
            try:
                revision = await self._read_all()
                jitter = self._rng.uniform(0.8, 1.2)
                with trio.move_on_after(self._settings.reread_s * jitter):
                    await self._watch(revision + 1)
            except KeyValueError as error:
                _log.warning("seats could not be read: %s", error)
                await trio.sleep(self._rng.uniform(0.5, 1.0))

    async def _watch(self, revision: int) -> None:
        async for event in self._kv.watch(PREFIX, revision):
            self._apply_entry(event.key, event.value, event.revision)

    async def _read_all(self) -> int:
        values, revision = await self._kv.range(PREFIX)
        present = {value.key for value in values}
        for value in values:
            self._apply_entry(value.key, value.value, value.revision)
        for role_lock in list(self._entries):
            if role_lock.key not in present:
                self._apply_entry(role_lock.key, None, revision)
        self._synced = True
        return revision

    def _apply_entry(self, key: str, value: bytes | None, revision: int) -> None:
        try:
            role_lock = RoleLock.parse(key)
            record = None if value is None else msgspec.json.decode(value, type=_Record)
        except (ValueError, msgspec.MsgspecError):
            _log.error("key %s does not hold a seat", key)
            return
        known = self._entries.get(role_lock)
        # An answer that was under way for long must not replace a later one.
        if known is not None and known.revision >= revision:
            return
        self._entries[role_lock] = _Entry(record, revision)
        if known is None or known.record != record:
            self._notify()

    async def _claim_forever(self) -> None:
        while True:
            changed = self._changed
            if self._synced and self._lease.lease and not self._draining:
                try:
                    await self._check_locks()
                except KeyValueError as error:
                    _log.warning("seats could not be claimed: %s", error)
            # Several changes at once are looked at together.
            await trio.sleep(self._rng.uniform(0.1, 0.25))
            with trio.move_on_after(self._settings.check_s):
                await changed.wait()

    async def _check_locks(self) -> None:
        live = self._membership.live()
        self._activate()
        if not self._lease.contact_stable or not self._lease.valid:
            return
        for (role, name), count in self._wanted.items():
            await self._claim_free(role, name, count, live)
            await self._release_surplus(role, name, live)
        await self._release_unwanted()

    def _activate(self) -> None:
        """Start to act for own seats once the contact has lasted long enough.

        A claim that was under way while this VM did not run can succeed after others had reason
        to believe in an outage, so the contact is checked again after the claim.
        """
        if not self._lease.contact_stable or not self._lease.valid:
            return
        own = {(role_lock, self._entries[role_lock].revision) for role_lock in self._own_locks()}
        self._released &= own
        active = own - self._released
        if active != self._active:
            self._active = active
            self._notify()

    async def _claim_free(self, role: str, name: str, count: int, live: tuple[LiveVm, ...]) -> None:
        for index in range(count):
            role_lock = RoleLock(role, name, index)
            if self._record(role_lock) is not None:
                self._free_since.pop(role_lock, None)
            elif self._is_due(role_lock, live):
                await self._claim(role_lock)

    def _is_due(self, role_lock: RoleLock, live: tuple[LiveVm, ...]) -> bool:
        now = trio.current_time()
        since = self._free_since.setdefault(role_lock, now)
        holders = self._holders(role_lock.role, role_lock.name).values()
        order = claim_order(*role_lock, live, holders)
        ranks = [rank for rank, found in enumerate(order) if found.vm == self._membership.vm_id]
        if not ranks:
            return False
        own, first = order[ranks[0]], order[0]
        even = (own.domain_locks, own.vm_locks) == (first.domain_locks, first.vm_locks)
        delay_s = ranks[0] * self._settings.claim_step_s
        return now - since >= delay_s + (0 if even else self._settings.spread_delay_s)

    async def _claim(self, role_lock: RoleLock) -> None:
        if not self._lease.contact_stable:
            return
        value = msgspec.json.encode(self._own_record())
        with contextlib.suppress(KeyValueTimeoutError):
            await self._kv.put_if(role_lock.key, value, 0, lease=self._lease.lease)
        # Whether or not an answer came, the service says who holds the seat now.
        current = await self._kv.get(role_lock.key)
        if current is not None:
            self._apply_entry(current.key, current.value, current.revision)
            self._activate()

    async def _release_surplus(self, role: str, name: str, live: tuple[LiveVm, ...]) -> None:
        number = number_to_release(self._membership.own, live, self._holders(role, name))
        if number is None:
            self._uneven_since.pop((role, name), None)
            return
        since = self._uneven_since.setdefault((role, name), trio.current_time())
        if trio.current_time() - since >= self._settings.spread_delay_s:
            del self._uneven_since[(role, name)]
            await self._release([RoleLock(role, name, number)])

    async def _release_unwanted(self) -> None:
        """Release seats beyond the wanted number, and those whose deletion had failed."""
        await self._release(
            role_lock
            for role_lock in self._own_locks()
            if role_lock.number >= self._wanted.get((role_lock.role, role_lock.name), 0)
            or (role_lock, self._entries[role_lock].revision) in self._released
        )

    async def _release(self, role_locks: Iterable[RoleLock]) -> None:
        for role_lock in list(role_locks):
            revision = self._entries[role_lock].revision
            # No longer acted for before others can claim it.
            self._active.discard((role_lock, revision))
            self._released.add((role_lock, revision))
            self._notify()
            await self._kv.delete_if(role_lock.key, revision)
