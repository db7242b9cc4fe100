"""Stand-in for the platform's key-value service: the etcd v3 JSON gateway over HTTP."""

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
from ._key_value_impl import (
    HISTORY_CHANGES,
    KeyValueModel,
    LeaseNotFoundError,
    ModelCopy,
    decode_key,
)

__all__ = ["KeyValueOptions", "KeyValueService"]

LEASE_CHECK_S = 0.05
# Base64 makes a value of 1 MB a third larger, and a transaction may contain several values.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_VALUE_BYTES = 1024 * 1024
GRPC_NOT_FOUND = 5
GRPC_INVALID_ARGUMENT = 3
GRPC_UNAVAILABLE = 14


class KeyValueOptions(NamedTuple):
    """Rate limits in calls per second, and the number of changes kept for watches."""

    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0
    progress_interval_s: float = 1.0
    history_changes: int = HISTORY_CHANGES


class KeyValueService:
    """The service with its data, simulated faults and call counts."""

    def __init__(self, options: KeyValueOptions | None = None) -> None:
        self._options = options or KeyValueOptions()
        self._model = KeyValueModel(self._options.history_changes)
        self._cluster_id = 1
        self._faults = Faults()
        self._calls = CallCounter()
        self._write_rate = RateLimiter(self._options.writes_per_s)
        self._read_rate = RateLimiter(self._options.reads_per_s)

    @property
    def model(self) -> KeyValueModel:
        """Return the data, for tests in the same process."""
        return self._model

    @property
    def calls(self) -> CallCounter:
        """Return the call counts."""
        return self._calls

    def copy(self) -> ModelCopy:
        """Return a copy of the current state, for `restore`."""
        return self._model.copy()

    def restore(self, copy: ModelCopy, *, new_cluster: bool = True) -> None:
        """Return to an earlier state, as a restored snapshot does in a new cluster."""
        self._model.restore(copy)
        self._cluster_id += new_cluster

    def set_faults(self, values: dict[str, Any]) -> None:
        """Set faults; the end of an outage extends all leases.

        Raises ValueError for an unknown fault.
        """
        was_in_outage = self._faults.in_outage
        self._faults.set(values)
        if was_in_outage and not self._faults.in_outage:
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
            nursery.start_soon(self._expire_leases)
            await nursery.start(serve_http, listeners, lambda _stream: _Gateway(self), limits)
            task_status.started()

    async def _expire_leases(self) -> None:
        while True:
            await trio.sleep(LEASE_CHECK_S)
            # etcd expires no lease while it has no leader.
            if not self._faults.in_outage:
                self._model.expire_leases()

    async def handle(self, request: Request) -> Response:
        """Handle one request to the gateway or to a `/debug` path."""
        message = json.loads(request.body or b"{}")
        match request.method, request.path:
            case "GET", "/debug/calls":
                return _json_response(self._calls.describe())
            case "GET", "/debug/faults":
                return _json_response(self._faults.describe())
            case "POST", "/debug/faults":
                self.set_faults(message)
                return _json_response(self._faults.describe())
            case "POST", "/debug/compact":
                self._model.compact()
                return _json_response({})
            case "POST", path if path in CALLS:
                return await self._call(path, message)
        return _error_response(404, GRPC_NOT_FOUND, "Not Found")

    async def _call(self, path: str, message: dict[str, Any]) -> Response:
        kind, is_write, handler = CALLS[path]
        if kind == "txn":
            is_write = _has_write(message)
        await self._faults.before_call()
        waited_s = await (self._write_rate if is_write else self._read_rate).acquire()
        self._calls.count(kind, waited_s)
        self._faults.check_available()
        try:
            response = handler(self, message)
        except LeaseNotFoundError:
            return _error_response(404, GRPC_NOT_FOUND, "etcdserver: requested lease not found")
        if is_write:
            self._faults.after_write()
        return response

    def _header(self) -> dict[str, str]:
        return {
            "cluster_id": str(self._cluster_id),
            "member_id": "1",
            "revision": str(self._model.revision),
        }

    def _range(self, message: dict[str, Any]) -> Response:
        entries = [entry.to_json() for entry in self._model.range(message)]
        found = {"kvs": entries, "count": str(len(entries))} if entries else {}
        return _json_response({"header": self._header(), **found})

    def _txn(self, message: dict[str, Any]) -> Response:
        if any(size > MAX_VALUE_BYTES for size in _value_sizes(message)):
            return _error_response(400, GRPC_INVALID_ARGUMENT, "etcdserver: request is too large")
        succeeded, responses = self._model.txn(message)
        success_field = {"succeeded": True} if succeeded else {}
        return _json_response({"header": self._header(), **success_field, "responses": responses})

    def _grant(self, message: dict[str, Any]) -> Response:
        ttl_s = int(message.get("TTL", 0))
        lease = self._model.grant(ttl_s, int(message.get("ID", 0)))
        return _json_response({"header": self._header(), "ID": str(lease), "TTL": str(ttl_s)})

    def _keep_alive(self, message: dict[str, Any]) -> Response:
        ttl_s = self._model.keep_alive(int(message["ID"]))
        ttl_field = {"TTL": str(ttl_s)} if ttl_s else {}
        return _json_response(
            {"result": {"header": self._header(), "ID": str(message["ID"]), **ttl_field}}
        )

    def _revoke(self, message: dict[str, Any]) -> Response:
        self._model.revoke(int(message["ID"]))
        return _json_response({"header": self._header()})

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
                # etcd cancels its watches when it loses the leader.
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
        """Wait for a change of data or faults; return False if the progress interval ends first."""
        changed_in_time = False

        async def wait_for(event: trio.Event, scope: trio.CancelScope) -> None:
            nonlocal changed_in_time
            await event.wait()
            changed_in_time = True
            scope.cancel()

        with trio.move_on_after(self._options.progress_interval_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait_for, changed, nursery.cancel_scope)
                nursery.start_soon(wait_for, self._faults.changed, nursery.cancel_scope)
        return changed_in_time


