"""Change of a group's primary: when, to which instance, and in an order that loses nothing.

One VM, the promoter, orders promotions. It first records in the store that the group's primary is
moving. A VM that sees the record uses the old primary no more; one that cannot see the store stops
by itself when its confirmation gets old. Only then is the new primary ordered, so no VM reads from
or acknowledges writes of a primary that has been replaced.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

import trio

from .confirmed_state import ConfirmedState
from .decision_log import DecisionLog
from .entry_id import EntryId
from .errors import KeyValueError, TanagerfrontError
from .fleet_store import FleetStore, RegisteredVm
from .fleet_sync import FleetSync
from .instance_directory import Group, Instance, InstanceDirectory, PrimaryRecord
from .session_model import GroupOptions, InstanceRegistration, InstanceRole, boottime_s
from .session_peer_messages import Heartbeat
from .session_peers import VmPeers

__all__ = [
    "FailoverController",
    "InstanceControl",
    "InstanceReport",
    "FailoverReason",
    "RecordPropagation",
    "PromotionApi",
    "PromotionOutcome",
    "ReachabilityVotes",
    "decide_failover",
    "build_heartbeat",
    "is_old_primary_unused",
    "most_advanced",
    "vms_behind",
]

# Small against the 300 to 600 ms that a promotion takes.
EVALUATION_S = 0.05
# A primary that cannot be reached for less may only have reset its connections.
UNREACHABLE_S = 0.1
# A group that never had a primary is left alone for this long after its instances registered.
LEADERLESS_S = 2.5
# Added to the time for which a VM may use a primary without confirmation.
CONFIRMATION_MARGIN_S = 0.3
# A control statement may wait for a slot; an instance that is slower is left out.
CONTROL_TIMEOUT_S = 0.5
# Requests at a leaving primary that have begun get this long before it steps down.
SETTLE_S = 0.15
# Replicas receive the last entries of a primary that stepped down within milliseconds.
CATCH_UP_S = 1.0
# Several times what a promotion takes; the next attempt finds out what became of it.
ORDER_TIMEOUT_S = 4.0
# Pause between questions to instances and between attempts.
RETRY_S = 0.05
# Each further VM waits this much longer before it claims the free seat of the promoter.
CLAIM_STAGGER_S = 0.06
# A promotion needs a fresh store: its order must not outlive the lease of the seat.
STORE_CONTACT_S = 2.0


class FailoverReason(enum.Enum):
    """Why a group needs another primary."""

    LEAVING = "leaving"
    GONE = "gone"
    UNREACHABLE = "unreachable"
    LEADERLESS = "leaderless"
    UNFINISHED = "unfinished"


class PromotionOutcome(enum.Enum):
    """What became of an order."""

    ORDERED = "ordered"
    NOT_RUNNING = "not-running"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class InstanceReport(NamedTuple):
    """What an instance says of itself; `received` is the last entry in its log."""

    role: InstanceRole
    term: int
    received: EntryId


class InstanceControl(Protocol):
    """Control statements; each raises ConnectionLostError or DatabaseError."""

    async def report(self, entry: InstanceRegistration) -> InstanceReport:
        """Return an instance's report."""

    async def pause(self, entry: InstanceRegistration, term: int) -> InstanceReport:
        """Have a replica receive nothing from a primary below `term`."""

    async def step_down(self, entry: InstanceRegistration, term: int) -> InstanceReport:
        """Make a primary below `term` a replica."""


class PromotionApi(Protocol):
    """The platform's call for promotions."""

    async def promote(self, group: str, instance: str, holder: str, token: int) -> PromotionOutcome:
        """Order that an instance leads its group."""


class ReachabilityVotes(NamedTuple):
    """What the VMs that were heard lately say of a primary, this one included."""

    unreachable: int
    voters: int


