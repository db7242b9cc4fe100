"""Heartbeats between VMs: which VMs are live and whether they reach the key-value service."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence

import trio

from ._membership_impl import (
    NEVER,
    ListedPeer,
    LiveVm,
    MembershipSettings,
    OutageEvidence,
    Peer,
)
from .errors import TanagerfrontError
from .http_client import Address, parse_address
from .messages import Heartbeat, HeartbeatReply, Message, ServiceProbe, ServiceProbeReply
from .peers import PeerNetwork
from .rendezvous import rendezvous_score

__all__ = [
    "ListedPeer",
    "LiveVm",
    "Membership",
    "MembershipSettings",
    "OutageEvidence",
]

# A peer that was not seen recently is sent a heartbeat in every n-th round only, until it answers
# or sends one itself.
UNREACHABLE_ROUNDS = 4
_log = logging.getLogger(__name__)


class Membership:
    """Tracks the live VMs of the fleet by heartbeats and the platform's list of VMs."""

    def __init__(
        self,
        network: PeerNetwork,
        vm_list_fetch: Callable[[], Awaitable[Sequence[ListedPeer]]],
        *,
        failure_domain: str,
        incarnation: str,
        service_age_s: Callable[[], float],
        config_version: Callable[[], int] = lambda: 0,
        settings: MembershipSettings | None = None,
    ) -> None:
        self._network = network
        self._fetch = vm_list_fetch
        self._failure_domain = failure_domain
        self._incarnation = incarnation
        self._service_age_s = service_age_s
        self._config_version = config_version
        self._settings = settings or MembershipSettings()
        self._peers: dict[str, Peer] = {}
        self._required: frozenset[str] = frozenset()
        self._list_fetched = False
        self._peers_changed = False
        self._draining = False
        # Latest time at which a peer is known to have received an answer from the service.
        self._peer_reached_service_at = NEVER
        self._live_ids: tuple[str, ...] = ()
        self._changed = trio.Event()
        network.register(Heartbeat, self._handle_heartbeat)
        network.register(ServiceProbe, self._handle_probe)

    @property
    def vm_id(self) -> str:
        """Return the id of this VM."""
        return self._network.vm_id

    @property
    def own(self) -> LiveVm:
        """Return this VM, as its heartbeats describe it."""
        return LiveVm(
            self.vm_id,
            self._incarnation,
            self._failure_domain,
            self._network.listen_address,
            self._draining,
            self._config_version(),
        )

    @property
    def settings(self) -> MembershipSettings:
        """Return the settings."""
        return self._settings

    @property
    def service_answered_at(self) -> float:
        """Return the monotonic time in seconds of the service's last answer to this VM."""
        return trio.current_time() - self._service_age_s()

    @property
    def majority_answered_at(self) -> float:
        """Return the monotonic time in seconds at which a majority last answered, -inf if never.

        An answer counts from the time at which its heartbeat was sent.
        """
        answered = [peer.answered_at for peer in self._members()]
        return self._majority_time([trio.current_time(), *answered], len(answered) + 1)

    def set_draining(self) -> None:
        """Announce to the peers that this VM is shutting down."""
        self._draining = True
        self._notify()

    def set_required_peers(self, vms: Iterable[str]) -> None:
        """Set the VMs with which heartbeats are exchanged in addition to the sample."""
        self._required = frozenset(vms)

    def live(self) -> tuple[LiveVm, ...]:
        """Return this VM and the VMs that answer heartbeats, sorted by id."""
        others = [peer.vm for peer in self._live_peers() if peer.vm]
        return tuple(sorted([self.own, *others]))

    def outage_evidence(self) -> OutageEvidence:
        """Return whether a majority cannot reach the service and no VM is known to reach it.

        A VM that reaches the service is detected if this VM, or a member that answers this VM,
        can reach it. One kind of partition is not detected: VMs that reach the service, but
        cannot be reached by a majority that cannot reach the service either.
        """
        now = trio.current_time()
        unreachable_after_s = self._settings.unreachable_after_s
        known_reached_at = max(self._peer_reached_service_at, self.service_answered_at)
        if not self._list_fetched or now - known_reached_at < unreachable_after_s:
            return OutageEvidence(False, now)
        members = list(self._members())
        votes = [
            peer.answered_at
            for peer in members
            if peer.last_reply and peer.last_reply.service_age_s >= unreachable_after_s
        ]
        at = self._majority_time([now, *votes], len(members) + 1)
        return OutageEvidence(at > NEVER, at)

    async def wait_changed(self) -> None:
        """Wait until the set of live VMs, or a property of one of them, changes."""
        await self._changed.wait()

    async def run(self) -> None:
        """Exchange heartbeats and poll the platform's list until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_list)
            nursery.start_soon(self._send_heartbeats, nursery)

    @staticmethod
    def _majority_time(times: list[float], members: int) -> float:
        """Return the latest time since which a majority has answered, -inf if there is none.

        `times` has the time of the last answer of each member that counts, this VM included.
        """
        required = members // 2 + 1
        return sorted(times, reverse=True)[required - 1] if len(times) >= required else NEVER

    def _live_peers(self) -> Iterator[Peer]:
        since = trio.current_time() - self._settings.live_s
        return (peer for peer in self._peers.values() if peer.answered_at >= since)

    def _members(self) -> Iterator[Peer]:
        """Yield the other members of the set of which a majority is required.

        A silent VM stays a member for `forget_after_s` before the service's last answer to this
        VM. While this VM cannot reach the service, no member is thus removed.
        """
        since = self.service_answered_at - self._settings.forget_after_s
        return (peer for peer in self._heartbeat_peers() if peer.seen_at >= since)

    def _heartbeat_peers(self) -> list[Peer]:
        """Return the peers to which this VM sends heartbeats."""
        peers = list(self._peers.values())
        if len(peers) < self._settings.sample_size:
            return peers
        peers.sort(key=lambda peer: rendezvous_score(self.vm_id, peer.id))
        required = [peer for peer in peers if peer.id in self._required]
        others = [peer for peer in peers if peer.id not in self._required]
        return required + others[: self._settings.sample_size]

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _poll_list(self) -> None:
        while True:
            try:
                listed = await self._fetch()
            except TanagerfrontError as error:
                _log.warning("could not fetch the platform's list of VMs: %s", error)
            else:
                self._list_fetched = True
                self._apply_list(listed)
            await trio.sleep(self._settings.list_interval_s)

    def _apply_list(self, listed: Sequence[ListedPeer]) -> None:
        ids = {entry.id for entry in listed}
        for peer in self._peers.values():
            peer.listed = peer.id in ids
        for entry in listed:
            self._add_or_update_peer(entry.id, entry.address, listed=True)
        since = self.service_answered_at - self._settings.forget_after_s
        removed = [p.id for p in self._peers.values() if not p.listed and p.seen_at < since]
        for vm in removed:
            del self._peers[vm]
            self._peers_changed = True
        self._publish_peers()

    def _publish_peers(self) -> None:
        if self._peers_changed:
            self._peers_changed = False
            self._network.set_peers({peer.id: peer.address for peer in self._peers.values()})

    def _add_or_update_peer(self, vm: str, address: Address, *, listed: bool) -> Peer | None:
        if vm == self.vm_id:
            return None
        peer = self._peers.get(vm)
        # The list lags, so it does not replace the address of a live peer.
        if peer is None or (peer.address != address and not (listed and self._is_live(peer))):
            peer = self._peers[vm] = Peer(vm, address, trio.current_time())
            self._peers_changed = True
        peer.listed = peer.listed or listed
        return peer

    def _is_live(self, peer: Peer) -> bool:
        return trio.current_time() - peer.answered_at <= self._settings.live_s

    async def _send_heartbeats(self, nursery: trio.Nursery) -> None:
        rounds = 0
        while True:
            for peer in self._heartbeat_peers():
                due = self._was_seen_recently(peer) or rounds % UNREACHABLE_ROUNDS == 0
                if due and not peer.awaiting_reply:
                    nursery.start_soon(self._exchange_heartbeat, peer)
            self._notify_if_live_changed()
            rounds += 1
            await trio.sleep(self._settings.heartbeat_interval_s)

    def _was_seen_recently(self, peer: Peer) -> bool:
        return trio.current_time() - peer.seen_at <= self._settings.live_s

    def _notify_if_live_changed(self) -> None:
        ids = tuple(sorted(peer.id for peer in self._live_peers()))
        if ids != self._live_ids:
            self._live_ids = ids
            self._notify()

    async def _exchange_heartbeat(self, peer: Peer) -> None:
        peer.awaiting_reply = True
        sent_at = trio.current_time()
        try:
            with contextlib.suppress(TanagerfrontError, ValueError):
                timeout_s = self._settings.heartbeat_timeout_s
                reply = await self._network.call(peer.id, self._heartbeat(), timeout_s)
                if isinstance(reply, HeartbeatReply) and reply.vm == peer.id:
                    self._record_reply(peer, sent_at, reply)
        finally:
            peer.awaiting_reply = False

    def _record_reply(self, peer: Peer, sent_at: float, reply: HeartbeatReply) -> None:
        changed = peer.record_reply(sent_at, reply)
        # Counted from the sending of the heartbeat, so that the time is never too late.
        reached_at = sent_at - min(reply.service_age_s, reply.peer_service_age_s)
        self._peer_reached_service_at = max(self._peer_reached_service_at, reached_at)
        if changed:
            self._notify()

    def _heartbeat(self) -> Heartbeat:
        own = self.own
        return Heartbeat(
            own.id,
            own.incarnation,
            own.failure_domain,
            str(own.address),
            own.config_version,
            own.draining,
            self._service_age_s(),
        )

    async def _handle_heartbeat(self, vm: str, heartbeat: Heartbeat) -> Message:
        with contextlib.suppress(ValueError):
            peer = self._add_or_update_peer(
                heartbeat.vm, parse_address(heartbeat.address), listed=False
            )
            if peer is not None:
                peer.known_at = trio.current_time()
            self._publish_peers()
        own = self.own
        return HeartbeatReply(
            own.id,
            own.incarnation,
            own.failure_domain,
            str(own.address),
            own.config_version,
            own.draining,
            self._service_age_s(),
            self._direct_service_age_s(),
        )

    def _direct_service_age_s(self) -> float:
        """Return the age of the latest contact with the service that a peer reported of itself.

        Contacts that a peer reports of its own peers are left out, since such reports would
        circulate and refresh each other.
        """
        answered = [peer for peer in self._peers.values() if peer.last_reply]
        reached = [p.answered_at - p.last_reply.service_age_s for p in answered if p.last_reply]
        return trio.current_time() - max(reached, default=NEVER)

    async def _handle_probe(self, vm: str, probe: ServiceProbe) -> Message:
        return ServiceProbeReply(self._service_age_s())
