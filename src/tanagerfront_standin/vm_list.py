"""Stand-in for the platform's list of VMs, which shows changes after a delay."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

import trio

from tanagerfront.http_server import ConnectionHandler, Request, Response, serve_http

from ._faults import CallCounter, Faults

__all__ = ["VmListService"]

VM_STATES = ("live", "leaving")
VmEntries = dict[str, dict[str, str]]


class VmListService:
    """The list of VMs; readers see each change `lag_s` seconds after it was made."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self._lag_s = lag_s
        self._faults = Faults()
        self._calls = CallCounter()
        # Versions of the list with the time of the change, oldest first.
        self._versions: list[tuple[float, VmEntries]] = [(float("-inf"), {})]

    @property
    def faults(self) -> Faults:
        """Return the simulated faults."""
        return self._faults

    def put(self, vm: str, address: str, failure_domain: str, state: str = "live") -> None:
        """Add or replace a VM; raises ValueError for an unknown state."""
        if state not in VM_STATES:
            raise ValueError(f"state {state!r} is not one of {', '.join(VM_STATES)}")
        fields = {"address": address, "failure_domain": failure_domain, "state": state}
        self._add_version(self._versions[-1][1] | {vm: {"id": vm, **fields}})

    def remove(self, vm: str) -> None:
        """Remove a VM if it is listed."""
        self._add_version(
            {name: fields for name, fields in self._versions[-1][1].items() if name != vm}
        )

    def _add_version(self, entries: VmEntries) -> None:
        self._versions.append((trio.current_time(), entries))

    def _visible_entries(self) -> VmEntries:
        visible_until = trio.current_time() - self._lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= visible_until:
            del self._versions[0]
        return self._versions[0][1]

    async def serve(
        self,
        listeners: Sequence[trio.abc.Listener[Any]],
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_http, listeners, lambda _stream: _ListHandler(self))
            task_status.started()

    async def handle(self, request: Request) -> Response:
        """Handle one request; raises ValueError or KeyError if it is malformed."""
        match request.method, request.path.split("/")[1:]:
            case "POST", ["debug", "faults"]:
                self._faults.set(json.loads(request.body))
                return _json_response(self._faults.describe())
            case "GET", ["debug", "calls"]:
                return _json_response(self._calls.describe())
            case "GET", ["vms"]:
                await self._faults.before_call()
                self._calls.count("list", 0.0)
                return _json_response({"vms": list(self._visible_entries().values())})
            case "PUT", ["vms", vm]:
                fields = json.loads(request.body)
                state = fields.get("state", "live")
                self.put(vm, fields["address"], fields["failure_domain"], state)
                return _json_response({})
            case "DELETE", ["vms", vm]:
                self.remove(vm)
                return _json_response({})
        return Response(404, b"{}")


def _json_response(value: Any, status: int = 200) -> Response:
    return Response(status, json.dumps(value).encode())


class _ListHandler(ConnectionHandler):
    """HTTP handler of one connection to the list."""

    def __init__(self, service: VmListService) -> None:
        self._service = service

    async def handle(self, request: Request) -> Response:
        try:
            return await self._service.handle(request)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return _json_response({"error": repr(error)}, 400)
