"""Groups, their instances and primaries, as known to this VM of the session interface."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

import trio

from .cold_rate import ColdLimit, ColdRate, cold_share
from .entry_id import EntryId
from .evacuation import Evacuation
from .instance_load import KnownLoad
from .instance_pool import InstancePool, Opener, PoolLimits
from .placement import Candidate, LoadEstimate
from .position_samples import PositionSamples
from .primary_writes import ANSWER_LIMIT_S, PrimaryWrites
from .session_model import GroupOptions, InstanceRegistration, InstanceRole, Reply, boottime_s
from .slot_admission import ArrivalOrder, SlotOrder, UrgencyOrder

__all__ = [
    "HOMES_PER_INSTANCE",
    "MIN_VMS_FOR_RELAY",
    "Group",
    "Instance",
    "InstanceDirectory",
    "PrimaryRecord",
    "connection_budget",
]

# Connections of an instance that no VM may use: they are left for control statements and for
# closed connections that the instance still counts for a moment.
SPARE_CONNECTIONS = 2
# Relayed sessions of one VM at an instance's home; they need no connection of their own.
RELAY_POOL_LIMITS = PoolLimits(8, 8, relayed=True)
# With an order by urgency, statements that can wait do so at the home. The sessions that they hold
# meanwhile must leave some to urgent statements.
RELAYED_WAITING = 24
# Response time that is assumed before the first measurement.
INITIAL_RESPONSE_S = 0.02
# Smaller fleets share the connections without a relay, which saves a hop; see `relay`.
MIN_VMS_FOR_RELAY = 16
HOMES_PER_INSTANCE = 2
# Parts of an instance's connections by rank of the home: the first home serves all VMs, and the
# second one needs connections for the case that the first fails.
HOME_CONNECTION_SHARES = (0.66, 0.33)
# Weight of the latest response time in the moving average.
RESPONSE_SMOOTHING = 0.1


def connection_budget(connections: int, vms: int) -> PoolLimits:
    """Return one VM's share of the connections that an instance accepts from all VMs.

    Idle connections are limited to half of the instance's connections: an instance counts the
    connections of VMs that lost power for three more seconds, and the restarted VMs need
    connections in addition.
    """
    open_limit = max(1, (connections - SPARE_CONNECTIONS) // max(1, vms))
    return PoolLimits(open_limit, min(open_limit, connections // 2 // max(1, vms)))


class PrimaryRecord(NamedTuple):
    """A group's primary as recorded in the store; during a failover (`moving`) it has none."""

    group: str
    instance: str
    term: int
    moving: bool
    revision: int

    @property
    def progress(self) -> tuple[int, bool]:
        """Return a value that grows with each record of the group, also if the store goes back."""
        return self.term, not self.moving


