"""Codec of the line protocol of callers and instances (session interface)."""

from __future__ import annotations

import math
from typing import NamedTuple

import trio

from ..entry_id import EntryId
from ..errors import BadRequestError
from ..instance_pool import InstanceStatement
from ..session_model import (
    Begin,
    Commit,
    Connect,
    Deallocate,
    Execute,
    Failure,
    FailureCode,
    InstanceLoad,
    PauseReplication,
    Prepare,
    Query,
    Read,
    Reply,
    ReportStatus,
    ResetSession,
    Rollback,
    SetValue,
    Statement,
    StepDown,
    TransactionState,
    Urgency,
    Verbatim,
    Write,
)

__all__ = [
    "Bye",
    "Complete",
    "END",
    "Error",
    "InstanceConnect",
    "InstanceMessage",
    "MAX_MESSAGE_BYTES",
    "Ready",
    "Row",
    "decode_caller_line",
    "decode_instance_line",
    "decode_relay_line",
    "encode_connect",
    "encode_failure",
    "encode_query",
    "encode_ready",
    "encode_reply",
    "parse_entry_id",
]

END = b"\r\n"
MAX_MESSAGE_BYTES = 1024 * 1024
NO_POSITION = "-"
URGENCY_PREFIX = "URGENCY "
# Longer than any statement may wait; bounds what a malformed or malicious message can ask for.
MAX_REMAINING_S = 60.0

_CODE_BY_WORD = {
    "BUSY": FailureCode.OVERLOADED,
    "LAGGING": FailureCode.LAGGING,
    "READONLY": FailureCode.READ_ONLY,
    "MOVED": FailureCode.MOVED,
    "CONNLIMIT": FailureCode.CONNECTION_LIMIT,
    "FAILED": FailureCode.FAILED,
    "NOSTMT": FailureCode.UNKNOWN_STATEMENT,
    "TIMEOUT": FailureCode.TIMEOUT,
    "DENIED": FailureCode.DENIED,
    "NODB": FailureCode.UNKNOWN_DATABASE,
    "TOOBIG": FailureCode.TOO_LARGE,
    "MALFORMED": FailureCode.MALFORMED,
    "ABORTED": FailureCode.ABORTED,
    "INDOUBT": FailureCode.IN_DOUBT,
}
_WORD_BY_CODE = {code: word for word, code in _CODE_BY_WORD.items()}
_STATE_BY_WORD = {
    "I": TransactionState.IDLE,
    "T": TransactionState.OPEN,
    "E": TransactionState.FAILED,
}
_WORD_BY_STATE = {state: word for word, state in _STATE_BY_WORD.items()}


class Bye(NamedTuple):
    """Request to end the session."""


class InstanceConnect(NamedTuple):
    """Request of another VM to open a session at an instance."""

    group: str
    organisation: str
    instance: str
    relay_version: int = 1


class Row(NamedTuple):
    """One row of a reply."""

    data: bytes


class Complete(NamedTuple):
    """End of a successful reply; `signature` proves which instance executed the statement."""

    signature: bytes


class Error(NamedTuple):
    """End of a failed reply."""

    failure: Failure


class Ready(NamedTuple):
    """The session accepts statements; `reached` is a position in the instance's log."""

    state: TransactionState
    reached: EntryId | None
    load: InstanceLoad | None = None


InstanceMessage = Row | Complete | Error | Ready


def parse_entry_id(text: str) -> EntryId | None:
    """Return the log entry written as TERM.NUMBER, None for `-`; raises ValueError."""
    if text == NO_POSITION:
        return None
    term, _, position = text.partition(".")
    return EntryId(int(term), int(position))


def _entry_text(entry: EntryId | None) -> str:
    return NO_POSITION if entry is None else f"{entry.term}.{entry.position}"


