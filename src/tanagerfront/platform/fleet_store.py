"""The fleet's keys in the platform's store."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from ..change_history import ChangeHistory
from ..decision_log import DecisionLog
from ..errors import ConfigurationError, KeyValueTimeoutError
from ..fleet_store import (
    Change,
    CheckResult,
    ConfigurationChanged,
    FleetState,
    InstanceChanged,
    InstanceUnregistered,
    KnownRevisions,
    PrimaryRecordChanged,
    PromoterLock,
    PromoterLockAcquired,
    PromoterLockReleased,
    RegisteredVm,
    VmChanged,
    VmUnregistered,
)
from ..http_client import parse_address
from ..instance_directory import PrimaryRecord
from ..kv import KeyValue, WatchEvent
from .changes_wire import PeerWatchClients
from .documents import (
    CONFIGURATION_KEY,
    INSTANCE_PREFIX,
    PRIMARY_PREFIX,
    PROMOTER_KEY,
    VM_PREFIX,
    PromoterRecord,
    VmRecord,
    decode_configuration,
    decode_instance,
    decode_primary_record,
    decode_promoter,
    decode_vm,
    encode_primary_record,
    encode_record,
)
from .store import LeaseEndedError, Page, StoreClient, SwapConflictError

__all__ = ["PlatformFleetStore"]

# The store takes at most this many keys in one call.
MAX_KEYS = 32
ALL_KEYS = ""


class PlatformFleetStore:
    """Typed access to the fleet's keys, with a connection for each kind of call."""

    def __init__(
        self,
        watches: StoreClient,
        checks: StoreClient,
        leases: StoreClient,
        log: DecisionLog,
        history: ChangeHistory,
    ) -> None:
        self._history = history
        self._followed = PeerWatchClients()
        self._watches = watches
        self._checks = checks
        self._leases = leases
        self._log = log

    @property
    def calls(self) -> dict[str, int]:
        """Return the number of calls made, by kind."""
        return {
            "watch": self._watches.calls,
            "check": self._checks.calls,
            "lease": self._leases.calls,
        }

    async def load(self) -> FleetState:
        """Return everything that the fleet knows, with one call unless it is large."""
        page = await self._watches.range(ALL_KEYS)
        self._history.reset(page.revision)
        keys = [each.key for each in page.values]
        changes = tuple(self._changes(page.values))
        relied_on = sum(
            isinstance(each, ConfigurationChanged | PrimaryRecordChanged) for each in changes
        )
        leaders = len(tuple(_names(keys, PRIMARY_PREFIX)))
        return FleetState(
            changes=changes,
            readable=CONFIGURATION_KEY in keys and relied_on == leaders + 1,
            instances=frozenset(_names(keys, INSTANCE_PREFIX)),
            vms=frozenset(_names(keys, VM_PREFIX)),
            has_promoter=PROMOTER_KEY in keys,
            revision=page.revision,
        )

    async def watch(self, after: int, wait_s: float) -> tuple[Sequence[Change], int]:
        """Return the changes after a revision and where to continue."""
        return self._taken_in(after, await self._watches.watch(ALL_KEYS, after, wait_s))

    async def fetch_from_peer(
        self, vm: RegisteredVm, after: int, *, large: bool
    ) -> tuple[Sequence[Change], int]:
        """Return the changes after a revision that another VM has taken in."""
        return self._taken_in(after, await self._followed.watch(vm, after, large=large))

    def _taken_in(self, after: int, page: Page) -> tuple[Sequence[Change], int]:
        revision = max(after, page.revision)
        # Changes come from the store and from other VMs, so an answer may be older than the last.
        fresh = self._history.add(after, page.events, revision)
        return tuple(self._changes(fresh)), revision

    async def check(self, known: KnownRevisions) -> CheckResult:
        """Compare known revisions with the store's."""
        expected = {CONFIGURATION_KEY: known.configuration}
        expected |= {PRIMARY_PREFIX + name: value for name, value in known.primary_records.items()}
        keys = list(expected)
        current = True
        changes: list[Change] = []
        for start in range(0, len(keys), MAX_KEYS):
            part = {key: expected[key] for key in keys[start : start + MAX_KEYS]}
            try:
                await self._checks.swap(part)
            except SwapConflictError as conflict:
                current = False
                newer = (each for each in conflict.items if each.revision != part.get(each.key))
                changes += self._changes(newer)
        return CheckResult(current, changes)

    async def register(self, vm: RegisteredVm, ttl_s: float) -> int:
        """Register a VM under a new lease and return the lease."""
        lease = await self._leases.grant(ttl_s)
        record = VmRecord(vm.name, str(vm.address), vm.failure_domain, vm.incarnation, vm.cores)
        key, value = VM_PREFIX + vm.name, encode_record(record)
        # Without the condition a write whose answer was lost could be executed later and bind the
        # record to a lease that is renewed no more.
        try:
            await self._leases.swap({key: 0}, {key: value}, lease=lease)
        except SwapConflictError as conflict:
            # The record of this VM's former process.
            revision = next((each.revision for each in conflict.items if each.key == key), 0)
            await self._leases.swap({key: revision}, {key: value}, lease=lease)
        return lease

    async def renew(self, lease: int) -> bool:
        """Renew a lease; return whether it still exists."""
        try:
            await self._leases.keep_alive(lease)
        except LeaseEndedError:
            return False
        return True

    async def release(self, lease: int) -> None:
        """End a lease and all that is bound to it."""
        await self._leases.revoke(lease)

    async def acquire_promoter_lock(self, vm: RegisteredVm, lease: int) -> PromoterLock | None:
        """Take the seat of the promoter; return None if another VM holds it."""
        current = await self._checks.get(PROMOTER_KEY)
        held = decode_promoter(current.value) if current else None
        if held is not None and current is not None:
            if held.vm != vm.name:
                return None
            if held.incarnation == vm.incarnation:
                return PromoterLock(held.vm, held.incarnation, current.revision)
        # A record of this VM's former process may be replaced: that process has ended.
        value = encode_record(PromoterRecord(vm.name, vm.incarnation))
        expected = {PROMOTER_KEY: current.revision if current else 0}
        try:
            token = await self._checks.swap(expected, {PROMOTER_KEY: value}, lease=lease)
        except SwapConflictError:
            return None
        return PromoterLock(vm.name, vm.incarnation, token)

    async def write_primary_record(self, record: PrimaryRecord) -> PrimaryRecord | None:
        """Replace the record at `record.revision`; return it, or None if it was not current."""
        key = PRIMARY_PREFIX + record.group
        value = encode_primary_record(
            record.group, record.instance, record.term, moving=record.moving
        )
        try:
            revision = await self._checks.swap({key: record.revision}, {key: value})
        except SwapConflictError:
            return None
        except KeyValueTimeoutError:
            # The write may have been executed; what the store holds now tells.
            current = await self._checks.get(key)
            if current is None or current.value != value:
                raise
            revision = current.revision
        return record._replace(revision=revision)

    def _changes(self, values: Iterable[KeyValue | WatchEvent]) -> Iterator[Change]:
        for each in values:
            change = self._change(each.key, each.value, each.revision)
            if change is not None:
                yield change

    def _change(self, key: str, value: bytes | None, revision: int) -> Change | None:
        """Return a change in the project's terms, None if it concerns nobody."""
        try:
            return _decode(key, value, revision)
        except (ConfigurationError, ValueError) as error:
            # The last readable state stays in force.
            self._log.failure("unreadable_entry", key=key, revision=revision, error=str(error))
            return None


