"""Stand-in of the platform's key-value service: the etcd v3 JSON gateway over HTTP."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

import trio

from tanagerfront.http_server import (
    ConnectionHandler,
    HttpLimits,
    Request,
    Response,
    StreamBody,
    serve_http,
)

from ._faults import CallCounter, Faults, NoLeaderError, RateLimiter
from ._key_value_impl import HISTORY_CHANGES, KeyValueModel, LeaseNotFoundError, decode_key

__all__ = ["KeyValueOptions", "KeyValueService"]

LEASE_CHECK_S = 0.05
# A value of 1 MB grows by a third in base64 and may be accompanied by others.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_VALUE_BYTES = 1024 * 1024
GRPC_NOT_FOUND = 5
GRPC_INVALID_ARGUMENT = 3
GRPC_UNAVAILABLE = 14


class KeyValueOptions(NamedTuple):
    """Rates in calls per second; history as a number of changes."""

    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0
    progress_interval_s: float = 1.0
    history_changes: int = HISTORY_CHANGES


class KeyValueService:
    """One service with its data, faults and counts."""

    def __init__(self, options: KeyValueOptions | None = None) -> None:
        self._options = options or KeyValueOptions()
        self._model = KeyValueModel(self._options.history_changes)
        self._faults = Faults()
        self._calls = CallCounter()
        self._writes = RateLimiter(self._options.writes_per_s)
        self._reads = RateLimiter(self._options.reads_per_s)

    @property
    def model(self) -> KeyValueModel:
        """Return the data, for tests in the same process."""
        return self._model

    @property
    def calls(self) -> CallCounter:
        """Return the counts."""
        return self._calls

    def set_faults(self, values: dict[str, Any]) -> None:
        """Change faults; the end of an outage extends all leases; raises ValueError."""
        was_down = self._faults.in_outage
        self._faults.set(values)
        if was_down and not self._faults.in_outage:
            self._model.extend_leases()

    async def serve(
        self,
        listeners: Sequence[trio.abc.Listener[Any]],
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        limits = HttpLimits(max_body_bytes=MAX_BODY_BYTES)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_leases)
            await nursery.start(serve_http, listeners, lambda _stream: _Gateway(self), limits)
            task_status.started()

    async def _end_leases(self) -> None:
        while True:
            await trio.sleep(LEASE_CHECK_S)
            # Without a leader no lease ends.
            if not self._faults.in_outage:
                self._model.expire_leases()

    async def handle(self, request: Request) -> Response:
        """Answer one request of the gateway or of the control path."""
        message = json.loads(request.body or b"{}")
        match request.method, request.path:
            case "GET", "/debug/calls":
                return _json(self._calls.describe())
            case "GET", "/debug/faults":
                return _json(self._faults.describe())
            case "POST", "/debug/faults":
                self.set_faults(message)
                return _json(self._faults.describe())
            case "POST", "/debug/compact":
                self._model.compact()
                return _json({})
            case "POST", path if path in CALLS:
                return await self._call(path, message)
        return _problem(404, GRPC_NOT_FOUND, "Not Found")

    async def _call(self, path: str, message: dict[str, Any]) -> Response:
        kind, is_write, run = CALLS[path]
        if kind == "txn":
            is_write = _writes(message)
        await self._faults.before_call()
        waited_s = await (self._writes if is_write else self._reads).acquire()
        self._calls.count(kind, waited_s)
        self._faults.check_available()
        try:
            response = run(self, message)
        except LeaseNotFoundError:
            return _problem(404, GRPC_NOT_FOUND, "etcdserver: requested lease not found")
        if is_write:
            self._faults.after_write()
        return response

    def _header(self) -> dict[str, str]:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self._model.revision)}

    def _range(self, message: dict[str, Any]) -> Response:
        entries = [entry.to_json() for entry in self._model.range(message)]
        found = {"kvs": entries, "count": str(len(entries))} if entries else {}
        return _json({"header": self._header(), **found})

    def _txn(self, message: dict[str, Any]) -> Response:
        if any(size > MAX_VALUE_BYTES for size in _value_sizes(message)):
            return _problem(400, GRPC_INVALID_ARGUMENT, "etcdserver: request is too large")
        held, responses = self._model.txn(message)
        succeeded = {"succeeded": True} if held else {}
        return _json({"header": self._header(), **succeeded, "responses": responses})

    def _grant(self, message: dict[str, Any]) -> Response:
        ttl_s = int(message.get("TTL", 0))
        lease = self._model.grant(ttl_s, int(message.get("ID", 0)))
        return _json({"header": self._header(), "ID": str(lease), "TTL": str(ttl_s)})

    def _keep_alive(self, message: dict[str, Any]) -> Response:
        ttl_s = self._model.keep_alive(int(message["ID"]))
        left = {"TTL": str(ttl_s)} if ttl_s else {}
        return _json({"result": {"header": self._header(), "ID": str(message["ID"]), **left}})

    def _revoke(self, message: dict[str, Any]) -> Response:
        self._model.revoke(int(message["ID"]))
        return _json({"header": self._header()})

    def _watch(self, message: dict[str, Any]) -> Response:
        request = message.get("create_request") or message["createRequest"]
        return Response(200, stream=self._watch_body(request))

    def _watch_body(self, request: dict[str, Any]) -> StreamBody:
        first, end = decode_key(request.get("key")), decode_key(request.get("range_end"))
        progress = bool(request.get("progress_notify"))
        start = int(request.get("start_revision") or 0) or self._model.revision + 1

        async def body(write: Callable[[bytes], Awaitable[None]]) -> None:
            async def send(fields: dict[str, Any]) -> None:
                line = json.dumps({"result": {"header": self._header(), **fields}})
                await write(line.encode() + b"\n")

            self._calls.waiting_watches += 1
            try:
                await send({"created": True})
                await self._send_changes(send, start, first, end, progress=progress)
            except NoLeaderError:
                # A server without a leader cancels its watches.
                await send({"canceled": True, "cancel_reason": "etcdserver: no leader"})
            finally:
                self._calls.waiting_watches -= 1

        return body

    async def _send_changes(
        self,
        send: Callable[[dict[str, Any]], Awaitable[None]],
        start: int,
        first: bytes,
        end: bytes,
        *,
        progress: bool,
    ) -> None:
        while True:
            await self._faults.before_call()
            if start <= self._model.compact_revision:
                compacted = str(self._model.compact_revision)
                await send({"canceled": True, "compact_revision": compacted})
                return
            changed = self._model.changed
            changes = self._model.changes_from(start, first, end)
            start = self._model.revision + 1
            if changes:
                await send({"events": [change.to_json() for change in changes]})
            elif not await self._wait_change(changed) and progress:
                await send({})

    async def _wait_change(self, changed: trio.Event) -> bool:
        """Wait for a change of data or faults; return False when a progress line is due."""
        seen = False

        async def note(event: trio.Event, scope: trio.CancelScope) -> None:
            nonlocal seen
            await event.wait()
            seen = True
            scope.cancel()

        with trio.move_on_after(self._options.progress_interval_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(note, changed, nursery.cancel_scope)
                nursery.start_soon(note, self._faults.changed, nursery.cancel_scope)
        return seen


Run = Callable[[KeyValueService, dict[str, Any]], Response]

# Kind, whether it counts against the rate of writes, and the method. A keep-alive counts as a write
# because it changes stored state.
CALLS: dict[str, tuple[str, bool, Run]] = {
    "/v3/kv/range": ("range", False, KeyValueService._range),
    "/v3/kv/txn": ("txn", True, KeyValueService._txn),
    "/v3/lease/grant": ("lease_grant", True, KeyValueService._grant),
    "/v3/lease/keepalive": ("lease_keepalive", True, KeyValueService._keep_alive),
    "/v3/lease/revoke": ("lease_revoke", True, KeyValueService._revoke),
    "/v3/watch": ("watch", False, KeyValueService._watch),
}


def _operations(message: dict[str, Any]) -> list[dict[str, Any]]:
    return [*message.get("success", ()), *message.get("failure", ())]


def _writes(message: dict[str, Any]) -> bool:
    reads = {"request_range", "requestRange"}
    return any(operation.keys() - reads for operation in _operations(message))


def _value_sizes(message: dict[str, Any]) -> list[int]:
    puts = [op.get("request_put") or op.get("requestPut") for op in _operations(message)]
    return [len(decode_key(put.get("value"))) for put in puts if put]


def _json(value: Any, status: int = 200) -> Response:
    return Response(status, json.dumps(value).encode())


def _problem(status: int, code: int, message: str) -> Response:
    return _json({"error": message, "code": code, "message": message}, status)


class _Gateway(ConnectionHandler):
    """One connection to the gateway."""

    def __init__(self, service: KeyValueService) -> None:
        self._service = service

    async def handle(self, request: Request) -> Response:
        try:
            return await self._service.handle(request)
        except NoLeaderError:
            return _problem(503, GRPC_UNAVAILABLE, "etcdserver: no leader")
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return _problem(400, GRPC_INVALID_ARGUMENT, f"malformed request: {error!r}")