class Instance:
    """An instance with its connection pool and its recent availability."""

    def __init__(self, registration: InstanceRegistration, pool: InstancePool) -> None:
        self.registration = registration
        self.pool = pool
        self.reached: EntryId | None = None
        self.response_s = INITIAL_RESPONSE_S
        self.known_load = KnownLoad()
        # Whether this VM is the home that the others prefer, and so measures the load itself.
        self.is_first_home = False
        self.lagging_since = float("-inf")
        self.unreachable_since: float | None = None
        self.unregistered_since: float | None = None
        self.draining_since: float | None = None
        # A position of the primary after this instance had left, None if none is known: a log that
        # has reached it has all entries of this instance.
        self.overtaken_at: EntryId | None = None
        self.answered_at = boottime_s()
        # The order by which the instance's failure domain is out of service, None without one.
        self.evacuation: Evacuation | None = None
        self.cold_until = float("-inf")

    @property
    def leaving(self) -> bool:
        """Return whether new work on the instance has to end soon."""
        return self.unregistered_since is not None or self.draining_since is not None

    @property
    def may_stay(self) -> bool:
        """Return whether the instance may be primary for longer than until it is replaced."""
        return not self.leaving and self.evacuation is None

    @property
    def leaving_since(self) -> float | None:
        """Return when the instance started to leave, None if it is not leaving."""
        times = [
            since for since in (self.unregistered_since, self.draining_since) if since is not None
        ]
        return min(times, default=None)

    def record_answer(self, reached: EntryId | None, response_s: float | None) -> bool:
        """Record an answer with its position and its response time in seconds, None if unknown.

        Return whether the instance was unreachable before.
        """
        self.answered_at = boottime_s()
        regained, self.unreachable_since = self.unreachable_since is not None, None
        if reached is not None:
            self.reached = reached
        if response_s is not None:
            self.response_s += RESPONSE_SMOOTHING * (response_s - self.response_s)
        return regained

    def load_estimate(self, now: float) -> LoadEstimate:
        """Return the load as known to this VM; `now` is in seconds of `boottime_s()`."""
        estimate = self.known_load.estimate(self.registration.slots, now)
        own = self.pool.load if self.is_first_home else None
        if own is None:
            return estimate
        return estimate._replace(
            statements=float(own.running + own.waiting), trust=1.0, age_s=0.0, sent_since=0
        )

    def record_reply(self, reply: Reply, response_s: float | None) -> bool:
        """Record a reply, except a refusal by a home, which knows no position.

        Return whether the instance was unreachable before.
        """
        if reply.failure is None or reply.reached is not None:
            return self.record_answer(reply.reached, response_s)
        return False

    def record_failure(self) -> bool:
        """Record a failed connection; return whether this made the instance unreachable."""
        if self.unreachable_since is None:
            self.unreachable_since = boottime_s()
            return True
        return False


