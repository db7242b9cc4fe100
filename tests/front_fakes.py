"""Fakes for tests of the session interface: instances, the fleet store, the decision log."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Sequence
from typing import Any

import trio

from tanagerfront.decision_log import DecisionLog
from tanagerfront.entry_id import EntryId
from tanagerfront.errors import (
    ConnectionLostError,
    HistoryLostError,
    KeyValueTimeoutError,
    KeyValueUnavailableError,
    TanagerfrontError,
    TooManyConnectionsError,
)
from tanagerfront.fleet_store import (
    Change,
    CheckResult,
    ConfigurationChanged,
    DomainEvacuated,
    DomainReturned,
    FleetState,
    InstanceChanged,
    KnownRevisions,
    LargeValues,
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
from tanagerfront.http_client import Address
from tanagerfront.instance_directory import PrimaryRecord
from tanagerfront.instance_pool import InstanceStatement
from tanagerfront.session_model import (
    Begin,
    Failure,
    FailureCode,
    FrontConfiguration,
    GroupOptions,
    InstanceRegistration,
    InstanceRole,
    Organisation,
    Reply,
    Rollback,
    Route,
    RouteKind,
    TransactionState,
    Verbatim,
)
from tanagerfront.store_era import FIRST_ERA

GROUP = "orders"


def registration(
    instance_id: str,
    *,
    primary: bool = False,
    draining: bool = False,
    failure_domain: str = "suame",
    group: str = GROUP,
    born_ms: int = 1,
    revision: int = 1,
    port: int = 9,
) -> InstanceRegistration:
    return InstanceRegistration(
        id=instance_id,
        group=group,
        address=Address("127.0.0.1", port),
        failure_domain=failure_domain,
        slots=2,
        draining=draining,
        role=InstanceRole.PRIMARY if primary else InstanceRole.REPLICA,
        born_ms=born_ms,
        revision=revision,
    )


def route(kind: RouteKind, *, anonymous: bool = False, staleness_s: float | None = 1.5) -> Route:
    return Route(
        name=f"r-{kind.value}",
        database=kind.value,
        group=GROUP,
        kind=kind,
        statement_timeout_s=1.0,
        latency_objective_s=0.2,
        priority=1,
        max_staleness_s=None if kind is RouteKind.PRIMARY else staleness_s,
        anonymous=anonymous,
    )


def configuration(version: int = 1, **changes: Any) -> FrontConfiguration:
    defaults = FrontConfiguration(
        version=version,
        revision=version,
        routes={kind.value: route(kind) for kind in RouteKind},
        groups={GROUP: GroupOptions(GROUP, 16, 0)},
        organisations={"foremen": Organisation("foremen", 50.0, 50.0)},
        organisation_of_key={"secret": "foremen"},
        transaction_idle_s=3.0,
    )
    return defaults._replace(**changes)


def vm(name: str, failure_domain: str = "suame") -> RegisteredVm:
    return RegisteredVm(name, "127.0.0.1", 1, failure_domain, f"inc-{name}")


class RecordingLog(DecisionLog):
    """Records the logged events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def decision(self, event: str, **inputs: Any) -> None:
        self.events.append((event, inputs))

    failure = decision

    def inputs_of(self, event: str) -> list[dict[str, Any]]:
        return [inputs for name, inputs in self.events if name == event]


Answer = Callable[["FakeInstance", InstanceStatement], Reply | None]


