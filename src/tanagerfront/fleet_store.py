"""Interface of the session interface's VMs to the platform's store, and the changes it reports."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple, Protocol

from .http_client import Address
from .instance_directory import PrimaryRecord
from .session_model import FrontConfiguration, InstanceRegistration

__all__ = [
    "Change",
    "CheckResult",
    "EraSettled",
    "ConfigurationChanged",
    "DomainEvacuated",
    "DomainReturned",
    "FleetStore",
    "FleetState",
    "InstanceChanged",
    "InstanceUnregistered",
    "KnownRevisions",
    "LargeValues",
    "PeerChanges",
    "PeerRead",
    "PrimaryRecordChanged",
    "PromoterLockAcquired",
    "PromoterLockReleased",
    "PromoterLock",
    "RegisteredVm",
    "VmChanged",
    "VmUnregistered",
]


# Version of the protocol between a VM and a home. From the second version on, statements carry
# their urgency and replies the load of the instance.
RELAY_VERSION = 2


class RegisteredVm(NamedTuple):
    """A VM with a valid lease; peers reach it at HOST:PORT."""

    name: str
    host: str
    port: int
    failure_domain: str
    incarnation: str
    # Processor time, in cores at full speed.
    cores: float = 1.0
    # Version of the relay protocol that the VM accepts as a home.
    relay_version: int = 1

    @property
    def address(self) -> Address:
        """Return the address for datagrams and relayed sessions."""
        return Address(self.host, self.port)

    @property
    def changes_address(self) -> Address:
        """Return the address at which other VMs read changes of the store."""
        return Address(self.host, self.port + 1)


class PromoterLock(NamedTuple):
    """The VM that may order promotions; the fencing token `token` grows with each holder."""

    vm: str
    incarnation: str
    token: int


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A configuration was written."""

    configuration: FrontConfiguration


@dataclass(frozen=True, slots=True)
class InstanceChanged:
    """An instance registered or changed its registration."""

    registration: InstanceRegistration


@dataclass(frozen=True, slots=True)
class InstanceUnregistered:
    """An instance's registration ended."""

    id: str


@dataclass(frozen=True, slots=True)
class PrimaryRecordChanged:
    """The record of a group's primary was written."""

    record: PrimaryRecord


@dataclass(frozen=True, slots=True)
class VmChanged:
    """A VM registered."""

    vm: RegisteredVm


@dataclass(frozen=True, slots=True)
class VmUnregistered:
    """A VM's lease ended."""

    name: str


@dataclass(frozen=True, slots=True)
class PromoterLockAcquired:
    """A VM acquired the promoter lock."""

    promoter_lock: PromoterLock


@dataclass(frozen=True, slots=True)
class PromoterLockReleased:
    """The promoter lock is free."""


@dataclass(frozen=True, slots=True)
class EraSettled:
    """The fleet relies on the store in this era."""

    era: int


@dataclass(frozen=True, slots=True)
class DomainEvacuated:
    """Operators ordered a failure domain out of service; the order may be unreadable."""

    failure_domain: str
    revision: int
    readable: bool = True


@dataclass(frozen=True, slots=True)
class DomainReturned:
    """Operators removed the order for a failure domain that had at most this revision."""

    failure_domain: str
    revision: int


Change = (
    ConfigurationChanged
    | InstanceChanged
    | InstanceUnregistered
    | PrimaryRecordChanged
    | VmChanged
    | VmUnregistered
    | PromoterLockAcquired
    | PromoterLockReleased
    | EraSettled
    | DomainEvacuated
    | DomainReturned
)


class FleetState(NamedTuple):
    """All keys of the fleet; a watch from `revision` on misses no change."""

    changes: Sequence[Change]
    instances: frozenset[str]
    vms: frozenset[str]
    # Groups with a primary record.
    groups: frozenset[str]
    has_promoter: bool
    # Whether a configuration exists and it and all primary records could be decoded.
    readable: bool
    revision: int
    # Failure domains for which an order of the operators exists.
    evacuated_domains: frozenset[str] = frozenset()


