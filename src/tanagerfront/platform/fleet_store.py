"""Implementation of FleetStore over the platform's key-value store (session interface)."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence

from ..change_history import MAX_RESPONSE_BYTES, ChangeHistory
from ..decision_log import DecisionLog
from ..errors import ConfigurationError, KeyValueTimeoutError, StoreRestoredError
from ..fleet_store import (
    Change,
    CheckResult,
    ConfigurationChanged,
    DomainEvacuated,
    DomainReturned,
    EraSettled,
    FleetState,
    InstanceChanged,
    InstanceUnregistered,
    KnownRevisions,
    PeerChanges,
    PeerRead,
    PrimaryRecordChanged,
    PromoterLock,
    PromoterLockAcquired,
    PromoterLockReleased,
    RegisteredVm,
    VmChanged,
    VmUnregistered,
)
from ..instance_directory import PrimaryRecord
from ..kv import KeyValue, WatchEvent
from ..session_model import FrontConfiguration
from ..store_era import era_of
from .changes_wire import PeerWatchClients
from .documents import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    INSTANCE_PREFIX,
    ORDER_PREFIX,
    OWN_PREFIX,
    PRIMARY_PREFIX,
    PROMOTER_KEY,
    SETTLED_ERA_KEY,
    VM_PREFIX,
    OrderRecord,
    PromoterRecord,
    SettledEraRecord,
    VmRecord,
    decode_address,
    decode_configuration,
    decode_evacuation,
    decode_instance,
    decode_order,
    decode_primary_record,
    decode_promoter,
    decode_settled_era,
    decode_vm,
    encode_primary_record,
    encode_record,
)
from .store import LeaseEndedError, Page, StoreClient, StoreEra, SwapConflictError

__all__ = ["PlatformFleetStore"]

# Limit of the store on the keys of one call.
MAX_KEYS_PER_CALL = 32
ALL_KEYS_PREFIX = ""
# Errors may quote the entry, which may have a megabyte.
MAX_ERROR_CHARS = 200


class PlatformFleetStore:
    """Read and write the fleet's keys as typed values, with one connection per kind of call."""

    def __init__(
        self,
        watches: StoreClient,
        checks: StoreClient,
        leases: StoreClient,
        log: DecisionLog,
        history: ChangeHistory,
        era: StoreEra | None = None,
    ) -> None:
        self._history = history
        self._peer_clients = PeerWatchClients()
        self._watches = watches
        self._checks = checks
        self._leases = leases
        self._log = log
        self._era = era or StoreEra()
        # The last configuration that was decoded: several calls may return the same one.
        self._configuration: FrontConfiguration | None = None
        # The last known revisions of the orders to promote, by group.
        self._order_revisions: dict[str, int] = {}

    @property
    def era(self) -> int:
        """Return the store's era in its latest replies."""
        return self._era.number

    @property
    def names_eras(self) -> bool:
        """Return whether the store's replies name its era."""
        return self._era.asked_in is not None

    def on_restored(self, callback: Callable[[int], None]) -> None:
        """Call back with the new era when a reply shows that the store has been restored."""
        self._era.on_restored = callback

    @property
    def receives_large_changes(self) -> bool:
        """Return whether a large reply to a watch or load is arriving."""
        return self._watches.arriving_bytes > MAX_RESPONSE_BYTES

    @property
    def calls(self) -> dict[str, int]:
        """Return the number of calls made, by kind."""
        return {
            "watch": self._watches.calls,
            "check": self._checks.calls,
            "lease": self._leases.calls,
        }

    async def load(self) -> FleetState:
        """Return the state of the fleet, with one call unless it spans several pages."""
        page = await self._watches.range(ALL_KEYS_PREFIX)
        self._history.reset(page.revision)
        keys = [found.key for found in page.values]
        changes = tuple(self._changes(page.values))
        decoded = sum(
            isinstance(change, ConfigurationChanged | PrimaryRecordChanged) for change in changes
        )
        groups = frozenset(_suffixes(keys, PRIMARY_PREFIX))
        self._log.decision(
            "store_loaded",
            era=self.era,
            revision=page.revision,
            revisions={
                found.key: found.revision
                for found in page.values
                if found.key == CONFIGURATION_KEY
                or found.key.startswith((OWN_PREFIX, EVACUATION_PREFIX))
            },
        )
        return FleetState(
            changes=changes,
            readable=CONFIGURATION_KEY in keys and decoded == len(groups) + 1,
            instances=frozenset(
                change.registration.id for change in changes if isinstance(change, InstanceChanged)
            ),
            vms=frozenset(_suffixes(keys, VM_PREFIX)),
            groups=groups,
            has_promoter=PROMOTER_KEY in keys,
            revision=page.revision,
            evacuated_domains=frozenset(_suffixes(keys, EVACUATION_PREFIX)),
        )

    async def watch(self, after: int, wait_s: float) -> tuple[Sequence[Change], int]:
        """Return the changes after a revision, and the revision to continue from."""
        return self._record_changes(
            after, await self._watches.watch(ALL_KEYS_PREFIX, after, wait_s)
        )

    async def fetch_from_peer(self, vm: RegisteredVm, read: PeerRead) -> PeerChanges:
        """Return the changes after a revision from a peer VM's history."""
        page, size = await self._peer_clients.watch(vm, read)
        if page.withheld:
            # The history has to stay complete up to its revision.
            changes = tuple(self._changes(page.events))
            return PeerChanges(changes, page.revision, withheld=True, size=size)
        new, revision = self._record_changes(read.after, Page((), page.events, page.revision))
        revisions = {event.key: event.revision for event in page.events}
        for key, value in page.deflated.items():
            self._history.keep_compressed(key, revisions[key], value)
        return PeerChanges(new, revision, size=size)

    def _record_changes(self, after: int, page: Page) -> tuple[Sequence[Change], int]:
        revision = max(after, page.revision)
        # Changes come from the store and from peer VMs, so a response may be older than the last.
        new_events = self._history.add(after, page.events, revision)
        return tuple(self._changes(new_events)), revision

    async def check(self, known: KnownRevisions) -> CheckResult:
        """Compare known revisions with those in the store."""
        expected = {CONFIGURATION_KEY: known.configuration}
        expected |= {
            PRIMARY_PREFIX + group: revision for group, revision in known.primary_records.items()
        }
        expected |= {
            EVACUATION_PREFIX + domain: revision for domain, revision in known.evacuations.items()
        }
        keys = list(expected)
        differing: dict[str, tuple[int, int]] = {}
        changes: list[Change] = []
        for start in range(0, len(keys), MAX_KEYS_PER_CALL):
            batch = {key: expected[key] for key in keys[start : start + MAX_KEYS_PER_CALL]}
            try:
                await self._checks.swap(batch)
            except SwapConflictError as conflict:
                found = {item.key: item for item in conflict.items}
                stored = {key: found[key].revision if key in found else 0 for key in batch}
                differing |= {
                    key: (batch[key], stored[key]) for key in batch if stored[key] != batch[key]
                }
                changes += self._changes(found[key] for key in differing if key in found)
                # A newer order may have followed the removed one meanwhile.
                changes += (
                    DomainReturned(key.removeprefix(EVACUATION_PREFIX), batch[key])
                    for key in batch
                    if key in differing and key.startswith(EVACUATION_PREFIX) and key not in found
                )
        return CheckResult(differing, changes)

    async def register(self, vm: RegisteredVm, ttl_s: float) -> int:
        """Register a VM under a new lease and return the lease."""
        era = self._era.asked_in
        lease = await self._leases.grant(ttl_s)
        self._require_era(era)
        record = VmRecord(
            vm.name,
            str(vm.address),
            vm.failure_domain,
            vm.incarnation,
            vm.cores,
            vm.relay_version,
        )
        key, value = VM_PREFIX + vm.name, encode_record(record)
        # An unconditional write whose reply was lost could be executed later and bind the record to
        # a lease that is no longer renewed.
        try:
            await self._leases.swap({key: 0}, {key: value}, lease=lease)
        except SwapConflictError as conflict:
            # A previous process of this VM left its record.
            self._require_era(era)
            revision = next((item.revision for item in conflict.items if item.key == key), 0)
            await self._leases.swap({key: revision}, {key: value}, lease=lease)
        return lease

    def _require_era(self, era: int | None) -> None:
        """Raise StoreRestoredError if the era has ended, and with it the leases."""
        if era is not None and self.era != era:
            raise StoreRestoredError(f"store is in era {self.era}; the lease is of era {era}")

    async def renew(self, lease: int) -> bool:
        """Renew a lease; return whether it still exists."""
        try:
            await self._leases.keep_alive(lease)
        except LeaseEndedError:
            return False
        return True

    async def release(self, lease: int) -> None:
        """Revoke a lease; the store deletes the keys bound to it."""
        await self._leases.revoke(lease)

    async def acquire_promoter_lock(self, vm: RegisteredVm, lease: int) -> PromoterLock | None:
        """Acquire the promoter lock; return None if another VM holds it."""
        era = self._era.asked_in
        current = await self._checks.get(PROMOTER_KEY)
        holder = decode_promoter(current.value) if current else None
        if holder is not None and current is not None:
            if holder.vm != vm.name:
                return None
            # The store may have restored the lock under a lease that is not renewed any more.
            if holder.incarnation == vm.incarnation and current.lease == lease:
                return PromoterLock(holder.vm, holder.incarnation, current.revision)
        # A record of another incarnation of this VM may be replaced: that process has ended. The
        # revision is the fencing token and grows across eras of the store.
        value = encode_record(PromoterRecord(vm.name, vm.incarnation))
        expected = {PROMOTER_KEY: current.revision if current else 0}
        self._require_era(era)
        try:
            token = await self._checks.swap(expected, {PROMOTER_KEY: value}, lease=lease)
        except SwapConflictError:
            return None
        return PromoterLock(vm.name, vm.incarnation, token)

    async def record_order(
        self, lock: PromoterLock, record: PrimaryRecord, instance: str
    ) -> int | None:
        """Record which instance a failover promotes, in place of one recorded before.

        Return the revision of the order, None if lock or record has changed.
        """
        key = ORDER_PREFIX + record.group
        value = encode_record(OrderRecord(instance, record.term))
        current = {PROMOTER_KEY: lock.token, PRIMARY_PREFIX + record.group: record.revision}
        # A call that was given up may be executed after the next one, whose order it must not
        # replace.
        expected = current | {key: self._known_order_revision(record.group)}
        try:
            revision = await self._checks.swap(expected, {key: value})
        except SwapConflictError as conflict:
            found = {item.key: item.revision for item in conflict.items}
            if any(found.get(name, 0) != revision for name, revision in current.items()):
                return None
            # The order of an earlier failover, or of another promoter.
            try:
                revision = await self._checks.swap(current | {key: found.get(key, 0)}, {key: value})
            except SwapConflictError:
                return None
        self._order_revisions[record.group] = revision
        return revision

    def _known_order_revision(self, group: str) -> int:
        revision = self._order_revisions.get(group, 0)
        return revision if era_of(revision) == self.era else 0

    async def ordered_instance(self, record: PrimaryRecord) -> str | None:
        """Return the instance that was recorded for a failover, None without one."""
        found = await self._checks.get(ORDER_PREFIX + record.group)
        if found is None:
            return None
        self._order_revisions[record.group] = found.revision
        try:
            order = decode_order(found.value)
        except ConfigurationError as error:
            self._log.failure("unreadable_entry", key=found.key, error=str(error))
            return None
        return order.instance if order.term == record.term else None

    async def settle_era(self, era: int) -> None:
        """Record that the fleet relies on the store in this era."""
        current = await self._checks.get(SETTLED_ERA_KEY)
        value = encode_record(SettledEraRecord(era))
        try:
            await self._checks.swap(
                {SETTLED_ERA_KEY: current.revision if current else 0}, {SETTLED_ERA_KEY: value}
            )
        except SwapConflictError:
            # Another coordinator has recorded it.
            return

    async def write_primary_record(
        self,
        record: PrimaryRecord,
        lock: PromoterLock | None = None,
        order: int | None = None,
    ) -> PrimaryRecord | None:
        """Replace the record at `record.revision`; return it, or None if it was not current.

        With a lock, also return None if the promoter lock has changed; with the revision of an
        order, if another instance has been ordered since.
        """
        key = PRIMARY_PREFIX + record.group
        expected = {key: record.revision}
        if lock is not None:
            expected[PROMOTER_KEY] = lock.token
        if order is not None:
            expected[ORDER_PREFIX + record.group] = order
        value = encode_primary_record(
            record.group, record.instance, record.term, moving=record.moving
        )
        try:
            revision = await self._checks.swap(expected, {key: value})
        except SwapConflictError:
            return None
        except KeyValueTimeoutError:
            # The write may have been executed; the stored value shows whether it was.
            current = await self._checks.get(key)
            if current is None or current.value != value:
                raise
            revision = current.revision
            if lock is not None:
                # With another lock, its holder may have written the same value.
                holder = await self._checks.get(PROMOTER_KEY)
                if holder is None or holder.revision != lock.token:
                    return None
        return record._replace(revision=revision)

    def _changes(self, values: Iterable[KeyValue | WatchEvent]) -> Iterator[Change]:
        for item in values:
            change = self._change(item.key, item.value, item.revision)
            if change is not None:
                yield change

    def _change(self, key: str, value: bytes | None, revision: int) -> Change | None:
        """Return the decoded change, None if it is ignored or malformed."""
        last = self._configuration
        if key == CONFIGURATION_KEY and last is not None and last.revision == revision:
            return ConfigurationChanged(last)
        try:
            change = _decode(key, value, revision)
        except (ConfigurationError, ValueError) as error:
            text = str(error)[:MAX_ERROR_CHARS]
            self._log.failure("unreadable_entry", key=key, revision=revision, error=text)
            if key.startswith(INSTANCE_PREFIX):
                # It names no instance to use, also on the VMs that knew one by this key.
                return InstanceUnregistered(key.removeprefix(INSTANCE_PREFIX))
            # The last state that could be decoded stays in force.
            return None
        if isinstance(change, ConfigurationChanged):
            self._configuration = change.configuration
        return change


def _suffixes(keys: Iterable[str], prefix: str) -> Iterator[str]:
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
        host, port = decode_address(record.address)
        return VmChanged(
            RegisteredVm(
                record.vm,
                host,
                port,
                record.failure_domain,
                record.incarnation,
                record.cores,
                record.relay_version,
            )
        )
    if key == PROMOTER_KEY:
        if value is None:
            return PromoterLockReleased()
        holder = decode_promoter(value)
        return PromoterLockAcquired(PromoterLock(holder.vm, holder.incarnation, revision))
    if key.startswith(EVACUATION_PREFIX):
        domain = key.removeprefix(EVACUATION_PREFIX)
        if value is None:
            return DomainReturned(domain, revision)
        return DomainEvacuated(domain, revision, decode_evacuation(domain, value))
    if value is None:
        return None
    if key == CONFIGURATION_KEY:
        return ConfigurationChanged(decode_configuration(value, revision))
    if key == SETTLED_ERA_KEY:
        return EraSettled(decode_settled_era(value))
    if key.startswith(PRIMARY_PREFIX):
        return PrimaryRecordChanged(decode_primary_record(value, revision))
    return None
