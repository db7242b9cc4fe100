"""Administration port of the HTTP interface: health, metrics, status and the admin API."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

import msgspec

from .admin import AdminHandler
from .config_store import ConfigStore
from .http_server import Request, Response
from .metrics import Metrics

__all__ = ["AdminPort", "VmState"]


class VmState(Protocol):
    """State of the VM that the administration port exposes."""

    @property
    def metrics(self) -> Metrics:
        """Return the metrics."""

    @property
    def not_ready_reason(self) -> str | None:
        """Return why the VM should get no new callers, or None if it is ready."""

    def versions(self) -> Mapping[str, int]:
        """Return the configuration version in force on each live VM."""

    def status(self) -> Mapping[str, Any]:
        """Return the state of the VM for operators."""


class AdminPort(AdminHandler):
    """Serve the administration port of one VM."""

    def __init__(self, vm: VmState, config: ConfigStore, bootstrap_key_digest: str | None) -> None:
        super().__init__(config, vm.versions, bootstrap_key_digest=bootstrap_key_digest)
        self._vm = vm

    async def handle_unmatched(self, request: Request) -> Response:
        """Return the response to a request for a path outside the administration API."""
        match request.method, request.path:
            case "GET", "/healthz":
                return Response(200, b'{"status": "ok"}')
            case "GET", "/readyz":
                reason = self._vm.not_ready_reason
                body = msgspec.json.encode({"status": reason or "ok"})
                return Response(503 if reason else 200, body)
            case "GET", "/metrics":
                return Response(200, self._vm.metrics.render(), content_type="text/plain")
            case "GET", "/status":
                return Response(200, msgspec.json.encode(self._vm.status()))
        return await super().handle_unmatched(request)