def _names(keys: Iterable[str], prefix: str) -> Iterator[str]:
    return (key.removeprefix(prefix) for key in keys if key.startswith(prefix))


def _decode(key: str, value: bytes | None, revision: int) -> Change | None:
    if key.startswith(INSTANCE_PREFIX):
        name = key.removeprefix(INSTANCE_PREFIX)
        if value is None:
            return InstanceUnregistered(name)
        return InstanceChanged(decode_instance(name, value, revision))
    if key.startswith(VM_PREFIX):
        if value is None:
            return VmUnregistered(key.removeprefix(VM_PREFIX))
        record = decode_vm(value)
        host, port = parse_address(record.address)
        return VmChanged(
            RegisteredVm(
                record.vm, host, port, record.failure_domain, record.incarnation, record.cores
            )
        )
    if key == PROMOTER_KEY:
        if value is None:
            return PromoterLockReleased()
        holder = decode_promoter(value)
        return PromoterLockAcquired(PromoterLock(holder.vm, holder.incarnation, revision))
    if value is None:
        return None
    if key == CONFIGURATION_KEY:
        return ConfigurationChanged(decode_configuration(value, revision))
    if key.startswith(PRIMARY_PREFIX):
        return PrimaryRecordChanged(decode_primary_record(value, revision))
    return None