class Group:
    """A group of instances with one primary."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.instances: dict[str, Instance] = {}
        self.samples = PositionSamples()
        self.writes = PrimaryWrites()
        self.primary_record: PrimaryRecord | None = None
        # When this VM learned that the primary is moving, None while it is not.
        self.moving_since: float | None = None
        self.changed = trio.Event()

    def notify(self) -> None:
        """Wake the requests that wait for a usable primary."""
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    @property
    def primary(self) -> Instance | None:
        """Return the primary recorded in the store, else the newest registered as primary."""
        if self.primary_record is not None:
            return (
                None
                if self.primary_record.moving
                else self.instances.get(self.primary_record.instance)
            )
        claimants = [
            instance
            for instance in self.instances.values()
            if instance.registration.role is InstanceRole.PRIMARY
        ]
        return max(claimants, key=lambda instance: instance.registration.revision, default=None)

    def successors(self, primary: Instance | None) -> Sequence[Instance]:
        """Return the instances that may become primary in place of the given one."""
        return [
            instance
            for instance in self.instances.values()
            if instance is not primary and instance.may_stay
        ]

    def log_holders(self, primary: Instance | None) -> Sequence[Instance]:
        """Return the instances, except the given one, whose logs may have acknowledged entries.

        An instance that leaves receives entries to its end. Its log then passes to the instance
        that registers at its address.
        """
        occupied = {
            instance.registration.address
            for instance in self.instances.values()
            if instance.unregistered_since is None
        }
        return [
            instance
            for instance in self.instances.values()
            if instance is not primary
            and (
                instance.unregistered_since is None or instance.registration.address not in occupied
            )
        ]

    def _limit_writes(self, known: PrimaryRecord | None, record: PrimaryRecord) -> None:
        """Limit how long the successes of writes in progress are valid under a new record."""
        if known is not None and record.progress == known.progress:
            # The record was written again after the store had lost it.
            return
        old_primary = self.instances.get(record.instance) if record.moving else None
        answers = old_primary is not None and old_primary.unreachable_since is None
        self.writes.limit(boottime_s() + (ANSWER_LIMIT_S if answers else 0.0))

    def set_primary_record(self, record: PrimaryRecord) -> None:
        """Set a newer primary record."""
        self._limit_writes(self.primary_record, record)
        self.primary_record = record

    def record_overtaken(self) -> None:
        """Note, for the instances that have left, a position that the primary reached since."""
        for instance in self.instances.values():
            since = instance.unregistered_since
            if since is not None and instance.overtaken_at is None:
                instance.overtaken_at = self.samples.oldest_since(since)

    def refuses_work(self, instance: Instance, now: float) -> bool:
        """Return whether the instance gets no new statements because of an evacuation.

        A primary serves until another one has been promoted or the time for that has passed.
        """
        if instance.evacuation is None:
            return False
        if self.primary_record is not None:
            is_primary = self.primary_record.instance == instance.registration.id
        else:
            is_primary = self.primary is instance
        return not is_primary or instance.evacuation.primary_ended(now)

    @property
    def superseded(self) -> bool:
        """Return whether another primary has followed the recorded one, unknown to the store.

        A restored store may hold the record of an earlier primary, which no VM knows better.
        """
        record = self.primary_record
        if record is None or record.moving:
            return False
        terms = (instance.reached.term for instance in self.instances.values() if instance.reached)
        return any(term > record.term for term in terms)


class InstanceDirectory:
    """Registered groups and instances; the state of instances is kept across re-registrations."""

    def __init__(
        self, opener: Opener, failure_domain: str, slot_order: SlotOrder | None = None
    ) -> None:
        self._slot_order = slot_order or ArrivalOrder()
        self._opener = opener
        self._failure_domain = failure_domain
        self._groups: dict[str, Group] = {}
        self._unrecorded: dict[str, float] = {}
        self._evacuations: Mapping[str, Evacuation] = {}
        self._group_options: Mapping[str, GroupOptions] = {}
        # Factor and number of statements by which a cold instance may exceed its rate; None where
        # the deployment does not limit it.
        self.cold_allowance: tuple[float, float] | None = None
        self._vms = 1
        self._connections: Mapping[str, int] = {}
        self.on_change: Callable[[str, Instance], None] = lambda change, instance: None
        self.uses_relay: Callable[[InstanceRegistration], bool] = lambda registration: False
        self.home_rank: Callable[[InstanceRegistration], int] = lambda registration: 0

    @property
    def groups(self) -> Mapping[str, Group]:
        """Return the groups by name."""
        return self._groups

    @property
    def unrecorded(self) -> Mapping[str, float]:
        """Return the groups whose primary records the store lacks, and since when.

        The revision of such a record is that of the older one in the store, 0 without one.
        """
        return self._unrecorded

    def group(self, name: str) -> Group:
        """Return a group; create an empty one if it is unknown."""
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = Group(name)
        return group

    def instances(self) -> Sequence[Instance]:
        """Return all instances; the result does not change while the caller awaits."""
        return tuple(
            instance for group in self._groups.values() for instance in group.instances.values()
        )

    def notify_all(self) -> None:
        """Wake the requests of all groups that wait for a usable primary."""
        for group in self._groups.values():
            group.notify()

    def find(self, instance_id: str) -> Instance | None:
        """Return an instance by its id, None if it is unknown."""
        for group in self._groups.values():
            if (instance := group.instances.get(instance_id)) is not None:
                return instance
        return None

    async def set_connection_shares(self, vms: int, connections: Mapping[str, int]) -> None:
        """Divide the connections of each instance among a number of VMs."""
        self._vms = vms
        self._connections = connections
        for instance in self.instances():
            await self._set_limits(instance)
            self._update_cold_rate(instance)

    def set_group_options(self, options: Mapping[str, GroupOptions]) -> None:
        """Set the options of the groups from the configuration."""
        self._group_options = options

    async def apply(self, registration: InstanceRegistration) -> None:
        """Add or update an instance from its registration."""
        group = self.group(registration.group)
        instance = group.instances.get(registration.id)
        if instance is None or instance.registration.born_ms != registration.born_ms:
            if instance is not None:
                await instance.pool.close()
            pool = InstancePool(registration, self._opener, self._limits(registration))
            instance = group.instances[registration.id] = Instance(registration, pool)
            instance.evacuation = self._evacuations.get(registration.failure_domain)
            instance.is_first_home = self._is_first_home(registration)
            self.on_change("registered", instance)
        if instance.registration.role is not registration.role:
            self.on_change("role", instance)
        is_new = instance.registration.revision != registration.revision
        instance.registration = registration
        if is_new or instance.cold_until == float("-inf"):
            self._apply_cold_time(instance)
        instance.pool.set_registration(registration)
        instance.unregistered_since = instance.overtaken_at = None
        if registration.draining and instance.draining_since is None:
            instance.draining_since = boottime_s()
            self.on_change("draining", instance)
        if not registration.draining:
            instance.draining_since = None
        group.notify()

    @property
    def failure_domains(self) -> frozenset[str]:
        """Return the failure domains of the known instances."""
        return frozenset(instance.registration.failure_domain for instance in self.instances())

    def set_evacuations(self, evacuations: Mapping[str, Evacuation]) -> None:
        """Set the failure domains that are out of service; wake the statements concerned."""
        self._evacuations = evacuations
        for group in self._groups.values():
            for instance in group.instances.values():
                before = instance.evacuation
                instance.evacuation = evacuations.get(instance.registration.failure_domain)
                if before is not None and instance.evacuation is None:
                    # Its entry may not say yet that it has become cold.
                    options = self._group_options.get(group.name)
                    start_s = options.cold_start_s if options else 0.0
                    self._set_cold(instance, max(instance.cold_until, boottime_s() + start_s))
                if before is None and group.refuses_work(instance, boottime_s()):
                    instance.pool.dismiss_waiting()
            group.notify()

    def _apply_cold_time(self, instance: Instance) -> None:
        remaining_s = instance.registration.cold_remaining_s
        if remaining_s is None:
            self.on_change("cold_time_unreadable", instance)
            return
        self._set_cold(instance, boottime_s() + remaining_s)

    def _set_cold(self, instance: Instance, until: float) -> None:
        instance.cold_until = until
        self._update_cold_rate(instance)

    def is_cold(self, registration: InstanceRegistration) -> bool:
        """Return whether an instance is cold, so that its statements are limited."""
        instance = self.group(registration.group).instances.get(registration.id)
        if instance is None or self.cold_allowance is None:
            return False
        options = self._group_options.get(registration.group)
        limited = options is not None and options.cold_rate_per_s > 0.0
        return limited and boottime_s() < instance.cold_until

    def _update_cold_rate(self, instance: Instance) -> None:
        """Limit the statements to a cold instance, where this VM connects to it."""
        now, pool = boottime_s(), instance.pool
        options = self._group_options.get(instance.registration.group)
        limited = options is not None and options.cold_rate_per_s > 0.0
        if self.cold_allowance is None or options is None or not limited:
            pool.cold_rate = None
            return
        if now >= instance.cold_until and pool.cold_rate is None:
            return
        if self.uses_relay(instance.registration):
            # Its homes count the statements.
            pool.cold_rate = None
            return
        share = cold_share(self._vms, HOMES_PER_INSTANCE, uses_homes=self._vms >= MIN_VMS_FOR_RELAY)
        limit = ColdLimit(options.cold_rate_per_s, *self.cold_allowance).share(share)
        if pool.cold_rate is None:
            pool.cold_rate = ColdRate(limit, now)
        pool.cold_rate.set_limit(limit, now)
        pool.cold_rate.until = instance.cold_until

    async def mark_unregistered(self, instance_id: str) -> None:
        """Record that an instance is not registered any more."""
        instance = self.find(instance_id)
        if instance is None or instance.unregistered_since is not None:
            return
        instance.unregistered_since = boottime_s()
        self.on_change("gone", instance)

    async def trim_pools(self) -> None:
        """Close the idle connections that exceed the limits of their pools."""
        for instance in self.instances():
            await instance.pool.trim()

    async def remove_unregistered(self, after_s: float) -> None:
        """Remove instances that have been unregistered for `after_s` seconds, except primaries.

        None is removed during a failover, which may need its log.
        """
        now = boottime_s()
        # Instances and groups are added while the pools are closed.
        for group in tuple(self._groups.values()):
            group.record_overtaken()
            if group.moving_since is not None:
                continue
            for instance in tuple(group.instances.values()):
                unregistered_since = instance.unregistered_since
                if (
                    unregistered_since is None
                    or now - unregistered_since < after_s
                    or instance is group.primary
                ):
                    continue
                del group.instances[instance.registration.id]
                await instance.pool.close()

    def set_primary_record(self, record: PrimaryRecord) -> bool:
        """Apply a primary record from the store if it is newer; return whether it was."""
        group = self.group(record.group)
        known = group.primary_record
        if known is not None and known.revision >= record.revision:
            return False
        if known is not None and known.progress > record.progress:
            self._keep_record(group, known, record.revision)
            return False
        self._unrecorded.pop(group.name, None)
        group.set_primary_record(record)
        group.moving_since = boottime_s() if record.moving else None
        # Positions sampled at the previous primary may be missing from the new one's log.
        group.samples.clear()
        group.notify()
        return True

    def keep_lost_records(self, stored: Collection[str]) -> None:
        """Keep the primary records of the groups that have none in the store any more."""
        for group in self._groups.values():
            if group.primary_record is not None and group.name not in stored:
                self._keep_record(group, group.primary_record, 0)

    def _keep_record(self, group: Group, record: PrimaryRecord, revision: int) -> None:
        group.primary_record = record._replace(revision=revision)
        self._unrecorded.setdefault(group.name, boottime_s())
        if record.moving:
            # VMs may have confirmed the store's older record until this one is written again.
            group.moving_since = boottime_s()

    @property
    def relayed(self) -> bool:
        """Return whether the fleet is so large that homes relay statements."""
        return self._vms >= MIN_VMS_FOR_RELAY

    def candidate(
        self, group: Group, instance: Instance, organisation: str, *, with_load: bool = False
    ) -> Candidate:
        """Return the properties of an instance that its selection is based on."""
        pool = instance.pool
        return Candidate(
            id=instance.registration.id,
            is_primary=instance is group.primary,
            same_failure_domain=instance.registration.failure_domain == self._failure_domain,
            has_idle_connection=pool.has_idle(organisation),
            busy_connections=pool.busy_connections,
            waiting_requests=pool.waiting_requests,
            connection_limit=pool.connection_limit,
            response_s=instance.response_s,
            reached=instance.reached,
            lagging_since=instance.lagging_since,
            load=instance.load_estimate(boottime_s()) if with_load else None,
        )

    async def _set_limits(self, instance: Instance) -> None:
        instance.is_first_home = self._is_first_home(instance.registration)
        await instance.pool.set_limits(self._limits(instance.registration))

    def _is_first_home(self, registration: InstanceRegistration) -> bool:
        return (
            self.relayed and not self.uses_relay(registration) and self.home_rank(registration) == 0
        )

    def _limits(self, registration: InstanceRegistration) -> PoolLimits:
        limits = self._connection_limits(registration)
        return limits._replace(slot_order=self._slot_order)

    def _connection_limits(self, registration: InstanceRegistration) -> PoolLimits:
        connections = self._connections.get(registration.group, self._vms)
        if self._vms < MIN_VMS_FOR_RELAY:
            return connection_budget(connections, self._vms)
        if self.uses_relay(registration):
            match self._slot_order:
                case UrgencyOrder():
                    return RELAY_POOL_LIMITS._replace(max_open=RELAYED_WAITING)
            return RELAY_POOL_LIMITS
        limit = int(
            (connections - SPARE_CONNECTIONS) * HOME_CONNECTION_SHARES[self.home_rank(registration)]
        )
        return PoolLimits(limit, limit, admission_control=True)
