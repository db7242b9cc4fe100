"""In-memory data model of the key-value stand-ins: revisions, transactions, leases, history."""

from __future__ import annotations

import base64
import collections
import itertools
from collections.abc import Iterable
from typing import Any, NamedTuple

import trio

__all__ = ["Change", "KeyValueModel", "LeaseNotFoundError", "ModelCopy", "decode_key"]

HISTORY_CHANGES = 10_000
FIRST_LEASE = 7_000_000_000_000_000_001


class LeaseNotFoundError(Exception):
    """The lease has expired, was revoked or never existed."""


class Entry(NamedTuple):
    """A stored key with its revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def to_json(self) -> dict[str, str]:
        """Return the entry as JSON of the etcd gateway, without empty or zero fields."""
        fields = {
            "key": base64.b64encode(self.key).decode(),
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
            "value": base64.b64encode(self.value).decode(),
            "lease": str(self.lease),
        }
        return {name: text for name, text in fields.items() if text not in ("", "0")}


class Change(NamedTuple):
    """One put or delete in the history."""

    deleted: bool
    entry: Entry

    def to_json(self) -> dict[str, Any]:
        """Return the change as an event in JSON of the etcd gateway."""
        event: dict[str, Any] = {"kv": self.entry.to_json()}
        return {"type": "DELETE", **event} if self.deleted else event


class Lease:
    """A lease with its TTL in seconds and the keys attached to it."""

    def __init__(self, ttl_s: float) -> None:
        self.ttl_s = ttl_s
        self.expires_at = 0.0
        self.keys: set[bytes] = set()
        self.renew()

    def renew(self) -> None:
        self.expires_at = trio.current_time() + self.ttl_s


class ModelCopy(NamedTuple):
    """A copy of a model's state, from which it can be restored."""

    entries: dict[bytes, Entry]
    # TTL in seconds and keys of each lease.
    leases: dict[int, tuple[float, frozenset[bytes]]]
    next_lease: int
    history: tuple[Change, ...]
    revision: int
    compact_revision: int


def decode_key(text: str | None) -> bytes:
    """Return the bytes of a base64 field."""
    return base64.b64decode(text or "", validate=True)


def _field(message: dict[str, Any], name: str) -> Any:
    # The gateway accepts field names both in snake_case and in lowerCamelCase.
    head, *rest = name.split("_")
    return message.get(name, message.get(head + "".join(part.title() for part in rest)))


def _in_range(key: bytes, first: bytes, end: bytes) -> bool:
    if not end:
        return key == first
    return key >= first and (end == b"\0" or key < end)