class LargeValues(Enum):
    """What a peer VM does with large values among the changes that it is asked for."""

    # Leaves them out if the response would be large.
    WITHHELD = "withheld"
    DEFLATED = "deflated"
    # Sends them uncompressed, which builds without compression understand.
    PLAIN = "plain"


class PeerRead(NamedTuple):
    """A request for a peer VM's changes after a revision."""

    after: int
    large: LargeValues
    # The peer waits for up to `wait_s` seconds until it knows all changes up to this revision. Only
    # with WITHHELD it replies without them after that.
    until: int = 0
    wait_s: float = 0.0


class PeerChanges(NamedTuple):
    """Changes from a peer VM, and the revision to continue from."""

    changes: Sequence[Change]
    revision: int
    # Whether changes with large values were left out; then those after `revision` aren't enough.
    withheld: bool = False
    # Size of the response in bytes.
    size: int = 0


class KnownRevisions(NamedTuple):
    """Revisions that must be current before a VM relies on them; 0 for a key that doesn't exist."""

    configuration: int
    primary_records: Mapping[str, int]
    # Orders for failure domains, by domain.
    evacuations: Mapping[str, int] = MappingProxyType({})


class CheckResult(NamedTuple):
    """Known and stored revisions of the keys that differ, and those of their values that decode."""

    differing: Mapping[str, tuple[int, int]]
    changes: Sequence[Change]

    @property
    def current(self) -> bool:
        """Return whether all known revisions are current."""
        return not self.differing


class FleetStore(Protocol):
    """Calls to the store.

    Each raises KeyValueUnavailableError, KeyValueTimeoutError or, if the store has returned from an
    older copy, StoreRestoredError. Revisions are numbered across eras.
    """

    @property
    def era(self) -> int:
        """Return the store's era in its latest replies."""

    @property
    def names_eras(self) -> bool:
        """Return whether the store's replies name its era."""

    def on_restored(self, callback: Callable[[int], None]) -> None:
        """Call back with the new era when a reply shows that the store has been restored."""

    @property
    def receives_large_changes(self) -> bool:
        """Return whether a large reply to a watch or load is arriving."""

    @property
    def calls(self) -> dict[str, int]:
        """Return the number of calls made, by kind."""

    async def load(self) -> FleetState:
        """Return all keys of the fleet."""

    async def watch(self, after: int, wait_s: float) -> tuple[Sequence[Change], int]:
        """Return the changes after a revision and the revision to continue from.

        Waits up to `wait_s` for a change; raises HistoryLostError if the store dropped changes.
        """

    async def fetch_from_peer(self, vm: RegisteredVm, read: PeerRead) -> PeerChanges:
        """Return changes that another VM has applied; raises HistoryLostError if it lacks them.

        VMs of builds that don't compress also raise it if the changes are large.
        """

    async def check(self, known: KnownRevisions) -> CheckResult:
        """Compare known revisions with those in the store."""

    async def register(self, vm: RegisteredVm, ttl_s: float) -> int:
        """Register a VM under a new lease; return the id of the lease."""

    async def renew(self, lease: int) -> bool:
        """Renew a lease; return whether it still exists."""

    async def release(self, lease: int) -> None:
        """End a lease and delete the keys bound to it."""

    async def acquire_promoter_lock(self, vm: RegisteredVm, lease: int) -> PromoterLock | None:
        """Acquire the promoter lock; return None if another VM holds it."""

    async def record_order(
        self, lock: PromoterLock, record: PrimaryRecord, instance: str
    ) -> int | None:
        """Record which instance a failover promotes, in place of one recorded before.

        Return the revision of the order, None if lock or record has changed.
        """

    async def ordered_instance(self, record: PrimaryRecord) -> str | None:
        """Return the instance that was recorded for a failover, None without one."""

    async def settle_era(self, era: int) -> None:
        """Record that the fleet relies on the store in this era."""

    async def write_primary_record(
        self,
        record: PrimaryRecord,
        lock: PromoterLock | None = None,
        order: int | None = None,
    ) -> PrimaryRecord | None:
        """Replace a record that is still at `record.revision`; return the new one, else None.

        With a lock, also return None if the promoter lock has changed; with the revision of an
        order, if another instance has been ordered since.
        """
