"""Stand-in for the platform's key-value store and promotion call (session interface), over HTTP."""

from __future__ import annotations

import base64
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
import trio

from tanagerfront.http_client import Address
from tanagerfront.http_server import ConnectionHandler, Request, Response, serve_http

from ._key_value_impl import Change, Entry, KeyValueModel, LeaseNotFoundError, ModelCopy

__all__ = ["ModelCopy", "PlatformStore", "PromoteCallback", "StoreFaults"]

LEASE_CHECK_S = 0.05
MAX_WATCH_MS = 30_000
PromoteCallback = Callable[[str, str, str, int], Awaitable[bool]]
"""Promote an instance: takes group, instance, lease holder and fencing token.

Returns whether the instance is running.
"""


class StoreFaults(NamedTuple):
    """Faults that the store simulates."""

    # Calls fail with 503 and have no effect.
    unavailable: bool = False
    # Calls hang and have no effect.
    unresponsive: bool = False
    slow_s: float = 0.0
    # Every nth change is applied without a response being sent; 0 disables this.
    response_loss_interval: int = 0
    # Leases expire during an outage; otherwise they are extended to their full TTL.
    leases_expire: bool = False


def _encode_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _bytes(text: str) -> bytes:
    return base64.b64decode(text)


def _entry_json(entry: Entry) -> dict[str, Any]:
    return {
        "key": entry.key.decode(),
        "value": _encode_base64(entry.value),
        "revision": entry.mod_revision,
        "created": entry.create_revision,
        "lease": entry.lease,
    }


def _event_json(change: Change) -> dict[str, Any]:
    if change.deleted:
        entry = change.entry
        return {"key": entry.key.decode(), "revision": entry.mod_revision, "deleted": True}
    return _entry_json(change.entry)


def _json_response(status: int, body: dict[str, Any] | None = None) -> Response:
    return Response(status, msgspec.json.encode(body or {}))