def decide_failover(
    group: Group, votes: ReachabilityVotes, registered_for_s: float, now: float
) -> FailoverReason | None:
    """Return why a group's primary has to move now, or None."""
    record, leader = group.primary_record, group.primary
    if record is not None and record.moving:
        return FailoverReason.UNFINISHED
    if leader is None:
        has_replicas = any(not each.leaving for each in group.instances.values())
        return (
            FailoverReason.LEADERLESS if has_replicas and registered_for_s > LEADERLESS_S else None
        )
    if not any(each is not leader and not each.leaving for each in group.instances.values()):
        return None
    if leader.draining_since is not None:
        return FailoverReason.LEAVING
    if leader.unregistered_since is not None:
        return FailoverReason.GONE
    since = leader.unreachable_since
    if since is None or now - since < UNREACHABLE_S:
        return None
    # The VM itself may be cut off; more than half of the VMs have to agree.
    if votes.voters > 1 and votes.unreachable * 2 <= votes.voters:
        return None
    return FailoverReason.UNREACHABLE


class RecordPropagation(NamedTuple):
    """What the promoter knows of the VMs that may still use a primary that moves."""

    record_revision: int
    # The promoter has taken in all registrations up to this revision.
    registrations_revision: int
    other_vms: Sequence[str]
    # Newest revision that each VM which was heard lately acts on.
    acknowledged: Mapping[str, int]


def vms_behind(view: RecordPropagation) -> list[str]:
    """Return the registered VMs that have not said that they have seen the record."""
    return [
        name for name in view.other_vms if view.acknowledged.get(name, -1) < view.record_revision
    ]


def is_old_primary_unused(view: RecordPropagation) -> bool:
    """Tell whether no VM can be using the primary that moves."""
    # A VM may have registered just before the record was written.
    return view.registrations_revision >= view.record_revision and not vms_behind(view)


def most_advanced(reports: Mapping[str, InstanceReport]) -> str | None:
    """Return the instance whose log has the newest entry."""
    return max(reports, key=lambda name: reports[name].received, default=None)


