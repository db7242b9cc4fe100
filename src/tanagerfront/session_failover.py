"""Failover of a group's primary in the session interface.

One VM, the promoter, orders promotions. It first records in the store that a failover of the group
is in progress. A VM that sees this record stops using the old primary; a VM that cannot reach the
store stops by itself when its last confirmation is too old. Only then does the promoter order the
promotion, so that no VM reads from a replaced primary or acknowledges a write on it.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

import trio

from .confirmed_state import CONFIRMATION_MARGIN_S, ConfirmedState
from .decision_log import DecisionLog
from .errors import TanagerfrontError
from .evacuation import concurrent_moves
from .fleet_store import FleetStore, PromoterLock, RegisteredVm
from .fleet_sync import FleetSync
from .instance_directory import Group, Instance, InstanceDirectory, PrimaryRecord
from .promotion_choice import (
    Blocked,
    CatchUp,
    InstanceReport,
    LogHolder,
    Promote,
    choose_successor,
    is_promoted,
    most_advanced,
)
from .session_model import GroupOptions, InstanceRegistration, InstanceRole, boottime_s
from .session_peer_messages import Heartbeat
from .session_peers import VmPeers
from .store_era import era_of

__all__ = [
    "FailoverController",
    "FailoverReason",
    "InstanceControl",
    "InstanceReport",
    "PromotionApi",
    "PromotionOutcome",
    "ReachabilityVotes",
    "RecordPropagation",
    "build_heartbeat",
    "decide_failover",
    "is_old_primary_unused",
    "is_postponed",
    "most_advanced",
    "vms_behind",
]

# Short compared with the 300 to 600 ms that a promotion takes.
EVALUATION_INTERVAL_S = 0.05
# Interval at VMs that can't start a failover, which only note when they learned of a group. A VM
# becomes a coordinator no sooner than 3 s after another one was lost.
OBSERVATION_INTERVAL_S = 0.25
# A primary that is unreachable for less time may only have reset its connections.
UNREACHABLE_THRESHOLD_S = 0.1
# A group that never had a primary is left alone for this long after its instances registered.
NO_PRIMARY_GRACE_S = 2.5
# Control statements may wait for a slot; slower instances are ignored in a failover.
CONTROL_TIMEOUT_S = 0.5
# The first attempt may name too low a term; the answer to it tells the primary's term.
STEP_DOWN_ATTEMPTS = 3
# Time for running requests on a leaving primary to end before it steps down.
STEP_DOWN_DELAY_S = 0.15
# A leaving primary serves for 7 s or more. A failover that waits for a silent VM takes 3.3 s more
# than a promotion, and has to end before that.
MAX_POSTPONEMENT_S = 2.0
# Replicas normally receive the last entries of a primary within milliseconds of its step-down.
CATCH_UP_TIMEOUT_S = 1.0
# Limit for the report of an instance that was ordered before; then another one may be chosen.
ORDERED_REPORT_TIMEOUT_S = 1.0
# Several times the duration of a promotion; after it, the next failover attempt checks the result.
PROMOTION_TIMEOUT_S = 4.0
# Interval at which the promoter tests whether a replica has caught up with an evacuated primary.
STEP_CHECK_INTERVAL_S = 0.25
# Delay between polls of instances and between failover attempts.
RETRY_DELAY_S = 0.05
# Each further coordinator waits this much longer before it claims the free promoter lock.
CLAIM_STAGGER_S = 0.06
# A promotion needs a recent confirmation: an order must not outlive the lease of the promoter lock.
MAX_CONFIRMATION_AGE_S = 2.0


class FailoverReason(enum.Enum):
    """Reason for a failover."""

    LEAVING = "leaving"
    GONE = "gone"
    UNREACHABLE = "unreachable"
    LEADERLESS = "leaderless"
    UNFINISHED = "unfinished"
    SUPERSEDED = "superseded"
    EVACUATED = "evacuated"


# The old primary still serves when such a failover begins.
PLANNED_REASONS = frozenset({FailoverReason.LEAVING, FailoverReason.EVACUATED})
DEPARTURE_REASONS = frozenset({FailoverReason.LEAVING, FailoverReason.GONE})


class PromotionOutcome(enum.Enum):
    """Result of a promotion order."""

    ORDERED = "ordered"
    NOT_RUNNING = "not-running"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class InstanceControl(Protocol):
    """Control statements to instances; each raises ConnectionLostError or DatabaseError."""

    async def report(self, registration: InstanceRegistration) -> InstanceReport:
        """Return the replication status of an instance."""

    async def pause(self, registration: InstanceRegistration, term: int) -> InstanceReport:
        """Stop a replica from receiving entries of primaries with a term below `term`."""

    async def step_down(self, registration: InstanceRegistration, term: int) -> InstanceReport:
        """Demote a primary with a term below `term` to replica."""


class PromotionApi(Protocol):
    """Promotion call of the platform."""

    async def promote(
        self, group: str, instance: str, holder: str, token: int, valid_until: float
    ) -> PromotionOutcome:
        """Order the promotion of an instance with the promoter's fencing token.

        The order is answered or withdrawn before `valid_until`, a time of `boottime_s`.
        """


class ReachabilityVotes(NamedTuple):
    """Votes on a primary from this VM and those with a recent heartbeat."""

    unreachable: int
    voters: int


def decide_failover(
    group: Group, votes: ReachabilityVotes, known_for_s: float, now: float
) -> FailoverReason | None:
    """Return the reason for a failover of a group, None if there is none."""
    record, primary = group.primary_record, group.primary
    if record is not None and record.moving:
        return FailoverReason.UNFINISHED
    if group.superseded:
        return FailoverReason.SUPERSEDED
    if primary is None:
        has_replicas = bool(group.successors(None))
        return (
            FailoverReason.LEADERLESS if has_replicas and known_for_s > NO_PRIMARY_GRACE_S else None
        )
    successors = group.successors(primary)
    if not successors:
        return None
    if primary.draining_since is not None:
        return FailoverReason.LEAVING
    if primary.unregistered_since is not None:
        return FailoverReason.GONE
    if _is_unreachable(primary, votes, now):
        return FailoverReason.UNREACHABLE
    if primary.evacuation is not None and any(
        instance.unreachable_since is None for instance in successors
    ):
        return FailoverReason.EVACUATED
    return None


def _is_unreachable(primary: Instance, votes: ReachabilityVotes, now: float) -> bool:
    since = primary.unreachable_since
    if since is None or now - since < UNREACHABLE_THRESHOLD_S:
        return False
    # This VM itself may be cut off, so that a majority of the voters has to agree.
    return votes.voters <= 1 or votes.unreachable * 2 > votes.voters


class RecordPropagation(NamedTuple):
    """What the promoter knows of the spread of a primary record among the VMs."""

    record_revision: int
    # The promoter has applied all registrations up to this revision.
    registrations_revision: int
    other_vms: Sequence[str]
    # Newest revision applied by each VM with a recent heartbeat.
    acknowledged: Mapping[str, int]
    # How long VMs whose registrations a restored store has lost may still be using a primary.
    unknown_vms_for_s: float = 0.0
    # Whether the promoter itself may still pass on successes of the old primary.
    writes_in_progress: bool = False


def vms_behind(propagation: RecordPropagation) -> list[str]:
    """Return the registered VMs that have not acknowledged the record."""
    return [
        name
        for name in propagation.other_vms
        if propagation.acknowledged.get(name, -1) < propagation.record_revision
    ]


def is_old_primary_unused(propagation: RecordPropagation) -> bool:
    """Return whether no VM can still be using the old primary."""
    if propagation.unknown_vms_for_s > 0.0 or propagation.writes_in_progress:
        return False
    # The promoter may not know yet of a VM that registered just before the record was written.
    return propagation.registrations_revision >= propagation.record_revision and not vms_behind(
        propagation
    )


def is_postponed(reason: FailoverReason, due_for_s: float, silent_vms: Sequence[str]) -> bool:
    """Return whether a planned failover waits for silent VMs to return or to lose their leases.

    The leaving primary still serves, while a failover would leave the group without a primary until
    the silent VMs can't be using the old one any more.
    """
    return reason in PLANNED_REASONS and bool(silent_vms) and due_for_s < MAX_POSTPONEMENT_S


class _Fence(NamedTuple):
    """Result of the demotion of the old primary."""

    # Status after the demotion, None if the old primary isn't known to have stepped down.
    report: InstanceReport | None
    # Lowest term in which an instance can have been promoted in this failover.
    leads_from: int


class _Successor(NamedTuple):
    """An instance to promote; as primary of this term or a later one it has been promoted."""

    instance: Instance
    leads_from: int


class FailoverController:
    """Monitors the primaries of all groups and runs failovers while this VM is the promoter."""

    def __init__(
        self,
        store: FleetStore,
        sync: FleetSync,
        confirmed_state: ConfirmedState,
        directory: InstanceDirectory,
        peers: VmPeers,
        control: InstanceControl,
        promotion_api: PromotionApi,
        own: RegisteredVm,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._sync = sync
        self._confirmed_state = confirmed_state
        self._directory = directory
        self._peers = peers
        self._control = control
        self._promotion_api = promotion_api
        self._own = own
        self._log = log
        self._in_progress: set[str] = set()
        # Term of the last failover and instance ordered in it, empty if that is not running.
        self._orders: dict[str, tuple[int, str]] = {}
        self._first_seen: dict[str, float] = {}
        self._due_since: dict[str, float] = {}
        # Groups whose primaries are being moved out of an evacuated failure domain.
        self._evacuating: set[str] = set()
        self._stopped = False
        self._run_scope = trio.CancelScope()
        self._run_ended = trio.Event()
        self._run_ended.set()

    async def run(self) -> None:
        """Run until cancelled or stopped."""
        if self._stopped:
            return
        self._run_ended = trio.Event()
        try:
            with trio.CancelScope() as self._run_scope:
                await self._run()
        finally:
            self._run_ended.set()

    async def stop(self) -> None:
        """End all failovers and withdraw their orders; another VM resumes them.

        An order must not outlive the promoter lock, which ends when this VM releases its lease.
        """
        self._stopped = True
        self._run_scope.cancel()
        await self._run_ended.wait()

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(
                    EVALUATION_INTERVAL_S if self._is_candidate else OBSERVATION_INTERVAL_S
                )
                if self._confirmed_state.stopping or not self._lease_is_current:
                    continue
                for group in list(self._directory.groups.values()):
                    self._evaluate(group, nursery)

    @property
    def _is_candidate(self) -> bool:
        """Return whether this VM is the promoter or may claim the promoter lock."""
        lock = self._sync.promoter_lock
        if lock is not None and lock.vm == self._own.name:
            return True
        return self._own.name in self._sync.coordinators

    @property
    def _lease_is_current(self) -> bool:
        """Return whether the store would accept decisions of this VM now."""
        confirmation_recent = self._confirmed_state.confirmation_age_s < MAX_CONFIRMATION_AGE_S
        return (
            confirmation_recent
            and self._confirmed_state.lease_valid
            and self._sync.lease is not None
        )

    def _evaluate(self, group: Group, nursery: trio.Nursery) -> None:
        configuration = self._confirmed_state.configuration
        if configuration is None or group.name not in configuration.groups:
            self._first_seen.pop(group.name, None)
            self._due_since.pop(group.name, None)
            return
        if group.name in self._in_progress:
            return
        now = boottime_s()
        first_seen = self._first_seen.setdefault(group.name, now)
        reason = decide_failover(group, self._reachability_votes(group), now - first_seen, now)
        if reason is None:
            self._due_since.pop(group.name, None)
            return
        if not self._may_promote(group.name) or self._is_postponed(group, reason, now):
            return
        if reason is FailoverReason.EVACUATED and not self._evacuation_has_room():
            return
        self._in_progress.add(group.name)
        nursery.start_soon(self._run_failover, group, reason)

    @property
    def _unknown_vms_for_s(self) -> float:
        """Return how long VMs that a restored store has lost may still be using a primary."""
        limit_s = self._confirmed_state.limits.primary_s + CONFIRMATION_MARGIN_S
        return max(0.0, limit_s - self._sync.era.for_s(boottime_s()))

    def _is_postponed(self, group: Group, reason: FailoverReason, now: float) -> bool:
        if group.primary is None or reason not in PLANNED_REASONS:
            return False
        evacuation = group.primary.evacuation
        times = [group.primary.draining_since, evacuation.ordered_at if evacuation else None]
        due_since = min(since for since in times if since is not None)
        if self._unknown_vms_for_s > 0.0:
            # The leaving primary serves until the failover can go through without a wait.
            return True
        heard = self._peers.recent_heartbeats()
        silent = [
            vm.name
            for vm in self._sync.vms_with_lease
            if vm.name != self._own.name and vm.name not in heard
        ]
        return is_postponed(reason, now - due_since, silent)

    def _reachability_votes(self, group: Group) -> ReachabilityVotes:
        primary = group.primary
        if primary is None or primary.unreachable_since is None:
            # A primary that this VM reaches needs no votes.
            return ReachabilityVotes(0, 0)
        instance_id = primary.registration.id
        heartbeats = list(self._peers.recent_heartbeats().values())
        # A peer that has not used the primary recently abstains.
        unreachable = sum(instance_id in heartbeat.unreachable for heartbeat in heartbeats)
        reachable = sum(instance_id in heartbeat.reachable for heartbeat in heartbeats)
        return ReachabilityVotes(unreachable + 1, unreachable + reachable + 1)

    def _may_promote(self, group: str) -> bool:
        """Return whether this VM is the promoter or the next to claim the promoter lock."""
        now = trio.current_time()
        lock = self._sync.promoter_lock
        if lock is not None:
            return lock.vm == self._own.name
        since = self._due_since.setdefault(group, now)
        coordinators = self._sync.coordinators
        if self._own.name not in coordinators:
            return False
        return now - since >= coordinators.index(self._own.name) * CLAIM_STAGGER_S

    async def _run_failover(self, group: Group, reason: FailoverReason) -> None:
        self._log.decision("primary_move_begins", group=group.name, reason=reason.value)
        try:
            if reason is FailoverReason.EVACUATED:
                if not await self._may_evacuate(group):
                    return
                self._evacuating.add(group.name)
            elif reason in DEPARTURE_REASONS and not await self._may_hand_over(group):
                return
            await self._run_failover_steps(group, reason)
        except Exception as error:  # a defect must not end the failovers of the other groups
            text = str(error) if isinstance(error, TanagerfrontError) else repr(error)
            self._log.failure("primary_move_failed", group=group.name, error=text)
            await trio.sleep(RETRY_DELAY_S)
        finally:
            self._in_progress.discard(group.name)
            self._evacuating.discard(group.name)

    async def _may_evacuate(self, group: Group) -> bool:
        """Return whether the group's primary may be moved now; wait a moment if not.

        The old primary serves until a replica elsewhere has all its entries.
        """
        primary = group.primary
        if primary is None or primary.evacuation is None:
            return False
        # Other groups may have begun meanwhile.
        return await self._is_successor_in_step(group, primary) and self._evacuation_has_room()

    async def _may_hand_over(self, group: Group) -> bool:
        """Return whether a leaving primary may be replaced now; wait a moment if not.

        A replica that lacks acknowledged entries may not replace it, and can't receive them from it
        once it has stepped down.
        """
        primary = group.primary
        if primary is None or not self._options(group.name).synchronous_replicas:
            return True
        if primary.unreachable_since is not None or await self._request_report(primary) is None:
            return True
        return await self._is_successor_in_step(group, primary)

    async def _is_successor_in_step(self, group: Group, primary: Instance) -> bool:
        if await self._has_successor_in_step(group, primary):
            return True
        self._log.decision("no_replica_in_step", group=group.name)
        await trio.sleep(STEP_CHECK_INTERVAL_S)
        return False

    def _evacuation_has_room(self) -> bool:
        primaries = (group.primary for group in self._directory.groups.values())
        pending = [
            primary.evacuation
            for primary in primaries
            if primary is not None and primary.evacuation is not None
        ]
        return len(self._evacuating) < concurrent_moves(pending, boottime_s())

    async def _has_successor_in_step(self, group: Group, primary: Instance) -> bool:
        """Return whether a replica elsewhere has an entry that the primary had just before."""
        newest = primary.reached
        if primary.evacuation is None or not primary.evacuation.primary_ended(boottime_s()):
            report = await self._request_report(primary)
            newest = report.received if report is not None else newest
            await trio.sleep(STEP_DOWN_DELAY_S)
        reports = await self._collect_reports(group.successors(primary), None)
        best = most_advanced(reports)
        return best is not None and (newest is None or reports[best].received >= newest)

    async def _run_failover_steps(self, group: Group, reason: FailoverReason) -> None:
        lease = self._sync.lease
        if lease is None:
            return
        lock = await self._store.acquire_promoter_lock(self._own, lease)
        if lock is None:
            return
        started = boottime_s()
        old_primary = self._old_primary(group)
        # Another promoter may have begun the failover since the reason was found.
        resumed = group.primary_record is not None and group.primary_record.moving
        record = await self._record_failover(group, old_primary, lock)
        if record is None:
            return
        # The record was written before this VM learned of it, possibly by another promoter.
        written_at = boottime_s() if group.moving_since is None else group.moving_since
        ordered = await self._ordered_instance(group, record) if resumed else ""
        fence = await self._fence_old_primary(old_primary, record, reason, ordered)
        # An old primary that stepped down refuses writes, but answers reads as a replica.
        await self._wait_until_old_primary_unused(record, written_at)
        options = self._options(group.name)
        successor = None
        if resumed:
            successor = await self._ordered_before(group, ordered, fence)
            if successor is None:
                successor = await self._promoted_in_evacuated_domain(group, old_primary, fence)
        if successor is None:
            successor = await self._choose_successor(
                group, old_primary, record, fence, ordered, options
            )
        if successor is None:
            self._log.failure("no_candidate", group=group.name)
            await trio.sleep(RETRY_DELAY_S)
            return
        chosen = successor.instance
        instance_id = chosen.registration.id
        order = None
        if group.primary_record == record:
            order = await self._store.record_order(lock, record, instance_id)
        if order is None:
            # The store has been restored, and VMs may use the primary of an older record again.
            self._log.failure("primary_move_outdated", group=group.name, term=record.term)
            self._sync.request_check()
            await trio.sleep(RETRY_DELAY_S)
            return
        self._orders[group.name] = record.term, instance_id
        term = await self._promote(group, successor, lock.token, record)
        if term is None:
            # The record stays open, and the next attempt finds out which instance was promoted.
            self._log.failure("promotion_not_seen", group=group.name, instance=instance_id)
            return
        chosen.record_answer(None, None)
        # A promoter that has just started may not have known the term of the old primary.
        term = max(fence.leads_from, term)
        final = record._replace(instance=instance_id, term=term, moving=False)
        if await self._write_primary_record(final, lock, order) is None:
            return
        self._log.decision(
            "primary_moved",
            group=group.name,
            reason=reason.value,
            old=old_primary.registration.id if old_primary else None,
            new=instance_id,
            term=final.term,
            token=lock.token,
            fenced=fence.report.received if fence.report is not None else None,
            took_ms=round((boottime_s() - started) * 1000),
        )

    def _options(self, group: str) -> GroupOptions:
        configuration = self._confirmed_state.configuration
        assert configuration is not None
        return configuration.groups[group]

    def _old_primary(self, group: Group) -> Instance | None:
        if group.primary_record is not None and group.primary_record.moving:
            return group.instances.get(group.primary_record.instance)
        return group.primary

    async def _record_failover(
        self, group: Group, old_primary: Instance | None, lock: PromoterLock
    ) -> PrimaryRecord | None:
        """Record the start of a failover; return it, None if the record or the lock has changed."""
        current = group.primary_record
        if current is not None and current.moving:
            return current
        terms = [instance.reached.term for instance in group.instances.values() if instance.reached]
        highest_term = max([*terms, current.term if current else 0])
        record = PrimaryRecord(
            group=group.name,
            instance=old_primary.registration.id if old_primary else "",
            term=highest_term + 1,
            moving=True,
            revision=current.revision if current else 0,
        )
        return await self._write_primary_record(record, lock)

    async def _write_primary_record(
        self, record: PrimaryRecord, lock: PromoterLock, order: int | None = None
    ) -> PrimaryRecord | None:
        """Write and announce a record; return None if record, lock or order has changed."""
        written = await self._store.write_primary_record(record, lock, order)
        if written is None:
            self._log.failure("primary_record_refused", token=lock.token, **record._asdict())
            self._sync.request_check()
            await trio.sleep(RETRY_DELAY_S)
            return None
        self._directory.set_primary_record(written)
        self._peers.broadcast_heartbeat()
        return written

    async def _fence_old_primary(
        self,
        old_primary: Instance | None,
        record: PrimaryRecord,
        reason: FailoverReason,
        ordered: str,
    ) -> _Fence:
        """Demote the old primary, except if it was promoted again in this failover.

        The record's term may be too low, because its writer didn't know the old primary's term.
        """
        leads_from = record.term
        if old_primary is None:
            return _Fence(None, leads_from)
        if reason in PLANNED_REASONS:
            await trio.sleep(STEP_DOWN_DELAY_S)
        instance_id = old_primary.registration.id
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                for _ in range(STEP_DOWN_ATTEMPTS):
                    report = await self._control.step_down(old_primary.registration, leads_from)
                    if report.role is InstanceRole.REPLICA:
                        return _Fence(report, leads_from)
                    self._log.decision(
                        "step_down_refused",
                        instance=instance_id,
                        asked_term=leads_from,
                        role=report.role.value,
                        term=report.term,
                    )
                    if ordered == instance_id and is_promoted(report, record.term):
                        return _Fence(None, leads_from)
                    leads_from = max(leads_from, report.term + 1)
        except (TanagerfrontError, trio.TooSlowError) as error:
            self._log.decision("step_down_unanswered", instance=instance_id, error=str(error))
        return _Fence(None, leads_from)

    async def _wait_until_old_primary_unused(
        self, record: PrimaryRecord, written_at: float
    ) -> None:
        """Wait until every VM has applied the record or has no valid confirmation any more."""
        deadline = written_at + self._confirmed_state.limits.primary_s + CONFIRMATION_MARGIN_S
        while boottime_s() < deadline:
            if is_old_primary_unused(self._record_propagation(record)):
                return
            await trio.sleep(RETRY_DELAY_S / 5)
        behind = vms_behind(self._record_propagation(record))
        self._log.decision("waited_for_confirmations", group=record.group, behind=behind)

    def _record_propagation(self, record: PrimaryRecord) -> RecordPropagation:
        return RecordPropagation(
            record_revision=record.revision,
            registrations_revision=self._sync.revision,
            other_vms=[vm.name for vm in self._sync.vms_with_lease if vm.name != self._own.name],
            acknowledged={
                vm: heartbeat.acknowledged
                for vm, heartbeat in self._peers.recent_heartbeats().items()
            },
            unknown_vms_for_s=self._unknown_vms_for_s,
            writes_in_progress=self._sync.acknowledged_revision < record.revision,
        )

    async def _choose_successor(
        self,
        group: Group,
        old_primary: Instance | None,
        record: PrimaryRecord,
        fence: _Fence,
        ordered: str,
        options: GroupOptions,
    ) -> _Successor | None:
        """Return the instance to promote, None if none is safe to promote now."""
        synchronous = options.synchronous_replicas > 0
        fenced, leads_from = fence
        last_entry = fenced.received if fenced is not None else None
        deadline = trio.current_time() + CATCH_UP_TIMEOUT_S
        # Without the old primary's last entry, no replica may receive entries after its report.
        pause_term = leads_from if synchronous and last_entry is None else None
        # Replicas may already follow the instance of an order.
        was_ordered = bool(ordered) or self._orders.get(group.name, (0, ""))[0] == record.term
        while True:
            instances = (
                group.log_holders(old_primary) if synchronous else group.successors(old_primary)
            )
            reports = await self._collect_reports(instances, pause_term)
            newest_term = max((report.term for report in reports.values()), default=0)
            if pause_term == leads_from and newest_term >= leads_from and not was_ordered:
                # They follow a primary whose term was not known, and still receive.
                pause_term = newest_term + 1
                continue
            holders = [
                LogHolder(
                    instance.registration.id,
                    reports.get(instance.registration.id),
                    instance.may_stay,
                    instance.overtaken_at,
                )
                for instance in instances
            ]
            if synchronous and old_primary is not None and fenced is not None:
                # It can be primary again if no replica has all of its entries.
                holders.append(LogHolder(old_primary.registration.id, fenced, stays=False))
            match choose_successor(holders, last_entry, leads_from, synchronous=synchronous):
                case Promote(name):
                    return _successor(group, name, holders, leads_from)
                case CatchUp(fallback):
                    if trio.current_time() >= deadline:
                        return _successor(group, fallback, holders, leads_from)
                case Blocked(silent):
                    self._log.decision("acknowledged_entries_unknown", silent=list(silent))
                    return None
            await trio.sleep(RETRY_DELAY_S)

    async def _ordered_instance(self, group: Group, record: PrimaryRecord) -> str:
        """Return the instance that was ordered in this failover, empty without one."""
        term, instance_id = self._orders.get(group.name, (0, ""))
        if term == record.term:
            return instance_id
        # Another promoter may have given the order.
        return await self._store.ordered_instance(record) or ""

    async def _ordered_before(self, group: Group, ordered: str, fence: _Fence) -> _Successor | None:
        """Return the instance that this failover has ordered already, None if it doesn't answer.

        An order that was given up may still be done. One for another instance would then give the
        group two primaries, one after the other.
        """
        instance = group.instances.get(ordered)
        if instance is None:
            return None
        deadline = trio.current_time() + ORDERED_REPORT_TIMEOUT_S
        # It may be busy.
        while (report := await self._request_report(instance)) is None:
            if trio.current_time() >= deadline:
                return None
            await trio.sleep(RETRY_DELAY_S)
        return _Successor(instance, fence.leads_from if report.role is InstanceRole.PRIMARY else 0)

    async def _promoted_in_evacuated_domain(
        self, group: Group, old_primary: Instance | None, fence: _Fence
    ) -> _Successor | None:
        """Return an instance that an earlier promoter promoted before its domain was evacuated.

        A second promotion in the same failover would give the group two primaries.
        """
        evacuated = [
            instance
            for instance in group.instances.values()
            if instance is not old_primary and instance.evacuation is not None
        ]
        reports = await self._collect_reports(evacuated, None)
        for name, report in reports.items():
            if is_promoted(report, fence.leads_from):
                return _Successor(group.instances[name], fence.leads_from)
        return None

    async def _collect_reports(
        self, replicas: Sequence[Instance], pause_term: int | None
    ) -> dict[str, InstanceReport]:
        reports: dict[str, InstanceReport] = {}

        async def collect_report(instance: Instance) -> None:
            report = await self._request_report(instance, pause_term)
            if report is not None:
                reports[instance.registration.id] = report

        async with trio.open_nursery() as nursery:
            for replica in replicas:
                nursery.start_soon(collect_report, replica)
        return reports

    async def _request_report(
        self, instance: Instance, pause_term: int | None = None
    ) -> InstanceReport | None:
        """Return an instance's report, None if it does not answer; with a term, pause it first."""
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                if pause_term is None:
                    return await self._control.report(instance.registration)
                return await self._control.pause(instance.registration, pause_term)
        except (TanagerfrontError, trio.TooSlowError) as error:
            self._log.decision("no_report", instance=instance.registration.id, error=str(error))
            return None

    async def _promote(
        self, group: Group, successor: _Successor, token: int, record: PrimaryRecord
    ) -> int | None:
        """Order a promotion; return the term of the new primary, 0 if not known, None without one.

        The instance may lead before the platform has replied to the order.
        """
        term: int | None = None
        async with trio.open_nursery() as nursery:

            async def order() -> None:
                outcome = await self._order_promotion(group, successor.instance, token)
                if outcome is PromotionOutcome.NOT_RUNNING:
                    self._orders[group.name] = record.term, ""
                if outcome is not PromotionOutcome.ORDERED:
                    nursery.cancel_scope.cancel()

            nursery.start_soon(order)
            term = await self._wait_until_promoted(successor)
            nursery.cancel_scope.cancel()
        return term

    async def _order_promotion(
        self, group: Group, chosen: Instance, token: int
    ) -> PromotionOutcome:
        if (
            not self._lease_is_current
            or self._sync.promoter_lock is None
            or self._sync.promoter_lock.token > token
            or era_of(token) != self._sync.era.era
        ):
            return PromotionOutcome.REJECTED
        outcome = await self._promotion_api.promote(
            group.name,
            chosen.registration.id,
            self._own.name,
            token,
            self._confirmed_state.lease_valid_until,
        )
        self._log.decision(
            "promotion_ordered",
            group=group.name,
            instance=chosen.registration.id,
            token=token,
            outcome=outcome.value,
        )
        if outcome is PromotionOutcome.NOT_RUNNING:
            chosen.record_failure()
        return outcome

    async def _wait_until_promoted(self, successor: _Successor) -> int | None:
        """Wait until the instance is primary; return its term, 0 if not known, None if it isn't."""
        chosen = successor.instance
        # A registered role names no term and may be old. It counts only if it has changed, for an
        # instance that reported as replica before and is silent now.
        registered_before = chosen.registration.role is InstanceRole.PRIMARY
        may_be_registered = not registered_before and successor.leads_from == 0
        with trio.move_on_after(PROMOTION_TIMEOUT_S):
            while True:
                report = await self._request_report(chosen)
                if report is not None and is_promoted(report, successor.leads_from):
                    return report.term
                registered = chosen.registration.role is InstanceRole.PRIMARY
                if report is None and may_be_registered and registered:
                    return 0
                await trio.sleep(RETRY_DELAY_S / 2)
        return None


