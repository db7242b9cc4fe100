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
    # msgspec refuses to decode a union of str and bytes, although msgpack tells them apart.
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
    """Sent to each peer; `incarnation` differs for each start of a VM's process."""

    vm: str
    incarnation: str
    failure_domain: str
    address: str
    config_version: int
    draining: bool
    # Seconds since the sender last had an answer from the key-value service, measured at sending.
    service_age_s: float


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer to a heartbeat: the same facts about the answering VM."""

    vm: str
    incarnation: str
    failure_domain: str
    address: str
    config_version: int
    draining: bool
    service_age_s: float
    # The smallest such age that a peer of the answering VM has told it directly, grown since.
    peer_service_age_s: float = float("inf")


class ServiceProbe(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Ask whether the peer reaches the key-value service."""

    vm: str


class ServiceProbeReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Tell how long ago the key-value service last answered, in seconds."""

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
    # Digest over the whole request, so that a key used for another request is noticed.
    request_digest: str = ""
    # Version of the configuration the key was checked on.
    config_version: int = 0
    key_digest: str = ""
    # The rate token of the request ends this long after sending; the home checks it again right
    # before the statement leaves for the database. None when no token is needed.
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
    """Grant tokens that end `lifetime_s` after the request was sent."""

    organisation: str
    part: int
    grant: int
    count: float
    lifetime_s: float
    # Seconds until the part is likely to have tokens again.
    retry_after_s: float
    # Tokens that the part still has, and how many it can have.
    available: float = 0.0
    capacity: float = 0.0


class TokenReport(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Tell how many tokens of a grant were spent and came back unused, in total so far."""

    organisation: str
    part: int
    grant: int
    spent: float
    returned: float


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Ask a peer for its configuration if it is newer than `version`."""

    version: int


class ConfigOffer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Hand over a manifest and the section bodies by digest."""

    version: int
    manifest: bytes
    bodies: dict[str, str]
    # Lets a VM that starts during an outage of the key-value service read session tokens.
    session_secret: bytes = b""


class PrimaryReport(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Ask another home whether it reaches the primary of a term."""

    group: str
    term: int
    instance: str


class PrimaryReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Tell whether the peer reaches that primary and the highest term it knows."""

    reachable: bool
    term: int
    failure_domain: str


class ErrorReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """An error of the exception tree by its problem type."""

    problem_type: str
    message: str
    executed: str
    retry_after_s: float | None = None
    code: str = "other"
    index: int = 0
    term: int = 0


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Tell the peer that the caller of the request with this frame id no longer waits."""

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
