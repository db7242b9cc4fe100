"""Instances of all groups, what is known of each, and which one leads its group."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

import trio

from .entry_id import EntryId
from .instance_pool import InstancePool, Opener, PoolLimits
from .placement import Candidate
from .position_samples import PositionSamples
from .session_model import InstanceRegistration, InstanceRole, Reply, boottime_s

__all__ = [
    "HOMES_PER_INSTANCE",
    "MIN_VMS_FOR_RELAY",
    "Group",
    "Instance",
    "InstanceDirectory",
    "PrimaryRecord",
    "connection_budget",
]

# Connections of an instance that no VM counts on: for control statements and for connections
# that the instance still counts for a moment after they were closed.
SPARE_CONNECTIONS = 2
# Sessions of a VM at an instance's home; they cost no connection of the instance.
RELAYED = PoolLimits(8, 8)
# First guess of a response time, until there are measurements.
FIRST_RESPONSE_S = 0.02
# Smaller fleets share the connections directly, which saves a hop; see `relay`.
MIN_VMS_FOR_RELAY = 16
HOMES_PER_INSTANCE = 2
# The first home serves all; the second one needs room when the first is lost.
HOME_SHARES = (0.66, 0.33)
# Weight of the newest response time in the average.
RESPONSE_SMOOTHING = 0.1


def connection_budget(connections: int, vms: int) -> PoolLimits:
    """Return one VM's share of the connections that an instance accepts from all VMs.

    Idle ones are kept within half of the limit: an instance counts the connections of VMs that
    lost power for three seconds more, and the restarted VMs have to fit beside them.
    """
    open_limit = max(1, (connections - SPARE_CONNECTIONS) // max(1, vms))
    return PoolLimits(open_limit, min(open_limit, connections // 2 // max(1, vms)))


class PrimaryRecord(NamedTuple):
    """What the store says of a group's primary; while `moving`, the group has none."""

    group: str
    instance: str
    term: int
    moving: bool
    revision: int


class Instance:
    """One instance, its connections and its recent behaviour."""

    def __init__(self, entry: InstanceRegistration, pool: InstancePool) -> None:
        self.registration = entry
        self.pool = pool
        self.reached: EntryId | None = None
        self.response_s = FIRST_RESPONSE_S
        self.lagging_since = float("-inf")
        self.unreachable_since: float | None = None
        self.unregistered_since: float | None = None
        self.draining_since: float | None = None
        self.answered_at = boottime_s()

    @property
    def leaving(self) -> bool:
        """Tell whether the instance must get no new work soon."""
        return self.unregistered_since is not None or self.draining_since is not None

    @property
    def leaving_since(self) -> float | None:
        """Return the time from which on the instance counts as leaving."""
        times = [
            each for each in (self.unregistered_since, self.draining_since) if each is not None
        ]
        return min(times, default=None)

    def record_answer(self, reached: EntryId | None, response_s: float | None) -> None:
        """Record an answer and the position it came with."""
        self.answered_at = boottime_s()
        self.unreachable_since = None
        if reached is not None:
            self.reached = reached
        if response_s is not None:
            self.response_s += RESPONSE_SMOOTHING * (response_s - self.response_s)

    def record_reply(self, reply: Reply, response_s: float | None) -> None:
        """Record a reply, unless it is the refusal of a home, which knows no position."""
        if reply.failure is None or reply.reached is not None:
            self.record_answer(reply.reached, response_s)

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
        self.primary_record: PrimaryRecord | None = None
        self.changed = trio.Event()

    def notify(self) -> None:
        """Wake the requests that wait for a primary."""
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    @property
    def primary(self) -> Instance | None:
        """Return the instance that leads according to the store, else to itself."""
        if self.primary_record is not None:
            return (
                None
                if self.primary_record.moving
                else self.instances.get(self.primary_record.instance)
            )
        claims = [
            each
            for each in self.instances.values()
            if each.registration.role is InstanceRole.PRIMARY
        ]
        return max(claims, key=lambda each: each.registration.revision, default=None)


