"""Changes of the store's keys from VM to VM, by the store's own call for a watch."""

from __future__ import annotations

from ..change_history import ChangeHistory
from ..errors import KeyValueError
from ..fleet_store import RegisteredVm
from ..http_client import Address
from ..http_server import ConnectionHandler, Request, Response
from .store import GONE, NOT_FOUND, OK, WATCH_PATH, Page, StoreClient, encode_watch_response

__all__ = ["ChangesHandler", "PeerWatchClients"]

# VMs are a few milliseconds apart; one that takes longer is overloaded or gone.
PEER_WATCH_TIMEOUT_S = 0.3


class ChangesHandler(ConnectionHandler):
    """Answer other VMs from the changes that this one has taken in."""

    def __init__(self, history: ChangeHistory) -> None:
        self._history = history

    async def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        if request.path != WATCH_PATH:
            return Response(NOT_FOUND)
        try:
            after = int(request.query.get("after", ""))
        except ValueError:
            return Response(400)
        found = self._history.since(after, large="large" in request.query)
        if found is None:
            return Response(GONE)
        return Response(OK, encode_watch_response(found.events, found.revision))


class PeerWatchClients:
    """Clients of the VMs that pass changes on, each with a kept connection."""

    def __init__(self) -> None:
        self._clients: dict[Address, StoreClient] = {}

    async def watch(self, vm: RegisteredVm, after: int, *, large: bool) -> Page:
        """Return the changes that a VM has; raises as `StoreClient.watch` does."""
        address = vm.changes_address
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = StoreClient(address, PEER_WATCH_TIMEOUT_S)
        try:
            return await client.watch("", after, 0.0, large=large)
        except KeyValueError:
            del self._clients[address]
            raise
