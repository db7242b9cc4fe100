"""Stand-in of the platform's list of VMs, which shows changes late."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

import trio

from tanagerfront.http_server import ConnectionHandler, Request, Response, serve_http

from ._faults import CallCounter, Faults

__all__ = ["VmListService"]

STATES = ("live", "leaving")
Listed = dict[str, dict[str, str]]


class VmListService:
    """The list with its history of the last `lag_s` seconds."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self._lag_s = lag_s
        self._faults = Faults()
        self._calls = CallCounter()
        # Times at which the list changed, the oldest first.
        self._versions: list[tuple[float, Listed]] = [(float("-inf"), {})]

    @property
    def faults(self) -> Faults:
        """Return the faults in force."""
        return self._faults

    def put(self, vm: str, address: str, failure_domain: str, state: str = "live") -> None:
        """Add or change a VM; raises ValueError."""
        if state not in STATES:
            raise ValueError(f"state {state!r} is not one of {', '.join(STATES)}")
        facts = {"address": address, "failure_domain": failure_domain, "state": state}
        self._change(self._versions[-1][1] | {vm: {"id": vm, **facts}})

    def remove(self, vm: str) -> None:
        """Remove a VM if it is listed."""
        self._change({name: facts for name, facts in self._versions[-1][1].items() if name != vm})

    def _change(self, listed: Listed) -> None:
        self._versions.append((trio.current_time(), listed))

    def _visible(self) -> Listed:
        shown_until = trio.current_time() - self._lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= shown_until:
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
        """Answer one request; raises ValueError or KeyError when it is malformed."""
        match request.method, request.path.split("/")[1:]:
            case "POST", ["debug", "faults"]:
                self._faults.set(json.loads(request.body))
                return _json(self._faults.describe())
            case "GET", ["debug", "calls"]:
                return _json(self._calls.describe())
            case "GET", ["vms"]:
                await self._faults.before_call()
                self._calls.count("list", 0.0)
                return _json({"vms": list(self._visible().values())})
            case "PUT", ["vms", vm]:
                facts = json.loads(request.body)
                state = facts.get("state", "live")
                self.put(vm, facts["address"], facts["failure_domain"], state)
                return _json({})
            case "DELETE", ["vms", vm]:
                self.remove(vm)
                return _json({})
        return Response(404, b"{}")


def _json(value: Any, status: int = 200) -> Response:
    return Response(status, json.dumps(value).encode())


class _ListHandler(ConnectionHandler):
    """One connection to the list."""

    def __init__(self, service: VmListService) -> None:
        self._service = service

    async def handle(self, request: Request) -> Response:
        try:
            return await self._service.handle(request)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return _json({"error": repr(error)}, 400)
