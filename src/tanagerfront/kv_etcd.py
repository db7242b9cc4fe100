"""Client of the key-value service over the etcd v3 JSON gateway."""

from __future__ import annotations

import base64
import json
from collections.abc import AsyncIterator, Iterator
from contextlib import aclosing, suppress
from typing import Any, NamedTuple

import trio

from ._kv_etcd_era import ClusterEra
from .errors import (
    ConnectionLostError,
    KeyValueError,
    KeyValueTimeoutError,
    KeyValueUnavailableError,
)
from .http_client import Address, HttpConnection, HttpReply
from .kv import KeyValue, WatchEvent

__all__ = ["EtcdStore"]

CALL_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 4
# Several progress notification intervals, so that one late notification does not end a watch.
WATCH_IDLE_TIMEOUT_S = 5.0
# The network may drop an idle connection without a reset; opening a new one costs a round trip.
MAX_REUSE_IDLE_S = 5.0
# Errors that the service returns before it proposes the change.
REJECTED_BEFORE_PROPOSAL = ("etcdserver: no leader", "etcdserver: too many requests")
LEASE_NOT_FOUND = "etcdserver: requested lease not found"


class _IdleConnection(NamedTuple):
    connection: HttpConnection
    idle_since: float


class EtcdStore:
    """KeyValueStore with a small connection pool to one of the service's addresses at a time.

    Revisions are numbered across restores of the service, after which leases count as ended.
    """

    def __init__(
        self,
        *addresses: Address,
        timeout_s: float = CALL_TIMEOUT_S,
        max_connections: int = MAX_CONNECTIONS,
        watch_idle_timeout_s: float = WATCH_IDLE_TIMEOUT_S,
    ) -> None:
        self._addresses = addresses
        self._address_index = 0
        self._timeout_s = timeout_s
        self._watch_idle_timeout_s = watch_idle_timeout_s
        self._connection_permits = trio.Semaphore(max_connections)
        self._idle_connections: list[_IdleConnection] = []
        self._last_answer_at = float("-inf")
        self._era = ClusterEra()
        # The era in which each lease was granted; a restored service grants their ids again.
        self._lease_eras: dict[int, int] = {}

    @property
    def _address(self) -> Address:
        return self._addresses[self._address_index]

    def _use_next_address(self) -> None:
        self._address_index = (self._address_index + 1) % len(self._addresses)

    @property
    def last_answer_age_s(self) -> float:
        """Return the seconds since the service last answered a call from this client."""
        return trio.current_time() - self._last_answer_at

    async def get(self, key: str) -> KeyValue | None:
        """Return the current value, None if the key does not exist."""
        reply = await self._read("/v3/kv/range", {"key": _encode(key)})
        return next(self._key_values(reply), None)

    async def range(self, prefix: str) -> tuple[tuple[KeyValue, ...], int]:
        """Return all values under a prefix and the store revision."""
        reply = await self._read("/v3/kv/range", _prefix_range(prefix))
        revision = self._era.numbered(int(reply["header"]["revision"]))
        return tuple(self._key_values(reply)), revision

    async def put_if(self, key: str, value: bytes, revision: int, *, lease: int = 0) -> bool:
        """Write if the key is at `revision`, 0 for an absent key; return whether it was."""
        if lease and not self._is_lease_current(lease):
            raise KeyValueError(LEASE_NOT_FOUND)
        put = {"key": _encode(key), "value": _encode(value), "lease": str(lease)}
        return await self._swap(key, revision, {"request_put": put})

    async def delete_if(self, key: str, revision: int) -> bool:
        """Delete the key if it is still at `revision`; return whether it was."""
        return await self._swap(key, revision, {"request_delete_range": {"key": _encode(key)}})

    async def grant(self, ttl_s: int) -> int:
        """Create a lease of `ttl_s` seconds and return its id."""
        reply = await self._write("/v3/lease/grant", {"TTL": str(ttl_s), "ID": "0"})
        lease = int(reply["ID"])
        self._lease_eras[lease] = self._era.known.era
        return lease

    def _is_lease_current(self, lease: int) -> bool:
        return self._lease_eras.get(lease, self._era.known.era) == self._era.known.era

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its TTL in seconds, 0 if it has expired."""
        reply = await self._write("/v3/lease/keepalive", {"ID": str(lease)})
        if not self._is_lease_current(lease):
            return 0.0
        return float(reply["result"].get("TTL", 0))

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""
        if not self._is_lease_current(lease):
            return
        try:
            await self._write("/v3/lease/revoke", {"ID": str(lease)})
            self._lease_eras.pop(lease, None)
        except KeyValueError as error:
            # An expired lease needs no revocation.
            if error.message != LEASE_NOT_FOUND:
                raise

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield changes under a prefix from a revision; raises KeyValueError on end or silence."""
        asked = self._era.known
        stored_start = self._era.stored(start_revision)
        if stored_start is None:
            raise KeyValueError("watch ended: the service was restored")
        request = {
            **_prefix_range(prefix),
            "start_revision": str(stored_start),
            "progress_notify": True,
        }
        body = json.dumps({"create_request": request}).encode()
        try:
            connection = await HttpConnection.open(self._address, timeout_s=self._timeout_s)
            chunks = connection.stream(
                "POST", "/v3/watch", body, idle_timeout_s=self._watch_idle_timeout_s
            )
            async with aclosing(chunks), aclosing(_split_lines(chunks)) as lines:  # type: ignore[type-var]
                async for line in lines:
                    result = _watch_result(line)
                    header = result.get("header", {})
                    if self._era.record(header, asked, linearizable=False):
                        raise KeyValueError("watch ended: the service was restored")
                    for event in _watch_events(result):
                        yield event._replace(revision=self._era.numbered(event.revision))
        except ConnectionLostError as error:
            raise KeyValueUnavailableError(f"watch of {prefix} failed: {error}") from error
        raise KeyValueUnavailableError(f"watch of {prefix} was closed by the service")

    async def close(self) -> None:
        """Close the idle connections."""
        idle, self._idle_connections = self._idle_connections, []
        for entry in idle:
            await entry.connection.close()

    async def _swap(self, key: str, revision: int, operation: dict[str, Any]) -> bool:
        stored = self._era.stored(revision)
        if stored is None:
            return False
        compare = {
            "key": _encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(stored),
        }
        reply = await self._write("/v3/kv/txn", {"compare": [compare], "success": [operation]})
        return bool(reply.get("succeeded", False))

    def _key_values(self, reply: dict[str, Any]) -> Iterator[KeyValue]:
        for entry in reply.get("kvs", ()):
            yield KeyValue(
                base64.b64decode(entry["key"]).decode(),
                base64.b64decode(entry.get("value", "")),
                self._era.numbered(int(entry["mod_revision"])),
                int(entry.get("lease", 0)),
            )

    async def _read(self, path: str, message: dict[str, Any]) -> dict[str, Any]:
        asked = self._era.known
        try:
            reply = await self._call(path, message)
        except KeyValueTimeoutError as error:
            # A read has no side effect, so a timeout leaves nothing uncertain.
            raise KeyValueUnavailableError(error.message) from error
        self._era.record(reply["header"], asked, linearizable=True)
        return reply

    async def _write(self, path: str, message: dict[str, Any]) -> dict[str, Any]:
        asked = self._era.known
        reply = await self._call(path, message)
        header = reply.get("header") or reply.get("result", {}).get("header", {})
        # Only transactions are answered with the revision that they were executed at.
        if self._era.record(header, asked, linearizable=path == "/v3/kv/txn"):
            raise KeyValueTimeoutError("the service was restored during the call")
        return reply

    async def _call(self, path: str, message: dict[str, Any]) -> dict[str, Any]:
        deadline = trio.current_time() + self._timeout_s
        # The scope excludes the exchange, which alone knows whether the call was sent.
        with trio.move_on_at(deadline) as acquire_scope:
            await self._connection_permits.acquire()
        if acquire_scope.cancelled_caught:
            text = f"no connection to {self._address} became available within {self._timeout_s:g} s"
            raise KeyValueUnavailableError(text)
        try:
            return await self._exchange(path, json.dumps(message).encode(), deadline)
        finally:
            self._connection_permits.release()

    async def _exchange(self, path: str, body: bytes, deadline: float) -> dict[str, Any]:
        try:
            connection = await self._connect(deadline)
            remaining_s = deadline - trio.current_time()
            reply = await connection.request("POST", path, body, timeout_s=max(remaining_s, 0))
        except ConnectionLostError as error:
            # The other idle connections use the same network path and may be dead as well.
            await self.close()
            self._use_next_address()
            message = f"key-value service: {error}"
            if error.executed == "no":
                raise KeyValueUnavailableError(message) from error
            raise KeyValueTimeoutError(message) from error
        if connection.usable:
            self._idle_connections.append(_IdleConnection(connection, trio.current_time()))
        answer = _parse_reply(reply)
        # Errors such as "no leader" raise above: they are no evidence that the service works.
        self._last_answer_at = trio.current_time()
        return answer

    async def _connect(self, deadline: float) -> HttpConnection:
        while self._idle_connections:
            entry = self._idle_connections.pop()
            if trio.current_time() - entry.idle_since < MAX_REUSE_IDLE_S:
                return entry.connection
            await entry.connection.close()
        timeout_s = max(deadline - trio.current_time(), 0)
        return await HttpConnection.open(self._address, timeout_s=timeout_s)