class InstanceDirectory:
    """Groups and instances as registered; keeps the beliefs of those that stay registered."""

    def __init__(self, opener: Opener, failure_domain: str) -> None:
        self._opener = opener
        self._failure_domain = failure_domain
        self._groups: dict[str, Group] = {}
        self._vms = 1
        self._connections: Mapping[str, int] = {}
        self.on_change: Callable[[str, Instance], None] = lambda change, instance: None
        self.uses_relay: Callable[[InstanceRegistration], bool] = lambda entry: False
        self.home_rank: Callable[[InstanceRegistration], int] = lambda entry: 0

    @property
    def groups(self) -> Mapping[str, Group]:
        """Return the groups by name."""
        return self._groups

    def group(self, name: str) -> Group:
        """Return a group, which is empty if no instance registered for it."""
        found = self._groups.get(name)
        if found is None:
            found = self._groups[name] = Group(name)
        return found

    def instances(self) -> Iterator[Instance]:
        """Yield all instances."""
        for group in self._groups.values():
            yield from group.instances.values()

    def find(self, instance_id: str) -> Instance | None:
        """Return an instance by its id."""
        for each in self.instances():
            if each.registration.id == instance_id:
                return each
        return None

    async def set_connection_shares(self, vms: int, connections: Mapping[str, int]) -> None:
        """Divide each instance's connections among a number of VMs."""
        self._vms = vms
        self._connections = connections
        for each in self.instances():
            await each.pool.set_limits(self._limits(each.registration))

    async def apply(self, entry: InstanceRegistration) -> None:
        """Take in a registration."""
        group = self.group(entry.group)
        known = group.instances.get(entry.id)
        if known is None or known.registration.born_ms != entry.born_ms:
            if known is not None:
                await known.pool.close()
            pool = InstancePool(entry, self._opener, self._limits(entry))
            known = group.instances[entry.id] = Instance(entry, pool)
            self.on_change("registered", known)
        if known.registration.role is not entry.role:
            self.on_change("role", known)
        known.registration = entry
        known.pool.set_registration(entry)
        known.unregistered_since = None
        if entry.draining and known.draining_since is None:
            known.draining_since = boottime_s()
            self.on_change("draining", known)
        if not entry.draining:
            known.draining_since = None
        group.notify()

    async def mark_unregistered(self, instance_id: str) -> None:
        """Treat an instance as gone."""
        known = self.find(instance_id)
        if known is None or known.unregistered_since is not None:
            return
        known.unregistered_since = boottime_s()
        self.on_change("gone", known)

    async def trim_pools(self) -> None:
        """Close idle connections above what each pool keeps."""
        for each in self.instances():
            await each.pool.trim()

    async def remove_unregistered(self, after_s: float) -> None:
        """Drop instances that have been gone for a time, unless one leads its group."""
        now = boottime_s()
        for group in self._groups.values():
            for instance in list(group.instances.values()):
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
        """Take in the store's record of a primary; return whether it is newer."""
        group = self.group(record.group)
        if group.primary_record is not None and group.primary_record.revision >= record.revision:
            return False
        group.primary_record = record
        # Positions of the previous primary may not be in the new one's log.
        group.samples.clear()
        group.notify()
        return True

    def candidate(self, group: Group, instance: Instance, organisation: str) -> Candidate:
        """Return what the choice of an instance takes into account."""
        pool = instance.pool
        return Candidate(
            id=instance.registration.id,
            is_primary=instance is group.primary,
            same_failure_domain=instance.registration.failure_domain == self._failure_domain,
            has_idle_connection=pool.has_idle(organisation),
            busy_connections=pool.busy,
            waiting_requests=pool.waiting,
            connection_limit=pool.budget,
            response_s=instance.response_s,
            reached=instance.reached,
            lagging_since=instance.lagging_since,
        )

    def _limits(self, entry: InstanceRegistration) -> PoolLimits:
        connections = self._connections.get(entry.group, self._vms)
        if self._vms < MIN_VMS_FOR_RELAY:
            return connection_budget(connections, self._vms)
        if self.uses_relay(entry):
            return RELAYED
        limit = int((connections - SPARE_CONNECTIONS) * HOME_SHARES[self.home_rank(entry)])
        return PoolLimits(limit, limit, admission_control=True)