def decode_caller_line(line: bytes, received_at: float) -> Connect | Query | Bye:
    """Decode a caller's message; raises BadRequestError."""
    try:
        text = line.decode("utf-8")
    except UnicodeDecodeError as error:
        raise BadRequestError("message is not UTF-8 text") from error
    word, _, rest = text.partition(" ")
    match word:
        case "CONNECT":
            database, _, key = rest.partition(" ")
            return Connect(database, key)
        case "QUERY":
            query_id, _, statement = rest.partition(" ")
            if not query_id or not statement:
                raise BadRequestError("QUERY requires an id and a statement")
            return Query(query_id, statement, _decode_statement(statement), received_at)
        case "BYE":
            return Bye()
    raise BadRequestError("unknown message; expected CONNECT, QUERY or BYE")


def _decode_statement(text: str) -> Statement:
    verb, _, rest = text.partition(" ")
    fields = rest.split(" ")
    match verb, fields:
        case "BEGIN", [""]:
            return Begin(read_only=False)
        case "BEGIN", ["READ"]:
            return Begin(read_only=True)
        case "COMMIT", [""]:
            return Commit()
        case "ROLLBACK", [""]:
            return Rollback()
        case "READ", [item] if item:
            return Read()
        case "WRITE", [item, *_] if item:
            return Write()
        case "SET", [name, *value] if name and value:
            return SetValue(name, " ".join(value))
        case "PREPARE", [name, "READ" | "WRITE" as kind, *shape] if name and shape:
            return Prepare(name, kind == "WRITE", " ".join(shape))
        case "EXECUTE", [name, *arguments] if name and arguments:
            return Execute(name, " ".join(arguments))
        case "DEALLOC", [name] if name:
            return Deallocate(name)
    raise BadRequestError(f"malformed statement {verb[:16]!r}")


def decode_relay_line(line: bytes) -> InstanceConnect | InstanceStatement | Bye:
    """Decode a message of a VM that uses this one as relay; raises BadRequestError."""
    text = line.decode("utf-8", "replace")
    word, _, rest = text.partition(" ")
    if word == "CONNECT":
        return _decode_relay_connect(rest.split(" "))
    if word != "QUERY":
        return Bye()
    query_id, _, statement = rest.partition(" ")
    urgency = None
    if statement.startswith(URGENCY_PREFIX):
        _, text, statement = statement.split(" ", 2)
        urgency = _decode_urgency(text)
    after = None
    if statement.startswith("AFTER "):
        _, position, statement = statement.split(" ", 2)
        try:
            after = parse_entry_id(position)
        except ValueError as error:
            raise BadRequestError(
                "malformed log position after AFTER; expected TERM.NUMBER"
            ) from error
    if statement == "RESET":
        return InstanceStatement(query_id, ResetSession(), after, urgency)
    match _decode_statement(statement):
        case Begin() | SetValue() | Prepare() | Execute() | Rollback() as decoded:
            return InstanceStatement(query_id, decoded, after, urgency)
    return InstanceStatement(query_id, Verbatim(statement), after, urgency)


def _decode_relay_connect(fields: list[str]) -> InstanceConnect:
    match fields:
        case [group, organisation, instance]:
            return InstanceConnect(group, organisation, instance)
        case [group, organisation, instance, version] if version.isdecimal():
            return InstanceConnect(group, organisation, instance, int(version))
    raise BadRequestError("CONNECT requires group, organisation and instance")


def _decode_urgency(text: str) -> Urgency | None:
    """Return the urgency of a relayed statement, None if it is malformed.

    VMs don't compare clocks, so the message holds the time left until each limit. A statement
    with a malformed urgency is served like one without.
    """
    try:
        priority, objective_ms, deadline_ms, in_transaction = text.split("/")
        now = trio.current_time()
        return Urgency(
            max(0, int(priority)),
            now + _remaining_s(objective_ms),
            now + _remaining_s(deadline_ms),
            in_transaction == "1",
        )
    except ValueError:
        return None


def _remaining_s(milliseconds: str) -> float:
    return max(-MAX_REMAINING_S, min(MAX_REMAINING_S, int(milliseconds) / 1000))


def encode_reply(reply: Reply) -> bytes:
    """Encode the messages of the reply to one statement."""
    parts = [b"ROW " + row + END for row in reply.rows]
    if reply.failure is None:
        parts.append(b"COMPLETE " + (reply.signature or b"-") + END)
    else:
        parts.append(encode_failure(reply.failure))
    parts.append(encode_ready(reply))
    return b"".join(parts)


