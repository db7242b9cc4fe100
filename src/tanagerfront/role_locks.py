"""Role locks of the HTTP interface: exclusive numbered roles, each held through a VM's lease.

The locks are keys in the key-value service that are bound to the lease of their holder.
"""

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
from .decoding import DECODING_ERRORS
from .errors import KeyValueError, KeyValueTimeoutError
from .kv import KeyValueStore
from .membership import LiveVm, Membership

__all__ = ["LeaseSettings", "RoleLock", "RoleLockSettings", "RoleLocks", "VmLease"]

PREFIX = "tanagerfront/seat/"
_log = logging.getLogger(__name__)


class RoleLockSettings(NamedTuple):
    """Intervals at which role locks are read, claimed and rebalanced."""

    reread_interval_s: float = 30.0
    check_interval_s: float = 0.5
    # The n-th candidate waits n times this before it claims a free lock, so that it claims only if
    # the candidates before it did not.
    claim_stagger_s: float = 1.0
    # An unbalanced distribution is accepted for a new claim, or corrected by a release, only after
    # this time.
    rebalance_delay_s: float = 10.0
    start_jitter_s: float = 0.5


class RoleLock(NamedTuple):
    """The identity of a role lock: `role` is home or limit, `name` a group or an organisation."""

    role: str
    name: str
    number: int

    @property
    def key(self) -> str:
        """Return the key of the lock in the key-value service."""
        return f"{PREFIX}{self.role}/{self.name}/{self.number}"

    @classmethod
    def parse(cls, key: str) -> RoleLock:
        """Return the lock that a key identifies; raises ValueError."""
        role, _, rest = key.removeprefix(PREFIX).partition("/")
        name, _, number = rest.rpartition("/")
        return cls(role, name, int(number))


class _Record(msgspec.Struct, frozen=True):
    """The holder of a lock, as stored under its key."""

    vm: str
    incarnation: str
    failure_domain: str
    lease: int


class _Entry(NamedTuple):
    """The latest known state of a lock's key; `record` is None if the key is deleted."""

    record: _Record | None
    revision: int


