"""Values of the session interface: statements, replies, and the configuration in force."""

from __future__ import annotations

import enum
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from .entry_id import EntryId
from .http_client import Address

__all__ = [
    "Begin",
    "Commit",
    "Connect",
    "Deallocate",
    "Execute",
    "Failure",
    "FailureCode",
    "FrontConfiguration",
    "GroupOptions",
    "InstanceRegistration",
    "InstanceRole",
    "NOT_EXECUTED_CODES",
    "Organisation",
    "PauseReplication",
    "Prepare",
    "Query",
    "Read",
    "Reply",
    "ReportStatus",
    "ResetSession",
    "Rollback",
    "Route",
    "RouteKind",
    "SetValue",
    "Statement",
    "StepDown",
    "TransactionState",
    "Verbatim",
    "Write",
    "boottime_s",
]


def boottime_s() -> float:
    """Return seconds of a clock that also counts the time while the VM is suspended.

    Ages of leases and confirmations use it, because a suspended VM must not trust old ones.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FailureCode(enum.Enum):
    """Why a statement or connection was not served."""

    OVERLOADED = "overloaded"
    LAGGING = "lagging"
    READ_ONLY = "read-only"
    MOVED = "moved"
    CONNECTION_LIMIT = "connection-limit"
    FAILED = "failed"
    UNKNOWN_STATEMENT = "unknown-statement"
    TIMEOUT = "timeout"
    DENIED = "denied"
    UNKNOWN_DATABASE = "unknown-database"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"
    ABORTED = "aborted"
    IN_DOUBT = "in-doubt"


# An instance that answers with one of these has not run the statement.
NOT_EXECUTED_CODES = frozenset(
    {
        FailureCode.OVERLOADED,
        FailureCode.LAGGING,
        FailureCode.READ_ONLY,
        FailureCode.UNKNOWN_STATEMENT,
        FailureCode.MOVED,
        FailureCode.CONNECTION_LIMIT,
    }
)


class Failure(NamedTuple):
    """A refusal or error with a text for the caller's log."""

    code: FailureCode
    text: str = ""


class TransactionState(enum.Enum):
    """What a session reports after each statement."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Reply(NamedTuple):
    """Answer to one statement; `signature` is the instance's, None when tanagerfront answered."""

    rows: tuple[bytes, ...] = ()
    failure: Failure | None = None
    signature: bytes | None = None
    state: TransactionState = TransactionState.IDLE
    reached: EntryId | None = None


@dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction."""

    read_only: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit the transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Roll the transaction back."""


@dataclass(frozen=True, slots=True)
class Read:
    """Read one item."""


@dataclass(frozen=True, slots=True)
class Write:
    """Write one item."""


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Name a statement shape for the rest of the session."""

    name: str
    writes: bool
    shape: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Run a prepared statement; `arguments` follow its name unchanged."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Forget a prepared statement."""

    name: str


@dataclass(frozen=True, slots=True)
class Verbatim:
    """A caller's statement that instances get as it came."""

    text: str


@dataclass(frozen=True, slots=True)
class ResetSession:
    """Drop the session's values and prepared statements."""


@dataclass(frozen=True, slots=True)
class ReportStatus:
    """Report role, term and log position."""


@dataclass(frozen=True, slots=True)
class PauseReplication:
    """Have a replica receive nothing more from a primary below this term."""

    term: int


@dataclass(frozen=True, slots=True)
class StepDown:
    """Make a primary of a lower term a replica."""

    term: int


Statement = Begin | Commit | Rollback | Read | Write | SetValue | Prepare | Execute | Deallocate


class Query(NamedTuple):
    """One statement of a caller; `received_at` is in trio's clock."""

    id: str
    text: str
    statement: Statement
    received_at: float


class Connect(NamedTuple):
    """A caller's request to open a session."""

    database: str
    key: str


class RouteKind(enum.Enum):
    """Which data the reads of a route may see."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    READ_YOUR_WRITES = "read-your-writes"


class Route(NamedTuple):
    """How statements for one database name are served; times in seconds."""

    name: str
    database: str
    group: str
    kind: RouteKind
    statement_timeout_s: float
    latency_objective_s: float
    priority: int
    max_staleness_s: float | None
    anonymous: bool


class Organisation(NamedTuple):
    """An organisation; `rate_per_s` and `burst` count operations over all VMs."""

    name: str
    rate_per_s: float
    burst: float


class GroupOptions(NamedTuple):
    """Limits of a group of instances; `connections` is per instance over all VMs."""

    name: str
    connections: int
    synchronous_replicas: int


class FrontConfiguration(NamedTuple):
    """One version of the operators' configuration, as the session interface uses it."""

    version: int
    revision: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupOptions]
    organisations: Mapping[str, Organisation]
    organisation_of_key: Mapping[str, str]
    transaction_idle_s: float


class InstanceRole(enum.Enum):
    """How an instance sees itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


class InstanceRegistration(NamedTuple):
    """What an instance registered about itself; `revision` is the store's."""

    id: str
    group: str
    address: Address
    failure_domain: str
    slots: int
    draining: bool
    role: InstanceRole
    born_ms: int
    revision: int
