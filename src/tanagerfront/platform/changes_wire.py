"""Watch calls between VMs, which pass on changes of the store's keys (session interface)."""

from __future__ import annotations

from ..change_history import ChangeHistory
from ..errors import KeyValueError
from ..fleet_store import RegisteredVm
from ..http_client import Address
from ..http_server import ConnectionHandler, Request, Response
from .store import GONE, NOT_FOUND, OK, WATCH_PATH, Page, StoreClient, encode_watch_response

__all__ = ["ChangesHandler", "PeerWatchClients"]

# A round trip between VMs takes a few milliseconds; a peer that exceeds this is overloaded or down.
PEER_WATCH_TIMEOUT_S = 0.3


class ChangesHandler(ConnectionHandler):
    """Serve watch calls of peer VMs from this VM's change history."""

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
        recent = self._history.since(after, large="large" in request.query)
        if recent is None:
            return Response(GONE)
        return Response(OK, encode_watch_response(recent.events, recent.revision))


class PeerWatchClients:
    """Clients for watch calls to peer VMs, each with a persistent connection."""

    def __init__(self) -> None:
        self._clients: dict[Address, StoreClient] = {}

    async def watch(self, vm: RegisteredVm, after: int, *, large: bool) -> Page:
        """Return the changes in a peer VM's history; raises as `StoreClient.watch` does."""
        address = vm.changes_address
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = StoreClient(address, PEER_WATCH_TIMEOUT_S)
        try:
            return await client.watch("", after, 0.0, large=large)
        except KeyValueError:
            self._clients.pop(address, None)
            raise
