"""Synchronises a VM of the session interface with the store and keeps its lease alive."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio

from .configuration_spread import spread_sources
from .confirmed_state import ConfirmedState
from .decision_log import DecisionLog
from .errors import HistoryLostError, KeyValueError, StoreRestoredError
from .evacuation import Evacuation, Evacuations, OrderOutcome
from .fleet_roles import COORDINATORS, coordinators
from .fleet_store import (
    Change,
    ConfigurationChanged,
    DomainEvacuated,
    DomainReturned,
    EraSettled,
    FleetState,
    FleetStore,
    InstanceChanged,
    InstanceUnregistered,
    KnownRevisions,
    LargeValues,
    PeerRead,
    PrimaryRecordChanged,
    PromoterLock,
    PromoterLockAcquired,
    PromoterLockReleased,
    RegisteredVm,
    VmChanged,
    VmUnregistered,
)
from .instance_directory import InstanceDirectory
from .rate_shares import RateShares
from .session_model import InstanceRegistration, boottime_s
from .session_peer_messages import Echo, Heartbeat
from .store_era import SETTLING_S, EraProgress, era_of, era_start
from .supervision import run_restarting

__all__ = ["LEASE_TTL_S", "FleetSync", "SyncTiming"]

# Unregistered instances without open connections are removed from the directory after this time.
INSTANCE_RETENTION_S = 12.0
# Short compared with the two seconds after which a missing instance counts as unregistered.
HOUSEKEEPING_INTERVAL_S = 0.25
# Tolerates two lost renewals, and still lets a failed promoter be replaced soon.
LEASE_TTL_S = 5.0
# Interval at which lost primary records are written again and the end of settling is tested.
RESTORATION_INTERVAL_S = 0.1
# Coordinators write lost records at once; the other VMs only those that no coordinator knew.
LOST_RECORD_DELAY_S = 0.4
# A coordinator ends the settling; the others hear of it with their next heartbeat.
EXPECTED_SETTLING_S = SETTLING_S + 1.0
# The entry of an instance that has left is removed from a restored store within this time.
OUTDATED_REGISTRATION_S = 4.0
# Interval at which a VM tests whether writes at a former primary have ended.
WRITES_POLL_INTERVAL_S = 0.01
# Consecutive checks, as long as each of them finds a newer state.
MAX_CONSECUTIVE_CHECKS = 3


class SyncTiming(NamedTuple):
    """Intervals and timeouts of a FleetSync, in seconds."""

    # Interval of a coordinator's checks. Each check is a priced call, and a configuration has to be
    # in force 3 s after it was written.
    check_interval_s: float = 1.0
    # Age of the last confirmation at which a VM that is not a coordinator checks for itself. A
    # confirmation by a coordinator is up to 1.7 s old: its check interval and two heartbeats.
    fallback_check_interval_s: float = 2.2
    # Longer than a check and a heartbeat take, so that the next coordinator knows of the last check
    # before its own is due.
    coordinator_stagger_s: float = 0.4
    # Interval at which a VM tests whether a check is due.
    check_poll_interval_s: float = 0.1
    # A watch that waits is a single call. A connection that went silent is detected after this wait
    # and the call's timeout.
    watch_wait_s: float = 5.0
    lease_ttl_s: float = LEASE_TTL_S
    # Allows three renewals within the time to live of a lease.
    renew_interval_s: float = 1.5
    # Initial delay after a failed call; the store answers in 4 ms when it is up.
    retry_delay_s: float = 0.15
    # Refused calls are priced too. While the store is unreachable, the checks probe it; watch and
    # lease calls are retried only at this interval, in case only the checks fail.
    disconnected_retry_s: float = 2.0
    # Without an announcement or an echo for this long, a VM that is not a coordinator reads the
    # store itself, with a watch that waits only for the time below.
    announcement_timeout_s: float = 4.0
    catch_up_watch_wait_s: float = 0.02
    # A VM that cannot register loads the store after this time; it may still serve reads from
    # replicas.
    registration_timeout_s: float = 0.5
    # Changes within this time are read with one call; the VMs of a starting fleet register within
    # 0.3 s.
    batch_window_s: float = 0.4
    # A promoter announces a record when it has written it, before its own watch returns it. Reading
    # the store instead would take a call, and a large configuration, per VM.
    announcer_wait_s: float = 0.3
    # A VM above in the tree has the value two heartbeats later at most; after this wait the next
    # source is asked.
    spread_wait_s: float = 0.6
    # While large values are on their way, a VM that is not a coordinator does not check, because
    # the reply would contain the whole configuration. Longer than the wait for all sources.
    spread_patience_s: float = 2.8
    # Instances whose registrations expired during an outage of the store register again within 2 s
    # of its return.
    instance_grace_s: float = 2.2
    # The leases of all VMs may expire during an outage of the store. Without this delay each VM
    # would count itself as the only one and use the whole rate of every organisation.
    vm_grace_s: float = 3.0


class FleetSync:
    """Read configuration, registrations and primaries from the store, and hold the VM's lease."""

    def __init__(
        self,
        store: FleetStore,
        confirmed_state: ConfirmedState,
        directory: InstanceDirectory,
        rates: RateShares,
        own: RegisteredVm,
        log: DecisionLog,
        timing: SyncTiming | None = None,
        evacuation_s: float | None = None,
    ) -> None:
        self._store = store
        self._confirmed_state = confirmed_state
        self._directory = directory
        self._rates = rates
        self._own = own
        self._log = log
        self._timing = timing or SyncTiming()
        # None where the deployment evacuates no failure domains.
        self._evacuations = None if evacuation_s is None else Evacuations(evacuation_s)
        self._unreported_evacuations: dict[str, Evacuation] = {}
        self._vms: dict[str, RegisteredVm] = {}
        # Computed on demand (None until then), because registrations arrive in large numbers.
        self._vm_list: tuple[RegisteredVm, ...] | None = None
        self._coordinators: tuple[str, ...] | None = None
        self._shares_outdated = False
        self._instance_unregistered_since: dict[str, float] = {}
        self._vm_unregistered_since: dict[str, float] = {}
        # Registrations in a restored store that are older than what this VM knows.
        self._outdated: dict[str, tuple[InstanceRegistration, float]] = {}
        self._lease: int | None = None
        self._promoter_lock: PromoterLock | None = None
        self._check_requested = trio.Event()
        self._check_deferred = False
        self._connected = False
        self._loaded = False
        self._era = EraProgress()
        self._restored = trio.Event()
        self._lease_void = trio.Event()
        self._reconnected = trio.Event()
        self._registered = trio.Event()
        self._revision = 0
        # Up to this revision all primary records have been applied; records that this VM wrote
        # itself may be newer.
        self._records_revision = 0
        self._announced_revision = 0
        self._announcer = ""
        # Up to this revision all changes but those with large values have been applied.
        self._followed_revision = 0
        # Revision whose changes with large values are to be fetched from peer VMs, and since when.
        self._spread_revision = 0
        self._spread_since = float("-inf")
        self._spread_requested = trio.Event()
        self._spread_failed = False
        self._watch_scope = trio.CancelScope()
        self._announced_event = trio.Event()
        self._last_echo_at = float("-inf")
        self._announced_urgent = False
        self._primary_replaced = trio.Event()
        self.on_writes_ended: Callable[[], None] = lambda: None
        self.on_primary_change: Callable[[], None] = lambda: None
        self.on_evacuation_change: Callable[[str, bool], None] = lambda domain, evacuated: None
        store.on_restored(self._begin_era)

    @property
    def vms(self) -> tuple[RegisteredVm, ...]:
        """Return the registered VMs and those whose lease ended within the grace time.

        It is the same tuple until a VM changes.
        """
        if self._vm_list is None:
            self._vm_list = tuple(self._vms.values())
        return self._vm_list

    @property
    def vms_with_lease(self) -> Sequence[RegisteredVm]:
        """Return the VMs whose leases have not ended; without a lease a VM uses no primary."""
        return tuple(
            vm for name, vm in self._vms.items() if name not in self._vm_unregistered_since
        )

    @property
    def coordinators(self) -> Sequence[str]:
        """Return the names of the VMs that check and watch the store for the fleet."""
        if self._coordinators is None:
            self._coordinators = coordinators(self.vms)
        return self._coordinators

    @property
    def is_coordinator(self) -> bool:
        """Return whether this VM is a coordinator; all are until COORDINATORS are registered."""
        return self._own.name in self.coordinators or len(self.coordinators) < COORDINATORS

    @property
    def heartbeat_recipients(self) -> frozenset[str]:
        """Return the names of the VMs that get every heartbeat: coordinators and promoter."""
        promoter = {self._promoter_lock.vm} if self._promoter_lock is not None else set()
        return frozenset({*self.coordinators, *promoter})

    @property
    def replies_to_heartbeats(self) -> bool:
        """Return whether this VM replies to heartbeats."""
        return self.is_coordinator or self._own.name in self.heartbeat_recipients

    @property
    def lease(self) -> int | None:
        """Return this VM's lease, None while it has none."""
        return self._lease

    @property
    def promoter_lock(self) -> PromoterLock | None:
        """Return the lock of the VM that may order promotions, None if it is free."""
        return self._promoter_lock

    @property
    def era(self) -> EraProgress:
        """Return the progress in the store's current era."""
        return self._era

    @property
    def seen_revision(self) -> int:
        """Return the newest revision of a primary record that this VM uses.

        Older records of other groups may be missing, if this VM wrote that one itself.
        """
        return self._newest_record()

    @property
    def applied_revision(self) -> int:
        """Return the newest revision of a record up to which this VM has applied all records."""
        return self._newest_record(self._applied_limit)

    @property
    def _applied_limit(self) -> int:
        # A restored store may hold older records than this VM knows, which it doesn't apply.
        refused = (
            record.revision - 1
            for record in (
                self._directory.group(name).primary_record for name in self._directory.unrecorded
            )
            if record is not None and record.revision
        )
        return min([self._records_revision, *refused])

    def _newest_record(self, limit: float = math.inf) -> int:
        """Return the newest revision of a primary record up to a limit."""
        records = (group.primary_record for group in self._directory.groups.values())
        revisions = (record.revision for record in records if record is not None)
        # Below all revisions of the era whose state this VM has loaded.
        oldest = era_start(era_of(self._revision))
        return max([oldest, *(revision for revision in revisions if revision <= limit)])

    @property
    def acknowledged_revision(self) -> int:
        """Return the newest revision up to which the promoter may replace primaries by records.

        All records up to it are applied, and no success of a former primary will be passed on.
        """
        return self._newest_record(min(self._applied_limit, self._unsettled_revision - 1))

    @property
    def _unsettled_revision(self) -> float:
        """Return the oldest revision of a record with writes in progress at a former primary."""
        now = boottime_s()
        records = (
            group.primary_record
            for group in self._directory.groups.values()
            if not group.writes.settled(now)
        )
        return min((record.revision for record in records if record), default=math.inf)

    @property
    def revision(self) -> int:
        """Return the store's revision up to which all changes have been applied."""
        return self._revision

    def request_check(self) -> None:
        """Check the store now instead of at the next interval."""
        self._check_requested.set()

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            for task in (
                self._run_watch,
                self._run_spread,
                self._run_checks,
                self._run_lease,
                self._run_restoration,
                self._run_acknowledgements,
                self._run_housekeeping,
            ):
                nursery.start_soon(run_restarting, task, self._log)

    async def apply(self, changes: Sequence[Change]) -> None:
        """Apply changes of the store's keys."""
        # Whether a failure domain may be evacuated depends on the registered instances.
        for change in sorted(changes, key=_is_evacuation):
            await self._apply_one(change)
        if self._shares_outdated:
            # Once per batch: a division takes about 6 ms with 81 VMs and 83 organisations.
            await self._update_shares()

    async def _apply_one(self, change: Change) -> None:
        match change:
            case ConfigurationChanged(configuration):
                if self._confirmed_state.apply(configuration):
                    self._log.decision(
                        "configuration_in_force",
                        version=configuration.version,
                        revision=configuration.revision,
                        routes=len(configuration.routes),
                    )
                    self._shares_outdated = True
            case InstanceChanged(registration):
                self._outdated.pop(registration.id, None)
                self._instance_unregistered_since.pop(registration.id, None)
                await self._directory.apply(registration)
            case InstanceUnregistered(instance_id):
                self._outdated.pop(instance_id, None)
                self._instance_unregistered_since.setdefault(instance_id, boottime_s())
            case PrimaryRecordChanged(record):
                if self._directory.set_primary_record(record):
                    writes = self._directory.group(record.group).writes
                    self._log.decision(
                        "leader_recorded",
                        **record._asdict(),
                        writes_in_progress=writes.sent_before_failover,
                    )
                    if self.is_coordinator:
                        # Renews the confirmations of all VMs, with the replies to the heartbeats
                        # that follow a new record.
                        self.request_check()
                    self._primary_replaced.set()
                    self.on_primary_change()
            case VmChanged(vm):
                known = self._vms.get(vm.name)
                self._vms[vm.name] = vm
                self._vm_unregistered_since.pop(vm.name, None)
                self._coordinators = self._vm_list = None
                if known is None:
                    self._log.decision("vm_registered", peer=vm.name, vms=len(self._vms))
                    self._shares_outdated = True
            case VmUnregistered(name):
                if name in self._vms:
                    self._vm_unregistered_since.setdefault(name, boottime_s())
            case PromoterLockAcquired(promoter_lock):
                if self._promoter_lock is None or promoter_lock.token > self._promoter_lock.token:
                    self._promoter_lock = promoter_lock
                    self._log.decision(
                        "promoter_seat", holder=promoter_lock.vm, token=promoter_lock.token
                    )
            case PromoterLockReleased():
                self._promoter_lock = None
                self._log.decision("promoter_seat", holder=None)
            case EraSettled(era):
                self._settle(era)
            case DomainEvacuated() | DomainReturned():
                self._apply_evacuation(change)

    def _apply_evacuation(self, change: DomainEvacuated | DomainReturned) -> None:
        domain, revision = change.failure_domain, change.revision
        if self._evacuations is None:
            self._log.decision("evacuation_ignored", failure_domain=domain, revision=revision)
            return
        match change:
            case DomainEvacuated(_, _, readable):
                known_domains = self._directory.failure_domains
                outcome = self._evacuations.order(
                    domain,
                    revision,
                    readable=readable,
                    known_domains=known_domains,
                    # The last confirmation came before the order.
                    ordered_at=boottime_s() - self._confirmed_state.confirmation_age_s,
                )
                self._log.decision(
                    "evacuation_ordered",
                    failure_domain=domain,
                    revision=revision,
                    outcome=outcome.value,
                    known=domain in known_domains,
                )
            case DomainReturned():
                outcome = self._evacuations.remove(domain, revision)
                self._log.decision(
                    "evacuation_removed",
                    failure_domain=domain,
                    revision=revision,
                    outcome=outcome.value,
                )
        if outcome not in (OrderOutcome.EVACUATED, OrderOutcome.RETURNED):
            return
        in_force = self._evacuations.in_force
        self._directory.set_evacuations(in_force)
        self._unreported_evacuations.pop(domain, None)
        if domain in in_force:
            self._unreported_evacuations[domain] = in_force[domain]
        self.on_evacuation_change(domain, domain in in_force)
        if self.is_coordinator:
            # Renews the confirmations of all VMs, which an unknown order interrupts.
            self.request_check()

    def _report_evacuations(self, now: float) -> None:
        """Log how long after its order an evacuated domain still answered this VM."""
        for domain, evacuation in tuple(self._unreported_evacuations.items()):
            if now - evacuation.ordered_at < evacuation.bound_s:
                continue
            del self._unreported_evacuations[domain]
            answered_at = max(
                (
                    instance.answered_at
                    for instance in self._directory.instances()
                    if instance.registration.failure_domain == domain
                ),
                default=evacuation.ordered_at,
            )
            self._log.decision(
                "evacuation_ended",
                failure_domain=domain,
                last_answer_s=round(max(0.0, answered_at - evacuation.ordered_at), 3),
                primaries=[
                    group.name
                    for group in self._directory.groups.values()
                    if group.primary is not None and group.primary.evacuation is not None
                ],
            )

    @property
    def _evacuated_in_era(self) -> list[str]:
        """Return the evacuated domains, without those whose orders a restored store has lost."""
        if self._evacuations is None:
            return []
        revisions = self._evacuations.revisions
        return sorted(
            domain
            for domain in self._evacuations.in_force
            if self._revision_in_era(revisions[domain])
        )

    def _settle(self, era: int) -> None:
        before = self._era.settled
        self._era.settle(era, at_first_load=not self._revision)
        if self._era.settled and not before:
            self._log.decision("store_settled", era=era)
            if self.is_coordinator:
                self.request_check()

    def _begin_era(self, era: int) -> None:
        """Read everything again and register again: the store has returned from an older copy.

        Until the fleet has settled, this VM relies on what was confirmed before the outage.
        """
        self._log.decision("store_restored", era=era, previous=self._era.era)
        self._era.begin(era, boottime_s())
        self._loaded = False
        self._record_connected()
        # Leases are given out again, so that a renewal may renew the lease of another VM.
        self._lease = None
        self._lease_void.set()
        self._confirmed_state.require_registration()
        self._watch_scope.cancel()
        self._wake_watch()
        restored, self._restored = self._restored, trio.Event()
        restored.set()

    def _wake_watch(self) -> None:
        announced, self._announced_event = self._announced_event, trio.Event()
        announced.set()

    async def _update_shares(self) -> None:
        """Divide the rates and connections among the registered VMs."""
        configuration = self._confirmed_state.configuration
        # Includes this VM even before its registration appears in the store.
        names = sorted({self._own.name, *self._vms})
        if configuration is None:
            return
        self._shares_outdated = False
        self._rates.configure(configuration.organisations, names)
        connections = {group.name: group.connections for group in configuration.groups.values()}
        self._directory.set_group_options(configuration.groups)
        await self._directory.set_connection_shares(len(names), connections)

    async def _run_watch(self) -> None:
        # A load after the registration also confirms the primaries, which saves a check.
        with trio.move_on_after(self._timing.registration_timeout_s):
            await self._registered.wait()
        while True:
            try:
                if self._loaded:
                    await self._catch_up()
                    continue
                await self._load()
                # The VMs of a starting fleet register one after the other.
                with trio.move_on_after(self._timing.batch_window_s):
                    await self._restored.wait()
            except StoreRestoredError as error:
                self._log.decision("store_read_again", error=str(error))
                self._loaded = False
            except HistoryLostError as error:
                self._loaded = False
                self._record_disconnected("watch", error)
            except KeyValueError as error:
                self._record_disconnected("watch", error)
                await self._wait_before_watch()

    async def _catch_up(self) -> None:
        """Apply new changes; a VM that is not a coordinator first waits for an announcement."""
        wait_s = self._timing.watch_wait_s
        if not self.is_coordinator:
            await self._wait_for_announcement()
            wait_s = self._timing.catch_up_watch_wait_s
        if not self._loaded:
            return
        if not self._spread_failed and await self._fetch_from_announcer():
            return
        self._spread_failed = False
        changes: Sequence[Change] = ()
        revision = self._revision
        with trio.CancelScope() as self._watch_scope:
            changes, revision = await self._store.watch(self._revision, wait_s)
            self._record_connected()
        if not self._loaded:
            return
        await self.apply(changes)
        self._record_applied(revision)

    async def _fetch_from_announcer(self) -> bool:
        """Apply changes from the VM that announced them; return whether all are received.

        Large values follow from another VM, so that primary records don't wait for them.
        """
        announcer = self._vms.get(self._announcer)
        if announcer is None or self._revision >= self._announced_revision:
            return False
        revision = self._announced_revision
        read = PeerRead(
            self._revision, LargeValues.WITHHELD, revision, self._timing.announcer_wait_s
        )
        try:
            found = await self._store.fetch_from_peer(announcer, read)
        except HistoryLostError as error:
            self._log.decision("not_followed", peer=announcer.name, error=str(error))
            # VMs of builds that don't withhold large values refuse them.
            return self._request_spread(revision)
        except KeyValueError as error:
            self._log.decision("not_followed", peer=announcer.name, error=str(error))
            return self._spread_pending and self._request_spread(revision)
        if not self._loaded:
            return False
        await self.apply(found.changes)
        if found.withheld:
            self._advance_applied_records(found.revision)
            return self._request_spread(max(revision, found.revision))
        self._record_applied(found.revision)
        return self._revision >= self._announced_revision

    @property
    def _spread_pending(self) -> bool:
        return self._loaded and self._revision < self._spread_revision

    def _request_spread(self, revision: int) -> bool:
        """Let large values be fetched from peer VMs; return whether this VM does that."""
        if self.is_coordinator and self._connected:
            # Reads them from the store, for the VMs of its failure domain.
            return False
        if not self._spread_pending:
            self._spread_since = boottime_s()
        self._spread_revision = max(self._spread_revision, revision)
        self._followed_revision = max(self._followed_revision, revision)
        self._spread_requested.set()
        return True

    async def _run_spread(self) -> None:
        while True:
            if not self._spread_pending:
                self._spread_requested = trio.Event()
                await self._spread_requested.wait()
            elif not await self._fetch_large_values():
                # The watch reads them from the store, and asks the peers again if that fails.
                self._log.failure("spread_failed", revision=self._spread_revision)
                self._spread_revision = self._followed_revision = 0
                self._spread_failed = self._announced_urgent = True
                self._wake_watch()

    async def _fetch_large_values(self) -> bool:
        """Apply changes with large values from a peer VM; return whether one had them."""
        names = spread_sources(self._own, self.vms, self.coordinators, self._announcer)
        sources = [(name, LargeValues.DEFLATED) for name in names]
        if not self._connected:
            # The store does not answer this VM either, so that no other source is left.
            sources.append((self._announcer, LargeValues.PLAIN))
        for name, large in sources:
            if not self._spread_pending:
                return True
            peer = self._vms.get(name)
            if peer is not None and await self._fetch_large_values_from(peer, large):
                return True
        return not self._spread_pending

    async def _fetch_large_values_from(self, peer: RegisteredVm, large: LargeValues) -> bool:
        revision, started_at = self._spread_revision, boottime_s()
        read = PeerRead(self._revision, large, revision, self._timing.spread_wait_s)
        try:
            found = await self._store.fetch_from_peer(peer, read)
        except KeyValueError as error:
            self._log.decision("not_followed", peer=peer.name, error=str(error))
            return False
        if not self._loaded:
            return True
        await self.apply(found.changes)
        self._record_applied(found.revision)
        self._log.decision(
            "large_values_received",
            peer=peer.name,
            failure_domain=peer.failure_domain,
            revision=found.revision,
            bytes=found.size,
            duration_ms=round((boottime_s() - started_at) * 1000, 1),
        )
        return found.revision >= revision

    def _record_applied(self, revision: int) -> None:
        """Record that all changes up to a revision of the store have been applied."""
        # Two sources may be read at once.
        self._revision = max(self._revision, revision)
        self._advance_applied_records(revision)

    def _advance_applied_records(self, revision: int) -> None:
        """Record that all primary records up to a revision of the store have been applied."""
        self._records_revision = max(self._records_revision, revision)
        # A newer record that could not be decoded was not applied.
        self._confirmed_state.record_applied(min(revision, self.applied_revision))

    async def _wait_for_announcement(self) -> None:
        """Wait until newer changes are announced or no coordinator has replied for a while."""
        while self._loaded and not self._spread_failed and self._follows_announcements:
            with trio.move_on_after(self._timing.announcement_timeout_s):
                await self._announced_event.wait()
            if boottime_s() - self._last_echo_at > self._timing.announcement_timeout_s:
                return
        # Collects further changes for the same call, except that configurations and primaries are
        # urgent.
        with trio.move_on_after(self._timing.batch_window_s):
            while self._loaded and not self._announced_urgent:
                await self._announced_event.wait()
        self._announced_urgent = False

    @property
    def _follows_announcements(self) -> bool:
        return max(self._revision, self._followed_revision) >= self._announced_revision

    def record_echo(self, vm: str, echo: Echo) -> None:
        """Use a coordinator's reply to a heartbeat as a confirmation and an announcement."""
        self._last_echo_at = boottime_s()
        configuration = self._confirmed_state.configuration
        newer = configuration is not None and (echo.configuration_revision > configuration.revision)
        # A VM that is not asked to evacuate domains goes without this comparison.
        same_domains = self._evacuations is None or echo.evacuated == self._evacuated_in_era
        newer = newer or not same_domains
        self._announced_urgent = self._announced_urgent or newer
        self._record_announcement(vm, echo.store_revision)
        if (
            configuration
            and same_domains
            and echo.configuration_revision == configuration.revision
            and echo.configuration_version in (configuration.version, 0)
        ):
            self._confirm(echo.sent_at - echo.lag_s)

    def record_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Use a peer's heartbeat; return whether this VM has applied all that the peer uses.

        While the peer has a newer primary record than any that is known here, no primary is used.
        """
        if heartbeat.seen_revision > self.applied_revision:
            self._record_newer_primary(heartbeat.vm, heartbeat.seen_revision)
            return False
        if heartbeat.echo is not None:
            self.record_echo(heartbeat.vm, heartbeat.echo)
        return True

    def _record_newer_primary(self, vm: str, revision: int) -> None:
        """Record that a VM uses a newer primary record, and interrupt a wait to fetch it."""
        if revision > self.seen_revision and era_of(revision) == self._era.era:
            # A restored store changes no primary; promotions wait until all VMs have noticed.
            self._confirmed_state.suspend_primaries(revision)
        elif self._connected:
            # This VM wrote a record that is as new; its watch or a check returns those before.
            self.request_check()
            return
        self._announced_urgent = True
        if not self._record_announcement(vm, revision):
            return
        self._log.decision("newer_record_announced", peer=vm, revision=revision)
        # The store may be unreachable; the VM that has the record is reachable.
        self._watch_scope.cancel()

    def _record_announcement(self, vm: str, revision: int) -> bool:
        """Record a revision that a VM announced; return whether it is the newest so far."""
        if revision < self._announced_revision or revision <= self._revision:
            return False
        newest = revision > self._announced_revision
        self._announced_revision = revision
        self._announcer = vm
        if newest:
            self._wake_watch()
        return newest

    def _confirm(self, asked_at: float) -> None:
        self._era.record_confirmation()
        self._confirmed_state.confirm(asked_at)

    def echo(self, sent_at: float) -> Echo:
        """Return the reply to a heartbeat that was just received; `sent_at` is copied to it."""
        configuration = self._confirmed_state.configuration
        return Echo(
            sent_at=sent_at,
            # A confirmation from before the store was restored says nothing of its present state.
            lag_s=(
                max(0.0, self._confirmed_state.confirmation_age_s)
                if self._era.confirmed
                else float("inf")
            ),
            configuration_revision=configuration.revision if configuration else 0,
            store_revision=self._revision,
            configuration_version=configuration.version if configuration else 0,
            evacuated=self._evacuated_in_era,
        )

    async def _load(self) -> None:
        requested_at = boottime_s()
        state = await self._store.load()
        self._record_connected()
        if not self._store.names_eras:
            self._era.settle(self._era.era)
        elif self._store.era != self._era.era or not self._revision:
            # The first reply; later eras begin with a call of `_begin_era`.
            self._era.begin(self._store.era, requested_at)
        known = {instance.registration.id for instance in self._directory.instances()}
        removals: list[Change] = [InstanceUnregistered(name) for name in known - state.instances]
        removals += [VmUnregistered(name) for name in self._vms.keys() - state.vms]
        if not state.has_promoter and self._promoter_lock is not None:
            removals.append(PromoterLockReleased())
        removals += self._removed_orders(state)
        changes = [change for change in state.changes if not self._is_outdated(change)]
        await self.apply([*changes, *removals])
        if self._store.era != self._era.era:
            return
        self._directory.keep_lost_records(state.groups)
        self._loaded = True
        self._spread_revision = self._followed_revision = 0
        self._record_applied(state.revision)
        if not self._era.settled:
            self._confirmed_state.expect_confirmation(requested_at + EXPECTED_SETTLING_S)
        elif state.readable:
            self._confirm(requested_at)

    def _removed_orders(self, state: FleetState) -> list[Change]:
        """Return the removals of orders that the store does not hold any more.

        Those that a restored store has lost stay in force until operators repeat and remove them.
        """
        revisions = {} if self._evacuations is None else self._evacuations.revisions
        missing = {
            domain: revision
            for domain, revision in revisions.items()
            if domain not in state.evacuated_domains
        }
        lost = [
            domain for domain, revision in missing.items() if not self._revision_in_era(revision)
        ]
        if lost:
            self._log.failure("evacuation_lost", failure_domains=lost, era=self._era.era)
        return [DomainReturned(domain, state.revision) for domain in missing if domain not in lost]

    def _is_outdated(self, change: Change) -> bool:
        """Return whether a restored store holds an older registration than this VM knows.

        It would return an instance that has left to use. The registration is applied if it is still
        there when that of a silent instance would have been removed.
        """
        if not isinstance(change, InstanceChanged):
            return False
        registration = change.registration
        instance = self._directory.find(registration.id)
        if instance is None or era_of(instance.registration.revision) == self._era.era:
            return False
        known = instance.registration
        unregistered = (
            instance.unregistered_since is not None
            or registration.id in self._instance_unregistered_since
        )
        if registration.age_order > known.age_order or (
            registration.age_order == known.age_order and not unregistered
        ):
            return False
        self._outdated.setdefault(registration.id, (registration, boottime_s()))
        self._log.decision("outdated_registration", known=known, stored=registration)
        return True

    async def _apply_outdated(self, now: float) -> None:
        for registration, since in tuple(self._outdated.values()):
            if now - since >= OUTDATED_REGISTRATION_S:
                await self.apply([InstanceChanged(registration)])

    async def _run_checks(self) -> None:
        await self._confirmed_state.first_configuration.wait()
        delay_s = self._timing.retry_delay_s
        while True:
            try:
                if self._check_is_due():
                    await self._check()
            except StoreRestoredError as error:
                self._log.decision("store_read_again", error=str(error))
                await trio.sleep(delay_s)
            except KeyValueError as error:
                self._record_disconnected("check", error)
                delay_s = min(self._timing.check_interval_s, delay_s * 2)
                # Requests don't end this delay: many VMs may announce a newer record meanwhile.
                await trio.sleep(delay_s)
            else:
                delay_s = self._timing.retry_delay_s
                with trio.move_on_after(self._timing.check_poll_interval_s):
                    await self._check_requested.wait()

    def _check_is_due(self) -> bool:
        if self._check_requested.is_set():
            self._check_requested = trio.Event()
            self._check_deferred = True
        if not self._loaded:
            return False
        if not self._era.settled:
            # Nothing can be confirmed; a check only probes a store that does not answer.
            return not self._connected
        if self._store.receives_large_changes:
            # Nothing is confirmed until they are applied, and the reply would contain them again.
            return False
        requested, self._check_deferred = self._check_deferred, False
        # The other VMs are confirmed by coordinators and check the store only when that fails.
        limit_s = self._timing.fallback_check_interval_s
        if self.is_coordinator:
            names = self.coordinators
            # The first coordinator checks for all; each further one checks later, if none did.
            rank = names.index(self._own.name) if len(names) == COORDINATORS else 0
            limit_s = self._timing.check_interval_s + rank * self._timing.coordinator_stagger_s
        if not requested and self._spread_pending and not self.is_coordinator:
            patience_s = self._timing.spread_patience_s
            if boottime_s() - self._spread_since < patience_s:
                return False
        return requested or self._confirmed_state.confirmation_age_s >= limit_s

    def _reload(self) -> None:
        """Let the watch read everything again."""
        self._loaded = False
        self._watch_scope.cancel()
        self._wake_watch()

    async def _check(self) -> None:
        """Compare this VM's revisions with the store's; apply differences and check again."""
        for _ in range(MAX_CONSECUTIVE_CHECKS):
            requested_at = boottime_s()
            known = self._known_revisions()
            result = await self._store.check(known)
            self._record_connected()
            if result.current:
                self._advance_applied_records(max(known.primary_records.values(), default=0))
                if self._era.settled:
                    self._confirm(requested_at)
                return
            await self.apply(result.changes)
        self._log.failure(
            "not_confirmed",
            reason="the store keeps changing or is not readable",
            # Known and stored revisions.
            differing=result.differing,
        )
        self._reload()
        # An entry that can't be decoded stays until its writer replaces it.
        await trio.sleep(self._timing.check_interval_s)

    def _known_revisions(self) -> KnownRevisions:
        configuration = self._confirmed_state.configuration
        assert configuration is not None
        primary_revisions: dict[str, int] = {}
        for name in configuration.groups:
            record = self._directory.group(name).primary_record
            primary_revisions[name] = self._revision_in_era(record.revision) if record else 0
        return KnownRevisions(
            self._revision_in_era(configuration.revision),
            primary_revisions,
            self._known_orders(),
        )

    def _known_orders(self) -> dict[str, int]:
        """Return the revisions of the orders for all failure domains with instances."""
        if self._evacuations is None:
            return {}
        orders = dict.fromkeys(self._directory.failure_domains, 0)
        for domain, revision in self._evacuations.revisions.items():
            orders[domain] = self._revision_in_era(revision)
        return orders

    def _revision_in_era(self, revision: int) -> int:
        """Return a revision, 0 if the entry was not read again since the store was restored."""
        return revision if era_of(revision) == self._era.era else 0

    async def _run_lease(self) -> None:
        while True:
            self._lease_void = trio.Event()
            requested_at = boottime_s()
            delay_s = self._timing.renew_interval_s
            try:
                if self._lease is None:
                    self._lease = await self._store.register(self._own, self._timing.lease_ttl_s)
                    self._log.decision("lease_granted", lease=self._lease)
                    self._confirmed_state.register(requested_at)
                    self._registered.set()
                    if self._confirmed_state.first_configuration.is_set():
                        # No primary is used before a confirmation that is newer than the
                        # registration; at startup the first load of the store is newer.
                        self.request_check()
                elif await self._store.renew(self._lease):
                    self._confirmed_state.renew_lease(requested_at)
                else:
                    self._log.failure("lease_ended", lease=self._lease)
                    self._lease = None
                    self._confirmed_state.lose_lease()
                    delay_s = 0.0
            except StoreRestoredError as error:
                self._log.decision("store_read_again", error=str(error))
                self._lease = None
                continue
            except KeyValueError as error:
                self._record_disconnected("lease", error)
                await self._wait_before_retry()
                continue
            self._record_connected()
            with trio.move_on_after(delay_s):
                await self._lease_void.wait()

    async def _run_restoration(self) -> None:
        """Write again what the store has lost; then let the fleet rely on the store."""
        while True:
            await trio.sleep(RESTORATION_INTERVAL_S)
            if not (self._loaded and self._connected):
                continue
            try:
                await self._write_lost_records()
                await self._settle_if_due()
            except KeyValueError as error:
                self._log.failure("store_call_failed", call="restoration", error=str(error))
                await trio.sleep(self._timing.retry_delay_s)

    async def _write_lost_records(self) -> None:
        now = boottime_s()
        first = self.is_coordinator or self._own.name in self.heartbeat_recipients
        for name, since in tuple(self._directory.unrecorded.items()):
            record = self._directory.group(name).primary_record
            if record is None or not (first or now - since >= LOST_RECORD_DELAY_S):
                continue
            written = await self._store.write_primary_record(record)
            self._log.decision(
                "lost_record_written", outcome=written is not None, **record._asdict()
            )
            if written is None:
                self._reload()
                return
            self._directory.set_primary_record(written)
            self.on_primary_change()

    async def _settle_if_due(self) -> None:
        if not self.is_coordinator or self._directory.unrecorded:
            return
        names = self.coordinators
        rank = names.index(self._own.name) if self._own.name in names else 0
        era = self._era.era
        if self._era.settling_is_due(boottime_s(), rank, self._timing.coordinator_stagger_s):
            await self._store.settle_era(era)
            await self.apply([EraSettled(era)])

    async def _run_acknowledgements(self) -> None:
        """Report when the last write at a former primary has ended."""
        while True:
            await self._primary_replaced.wait()
            self._primary_replaced = trio.Event()
            settled = True
            while self._unsettled_revision < math.inf:
                settled = False
                await trio.sleep(WRITES_POLL_INTERVAL_S)
            if not settled:
                self.on_writes_ended()

    async def _run_housekeeping(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            now = boottime_s()
            if not self._rates.configured:
                await self._update_shares()
            for instance_id, since in list(self._instance_unregistered_since.items()):
                if now - since >= self._timing.instance_grace_s:
                    del self._instance_unregistered_since[instance_id]
                    await self._directory.mark_unregistered(instance_id)
            self._report_evacuations(now)
            await self._apply_outdated(now)
            await self._remove_unregistered_vms(now)
            await self._directory.remove_unregistered(INSTANCE_RETENTION_S)
            await self._directory.trim_pools()

    async def _remove_unregistered_vms(self, now: float) -> None:
        """Remove VMs that did not register again within the grace time."""
        for name, since in list(self._vm_unregistered_since.items()):
            if now - since < self._timing.vm_grace_s:
                continue
            del self._vm_unregistered_since[name]
            del self._vms[name]
            self._coordinators = self._vm_list = None
            self._log.decision("vm_gone", peer=name, vms=len(self._vms))
            self._shares_outdated = True
        if self._shares_outdated:
            await self._update_shares()

    async def _wait_before_retry(self) -> None:
        """Wait before a retry; another call that reaches the store ends the wait."""
        await trio.sleep(self._timing.retry_delay_s)
        if not self._confirmed_state.first_configuration.is_set():
            return
        with trio.move_on_after(self._timing.disconnected_retry_s):
            await self._reconnected.wait()

    async def _wait_before_watch(self) -> None:
        """Wait before the next watch; meanwhile fetch announced changes from other VMs."""
        await trio.sleep(self._timing.retry_delay_s)
        if not self._confirmed_state.first_configuration.is_set():
            return
        # Checks, which probe the store more often, need the state that was loaded.
        timing = self._timing
        wait_s = timing.disconnected_retry_s if self._loaded else timing.check_interval_s
        until = trio.current_time() + wait_s
        while trio.current_time() < until and not self._connected:
            await self._fetch_from_announcer()
            with trio.CancelScope(deadline=until) as self._watch_scope:
                await self._reconnected.wait()

    def _record_connected(self) -> None:
        if not self._connected:
            self._connected = True
            self._reconnected.set()
            self._log.decision("store_regained")

    def _record_disconnected(self, call: str, error: KeyValueError) -> None:
        if self._connected:
            self._connected = False
            self._reconnected = trio.Event()
            self._log.failure("store_lost", call=call, error=str(error))
        else:
            self._log.failure("store_call_failed", call=call, error=str(error))


def _is_evacuation(change: Change) -> bool:
    return isinstance(change, DomainEvacuated | DomainReturned)
