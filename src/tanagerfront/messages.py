"""Messages between VMs, encoded as msgpack by msgspec."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from .entry_id import EntryId

__all__ = [
    "Cancel",
    "ConfigOffer",
    "ConfigRequest",
    "ErrorReply",
    "ExecuteReply",
    "ExecuteRequest",
    "Frame",
    "Heartbeat",
    "HeartbeatReply",
    "Message",
    "PrimaryReply",
    "PrimaryReport",
    "ServiceProbe",
    "ServiceProbeReply",
    "TokenGrant",
    "TokenReport",
    "TokenRequest",
    "TransactionReply",
    "TransactionRequest",
    "WireResult",
    "WireStatement",
]

if TYPE_CHECKING:
    WireValue = str | int | float | bytes | None
else:
    # msgspec does not support a union of str and bytes, although msgpack distinguishes them.
    WireValue = Any


class WireStatement(msgspec.Struct, frozen=True, array_like=True):
    """One SQL statement with positional or named parameters."""

    sql: str
    params: list[WireValue] | dict[str, WireValue]


class WireResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of one statement."""

    columns: tuple[str, ...]
    rows: list[list[WireValue]]
    changes: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Periodic message to each peer; `incarnation` is unique for each start of a VM's process."""

    vm: str
    incarnation: str
    failure_domain: str
    address: str
    config_version: int
    draining: bool
    # Seconds since the key-value service last answered the sender, measured at sending.
    service_age_s: float


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply to a heartbeat with the same fields of the replying VM."""

    vm: str
    incarnation: str
    failure_domain: str
    address: str
    config_version: int
    draining: bool
    service_age_s: float
    # Smallest service age that the replying VM's peers reported to it, plus the time since.
    peer_service_age_s: float = float("inf")


class ServiceProbe(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Ask a peer how long ago the key-value service answered it."""

    vm: str


class ServiceProbeReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Time since the key-value service last answered the replying VM, in seconds."""

    service_age_s: float


class ExecuteRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Run one atomic batch at a home of the group."""

    group: str
    organisation: str
    request_class: int
    mode: str
    statements: tuple[WireStatement, ...]
    repeatable: bool
    # Time left until the caller's deadline, in seconds, counted from sending.
    timeout_s: float
    session: EntryId
    max_staleness_s: float | None = None
    idempotency_key: str | None = None
    # Digest of the whole request, to detect an idempotency key reused for another request.
    request_digest: str = ""
    # Version of the configuration against which the API key was checked.
    config_version: int = 0
    key_digest: str = ""
    # Time in seconds from sending until the request's rate token expires; the home checks it again
    # just before it sends the statement to the database. None if no token is needed.
    token_lifetime_s: float | None = None


class ExecuteReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Results of a batch and the log entry they reflect."""

    results: tuple[WireResult, ...]
    reached: EntryId
    instance: str
    by_replica: bool
    replayed: bool = False


class TransactionRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """One step of an interactive transaction; `action` is begin, execute, commit or rollback."""

    transaction: str
    action: str
    group: str
    organisation: str
    request_class: int
    timeout_s: float
    session: EntryId
    statements: tuple[WireStatement, ...] = ()
    key_digest: str = ""
    token_lifetime_s: float | None = None


class TransactionReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Results of one step of a transaction."""

    transaction: str
    results: tuple[WireResult, ...]
    reached: EntryId


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Ask the owner of a bucket part for tokens."""

    organisation: str
    part: int
    count: float


class TokenGrant(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Grant tokens that expire `lifetime_s` after the request was sent."""

    organisation: str
    part: int
    grant: int
    count: float
    lifetime_s: float
    # Seconds until the part is likely to have tokens again.
    retry_after_s: float
    # Tokens that remain in the part, and its capacity.
    available: float = 0.0
    capacity: float = 0.0


class TokenReport(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Report the cumulative counts of spent and returned tokens of a grant."""

    organisation: str
    part: int
    grant: int
    spent: float
    returned: float


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Ask a peer for its configuration if it is newer than `version`."""

    version: int


class ConfigOffer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Manifest of a configuration and its section bodies by digest."""

    version: int
    manifest: bytes
    bodies: dict[str, str]
    # Lets a VM that starts during an outage of the key-value service read session tokens.
    session_secret: bytes = b""


class PrimaryReport(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Ask another home whether it can reach the primary of a term."""

    group: str
    term: int
    instance: str


class PrimaryReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Whether the replying home can reach that primary, and the highest term it knows."""

    reachable: bool
    term: int
    failure_domain: str


class ErrorReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A TanagerfrontError, identified by its problem type."""

    problem_type: str
    message: str
    executed: str
    retry_after_s: float | None = None
    code: str = "other"
    index: int = 0
    term: int = 0


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Cancel the request with this frame id, whose caller no longer waits."""

    request: int


Message = (
    Heartbeat
    | HeartbeatReply
    | ServiceProbe
    | ServiceProbeReply
    | ExecuteRequest
    | ExecuteReply
    | TransactionRequest
    | TransactionReply
    | TokenRequest
    | TokenGrant
    | TokenReport
    | ConfigRequest
    | ConfigOffer
    | PrimaryReport
    | PrimaryReply
    | ErrorReply
    | Cancel
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One message on a stream; a reply carries the id of its request in `reply_to`."""

    # 0 for a message that expects no reply.
    id: int
    reply_to: int | None
    message: Message