CallHandler = Callable[[KeyValueService, dict[str, Any]], Response]

# By path: kind of call, whether the write rate limit applies, and the handler. A keep-alive counts
# as a write because it changes stored state.
CALLS: dict[str, tuple[str, bool, CallHandler]] = {
    "/v3/kv/range": ("range", False, KeyValueService._range),
    "/v3/kv/txn": ("txn", True, KeyValueService._txn),
    "/v3/lease/grant": ("lease_grant", True, KeyValueService._grant),
    "/v3/lease/keepalive": ("lease_keepalive", True, KeyValueService._keep_alive),
    "/v3/lease/revoke": ("lease_revoke", True, KeyValueService._revoke),
    "/v3/watch": ("watch", False, KeyValueService._watch),
}


def _operations(message: dict[str, Any]) -> list[dict[str, Any]]:
    return [*message.get("success", ()), *message.get("failure", ())]


def _has_write(message: dict[str, Any]) -> bool:
    reads = {"request_range", "requestRange"}
    return any(operation.keys() - reads for operation in _operations(message))


def _value_sizes(message: dict[str, Any]) -> list[int]:
    puts = [op.get("request_put") or op.get("requestPut") for op in _operations(message)]
    return [len(decode_key(put.get("value"))) for put in puts if put]


def _json_response(value: Any, status: int = 200) -> Response:
    return Response(status, json.dumps(value).encode())


def _error_response(status: int, code: int, message: str) -> Response:
    return _json_response({"error": message, "code": code, "message": message}, status)


class _Gateway(ConnectionHandler):
    """HTTP handler of one connection to the gateway."""

    def __init__(self, service: KeyValueService) -> None:
        self._service = service

    async def handle(self, request: Request) -> Response:
        try:
            return await self._service.handle(request)
        except NoLeaderError:
            return _error_response(503, GRPC_UNAVAILABLE, "etcdserver: no leader")
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return _error_response(400, GRPC_INVALID_ARGUMENT, f"malformed request: {error!r}")
