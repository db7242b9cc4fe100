"""The platform's metadata store and promotion call, in memory, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_ITEMS = 500
LEASE_CHECK_S = 0.05
MAX_WAIT_S = 30.0

Promote = Callable[[str, str], Awaitable[bool]]


class Store:
    """Keys with revisions, leases, watches and conditional writes.

    Each VM reaches the store at a port of its own, so that the store can turn single VMs away.
    """

    def __init__(self, promote: Promote) -> None:
        self._promote = promote
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.turned_away: set[str] = set()
        # When each VM last renewed a lease.
        self.renewed_at: dict[str, float] = {}
        self.promotions: list[dict[str, Any]] = []
        # Called with each key that is written or deleted.
        self.on_change: Callable[[str, bool], None] = lambda key, present: None
        self._lease_ids = itertools.count(70_001)
        self._changed = asyncio.Event()

    async def listen(self, vm: str) -> tuple[str, asyncio.AbstractServer]:
        """Serve a VM on a free port; return the address and the server."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(vm, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}", server

    async def run_leases(self) -> None:
        """Remove the keys of leases that have ended, until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
                self._end_lease(lease)

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a key as the operator or an instance would."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([{"key": key, "value": data, "lease": lease}], [])

    def delete(self, key: str) -> None:
        """Delete a key as an instance that leaves would."""
        self._apply([], [key])

    def turn_away(self, *vms: str) -> None:
        """Answer all calls of these VMs with 503 from now on, and no others."""
        self.turned_away = set(vms)
        self._wake()

    def _apply(self, puts: list[dict[str, Any]], deletes: list[str]) -> None:
        self.revision += 1
        for put in puts:
            key = put["key"]
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {
                "key": key,
                "value": put["value"],
                "revision": self.revision,
                "created": created,
                "lease": put.get("lease") or 0,
            }
            self.items[key] = item
            self.events.append(item)
            self.on_change(key, True)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append({"key": key, "revision": self.revision, "deleted": True})
                self.on_change(key, False)
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)
        return True

    async def _serve(
        self, vm: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, reply = await self._answer(vm, method, target, headers, body)
                data = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        writer.close()

    async def _answer(
        self, vm: str, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = unquote(url.path).strip("/").split("/")
        if parts == ["promote"]:
            return await self._answer_promote(headers, json.loads(body))
        if vm in self.turned_away:
            return 503, {}
        match method, parts:
            case "GET", ["v1", "kv-key"]:
                item = self.items.get(query["key"])
                return (200, item | {"at_revision": self.revision}) if item else (404, {})
            case "GET", ["v1", "kv-range"]:
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                items = [self.items[key] for key in keys[:PAGE_ITEMS]]
                more = len(keys) > PAGE_ITEMS
                return 200, {"items": items, "has_more": more, "at_revision": self.revision}
            case "GET", ["v1", "kv-watch"]:
                wait_s = min(MAX_WAIT_S, int(query["wait_ms"]) / 1000)
                return await self._watch(vm, query.get("prefix", ""), int(query["after"]), wait_s)
            case "POST", ["v1", "kv-txn"]:
                return self._transact(json.loads(body))
            case "POST", ["v1", "kv-lease"]:
                ttl_ms = max(1000, int(json.loads(body)["ttl_ms"]))
                lease = next(self._lease_ids)
                self.leases[lease] = (ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
                return 200, {"lease": lease, "ttl_ms": ttl_ms}
            case "POST", ["v1", "kv-keep", lease_id]:
                lease = int(lease_id)
                if lease not in self.leases:
                    return 404, {}
                ttl_s, _ = self.leases[lease]
                self.renewed_at[vm] = time.monotonic()
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"ttl_ms": int(ttl_s * 1000)}
            case "DELETE", ["v1", "kv-lease-end", lease_id]:
                return (200, {}) if self._end_lease(int(lease_id)) else (404, {})
        return 404, {}

    async def _watch(
        self, vm: str, prefix: str, after: int, wait_s: float
    ) -> tuple[int, dict[str, Any]]:
        deadline = time.monotonic() + wait_s
        while True:
            found = [
                e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "at_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
            if vm in self.turned_away:
                return 503, {}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = {row["key"]: row["revision"] for row in body.get("expected_revision", ())}
        found = {key: self.items[key] for key in expected if key in self.items}
        if any((found[k]["revision"] if k in found else 0) != r for k, r in expected.items()):
            return 412, {"items": list(found.values())}
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        if any(put["key"].startswith(("op/", "servers/")) for put in puts):
            return 403, {}
        if puts or deletes:
            self._apply(puts, deletes)
        return 200, {"revision": self.revision}

    async def _answer_promote(
        self, headers: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        call = {
            "service": body["service"],
            "id": body["id"],
            "holder": headers["x-lease-holder"],
            "token": int(headers["x-fencing-token"]),
        }
        self.promotions.append(call)
        return (200, {}) if await self._promote(body["service"], body["id"]) else (409, {})