class FakeConnection:
    """A connection to a fake instance."""

    def __init__(self, instance: FakeInstance, organisation: str) -> None:
        self._instance = instance
        self.organisation = organisation
        self.usable = True
        self.loses_connection = False
        self.closed = False
        self.closed_by_instance = False
        self.state = TransactionState.IDLE

    @property
    def alive(self) -> bool:
        return self.usable and not self.closed_by_instance

    async def run(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        self.usable = False
        replies = [await self._run_statement(statement) for statement in statements]
        self.usable = True
        return replies

    async def _run_statement(self, statement: InstanceStatement) -> Reply:
        self._instance.received.append((self, statement))
        await trio.sleep(self._instance.work_s)
        if self.loses_connection or self._instance.loses_connection:
            raise ConnectionLostError("broke")
        reply = self._instance.answer(self._instance, statement)
        if reply is None:
            await trio.sleep_forever()
        assert reply is not None
        if reply.failure is None:
            match statement.statement:
                case Begin():
                    self.state = TransactionState.OPEN
                case Rollback() | Verbatim("COMMIT") | Verbatim("ROLLBACK"):
                    self.state = TransactionState.IDLE
        return reply._replace(state=self.state)

    async def close(self) -> None:
        self.usable = False
        await trio.sleep(self._instance.close_s)
        if not self.closed:
            self.closed = True
            self._instance.open_now -= 1


def _reply_to_all(instance: FakeInstance, statement: InstanceStatement) -> Reply:
    after = statement.after
    if after is not None and instance.position < after:
        return Reply(failure=Failure(FailureCode.LAGGING, instance.id), reached=instance.position)
    match statement.statement:
        case Verbatim(text) if text.startswith("WRITE") or text == "COMMIT":
            if not instance.is_primary:
                failure = Failure(FailureCode.READ_ONLY, instance.id)
                return Reply(failure=failure, reached=instance.position)
            instance.position = EntryId(instance.position.term, instance.position.position + 1)
    return Reply(rows=(b"row",), signature=b"signed", reached=instance.position)


class FakeInstance:
    """Counts connections and records statements; `answer` returns the reply, or None for none."""

    def __init__(self, instance_id: str = "i-1", *, is_primary: bool = True) -> None:
        self.id = instance_id
        self.is_primary = is_primary
        self.position = EntryId(1, 10)
        self.answer: Answer = _reply_to_all
        self.work_s = 0.005
        self.open_s = 0.012
        self.close_s = 0.0
        self.open_now = 0
        self.most_open = 0
        self.opened = 0
        self.at_connection_limit = False
        self.loses_connection = False
        self.open_error: TanagerfrontError | None = None
        self.connections: list[FakeConnection] = []
        self.received: list[tuple[FakeConnection, InstanceStatement]] = []

    @property
    def caller_statements(self) -> list[str]:
        """Return the texts of the callers' statements in the order received."""
        statements = (received.statement for _, received in self.received)
        return [statement.text for statement in statements if isinstance(statement, Verbatim)]

    async def open(self, registration: InstanceRegistration, organisation: str) -> FakeConnection:
        if self.at_connection_limit:
            raise TooManyConnectionsError(self.id, executed="no")
        if self.open_error is not None:
            raise self.open_error
        self.open_now += 1
        self.opened += 1
        self.most_open = max(self.most_open, self.open_now)
        try:
            await trio.sleep(self.open_s)
        except trio.Cancelled:
            self.open_now -= 1
            raise
        connection = FakeConnection(self, organisation)
        self.connections.append(connection)
        return connection


class FakeFleetStore:
    """The fleet store in memory, with outages and lost replies."""

    def __init__(self) -> None:
        self.revision = 1
        self.configuration: FrontConfiguration | None = None
        self.primary_records: dict[str, PrimaryRecord] = {}
        self.orders: dict[str, tuple[int, str]] = {}
        self.order_revisions: dict[str, int] = {}
        self.registrations: dict[str, InstanceRegistration] = {}
        self.vms: dict[str, RegisteredVm] = {}
        self.evacuations: dict[str, DomainEvacuated] = {}
        self.promoter_lock: PromoterLock | None = None
        self.down = False
        self.lose_answers = 0
        self.forwarding_down = False
        self.configurations_are_large = False
        self.large_values_delay_s = 0.0
        self.peers_without_large_values: set[str] = set()
        self.receives_large_changes = False
        self._peer_revision: float = math.inf
        # VMs of builds that refuse large changes unless asked for them uncompressed.
        self.old_builds: set[str] = set()
        self.peer_reads: list[tuple[str, LargeValues]] = []
        self.call_names: list[str] = []
        self._leases = itertools.count(100)
        self._changes: list[tuple[int, Change]] = []
        self._changed = trio.Event()

    def record(self, change: Change) -> int:
        """Apply a change and wake the watches; return its revision."""
        self.revision += 1
        match change:
            case ConfigurationChanged(newer):
                self.configuration = newer._replace(revision=self.revision)
                change = ConfigurationChanged(self.configuration)
            case InstanceChanged(registration):
                self.registrations[registration.id] = registration
            case PrimaryRecordChanged(record):
                record = record._replace(revision=self.revision)
                self.primary_records[record.group] = record
                change = PrimaryRecordChanged(record)
            case VmChanged(registered):
                self.vms[registered.name] = registered
            case VmUnregistered(name):
                self.vms.pop(name, None)
            case PromoterLockAcquired(lock):
                self.promoter_lock = lock._replace(token=self.revision)
                change = PromoterLockAcquired(self.promoter_lock)
            case PromoterLockReleased():
                self.promoter_lock = None
            case DomainEvacuated(domain, _, readable):
                change = DomainEvacuated(domain, self.revision, readable)
                self.evacuations[domain] = change
            case DomainReturned(domain, _):
                change = DomainReturned(domain, self.revision)
                self.evacuations.pop(domain, None)
        self._changes.append((self.revision, change))
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        return self.revision

    def set_peer_revision(self, revision: int) -> None:
        """Let changes after a revision not reach the peer VMs for now."""
        self._peer_revision = revision
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    @property
    def calls(self) -> dict[str, int]:
        return {name: self.call_names.count(name) for name in set(self.call_names)}

    def _call(self, name: str) -> None:
        self.call_names.append(name)
        if self.down:
            raise KeyValueUnavailableError("down")

    def _lose_reply_if_due(self) -> None:
        if self.lose_answers:
            self.lose_answers -= 1
            raise KeyValueTimeoutError("no answer")

    @property
    def era(self) -> int:
        return FIRST_ERA

    @property
    def names_eras(self) -> bool:
        return False

    def on_restored(self, callback: Callable[[int], None]) -> None:
        pass

    async def record_order(
        self, lock: PromoterLock, record: PrimaryRecord, instance: str
    ) -> int | None:
        self._call("record_order")
        if self.promoter_lock != lock or self.primary_records.get(record.group) != record:
            return None
        self.orders[record.group] = record.term, instance
        self.revision += 1
        self.order_revisions[record.group] = self.revision
        return self.revision

    async def ordered_instance(self, record: PrimaryRecord) -> str | None:
        self._call("ordered_instance")
        term, instance = self.orders.get(record.group, (0, ""))
        return instance if term == record.term else None

    async def settle_era(self, era: int) -> None:
        self._call("settle_era")

    async def load(self) -> FleetState:
        self._call("load")
        changes: list[Change] = list(self.evacuations.values())
        changes += [VmChanged(registered) for registered in self.vms.values()]
        changes += [InstanceChanged(registration) for registration in self.registrations.values()]
        changes += [PrimaryRecordChanged(record) for record in self.primary_records.values()]
        if self.promoter_lock:
            changes.append(PromoterLockAcquired(self.promoter_lock))
        if self.configuration:
            changes.append(ConfigurationChanged(self.configuration))
        return FleetState(
            changes,
            frozenset(self.registrations),
            frozenset(self.vms),
            frozenset(self.primary_records),
            self.promoter_lock is not None,
            self.configuration is not None,
            self.revision,
            frozenset(self.evacuations),
        )

    async def watch(self, after: int, wait_s: float) -> tuple[Sequence[Change], int]:
        self._call("watch")
        with trio.move_on_after(wait_s):
            while self.revision <= after:
                await self._changed.wait()
        self._call("watch")
        return [change for at, change in self._changes if at > after], self.revision

    async def fetch_from_peer(self, vm: RegisteredVm, read: PeerRead) -> PeerChanges:
        self.call_names.append("fetch_from_peer")
        self.peer_reads.append((vm.name, read.large))
        if self.forwarding_down:
            raise KeyValueUnavailableError("no answer")
        if vm.name in self.old_builds and read.large is not LargeValues.PLAIN:
            raise HistoryLostError("large changes")
        if read.large is not LargeValues.WITHHELD:
            await trio.sleep(self.large_values_delay_s)
            if vm.name in self.peers_without_large_values:
                raise HistoryLostError("not received yet")
        with trio.move_on_after(read.wait_s):
            while self._peer_revision < read.until:
                await self._changed.wait()
        revision = int(min(self.revision, self._peer_revision))
        changes = [change for at, change in self._changes if read.after < at <= revision]
        small = [change for change in changes if not isinstance(change, ConfigurationChanged)]
        if read.large is LargeValues.WITHHELD and self.configurations_are_large:
            return PeerChanges(small, revision, withheld=len(small) < len(changes))
        return PeerChanges(changes, revision)

    async def check(self, known: KnownRevisions) -> CheckResult:
        self._call("check")
        changes: list[Change] = []
        differing: dict[str, tuple[int, int]] = {}
        if self.configuration and self.configuration.revision != known.configuration:
            changes.append(ConfigurationChanged(self.configuration))
            differing["op/config"] = (known.configuration, self.configuration.revision)
        for group, revision in known.primary_records.items():
            record = self.primary_records.get(group)
            if record is not None and record.revision != revision:
                changes.append(PrimaryRecordChanged(record))
                differing[group] = (revision, record.revision)
        for domain, revision in known.evacuations.items():
            order = self.evacuations.get(domain)
            stored = 0 if order is None else order.revision
            if stored != revision:
                changes.append(DomainReturned(domain, revision) if order is None else order)
                differing[f"evacuation/{domain}"] = (revision, stored)
        return CheckResult(differing, changes)

    async def register(self, vm: RegisteredVm, ttl_s: float) -> int:
        self._call("register")
        self.record(VmChanged(vm))
        return next(self._leases)

    async def renew(self, lease: int) -> bool:
        self._call("renew")
        return True

    async def release(self, lease: int) -> None:
        self._call("release")

    async def acquire_promoter_lock(self, vm: RegisteredVm, lease: int) -> PromoterLock | None:
        self._call("acquire_promoter_lock")
        if self.promoter_lock is None:
            self.record(PromoterLockAcquired(PromoterLock(vm.name, vm.incarnation, 0)))
        assert self.promoter_lock is not None
        return self.promoter_lock if self.promoter_lock.vm == vm.name else None

    async def write_primary_record(
        self,
        record: PrimaryRecord,
        lock: PromoterLock | None = None,
        order: int | None = None,
    ) -> PrimaryRecord | None:
        self._call("write_primary_record")
        if order is not None and self.order_revisions[record.group] != order:
            return None
        current = self.primary_records.get(record.group)
        if (current.revision if current else 0) != record.revision:
            return None
        if lock is not None and self.promoter_lock != lock:
            return None
        self.record(PrimaryRecordChanged(record))
        self._lose_reply_if_due()
        return self.primary_records[record.group]
