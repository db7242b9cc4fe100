"""Watch calls between VMs, which pass on changes of the store's keys (session interface)."""

from __future__ import annotations

import trio

from ..change_history import ChangeHistory
from ..errors import KeyValueError
from ..fleet_store import LargeValues, PeerRead, RegisteredVm
from ..http_client import Address
from ..http_server import ConnectionHandler, Request, Response
from .packed_changes import CONTENT_TYPE, PackedPage, encode_packed
from .store import GONE, NOT_FOUND, OK, WATCH_PATH, StoreClient, encode_watch_response

__all__ = ["ChangesHandler", "PeerWatchClients"]

# A round trip between VMs takes a few milliseconds; a peer that exceeds this is overloaded or down.
PEER_WATCH_TIMEOUT_S = 0.3
# Limit of the time for which a VM that does not have the changes yet delays its reply.
MAX_WAIT_S = 2.0


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
            until = int(request.query.get("until", "0"))
            wait_s = min(MAX_WAIT_S, int(request.query.get("wait_ms", "0")) / 1000)
        except ValueError:
            return Response(400)
        if "packed" in request.query:
            return await self._packed(after, until, wait_s, "withhold" in request.query)
        recent = self._history.since(after, large="large" in request.query)
        if recent is None:
            return Response(GONE)
        return Response(OK, encode_watch_response(recent.events, recent.revision))

    async def _packed(self, after: int, until: int, wait_s: float, withhold: bool) -> Response:
        with trio.move_on_after(wait_s):
            await self._history.reached(until)
        recent = (
            self._history.small_since(after) if withhold else self._history.since(after, large=True)
        )
        # Small changes are useful as far as they are known.
        if recent is None or (recent.revision < until and not withhold):
            return Response(GONE)
        body = encode_packed(
            recent.events, recent.revision, self._history, withheld=recent.withheld
        )
        return Response(OK, body, content_type=CONTENT_TYPE)


class PeerWatchClients:
    """Clients for watch calls to peer VMs, each with a persistent connection."""

    def __init__(self) -> None:
        self._clients: dict[Address, StoreClient] = {}

    async def watch(self, vm: RegisteredVm, read: PeerRead) -> tuple[PackedPage, int]:
        """Return changes of a peer VM's history and the size of the response in bytes.

        Raises as `StoreClient.watch` does.
        """
        address = vm.changes_address
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = StoreClient(address, PEER_WATCH_TIMEOUT_S)
        try:
            if read.large is LargeValues.PLAIN:
                page = await client.watch("", read.after, 0.0, large=True)
                size = sum(len(event.value or b"") for event in page.events)
                return PackedPage(page.events, page.revision, withheld=False, deflated={}), size
            return await client.watch_packed(
                read.after,
                read.until,
                read.wait_s,
                withhold=read.large is LargeValues.WITHHELD,
            )
        except KeyValueError:
            self._clients.pop(address, None)
            raise