class FailoverController:
    """Watches the primaries of all groups and moves them when this VM is the promoter."""

    def __init__(
        self,
        store: FleetStore,
        sync: FleetSync,
        confirmed_state: ConfirmedState,
        directory: InstanceDirectory,
        peers: VmPeers,
        control: InstanceControl,
        orders: PromotionApi,
        own: RegisteredVm,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._sync = sync
        self._confirmed_state = confirmed_state
        self._directory = directory
        self._peers = peers
        self._control = control
        self._orders = orders
        self._own = own
        self._log = log
        self._moving: set[str] = set()
        self._first_seen: dict[str, float] = {}
        self._wanted_since: dict[str, float] = {}

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(EVALUATION_S)
                if self._confirmed_state.stopping or not self._fit:
                    continue
                for group in list(self._directory.groups.values()):
                    self._evaluate(group, nursery)

    @property
    def _fit(self) -> bool:
        """Tell whether the store would accept this VM's decisions now."""
        fresh = self._confirmed_state.confirmation_age_s < STORE_CONTACT_S
        return fresh and self._confirmed_state.lease_valid and self._sync.lease is not None

    def _evaluate(self, group: Group, nursery: trio.Nursery) -> None:
        configuration = self._confirmed_state.configuration
        if configuration is None or group.name not in configuration.groups:
            return
        if group.name in self._moving:
            return
        now = boottime_s()
        first_seen = self._first_seen.setdefault(group.name, now)
        reason = decide_failover(group, self._votes(group), now - first_seen, now)
        if reason is None:
            self._wanted_since.pop(group.name, None)
            return
        if not self._is_my_turn(group.name):
            return
        self._moving.add(group.name)
        nursery.start_soon(self._move, group, reason)

    def _votes(self, group: Group) -> ReachabilityVotes:
        leader = group.primary
        if leader is None or leader.unreachable_since is None:
            # Nobody is asked about a primary that this VM reaches.
            return ReachabilityVotes(0, 0)
        name = leader.registration.id
        heartbeats = list(self._peers.recent_heartbeats().values())
        # A peer that has not used the primary lately has no opinion.
        against = sum(name in each.unreachable for each in heartbeats)
        in_favour = sum(name in each.reachable for each in heartbeats)
        return ReachabilityVotes(against + 1, against + in_favour + 1)

    def _is_my_turn(self, group: str) -> bool:
        """Tell whether this VM is the promoter or the next to claim the seat."""
        now = trio.current_time()
        seat = self._sync.promoter_lock
        if seat is not None:
            return seat.vm == self._own.name
        since = self._wanted_since.setdefault(group, now)
        names = self._sync.coordinators
        if self._own.name not in names:
            return False
        return now - since >= names.index(self._own.name) * CLAIM_STAGGER_S

    async def _move(self, group: Group, reason: FailoverReason) -> None:
        self._log.decision("primary_move_begins", group=group.name, reason=reason.value)
        try:
            await self._move_in_steps(group, reason)
        except (KeyValueError, TanagerfrontError) as error:
            self._log.failure("primary_move_failed", group=group.name, error=str(error))
            await trio.sleep(RETRY_S)
        finally:
            self._moving.discard(group.name)

    async def _move_in_steps(self, group: Group, reason: FailoverReason) -> None:
        lease = self._sync.lease
        if lease is None:
            return
        seat = await self._store.acquire_promoter_lock(self._own, lease)
        if seat is None:
            return
        started = boottime_s()
        old = self._old_leader(group)
        record = await self._announce(group, old)
        if record is None:
            return
        written_at = boottime_s()
        fenced_at = await self._fence(group, old, record, reason)
        if fenced_at is None:
            await self._wait_until_unused(record, written_at)
        options = self._options(group.name)
        chosen = await self._choose(group, old, record, fenced_at, options)
        if chosen is None:
            self._log.failure("no_candidate", group=group.name)
            await trio.sleep(RETRY_S)
            return
        outcome = await self._order(group, chosen, seat.token)
        if outcome is not PromotionOutcome.ORDERED:
            return
        await self._await_lead(chosen)
        final = record._replace(instance=chosen.registration.id, moving=False)
        await self._write(final)
        self._log.decision(
            "primary_moved",
            group=group.name,
            reason=reason.value,
            old=old.registration.id if old else None,
            new=chosen.registration.id,
            term=record.term,
            token=seat.token,
            fenced=fenced_at,
            took_ms=round((boottime_s() - started) * 1000),
        )

    def _options(self, group: str) -> GroupOptions:
        configuration = self._confirmed_state.configuration
        assert configuration is not None
        return configuration.groups[group]

    def _old_leader(self, group: Group) -> Instance | None:
        if group.primary_record is not None and group.primary_record.moving:
            return group.instances.get(group.primary_record.instance)
        return group.primary

    async def _announce(self, group: Group, old: Instance | None) -> PrimaryRecord | None:
        """Record that the primary is moving; return the record, None if another VM changed it."""
        current = group.primary_record
        if current is not None and current.moving:
            return current
        terms = [each.reached.term for each in group.instances.values() if each.reached]
        known = max([*terms, current.term if current else 0])
        record = PrimaryRecord(
            group=group.name,
            instance=old.registration.id if old else "",
            term=known + 1,
            moving=True,
            revision=current.revision if current else 0,
        )
        written = await self._write(record)
        if written is None:
            self._sync.request_check()
        return written

    async def _write(self, record: PrimaryRecord) -> PrimaryRecord | None:
        """Write a record and tell the other VMs; return None if another VM changed it."""
        written = await self._store.write_primary_record(record)
        if written is not None:
            self._directory.set_primary_record(written)
            self._peers.broadcast_heartbeat()
        return written

    async def _fence(
        self, group: Group, old: Instance | None, record: PrimaryRecord, reason: FailoverReason
    ) -> EntryId | None:
        """Have the old primary step down; return its last entry, None if it did not answer."""
        if old is None:
            return None
        if reason is FailoverReason.LEAVING:
            await trio.sleep(SETTLE_S)
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                report = await self._control.step_down(old.registration, record.term)
        except (TanagerfrontError, trio.TooSlowError) as error:
            self._log.decision(
                "step_down_unanswered", instance=old.registration.id, error=str(error)
            )
            return None
        return report.received

    async def _wait_until_unused(self, record: PrimaryRecord, written_at: float) -> None:
        """Wait until every VM has seen the record or uses no primary for lack of confirmation."""
        limit = written_at + self._confirmed_state.limits.primary_s + CONFIRMATION_MARGIN_S
        while boottime_s() < limit:
            if is_old_primary_unused(self._view(record)):
                return
            await trio.sleep(RETRY_S / 5)
        behind = vms_behind(self._view(record))
        self._log.decision("waited_for_confirmations", group=record.group, behind=behind)

    def _view(self, record: PrimaryRecord) -> RecordPropagation:
        return RecordPropagation(
            record_revision=record.revision,
            registrations_revision=self._sync.revision,
            other_vms=[each.name for each in self._sync.vms if each.name != self._own.name],
            acknowledged={
                name: each.seen_revision for name, each in self._peers.recent_heartbeats().items()
            },
        )

    async def _choose(
        self,
        group: Group,
        old: Instance | None,
        record: PrimaryRecord,
        fenced_at: EntryId | None,
        options: GroupOptions,
    ) -> Instance | None:
        """Return the replica to promote, None if none is safe now."""
        replicas = [
            each for each in group.instances.values() if each is not old and not each.leaving
        ]
        give_up_at = trio.current_time() + (CATCH_UP_S if fenced_at is not None else 0.0)
        # Without the old primary's last entry, only all replicas together are sure to have every
        # entry that was acknowledged after one replica had received it.
        pause = options.synchronous_replicas > 0 and fenced_at is None
        while True:
            reports = await self._reports(replicas, record.term if pause else None)
            leading = [name for name, each in reports.items() if each.role is InstanceRole.PRIMARY]
            best = leading[0] if leading else most_advanced(reports)
            if best is not None and (
                leading or fenced_at is None or reports[best].received >= fenced_at
            ):
                break
            if trio.current_time() >= give_up_at:
                break
            await trio.sleep(RETRY_S)
        if best is None:
            return None
        behind = fenced_at is not None and reports[best].received < fenced_at
        incomplete = pause and len(reports) < len(replicas)
        if options.synchronous_replicas > 0 and not leading and (behind or incomplete):
            return None
        return group.instances.get(best)

    async def _reports(
        self, replicas: Sequence[Instance], pause_term: int | None
    ) -> dict[str, InstanceReport]:
        reports: dict[str, InstanceReport] = {}

        async def ask(instance: Instance) -> None:
            report = await self._report(instance, pause_term)
            if report is not None:
                reports[instance.registration.id] = report

        async with trio.open_nursery() as nursery:
            for each in replicas:
                nursery.start_soon(ask, each)
        return reports

    async def _report(
        self, instance: Instance, pause_term: int | None = None
    ) -> InstanceReport | None:
        """Ask an instance, perhaps pausing its replication; return None if it does not answer."""
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                if pause_term is None:
                    return await self._control.report(instance.registration)
                return await self._control.pause(instance.registration, pause_term)
        except (TanagerfrontError, trio.TooSlowError) as error:
            self._log.decision("no_report", instance=instance.registration.id, error=str(error))
            return None

    async def _order(self, group: Group, chosen: Instance, token: int) -> PromotionOutcome:
        if (
            not self._fit
            or self._sync.promoter_lock is None
            or self._sync.promoter_lock.token > token
        ):
            return PromotionOutcome.REJECTED
        outcome = await self._orders.promote(
            group.name, chosen.registration.id, self._own.name, token
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

    async def _await_lead(self, chosen: Instance) -> None:
        """Wait until the new primary says that it leads."""
        with trio.move_on_after(ORDER_TIMEOUT_S):
            while chosen.registration.role is not InstanceRole.PRIMARY:
                report = await self._report(chosen)
                if report is not None and report.role is InstanceRole.PRIMARY:
                    return
                await trio.sleep(RETRY_S / 2)


def build_heartbeat(
    own: RegisteredVm,
    directory: InstanceDirectory,
    sync: FleetSync,
    surplus: dict[str, int],
    recent_s: float = 1.0,
) -> Heartbeat:
    """Return what this VM tells its peers."""
    now = boottime_s()
    leaders = [group.primary for group in directory.groups.values()]
    known = [each for each in leaders if each is not None]
    return Heartbeat(
        vm=own.name,
        sent_at=now,
        seen_revision=sync.seen_revision,
        unreachable=[each.registration.id for each in known if each.unreachable_since is not None],
        reachable=[
            each.registration.id
            for each in known
            if each.unreachable_since is None and now - each.answered_at < recent_s
        ],
        surplus=surplus,
    )