class RoleLocks:
    """Tracks the holders of all role locks, and claims and releases locks for this VM."""

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
        self._counts: Mapping[tuple[str, str], int] = {}
        self._entries: dict[RoleLock, _Entry] = {}
        self._synced = False
        # Locks claimed by this VM, with the revision of the claim: those in use, and those whose
        # release has begun.
        self._active: set[tuple[RoleLock, int]] = set()
        self._released: set[tuple[RoleLock, int]] = set()
        self._free_since: dict[RoleLock, float] = {}
        self._unbalanced_since: dict[tuple[str, str], float] = {}
        self._draining = False
        self._changed = trio.Event()

    def set_lock_counts(self, counts: Mapping[tuple[str, str], int]) -> None:
        """Set the number of locks by (role, name); locks with higher numbers are released."""
        self._counts = dict(counts)
        self._notify()

    def holder(self, role: str, name: str, number: int) -> str | None:
        """Return the last known holder of a lock, None if the lock is free."""
        record = self._record(RoleLock(role, name, number))
        return record.vm if record else None

    def holders(self, role: str, name: str) -> Mapping[int, str]:
        """Return the last known holders of the locks of (role, name), by lock number."""
        return {number: holder.vm for number, holder in self._holders(role, name).items()}

    def held_numbers(self, role: str, name: str) -> tuple[int, ...]:
        """Return the numbers of the locks of (role, name) that this VM validly holds now."""
        if self._draining or not self._lease.valid:
            return ()
        count = self._counts.get((role, name), 0)
        role_locks = (RoleLock(role, name, number) for number in range(count))
        return tuple(role_lock.number for role_lock in role_locks if self._is_active(role_lock))

    def claim_revisions(self, role: str, name: str) -> Mapping[int, int]:
        """Return the revision of the claim of each lock that this VM validly holds, by number."""
        role_locks = [RoleLock(role, name, number) for number in self.held_numbers(role, name)]
        return {role_lock.number: self._entries[role_lock].revision for role_lock in role_locks}

    def held_names(self, role: str) -> frozenset[str]:
        """Return the names for which this VM validly holds a lock of the role now."""
        return frozenset(
            name
            for lock_role, name in self._counts
            if lock_role == role and self.held_numbers(role, name)
        )

    async def wait_changed(self) -> None:
        """Wait until the holder of any lock, or the number of locks, changes."""
        await self._changed.wait()

    async def run(self) -> None:
        """Watch, claim and rebalance locks until cancelled."""
        await trio.sleep(self._rng.uniform(0, self._settings.start_jitter_s))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_forever)
            nursery.start_soon(self._claim_forever)

    async def release_all(self) -> None:
        """Stop using all locks and revoke the lease that holds them; raises KeyValueError."""
        self._draining = True
        self._notify()
        await self._lease.release()

    def _record(self, role_lock: RoleLock) -> _Record | None:
        entry = self._entries.get(role_lock)
        return entry.record if entry else None

    def _holders(self, role: str, name: str) -> dict[int, LockHolder]:
        holders = {}
        for number in range(self._counts.get((role, name), 0)):
            record = self._record(RoleLock(role, name, number))
            if record is not None:
                holders[number] = LockHolder(record.vm, record.failure_domain)
        return holders

    def _own_locks(self) -> list[RoleLock]:
        """Return the locks claimed by this process under its current lease."""
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

    async def _watch_forever(self) -> None:
        """Read all locks, then watch them.

        The locks are read again when the watch fails and after `reread_interval_s`, since a watch
        can stop delivering events without an error.
        """
        while True:
            try:
                revision = await self._read_all()
                jitter = self._rng.uniform(0.8, 1.2)
                with trio.move_on_after(self._settings.reread_interval_s * jitter):
                    await self._watch(revision + 1)
            except KeyValueError as error:
                _log.warning("could not read the role locks: %s", error)
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
        except (ValueError, *DECODING_ERRORS):
            _log.error("key %s or its value is not a valid role lock", key)
            return
        previous = self._entries.get(role_lock)
        # A delayed response must not overwrite a newer state.
        if previous is not None and previous.revision >= revision:
            return
        self._entries[role_lock] = _Entry(record, revision)
        if previous is None or previous.record != record:
            self._notify()

    async def _claim_forever(self) -> None:
        while True:
            changed = self._changed
            if self._synced and self._lease.lease and not self._draining:
                try:
                    await self._check_locks()
                except KeyValueError as error:
                    _log.warning("could not claim or release role locks: %s", error)
            # Changes that arrive close together are handled in one check.
            await trio.sleep(self._rng.uniform(0.1, 0.25))
            with trio.move_on_after(self._settings.check_interval_s):
                await changed.wait()

    async def _check_locks(self) -> None:
        live = self._membership.live()
        self._activate_own_locks()
        if not self._lease.contact_stable or not self._lease.valid:
            return
        for (role, name), count in self._counts.items():
            await self._claim_free_locks(role, name, count, live)
            await self._rebalance(role, name, live)
        await self._release_excess()

    def _activate_own_locks(self) -> None:
        """Start using the locks of this VM if its contact with the service is stable.

        A claim in flight while this VM was paused can succeed after other VMs have extended
        their leases on evidence of an outage, so the contact is checked again after the claim.
        """
        if not self._lease.contact_stable or not self._lease.valid:
            return
        own = {(role_lock, self._entries[role_lock].revision) for role_lock in self._own_locks()}
        self._released &= own
        active = own - self._released
        if active != self._active:
            self._active = active
            self._notify()

    async def _claim_free_locks(
        self, role: str, name: str, count: int, live: tuple[LiveVm, ...]
    ) -> None:
        for number in range(count):
            role_lock = RoleLock(role, name, number)
            if self._record(role_lock) is not None:
                self._free_since.pop(role_lock, None)
            elif self._is_claim_due(role_lock, live):
                await self._claim(role_lock)

    def _is_claim_due(self, role_lock: RoleLock, live: tuple[LiveVm, ...]) -> bool:
        now = trio.current_time()
        since = self._free_since.setdefault(role_lock, now)
        holders = self._holders(role_lock.role, role_lock.name).values()
        order = claim_order(*role_lock, live, holders)
        own_ranks = [
            rank for rank, candidate in enumerate(order) if candidate.vm == self._membership.vm_id
        ]
        if not own_ranks:
            return False
        own, first = order[own_ranks[0]], order[0]
        balanced = (own.domain_locks, own.vm_locks) == (first.domain_locks, first.vm_locks)
        delay_s = own_ranks[0] * self._settings.claim_stagger_s
        return now - since >= delay_s + (0 if balanced else self._settings.rebalance_delay_s)

    async def _claim(self, role_lock: RoleLock) -> None:
        if not self._lease.contact_stable:
            return
        value = msgspec.json.encode(self._own_record())
        with contextlib.suppress(KeyValueTimeoutError):
            await self._kv.put_if(role_lock.key, value, 0, lease=self._lease.lease)
        # A claim that timed out may have taken effect, so the current holder is read back.
        current = await self._kv.get(role_lock.key)
        if current is not None:
            self._apply_entry(current.key, current.value, current.revision)
            self._activate_own_locks()

    async def _rebalance(self, role: str, name: str, live: tuple[LiveVm, ...]) -> None:
        number = number_to_release(self._membership.own, live, self._holders(role, name))
        if number is None:
            self._unbalanced_since.pop((role, name), None)
            return
        since = self._unbalanced_since.setdefault((role, name), trio.current_time())
        if trio.current_time() - since >= self._settings.rebalance_delay_s:
            del self._unbalanced_since[(role, name)]
            await self._release([RoleLock(role, name, number)])

    async def _release_excess(self) -> None:
        """Release locks beyond the configured number, and retry failed releases."""
        await self._release(
            role_lock
            for role_lock in self._own_locks()
            if role_lock.number >= self._counts.get((role_lock.role, role_lock.name), 0)
            or (role_lock, self._entries[role_lock].revision) in self._released
        )

    async def _release(self, role_locks: Iterable[RoleLock]) -> None:
        for role_lock in list(role_locks):
            revision = self._entries[role_lock].revision
            # This VM stops using the lock before another VM can claim it.
            self._active.discard((role_lock, revision))
            self._released.add((role_lock, revision))
            self._notify()
            await self._kv.delete_if(role_lock.key, revision)
