"""Key-value service over the etcd v3 JSON gateway."""

from __future__ import annotations

import base64
import json
from collections.abc import AsyncIterator, Iterator
from contextlib import aclosing, suppress
from typing import Any, NamedTuple

import trio

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
# Several intervals of progress notifications, so that one late line does not end a watch.
WATCH_IDLE_TIMEOUT_S = 5.0
# The path may have dropped an idle connection without a reset; a new one costs a round trip.
REUSE_IDLE_S = 5.0
# Refusals that the service gives before it proposes the change.
REFUSED_BEFORE_EFFECT = ("etcdserver: no leader", "etcdserver: too many requests")
LEASE_NOT_FOUND = "etcdserver: requested lease not found"


class _Idle(NamedTuple):
    connection: HttpConnection
    since: float


class EtcdStore:
    """KeyValueStore over a small pool of connections to one of the service's addresses."""

    def __init__(
        self,
        *addresses: Address,
        timeout_s: float = CALL_TIMEOUT_S,
        max_connections: int = MAX_CONNECTIONS,
        watch_idle_timeout_s: float = WATCH_IDLE_TIMEOUT_S,
    ) -> None:
        self._addresses = addresses
        self._chosen = 0
        self._timeout_s = timeout_s
        self._watch_idle_timeout_s = watch_idle_timeout_s
        self._slots = trio.Semaphore(max_connections)
        self._idle: list[_Idle] = []
        self._answered_at = float("-inf")

    @property
    def _address(self) -> Address:
        return self._addresses[self._chosen]

    def _use_next_address(self) -> None:
        self._chosen = (self._chosen + 1) % len(self._addresses)

    @property
    def last_answer_age_s(self) -> float:
        """Return the seconds since the service last answered a call of this client."""
        return trio.current_time() - self._answered_at

    async def get(self, key: str) -> KeyValue | None:
        """Return the current value."""
        reply = await self._read("/v3/kv/range", {"key": _encode(key)})
        return next(_key_values(reply), None)

    async def range(self, prefix: str) -> tuple[tuple[KeyValue, ...], int]:
        """Return all values under a prefix and the store's revision."""
        reply = await self._read("/v3/kv/range", _prefix_range(prefix))
        return tuple(_key_values(reply)), int(reply["header"]["revision"])

    async def put_if(self, key: str, value: bytes, revision: int, *, lease: int = 0) -> bool:
        """Write if the key's revision is still `revision`, 0 for a key that must not exist."""
        put = {"key": _encode(key), "value": _encode(value), "lease": str(lease)}
        return await self._swap(key, revision, {"request_put": put})

    async def delete_if(self, key: str, revision: int) -> bool:
        """Delete if the key's revision is still `revision`."""
        return await self._swap(key, revision, {"request_delete_range": {"key": _encode(key)}})

    async def grant(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        reply = await self._write("/v3/lease/grant", {"TTL": str(ttl_s), "ID": "0"})
        return int(reply["ID"])

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its full time in seconds, 0 if it has ended."""
        reply = await self._write("/v3/lease/keepalive", {"ID": str(lease)})
        return float(reply["result"].get("TTL", 0))

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are deleted."""
        try:
            await self._write("/v3/lease/revoke", {"ID": str(lease)})
        except KeyValueError as error:
            # A lease that has ended already needs no revocation.
            if error.message != LEASE_NOT_FOUND:
                raise

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield changes under a prefix from a revision on; ends with an error when silent."""
        request = {
            **_prefix_range(prefix),
            "start_revision": str(start_revision),
            "progress_notify": True,
        }
        body = json.dumps({"create_request": request}).encode()
        try:
            connection = await HttpConnection.open(self._address, timeout_s=self._timeout_s)
            chunks = connection.stream(
                "POST", "/v3/watch", body, idle_timeout_s=self._watch_idle_timeout_s
            )
            async with aclosing(chunks), aclosing(_lines(chunks)) as lines:  # type: ignore[type-var]
                async for line in lines:
                    for event in _watch_events(line):
                        yield event
        except ConnectionLostError as error:
            raise KeyValueUnavailableError(f"watch of {prefix} ended: {error}") from error
        raise KeyValueUnavailableError(f"watch of {prefix} was ended by the service")

    async def close(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for entry in idle:
            await entry.connection.close()

    async def _swap(self, key: str, revision: int, operation: dict[str, Any]) -> bool:
        compare = {
            "key": _encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(revision),
        }
        reply = await self._write("/v3/kv/txn", {"compare": [compare], "success": [operation]})
        return bool(reply.get("succeeded", False))

    async def _read(self, path: str, message: dict[str, Any]) -> dict[str, Any]:
        try:
            return await self._call(path, message)
        except KeyValueTimeoutError as error:
            # A read has no effect, whether it was answered or not.
            raise KeyValueUnavailableError(error.message) from error

    async def _write(self, path: str, message: dict[str, Any]) -> dict[str, Any]:
        return await self._call(path, message)

    async def _call(self, path: str, message: dict[str, Any]) -> dict[str, Any]:
        deadline = trio.current_time() + self._timeout_s
        # The scope ends before the exchange, which alone knows whether the call was sent.
        with trio.move_on_at(deadline) as waiting:
            await self._slots.acquire()
        if waiting.cancelled_caught:
            text = f"no connection to {self._address} became free in {self._timeout_s:g} s"
            raise KeyValueUnavailableError(text)
        try:
            return await self._exchange(path, json.dumps(message).encode(), deadline)
        finally:
            self._slots.release()

    async def _exchange(self, path: str, body: bytes, deadline: float) -> dict[str, Any]:
        try:
            connection = await self._connect(deadline)
            left_s = deadline - trio.current_time()
            reply = await connection.request("POST", path, body, timeout_s=max(left_s, 0))
        except ConnectionLostError as error:
            # The other idle connections use the same path and may be dead as well.
            await self.close()
            self._use_next_address()
            message = f"key-value service: {error}"
            if error.executed == "no":
                raise KeyValueUnavailableError(message) from error
            raise KeyValueTimeoutError(message) from error
        if connection.usable:
            self._idle.append(_Idle(connection, trio.current_time()))
        answer = _parse_reply(reply)
        # An answer such as "no leader" is no sign that the service works.
        self._answered_at = trio.current_time()
        return answer

    async def _connect(self, deadline: float) -> HttpConnection:
        while self._idle:
            entry = self._idle.pop()
            if trio.current_time() - entry.since < REUSE_IDLE_S:
                return entry.connection
            await entry.connection.close()
        timeout_s = max(deadline - trio.current_time(), 0)
        return await HttpConnection.open(self._address, timeout_s=timeout_s)


def _encode(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _prefix_range(prefix: str) -> dict[str, Any]:
    raw = prefix.encode()
    # The key after every key with this prefix; prefixes end in an ASCII character.
    return {"key": _encode(raw), "range_end": _encode(raw[:-1] + bytes([raw[-1] + 1]))}


def _key_values(reply: dict[str, Any]) -> Iterator[KeyValue]:
    for entry in reply.get("kvs", ()):
        yield KeyValue(
            base64.b64decode(entry["key"]).decode(),
            base64.b64decode(entry.get("value", "")),
            int(entry["mod_revision"]),
            int(entry.get("lease", 0)),
        )


def _parse_reply(reply: HttpReply) -> dict[str, Any]:
    message: dict[str, Any] = {}
    with suppress(ValueError):
        message = json.loads(reply.body)
    if reply.status == 200 and message:
        return message
    text = str(message.get("message") or message.get("error") or f"status {reply.status}")
    if text.startswith(REFUSED_BEFORE_EFFECT):
        raise KeyValueUnavailableError(text)
    if 400 <= reply.status < 500:
        raise KeyValueError(text)
    # Other failures, such as "request timed out", leave open whether the change was applied.
    raise KeyValueTimeoutError(text)


async def _lines(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    rest = b""
    async for chunk in chunks:
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            if line.strip():
                yield line
    # A refusal is one JSON object without a line end.
    if rest.strip():
        yield rest


def _watch_events(line: bytes) -> Iterator[WatchEvent]:
    try:
        message = json.loads(line)
    except ValueError as error:
        raise KeyValueUnavailableError("malformed line in a watch") from error
    result = message.get("result")
    if result is None:
        raise KeyValueUnavailableError(f"watch refused: {message.get('error', message)}")
    if result.get("canceled"):
        compacted = result.get("compact_revision")
        canceled = result.get("cancel_reason", "canceled")
        reason = f"history up to {compacted} was dropped" if compacted else canceled
        raise KeyValueError(f"watch ended: {reason}")
    for event in result.get("events", ()):
        entry = event["kv"]
        deleted = event.get("type") == "DELETE"
        value = None if deleted else base64.b64decode(entry.get("value", ""))
        key = base64.b64decode(entry["key"]).decode()
        yield WatchEvent(key, value, int(entry["mod_revision"]))
