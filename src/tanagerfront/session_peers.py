"""Exchange of heartbeats and rate tokens with the other VMs of the session interface, over UDP."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

import trio

from .decision_log import DecisionLog
from .decoding import DECODING_ERRORS
from .fleet_store import RegisteredVm
from .position_exchange import PassedPosition
from .rate_shares import LOAN_TIMEOUT_S, UNKNOWN_LENDER, RateShares, TokenLoanRequest
from .session_model import boottime_s
from .session_peer_messages import (
    Datagram,
    Echo,
    Heartbeat,
    LoanGrant,
    LoanRequest,
    decode_datagram,
    encode_datagram,
)
from .supervision import run_restarting

__all__ = ["ReceivedHeartbeat", "VmPeers"]

MAX_DATAGRAM_BYTES = 65507
# Longer than it takes until the registration of a VM that sends heartbeats is known.
HEARTBEAT_RETENTION_S = 10.0
# The VMs agree on a failed primary after one or two heartbeats.
HEARTBEAT_INTERVAL_S = 0.3
# Delay of the heartbeat after a broadcast: by then the coordinators have checked the store, and
# their replies renew the confirmation of a VM that just applied a primary record.
FOLLOW_UP_DELAY_S = 0.03
# A peer without a heartbeat for this many intervals gets no loan requests and has no vote.
SILENT_INTERVALS = 3.5
# The promoter and the coordinators announce a new primary record to all VMs. The others also tell
# this many at random, so that it reaches VMs that hear none of these; about one in 3,000 VMs is
# told by nobody then.
ANNOUNCEMENT_PEERS = 8


class ReceivedHeartbeat(NamedTuple):
    """The newest heartbeat of a peer and the time of its receipt by CLOCK_BOOTTIME."""

    heartbeat: Heartbeat
    received_boottime_s: float


class VmPeers:
    """Exchange datagrams with all registered VMs over one UDP socket.

    Every VM sends heartbeats only to the coordinators and the promoter, which reply to each with
    their own, so the number of datagrams grows linearly with the size of the fleet.
    """

    def __init__(
        self,
        own: RegisteredVm,
        vms: Callable[[], Sequence[RegisteredVm]],
        heartbeat_recipients: Callable[[], Collection[str]],
        replies_to_heartbeats: Callable[[], bool],
        heartbeat: Callable[[], Heartbeat],
        echo: Callable[[float], Echo],
        log: DecisionLog,
    ) -> None:
        self._own = own
        self._vms = vms
        self._heartbeat_recipients = heartbeat_recipients
        self._replies_to_heartbeats = replies_to_heartbeats
        self._heartbeat = heartbeat
        self._echo = echo
        self._log = log
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        self._received: dict[str, ReceivedHeartbeat] = {}
        self._loan_ids = itertools.count(1)
        self._loans: dict[int, tuple[trio.Event, list[int]]] = {}
        self._announces = False
        self._due = trio.Event()
        self.rates: RateShares | None = None
        self.on_heartbeat: Callable[[Heartbeat], None] = lambda heartbeat: None
        # Positions of primaries for replies to heartbeats.
        self.positions: Callable[[], list[PassedPosition]] = list

    def recent_heartbeat(self, vm: str) -> Heartbeat | None:
        """Return the newest heartbeat of a peer, None if it has been silent for too long."""
        received = self._received.get(vm)
        if (
            received is None
            or received.received_boottime_s < boottime_s() - SILENT_INTERVALS * HEARTBEAT_INTERVAL_S
        ):
            return None
        return received.heartbeat

    def recent_heartbeats(self) -> dict[str, Heartbeat]:
        """Return the newest heartbeats of the registered peers that are not silent."""
        found = ((vm.name, self.recent_heartbeat(vm.name)) for vm in self._vms())
        return {name: heartbeat for name, heartbeat in found if heartbeat is not None}

    def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to every VM now, or only to some VMs if this one is no coordinator."""
        self._announces = True
        self._due.set()

    def send_heartbeat(self) -> None:
        """Send a heartbeat to the usual recipients now."""
        self._due.set()

    async def bind(self) -> None:
        """Open the socket."""
        await self._socket.bind(self._own.address)

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_restarting, self._run_receive, self._log)
            nursery.start_soon(run_restarting, self._run_heartbeats, self._log)

    async def borrow(self, request: TokenLoanRequest, lender: str) -> int:
        """Request a loan of tokens; return how many were granted, or UNKNOWN_LENDER."""
        peer = next((vm for vm in self._vms() if vm.name == lender), None)
        if peer is None:
            return UNKNOWN_LENDER
        loan = next(self._loan_ids)
        event, granted = self._loans[loan] = (trio.Event(), [])
        try:
            await self._send(peer, LoanRequest(loan, request.organisation, request.tokens))
            with trio.move_on_after(LOAN_TIMEOUT_S):
                await event.wait()
        finally:
            del self._loans[loan]
        return sum(granted)

    async def _run_heartbeats(self) -> None:
        while True:
            announced, self._announces = self._announces, False
            self._due = trio.Event()
            self._remove_unregistered()
            heartbeat = self._heartbeat()
            for peer in self._recipients(announced):
                await self._send(peer, heartbeat)
            with trio.move_on_after(FOLLOW_UP_DELAY_S if announced else HEARTBEAT_INTERVAL_S):
                await self._due.wait()

    def _recipients(self, announced: bool) -> Sequence[RegisteredVm]:
        """Return the VMs that get a heartbeat; `announced` if it announces a new primary record."""
        peers = [vm for vm in self._vms() if vm.name != self._own.name]
        if announced and self._replies_to_heartbeats():
            return peers
        always = self._heartbeat_recipients()
        recipients = [peer for peer in peers if peer.name in always]
        if announced:
            others = [peer for peer in peers if peer.name not in always]
            recipients += random.sample(others, min(ANNOUNCEMENT_PEERS, len(others)))
        return recipients

    def _remove_unregistered(self) -> None:
        """Drop old heartbeats of unregistered VMs; a fleet replaces its VMs all the time."""
        registered = {vm.name for vm in self._vms()}
        oldest = boottime_s() - HEARTBEAT_RETENTION_S
        expired = [
            name
            for name, received in self._received.items()
            if name not in registered and received.received_boottime_s < oldest
        ]
        for name in expired:
            del self._received[name]

    async def _run_receive(self) -> None:
        while True:
            try:
                data, sender = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                message = decode_datagram(data)
            except (OSError, *DECODING_ERRORS) as error:
                self._log.failure("datagram_unreadable", error=str(error))
                continue
            await self._receive(message, sender)

    async def _receive(self, message: Datagram, sender: tuple[str, int]) -> None:
        match message:
            case Heartbeat(vm):
                self._received[vm] = ReceivedHeartbeat(message, boottime_s())
                self.on_heartbeat(message)
                if message.echo is None and self._replies_to_heartbeats():
                    reply = self._heartbeat()
                    reply.echo = self._echo(message.sent_at)
                    reply.positions = self.positions()
                    await self._send_to(sender, reply)
            case LoanRequest(loan, organisation, count):
                if self.rates is not None:
                    lent = self.rates.lend(TokenLoanRequest(organisation, count))
                    await self._send_to(sender, LoanGrant(loan, lent))
            case LoanGrant(loan, count):
                if loan in self._loans:
                    event, granted = self._loans[loan]
                    granted.append(count)
                    event.set()

    async def _send(self, peer: RegisteredVm, message: Datagram) -> None:
        await self._send_to(peer.address, message)

    async def _send_to(self, address: tuple[str, int], message: Datagram) -> None:
        try:
            await self._socket.sendto(encode_datagram(message), address)
        except OSError as error:
            self._log.failure("datagram_not_sent", peer=str(address), error=str(error))