class PlatformStore:
    """In-memory store with leases and watches; records promotion calls in `promotions`."""

    def __init__(self, promote: PromoteCallback) -> None:
        self._model = KeyValueModel()
        self._promote = promote
        self._post_count = 0
        self._era = 1
        self.faults = StoreFaults()
        self.promotions: list[tuple[str, str, str, int]] = []

    async def run(
        self, address: Address, *, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_leases)
            nursery.start_soon(serve_http, listeners, lambda _stream: _Handler(self))
            host, port = listeners[0].socket.getsockname()[:2]
            task_status.started(Address(host, port))

    def put(self, key: str, value: dict[str, Any], lease: int = 0) -> None:
        """Write a key directly, as the operator or an instance would, without simulated faults."""
        put = {
            "key": _encode_base64(key.encode()),
            "value": _encode_base64(msgspec.json.encode(value)),
        }
        self._model.txn({"success": [{"request_put": {**put, "lease": str(lease)}}]})

    def get(self, key: str) -> dict[str, Any] | None:
        """Return a key's value directly, None without one."""
        found = self._range(key.encode(), b"")
        return msgspec.json.decode(_bytes(found[0]["value"])) if found else None

    def delete(self, key: str) -> None:
        """Delete a key directly, as an instance that unregisters would."""
        deletion = {"key": _encode_base64(key.encode())}
        self._model.txn({"success": [{"request_delete_range": deletion}]})

    def grant(self, ttl_s: float) -> int:
        """Create a lease directly and return its id."""
        return self._model.grant(ttl_s)

    def compact(self) -> None:
        """Drop the change history, so that watches from older revisions fail with 410."""
        self._model.compact()

    def copy(self) -> ModelCopy:
        """Return a copy of the current state, for `restore`."""
        return self._model.copy()

    def restore(self, copy: ModelCopy) -> None:
        """Return to an earlier state in a new era: what was written since is lost."""
        self._model.restore(copy)
        self._era += 1

    async def _run_leases(self) -> None:
        while True:
            await trio.sleep(LEASE_CHECK_S)
            unreachable = self.faults.unavailable or self.faults.unresponsive
            if unreachable and not self.faults.leases_expire:
                self._model.extend_leases()
            self._model.expire_leases()

    async def answer(self, request: Request) -> Response:
        """Handle one call, subject to the simulated faults; every reply names the era."""
        response = await self._answer(request)
        return response._replace(headers=(("Store-Era", str(self._era)),))

    async def _answer(self, request: Request) -> Response:
        if self.faults.unresponsive:
            await trio.sleep_forever()
        if self.faults.unavailable:
            return _json_response(503)
        await trio.sleep(self.faults.slow_s)
        response = await self._route(request)
        if request.method == "POST" and self.faults.response_loss_interval:
            self._post_count += 1
            if self._post_count % self.faults.response_loss_interval == 0:
                await trio.sleep_forever()
        return response

    async def _route(self, request: Request) -> Response:
        match request.method, request.path.strip("/").split("/"):
            case "GET", ["v1", "kv-key"]:
                found = self._range(request.query["key"].encode(), b"")
                body = {**found[0], "at_revision": self._model.revision} if found else {}
                return _json_response(200 if found else 404, body)
            case "GET", ["v1", "kv-range"]:
                items = self._prefix(request.query.get("prefix", "").encode())
                revision = self._model.revision
                return _json_response(
                    200, {"items": items, "has_more": False, "at_revision": revision}
                )
            case "GET", ["v1", "kv-watch"]:
                return await self._watch(request)
            case "POST", ["v1", "kv-txn"]:
                return self._txn(msgspec.json.decode(request.body))
            case "POST", ["v1", "kv-lease"]:
                ttl_ms = msgspec.json.decode(request.body)["ttl_ms"]
                return _json_response(
                    200, {"lease": self._model.grant(ttl_ms / 1000), "ttl_ms": ttl_ms}
                )
            case "POST", ["v1", "kv-keep", lease]:
                ttl_s = self._model.keep_alive(int(lease))
                return _json_response(200 if ttl_s else 404, {"ttl_ms": int(ttl_s * 1000)})
            case "DELETE", ["v1", "kv-lease-end", lease]:
                return self._end_lease(int(lease))
            case "POST", ["promote"]:
                return await self._handle_promotion(request)
        return _json_response(404)

    def _range(self, first: bytes, end: bytes) -> list[dict[str, Any]]:
        message = {"key": _encode_base64(first), "range_end": _encode_base64(end)}
        return [_entry_json(entry) for entry in self._model.range(message)]

    def _prefix(self, prefix: bytes) -> list[dict[str, Any]]:
        return self._range(prefix or b"\0", prefix + b"\xff" if prefix else b"\xff")

    async def _watch(self, request: Request) -> Response:
        prefix = request.query.get("prefix", "").encode()
        after = int(request.query["after"])
        wait_s = min(MAX_WATCH_MS, int(request.query["wait_ms"])) / 1000
        events: list[dict[str, Any]] = []
        with trio.move_on_after(wait_s):
            while True:
                if not self._model.compact_revision <= after <= self._model.revision:
                    return _json_response(410)
                changed = self._model.changed
                changes = self._model.changes_from(after + 1, prefix or b"\0", prefix + b"\xff")
                events = [_event_json(change) for change in changes]
                if events:
                    break
                await changed.wait()
        return _json_response(200, {"events": events, "at_revision": self._model.revision})

    def _txn(self, body: dict[str, Any]) -> Response:
        expected = {check["key"]: check["revision"] for check in body.get("expected_revision", ())}
        current = {key: self._range(key.encode(), b"") for key in expected}
        if any(
            (current[key][0]["revision"] if current[key] else 0) != expected[key]
            for key in expected
        ):
            items = [item for found in current.values() for item in found]
            return _json_response(412, {"items": items})
        puts = [
            {
                "request_put": {
                    "key": _encode_base64(put["key"].encode()),
                    "value": put["value"],
                    "lease": str(put.get("lease") or 0),
                }
            }
            for put in body.get("puts", ())
        ]
        deletes = [
            {"request_delete_range": {"key": _encode_base64(key.encode())}}
            for key in body.get("deletes", ())
        ]
        try:
            self._model.txn({"success": [*puts, *deletes]})
        except LeaseNotFoundError:
            return _json_response(404)
        return _json_response(200, {"revision": self._model.revision})

    def _end_lease(self, lease: int) -> Response:
        try:
            self._model.revoke(lease)
        except LeaseNotFoundError:
            return _json_response(404)
        return _json_response(200)

    async def _handle_promotion(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        holder, token = request.headers["x-lease-holder"], int(request.headers["x-fencing-token"])
        self.promotions.append((body["service"], body["id"], holder, token))
        running = await self._promote(body["service"], body["id"], holder, token)
        return _json_response(200 if running else 409)


class _Handler(ConnectionHandler):
    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def handle(self, request: Request) -> Response:
        """Handle one call."""
        return await self._store.answer(request)