def _successor(
    group: Group, name: str | None, holders: Sequence[LogHolder], leads_from: int
) -> _Successor | None:
    """Return an instance of the group by its name, None without one."""
    instance = group.instances.get(name) if name is not None else None
    if instance is None:
        return None
    reports = [holder.report for holder in holders if holder.id == name]
    claims_role = any(report and report.role is InstanceRole.PRIMARY for report in reports)
    return _Successor(instance, leads_from if claims_role else 0)


def build_heartbeat(
    own: RegisteredVm,
    directory: InstanceDirectory,
    sync: FleetSync,
    surplus: dict[str, int],
    recent_s: float = 1.0,
) -> Heartbeat:
    """Return the heartbeat of this VM for its peers."""
    now = boottime_s()
    primaries = [group.primary for group in directory.groups.values()]
    known = [primary for primary in primaries if primary is not None]
    return Heartbeat(
        vm=own.name,
        sent_at=now,
        seen_revision=sync.seen_revision,
        unreachable=[
            primary.registration.id for primary in known if primary.unreachable_since is not None
        ],
        reachable=[
            primary.registration.id
            for primary in known
            if primary.unreachable_since is None and now - primary.answered_at < recent_s
        ],
        surplus=surplus,
        acknowledged_revision=sync.acknowledged_revision,
    )
