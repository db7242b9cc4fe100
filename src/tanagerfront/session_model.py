"""Value types of the session interface: statements, replies and its part of the configuration."""

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
    "InstanceLoad",
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
    "Urgency",
    "Verbatim",
    "Write",
    "boottime_s",
]


def boottime_s() -> float:
    """Return the seconds of CLOCK_BOOTTIME, which also runs while the VM is suspended.

    Ages of leases and confirmations are measured with it, so that they have expired when a
    suspended VM resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FailureCode(enum.Enum):
    """Why a statement or a connection was refused or failed."""

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


# Codes with which an instance refuses a statement without executing it.
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
    """A refusal or an error, with a text that the caller may log."""

    code: FailureCode
    text: str = ""


class TransactionState(enum.Enum):
    """State of a session's transaction, sent with the reply to each statement."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Urgency(NamedTuple):
    """How soon a statement has to run; times are in seconds of trio's clock.

    `priority` is that of the route, 0 is the highest. `objective_at` is the end of the latency
    objective, `deadline` the time after which the caller's statement has timed out.
    """

    priority: int
    objective_at: float
    deadline: float
    # Whether the statement belongs to a transaction that already holds a connection.
    in_transaction: bool = False


class InstanceLoad(NamedTuple):
    """Load of an instance, as its home measured it when it sent a reply.

    Readings of one home are numbered by `sequence`, so that a late one never replaces a newer one.
    The VM that receives a reading adds the `home` and when it opened the session, in its own clock.
    """

    sequence: int
    running: int
    waiting: int
    expected_wait_s: float
    home: str = ""
    session_opened_at: float = 0.0


class Reply(NamedTuple):
    """Reply to one statement.

    `signature` is the instance's and None in replies that tanagerfront makes itself. `reached`
    is the position in the instance's log, None if unknown. `load` is None unless the reply came
    through a home that reports it.
    """

    rows: tuple[bytes, ...] = ()
    failure: Failure | None = None
    signature: bytes | None = None
    state: TransactionState = TransactionState.IDLE
    reached: EntryId | None = None
    load: InstanceLoad | None = None


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
    """Prepare a statement under a name that is valid for the rest of the session."""

    name: str
    writes: bool
    shape: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Run a prepared statement; `arguments` is sent to the instance unchanged."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Remove a prepared statement."""

    name: str


@dataclass(frozen=True, slots=True)
class Verbatim:
    """A caller's statement, sent to the instance unchanged."""

    text: str


@dataclass(frozen=True, slots=True)
class ResetSession:
    """Remove the session's values and prepared statements."""


@dataclass(frozen=True, slots=True)
class ReportStatus:
    """Request an instance's role, term and log position."""


@dataclass(frozen=True, slots=True)
class PauseReplication:
    """Stop a replica from receiving entries from primaries of lower terms."""

    term: int


@dataclass(frozen=True, slots=True)
class StepDown:
    """Make a primary of a lower term a replica."""

    term: int


Statement = Begin | Commit | Rollback | Read | Write | SetValue | Prepare | Execute | Deallocate


class Query(NamedTuple):
    """One statement of a caller; `received_at` is in seconds of trio's clock."""

    id: str
    text: str
    statement: Statement
    received_at: float


class Connect(NamedTuple):
    """A caller's request to open a session."""

    database: str
    key: str


class RouteKind(enum.Enum):
    """Consistency level of a route's reads."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    READ_YOUR_WRITES = "read-your-writes"


class Route(NamedTuple):
    """How statements for one database name are served."""

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
    """An organisation and its token bucket, which covers the operations at all VMs together."""

    name: str
    rate_per_s: float
    burst: float


class GroupOptions(NamedTuple):
    """Limits of a group; `connections` is the limit of each instance for all VMs together."""

    name: str
    connections: int
    synchronous_replicas: int
    # Statements a second that an instance takes while it is cold, and how long it is cold after its
    # start; 0 if its instances are never cold.
    cold_rate_per_s: float = 0.0
    cold_start_s: float = 0.0


class FrontConfiguration(NamedTuple):
    """The parts of one configuration version that the session interface uses."""

    version: int
    revision: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupOptions]
    organisations: Mapping[str, Organisation]
    organisation_of_key: Mapping[str, str]
    transaction_idle_s: float


class InstanceRole(enum.Enum):
    """Role that an instance registered for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


class InstanceRegistration(NamedTuple):
    """An instance's registration; `revision` is the store's revision of it."""

    id: str
    group: str
    address: Address
    failure_domain: str
    slots: int
    draining: bool
    role: InstanceRole
    born_ms: int
    revision: int
    # Counts the instance's own reports since its start.
    sequence: int = 0
    # How long the instance remains cold, in seconds from its report; None if it can't be read.
    cold_remaining_s: float | None = 0.0

    @property
    def age_order(self) -> tuple[int, int]:
        """Return a value that grows with each report of the instance, if its clock does."""
        return self.born_ms, self.sequence