def _encode(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _prefix_range(prefix: str) -> dict[str, Any]:
    raw = prefix.encode()
    # The end is the first key after all keys with this prefix; prefixes end in an ASCII character.
    return {"key": _encode(raw), "range_end": _encode(raw[:-1] + bytes([raw[-1] + 1]))}


def _parse_reply(reply: HttpReply) -> dict[str, Any]:
    message: dict[str, Any] = {}
    with suppress(ValueError, RecursionError):
        message = json.loads(reply.body)
    if reply.status == 200 and message:
        return message
    text = str(message.get("message") or message.get("error") or f"status {reply.status}")
    if text.startswith(REJECTED_BEFORE_PROPOSAL):
        raise KeyValueUnavailableError(text)
    if 400 <= reply.status < 500:
        raise KeyValueError(text)
    # After other failures, such as "request timed out", the change may have been applied.
    raise KeyValueTimeoutError(text)


async def _split_lines(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    partial_line = b""
    async for chunk in chunks:
        *lines, partial_line = (partial_line + chunk).split(b"\n")
        for line in lines:
            if line.strip():
                yield line
    # An error response is a single JSON object without a newline.
    if partial_line.strip():
        yield partial_line


def _watch_result(line: bytes) -> dict[str, Any]:
    try:
        message = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise KeyValueUnavailableError("malformed line in a watch stream") from error
    result: dict[str, Any] | None = message.get("result")
    if result is None:
        raise KeyValueUnavailableError(f"watch rejected: {message.get('error', message)}")
    if result.get("canceled"):
        compacted = result.get("compact_revision")
        canceled = result.get("cancel_reason", "canceled")
        reason = f"history up to {compacted} was dropped" if compacted else canceled
        raise KeyValueError(f"watch ended: {reason}")
    return result


def _watch_events(result: dict[str, Any]) -> Iterator[WatchEvent]:
    for event in result.get("events", ()):
        entry = event["kv"]
        deleted = event.get("type") == "DELETE"
        value = None if deleted else base64.b64decode(entry.get("value", ""))
        key = base64.b64decode(entry["key"]).decode()
        yield WatchEvent(key, value, int(entry["mod_revision"]))