class KeyValueModel:
    """Keys, leases and the change history that watches read."""

    def __init__(self, history_changes: int = HISTORY_CHANGES) -> None:
        self._entries: dict[bytes, Entry] = {}
        self._leases: dict[int, Lease] = {}
        self._next_lease = FIRST_LEASE
        self._history: collections.deque[Change] = collections.deque()
        self._history_changes = history_changes
        self._revision = 1
        self._compact_revision = 0
        self._changed = trio.Event()

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    @property
    def compact_revision(self) -> int:
        """Return the revision up to which the history has been dropped."""
        return self._compact_revision

    @property
    def changed(self) -> trio.Event:
        """Return the event that is set at the next change."""
        return self._changed

    def range(self, message: dict[str, Any]) -> list[Entry]:
        """Return the entries of a range request in key order."""
        first = decode_key(message.get("key"))
        end = decode_key(_field(message, "range_end"))
        if not end:
            entry = self._entries.get(first)
            return [entry] if entry else []
        return [self._entries[key] for key in sorted(self._entries) if _in_range(key, first, end)]

    def txn(self, message: dict[str, Any]) -> tuple[bool, list[dict[str, Any]]]:
        """Run a transaction; return whether all comparisons succeeded, and the responses.

        Raises LeaseNotFoundError, with no change made, if a put names an unknown lease.
        """
        succeeded = all(self._compare(comparison) for comparison in message.get("compare", ()))
        operations = message.get("success" if succeeded else "failure", ())
        self._check_leases(operations)
        revision = self._revision + 1
        responses = [self._apply(operation, revision) for operation in operations]
        return succeeded, responses

    def _compare(self, comparison: dict[str, Any]) -> bool:
        entry = self._entries.get(decode_key(comparison.get("key")))
        target = str(comparison.get("target", "VERSION")).upper()
        actual: Any
        if target == "VALUE":
            actual = entry.value if entry else b""
            expected: Any = decode_key(comparison.get("value"))
        else:
            name = {"MOD": "mod_revision", "CREATE": "create_revision"}.get(target, target.lower())
            actual = getattr(entry, name) if entry else 0
            expected = int(_field(comparison, name) or 0)
        match str(comparison.get("result", "EQUAL")).upper():
            case "GREATER":
                return bool(actual > expected)
            case "LESS":
                return bool(actual < expected)
            case "NOT_EQUAL":
                return bool(actual != expected)
            case _:
                return bool(actual == expected)

    def _check_leases(self, operations: Iterable[dict[str, Any]]) -> None:
        for operation in operations:
            put = _field(operation, "request_put")
            lease = int(put.get("lease") or 0) if put else 0
            if lease and lease not in self._leases:
                raise LeaseNotFoundError

    def _apply(self, operation: dict[str, Any], revision: int) -> dict[str, Any]:
        if (put := _field(operation, "request_put")) is not None:
            lease = int(put.get("lease") or 0)
            self._put(decode_key(put.get("key")), decode_key(put.get("value")), lease, revision)
            return {"response_put": {}}
        if (deletion := _field(operation, "request_delete_range")) is not None:
            keys = [entry.key for entry in self.range(deletion)]
            self._delete(keys, revision)
            return {"response_delete_range": {"deleted": str(len(keys))}}
        entries = self.range(_field(operation, "request_range") or {})
        found = {"kvs": [entry.to_json() for entry in entries], "count": str(len(entries))}
        return {"response_range": found}

    def _put(self, key: bytes, value: bytes, lease: int, revision: int) -> None:
        old = self._entries.get(key)
        self._detach_lease(old)
        created, version = (old.create_revision, old.version + 1) if old else (revision, 1)
        entry = Entry(key, value, created, revision, version, lease)
        self._entries[key] = entry
        if lease:
            self._leases[lease].keys.add(key)
        self._record_change(Change(False, entry))

    def _delete(self, keys: Iterable[bytes], revision: int) -> None:
        for key in keys:
            self._detach_lease(self._entries.pop(key))
            self._record_change(Change(True, Entry(key, b"", 0, revision, 0, 0)))

    def _detach_lease(self, entry: Entry | None) -> None:
        if entry and entry.lease in self._leases:
            self._leases[entry.lease].keys.discard(entry.key)

    def _record_change(self, change: Change) -> None:
        self._revision = change.entry.mod_revision
        self._history.append(change)
        while len(self._history) > self._history_changes:
            self._compact_revision = self._history.popleft().entry.mod_revision
        self._changed.set()
        self._changed = trio.Event()

    def changes_from(self, revision: int, first: bytes, end: bytes) -> list[Change]:
        """Return the changes in a key range at or after a revision, oldest first."""
        newer = itertools.takewhile(
            lambda change: change.entry.mod_revision >= revision, reversed(self._history)
        )
        found = [change for change in newer if _in_range(change.entry.key, first, end)]
        return found[::-1]

    def compact(self) -> None:
        """Drop the whole history."""
        self._history.clear()
        self._compact_revision = self._revision

    def grant(self, ttl_s: float, lease: int = 0) -> int:
        """Create a lease with a TTL in seconds and return its id."""
        lease_id = lease or self._next_lease
        if not lease:
            self._next_lease += 1
        self._leases[lease_id] = Lease(ttl_s)
        return lease_id

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its TTL in seconds, 0 if it doesn't exist."""
        found = self._leases.get(lease)
        if found is None:
            return 0
        found.renew()
        return found.ttl_s

    def revoke(self, lease: int) -> None:
        """Remove a lease and delete its keys; raises LeaseNotFoundError."""
        found = self._leases.pop(lease, None)
        if found is None:
            raise LeaseNotFoundError
        if found.keys:
            self._delete(sorted(found.keys), self._revision + 1)

    def copy(self) -> ModelCopy:
        """Return a copy of the state."""
        return ModelCopy(
            dict(self._entries),
            {
                number: (lease.ttl_s, frozenset(lease.keys))
                for number, lease in self._leases.items()
            },
            self._next_lease,
            tuple(self._history),
            self._revision,
            self._compact_revision,
        )

    def restore(self, copy: ModelCopy) -> None:
        """Return to an earlier state: later revisions and leases are given out again."""
        self._entries = dict(copy.entries)
        self._leases = {number: Lease(ttl_s) for number, (ttl_s, _) in copy.leases.items()}
        for number, (_, keys) in copy.leases.items():
            self._leases[number].keys |= keys
        self._next_lease = copy.next_lease
        self._history = collections.deque(copy.history)
        self._revision = copy.revision
        self._compact_revision = copy.compact_revision
        self._changed.set()
        self._changed = trio.Event()

    def extend_leases(self) -> None:
        """Renew every lease for its full TTL, as etcd does after an outage."""
        for lease in self._leases.values():
            lease.renew()

    def expire_leases(self) -> None:
        """Revoke the leases whose TTL has passed."""
        now = trio.current_time()
        for lease_id in [
            lease_id for lease_id, lease in self._leases.items() if lease.expires_at <= now
        ]:
            self.revoke(lease_id)