def encode_ready(reply: Reply) -> bytes:
    """Encode READY, which ends a reply and the opening of a session."""
    load = f" {_load_text(reply.load)}" if reply.load is not None else ""
    return f"READY {_WORD_BY_STATE[reply.state]} {_entry_text(reply.reached)}{load}".encode() + END


def _load_text(load: InstanceLoad) -> str:
    wait_ms = round(load.expected_wait_s * 1000)
    return f"{load.sequence}/{load.running}/{load.waiting}/{wait_ms}"


def _decode_load(text: str) -> InstanceLoad | None:
    """Return the load in a home's reply, None if there is none or it is malformed."""
    try:
        sequence, running, waiting, wait_ms = (int(field) for field in text.split("/"))
    except ValueError:
        return None
    if min(sequence, running, waiting, wait_ms) < 0:
        return None
    return InstanceLoad(sequence, running, waiting, min(wait_ms / 1000, MAX_REMAINING_S))


def encode_failure(failure: Failure) -> bytes:
    """Encode an ERROR message."""
    return f"ERROR {_WORD_BY_CODE[failure.code]} {failure.text or '-'}".encode() + END


def encode_connect(
    group: str, organisation: str, instance: str, relay_version: int | None = None
) -> bytes:
    """Encode the first message to an instance, which rejects a group or id other than its own.

    `relay_version` is sent to a home that accepts it; instances never get it.
    """
    version = f" {relay_version}" if relay_version is not None else ""
    return f"CONNECT {group} {organisation} {instance}{version}".encode() + END


def encode_query(statement: InstanceStatement, *, to_home: bool = False) -> bytes:
    """Encode a statement for an instance, or with its urgency for the home that relays it."""
    after = statement.after
    prefix = f"AFTER {_entry_text(after)} " if after is not None else ""
    if to_home and statement.urgency is not None:
        prefix = f"{URGENCY_PREFIX}{_urgency_text(statement.urgency)} {prefix}"
    return f"QUERY {statement.id} {prefix}{_statement_text(statement)}".encode() + END


def _urgency_text(urgency: Urgency) -> str:
    now = trio.current_time()
    # Rounded down, so that a home never counts on more time than there is.
    objective_ms = math.floor((urgency.objective_at - now) * 1000)
    deadline_ms = math.floor((urgency.deadline - now) * 1000)
    return f"{urgency.priority}/{objective_ms}/{deadline_ms}/{int(urgency.in_transaction)}"


def _statement_text(statement: InstanceStatement) -> str:
    match statement.statement:
        case Verbatim(text):
            return text
        case Execute(name, arguments):
            return f"EXECUTE {name} {arguments}"
        case Prepare(name, writes, shape):
            return f"PREPARE {name} {'WRITE' if writes else 'READ'} {shape}"
        case SetValue(name, value):
            return f"SET {name} {value}"
        case Begin(read_only):
            return "BEGIN READ" if read_only else "BEGIN"
        case Rollback():
            return "ROLLBACK"
        case ResetSession():
            return "RESET"
        case ReportStatus():
            return "STATUS"
        case PauseReplication(term):
            return f"PAUSE {term}"
        case StepDown(term):
            return f"STEPDOWN {term}"


def decode_instance_line(line: bytes) -> InstanceMessage:
    """Decode a message from an instance; raises BadRequestError."""
    word, _, rest = line.partition(b" ")
    try:
        match word:
            case b"ROW":
                return Row(rest)
            case b"COMPLETE":
                return Complete(rest)
            case b"ERROR":
                code, _, text = rest.decode("utf-8", "replace").partition(" ")
                # An unknown code doesn't rule out that the statement ran, and neither does FAILED.
                failure_code = _CODE_BY_WORD.get(code, FailureCode.FAILED)
                return Error(Failure(failure_code, text))
            case b"READY":
                state, _, rest_text = rest.decode().partition(" ")
                position, _, load = rest_text.partition(" ")
                return Ready(_STATE_BY_WORD[state], parse_entry_id(position), _decode_load(load))
    except (KeyError, ValueError) as error:
        raise BadRequestError("malformed message from an instance") from error
    raise BadRequestError("unknown message from an instance")
