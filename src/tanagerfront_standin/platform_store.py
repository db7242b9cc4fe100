"""Stand-in for the platform's store and its promotion call, over HTTP."""

from __future__ import annotations

import base64
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
import trio

from tanagerfront.http_client import Address
from tanagerfront.http_server import ConnectionHandler, Request, Response, serve_http

from ._key_value_impl import Change, Entry, KeyValueModel, LeaseNotFoundError

__all__ = ["PlatformStore", "PromoteCallback", "StoreFaults"]

LEASE_CHECK_S = 0.05
MAX_WATCH_MS = 30_000
PromoteCallback = Callable[[str, str, str, int], Awaitable[bool]]
"""Promote an instance of a group for a holder with a token; return whether it runs."""


class StoreFaults(NamedTuple):
    """Faults in force."""

    # Calls are answered with 503 and do nothing.
    unavailable: bool = False
    # Calls hang and do nothing.
    unresponsive: bool = False
    slow_s: float = 0.0
    # One in this many changes is made and not answered; 0 for none.
    response_loss_interval: int = 0
    # Leases end during the outage, in place of being extended after it.
    leases_expire: bool = False


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _bytes(text: str) -> bytes:
    return base64.b64decode(text)


def _item(entry: Entry) -> dict[str, Any]:
    return {
        "key": entry.key.decode(),
        "value": _text(entry.value),
        "revision": entry.mod_revision,
        "created": entry.create_revision,
        "lease": entry.lease,
    }


def _event(change: Change) -> dict[str, Any]:
    if change.deleted:
        entry = change.entry
        return {"key": entry.key.decode(), "revision": entry.mod_revision, "deleted": True}
    return _item(change.entry)


def _reply(status: int, body: dict[str, Any] | None = None) -> Response:
    return Response(status, msgspec.json.encode(body or {}))


class PlatformStore:
    """The store in memory."""

    def __init__(self, promote: PromoteCallback) -> None:
        self._model = KeyValueModel()
        self._promote = promote
        self._losable = 0
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
        """Write as the operator or an instance does."""
        put = {"key": _text(key.encode()), "value": _text(msgspec.json.encode(value))}
        self._model.txn({"success": [{"request_put": {**put, "lease": str(lease)}}]})

    def delete(self, key: str) -> None:
        """Delete as an instance does that leaves."""
        deletion = {"key": _text(key.encode())}
        self._model.txn({"success": [{"request_delete_range": deletion}]})

    def compact(self) -> None:
        """Drop the history."""
        self._model.compact()

    async def _run_leases(self) -> None:
        while True:
            await trio.sleep(LEASE_CHECK_S)
            away = self.faults.unavailable or self.faults.unresponsive
            if away and not self.faults.leases_expire:
                self._model.extend_leases()
            self._model.expire_leases()

    async def answer(self, request: Request) -> Response:
        """Return the answer to one call, after the faults in force."""
        if self.faults.unresponsive:
            await trio.sleep_forever()
        if self.faults.unavailable:
            return _reply(503)
        await trio.sleep(self.faults.slow_s)
        response = await self._route(request)
        if request.method == "POST" and self.faults.response_loss_interval:
            self._losable += 1
            if self._losable % self.faults.response_loss_interval == 0:
                await trio.sleep_forever()
        return response

    async def _route(self, request: Request) -> Response:
        match request.method, request.path.strip("/").split("/"):
            case "GET", ["v1", "kv-key"]:
                found = self._range(request.query["key"].encode(), b"")
                body = {**found[0], "at_revision": self._model.revision} if found else {}
                return _reply(200 if found else 404, body)
            case "GET", ["v1", "kv-range"]:
                items = self._prefix(request.query.get("prefix", "").encode())
                revision = self._model.revision
                return _reply(200, {"items": items, "has_more": False, "at_revision": revision})
            case "GET", ["v1", "kv-watch"]:
                return await self._watch(request)
            case "POST", ["v1", "kv-txn"]:
                return self._txn(msgspec.json.decode(request.body))
            case "POST", ["v1", "kv-lease"]:
                ttl_ms = msgspec.json.decode(request.body)["ttl_ms"]
                return _reply(200, {"lease": self._model.grant(ttl_ms / 1000), "ttl_ms": ttl_ms})
            case "POST", ["v1", "kv-keep", lease]:
                ttl_s = self._model.keep_alive(int(lease))
                return _reply(200 if ttl_s else 404, {"ttl_ms": int(ttl_s * 1000)})
            case "DELETE", ["v1", "kv-lease-end", lease]:
                return self._end_lease(int(lease))
            case "POST", ["promote"]:
                return await self._order(request)
        return _reply(404)

    def _range(self, first: bytes, end: bytes) -> list[dict[str, Any]]:
        message = {"key": _text(first), "range_end": _text(end)}
        return [_item(entry) for entry in self._model.range(message)]

    def _prefix(self, prefix: bytes) -> list[dict[str, Any]]:
        return self._range(prefix or b"\0", prefix + b"\xff" if prefix else b"\xff")

    async def _watch(self, request: Request) -> Response:
        prefix = request.query.get("prefix", "").encode()
        after = int(request.query["after"])
        wait_s = min(MAX_WATCH_MS, int(request.query["wait_ms"])) / 1000
        events: list[dict[str, Any]] = []
        with trio.move_on_after(wait_s):
            while True:
                if after < self._model.compact_revision:
                    return _reply(410)
                changed = self._model.changed
                found = self._model.changes_from(after + 1, prefix or b"\0", prefix + b"\xff")
                events = [_event(each) for each in found]
                if events:
                    break
                await changed.wait()
        return _reply(200, {"events": events, "at_revision": self._model.revision})

    def _txn(self, body: dict[str, Any]) -> Response:
        rows = {row["key"]: row["revision"] for row in body.get("expected_revision", ())}
        current = {key: self._range(key.encode(), b"") for key in rows}
        if any((current[key][0]["revision"] if current[key] else 0) != rows[key] for key in rows):
            items = [item for found in current.values() for item in found]
            return _reply(412, {"items": items})
        puts = [
            {
                "request_put": {
                    "key": _text(put["key"].encode()),
                    "value": put["value"],
                    "lease": str(put.get("lease") or 0),
                }
            }
            for put in body.get("puts", ())
        ]
        deletes = [
            {"request_delete_range": {"key": _text(key.encode())}}
            for key in body.get("deletes", ())
        ]
        try:
            self._model.txn({"success": [*puts, *deletes]})
        except LeaseNotFoundError:
            return _reply(404)
        return _reply(200, {"revision": self._model.revision})

    def _end_lease(self, lease: int) -> Response:
        try:
            self._model.revoke(lease)
        except LeaseNotFoundError:
            return _reply(404)
        return _reply(200)

    async def _order(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        holder, token = request.headers["x-lease-holder"], int(request.headers["x-fencing-token"])
        self.promotions.append((body["service"], body["id"], holder, token))
        runs = await self._promote(body["service"], body["id"], holder, token)
        return _reply(200 if runs else 409)


class _Handler(ConnectionHandler):
    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def handle(self, request: Request) -> Response:
        """Return the answer to one call."""
        return await self._store.answer(request)
