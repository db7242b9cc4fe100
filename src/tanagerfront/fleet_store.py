"""What the VMs keep in and learn from the platform's store; the adapter implements it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from .http_client import Address
from .instance_directory import PrimaryRecord
from .session_model import FrontConfiguration, InstanceRegistration

__all__ = [
    "Change",
    "CheckResult",
    "ConfigurationChanged",
    "FleetStore",
    "FleetState",
    "InstanceChanged",
    "InstanceUnregistered",
    "KnownRevisions",
    "PrimaryRecordChanged",
    "PromoterLockAcquired",
    "PromoterLockReleased",
    "PromoterLock",
    "RegisteredVm",
    "VmChanged",
    "VmUnregistered",
]


class RegisteredVm(NamedTuple):
    """A VM with a valid lease; peers reach it at HOST:PORT."""

    name: str
    host: str
    port: int
    failure_domain: str
    incarnation: str
    # Processor time, in cores at full speed.
    cores: float = 1.0

    @property
    def address(self) -> Address:
        """Return where the VM takes datagrams and relayed sessions."""
        return Address(self.host, self.port)

    @property
    def changes_address(self) -> Address:
        """Return where the VM passes changes of the store on."""
        return Address(self.host, self.port + 1)


class PromoterLock(NamedTuple):
    """The VM that may order promotions; `token` grows with each holder."""

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
    """A group's primary was recorded."""

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
    """A VM took the seat of the promoter."""

    promoter_lock: PromoterLock


@dataclass(frozen=True, slots=True)
class PromoterLockReleased:
    """The seat of the promoter is free."""


Change = (
    ConfigurationChanged
    | InstanceChanged
    | InstanceUnregistered
    | PrimaryRecordChanged
    | VmChanged
    | VmUnregistered
    | PromoterLockAcquired
    | PromoterLockReleased
)


class FleetState(NamedTuple):
    """Everything at one time; `revision` is where a watch continues."""

    changes: Sequence[Change]
    instances: frozenset[str]
    vms: frozenset[str]
    has_promoter: bool
    # Whether there is a configuration and it and the primaries' records could be decoded.
    readable: bool
    revision: int


class KnownRevisions(NamedTuple):
    """Revisions of what must be current before it is relied on; 0 for what does not exist."""

    configuration: int
    primary_records: Mapping[str, int]


class CheckResult(NamedTuple):
    """Whether all known revisions are current, and the readable ones of those that differ."""

    current: bool
    changes: Sequence[Change]


class FleetStore(Protocol):
    """Calls of the store. Each raises KeyValueUnavailableError or KeyValueTimeoutError."""

    @property
    def calls(self) -> dict[str, int]:
        """Return the number of calls made, by kind."""

    async def load(self) -> FleetState:
        """Return everything."""

    async def watch(self, after: int, wait_s: float) -> tuple[Sequence[Change], int]:
        """Return the changes after a revision and where to continue."""

    async def fetch_from_peer(
        self, vm: RegisteredVm, after: int, *, large: bool
    ) -> tuple[Sequence[Change], int]:
        """Return the changes after a revision that another VM has taken in.

        Without `large` it refuses those that the store had better send.
        """

    async def check(self, known: KnownRevisions) -> CheckResult:
        """Compare known revisions with the store's."""

    async def register(self, vm: RegisteredVm, ttl_s: float) -> int:
        """Register a VM under a new lease and return the lease."""

    async def renew(self, lease: int) -> bool:
        """Renew a lease; return whether it still exists."""

    async def release(self, lease: int) -> None:
        """End a lease and all that is bound to it."""

    async def acquire_promoter_lock(self, vm: RegisteredVm, lease: int) -> PromoterLock | None:
        """Take the seat of the promoter; return None if another VM holds it."""

    async def write_primary_record(self, record: PrimaryRecord) -> PrimaryRecord | None:
        """Replace the record at `record.revision`; return it, or None if it was not current."""
