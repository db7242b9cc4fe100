"""Heartbeats between VMs: which VMs are live and which of them reach the key-value service."""

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

# A peer that does not answer is asked in every n-th round only; its own heartbeat ends that.
UNREACHABLE_ROUNDS = 4
_log = logging.getLogger(__name__)


class Membership:
    """Know the live VMs of the fleet."""

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
        self._needed: frozenset[str] = frozenset()
        self._list_read = False
        self._unpublished = False
        self._draining = False
        # Latest time at which a peer is known to have had an answer of the service.
        self._peer_service_at = NEVER
        self._live_ids: tuple[str, ...] = ()
        self._changed = trio.Event()
        network.register(Heartbeat, self._answer_heartbeat)
        network.register(ServiceProbe, self._answer_probe)

    @property
    def vm_id(self) -> str:
        """Return the id of this VM."""
        return self._network.vm_id

    @property
    def own(self) -> LiveVm:
        """Return what this VM tells its peers about itself."""
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
        """Return the monotonic time of the service's last answer to this VM."""
        return trio.current_time() - self._service_age_s()

    @property
    def majority_answered_at(self) -> float:
        """Return the monotonic time at which a majority last answered, -inf if never."""
        answered = [peer.answered_at for peer in self._members()]
        return self._majority_time([trio.current_time(), *answered], len(answered) + 1)

    def set_draining(self) -> None:
        """Tell the peers that this VM is shutting down."""
        self._draining = True
        self._notify()

    def set_required_peers(self, vms: Iterable[str]) -> None:
        """Set the VMs that heartbeats are exchanged with in addition to the sample."""
        self._needed = frozenset(vms)

    def live(self) -> tuple[LiveVm, ...]:
        """Return the VMs that can be reached, with this one, by id."""
        others = [peer.vm for peer in self._live_peers() if peer.vm]
        return tuple(sorted([self.own, *others]))

    def outage_evidence(self) -> OutageEvidence:
        """Tell whether a majority cannot reach the service and nobody is known to reach it.

        A VM that reaches the service is noticed here if it can be reached by this VM or by a
        member that answers this VM. One partition remains open: VMs that reach the service and
        cannot be reached by a majority that cannot reach it.
        """
        now = trio.current_time()
        lost_after_s = self._settings.lost_after_s
        known_reached_at = max(self._peer_service_at, self.service_answered_at)
        if not self._list_read or now - known_reached_at < lost_after_s:
            return OutageEvidence(False, now)
        members = list(self._members())
        votes = [
            peer.answered_at
            for peer in members
            if peer.answer and peer.answer.service_age_s >= lost_after_s
        ]
        at = self._majority_time([now, *votes], len(members) + 1)
        return OutageEvidence(at > NEVER, at)

    async def wait_changed(self) -> None:
        """Return when the live VMs or one of their properties changed."""
        await self._changed.wait()

    async def run(self) -> None:
        """Exchange heartbeats and follow the platform's list until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_list)
            nursery.start_soon(self._send_heartbeats, nursery)

    @staticmethod
    def _majority_time(times: list[float], members: int) -> float:
        """Return the time since which a majority of the members has answered."""
        needed = members // 2 + 1
        return sorted(times, reverse=True)[needed - 1] if len(times) >= needed else NEVER

    def _live_peers(self) -> Iterator[Peer]:
        since = trio.current_time() - self._settings.live_s
        return (peer for peer in self._peers.values() if peer.answered_at >= since)

    def _members(self) -> Iterator[Peer]:
        """Yield the other members, of which a majority is counted.

        A silent VM is forgotten only by the service's clock: while this VM does not reach the
        service either, nothing is forgotten.
        """
        since = self.service_answered_at - self._settings.forget_after_s
        return (peer for peer in self._asked_peers() if peer.seen_at >= since)

    def _asked_peers(self) -> list[Peer]:
        """Return the peers that heartbeats are exchanged with."""
        peers = list(self._peers.values())
        if len(peers) < self._settings.sample_size:
            return peers
        peers.sort(key=lambda peer: rendezvous_score(self.vm_id, peer.id))
        needed = [peer for peer in peers if peer.id in self._needed]
        others = [peer for peer in peers if peer.id not in self._needed]
        return needed + others[: self._settings.sample_size]

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _follow_list(self) -> None:
        while True:
            try:
                listed = await self._fetch()
            except TanagerfrontError as error:
                _log.warning("the platform's list of VMs is not available: %s", error)
            else:
                self._list_read = True
                self._accept_list(listed)
            await trio.sleep(self._settings.list_interval_s)

    def _accept_list(self, listed: Sequence[ListedPeer]) -> None:
        ids = {entry.id for entry in listed}
        for peer in self._peers.values():
            peer.listed = peer.id in ids
        for entry in listed:
            self._learn(entry.id, entry.address, listed=True)
        since = self.service_answered_at - self._settings.forget_after_s
        forgotten = [p.id for p in self._peers.values() if not p.listed and p.seen_at < since]
        for vm in forgotten:
            del self._peers[vm]
            self._unpublished = True
        self._publish_peers()

    def _publish_peers(self) -> None:
        if self._unpublished:
            self._unpublished = False
            self._network.set_peers({peer.id: peer.address for peer in self._peers.values()})

    def _learn(self, vm: str, address: Address, *, listed: bool) -> Peer | None:
        if vm == self.vm_id:
            return None
        peer = self._peers.get(vm)
        # The list lags, so it does not replace an address that the VM itself told.
        if peer is None or (peer.address != address and not (listed and self._answers(peer))):
            peer = self._peers[vm] = Peer(vm, address, trio.current_time())
            self._unpublished = True
        peer.listed = peer.listed or listed
        return peer

    def _answers(self, peer: Peer) -> bool:
        return trio.current_time() - peer.answered_at <= self._settings.live_s

    async def _send_heartbeats(self, nursery: trio.Nursery) -> None:
        rounds = 0
        while True:
            for peer in self._asked_peers():
                due = self._is_recent(peer) or rounds % UNREACHABLE_ROUNDS == 0
                if due and not peer.asked:
                    nursery.start_soon(self._ask, peer)
            self._note_changes()
            rounds += 1
            await trio.sleep(self._settings.heartbeat_interval_s)

    def _is_recent(self, peer: Peer) -> bool:
        return trio.current_time() - peer.seen_at <= self._settings.live_s

    def _note_changes(self) -> None:
        ids = tuple(sorted(peer.id for peer in self._live_peers()))
        if ids != self._live_ids:
            self._live_ids = ids
            self._notify()

    async def _ask(self, peer: Peer) -> None:
        peer.asked = True
        sent_at = trio.current_time()
        try:
            with contextlib.suppress(TanagerfrontError, ValueError):
                timeout_s = self._settings.heartbeat_timeout_s
                reply = await self._network.call(peer.id, self._heartbeat(), timeout_s)
                if isinstance(reply, HeartbeatReply) and reply.vm == peer.id:
                    self._accept_answer(peer, sent_at, reply)
        finally:
            peer.asked = False

    def _accept_answer(self, peer: Peer, sent_at: float, answer: HeartbeatReply) -> None:
        changed = peer.accept(sent_at, answer)
        # Counting from the sending cannot make an answer of the service look later than it was.
        reached_at = sent_at - min(answer.service_age_s, answer.peer_service_age_s)
        self._peer_service_at = max(self._peer_service_at, reached_at)
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

    async def _answer_heartbeat(self, vm: str, heartbeat: Heartbeat) -> Message:
        with contextlib.suppress(ValueError):
            peer = self._learn(heartbeat.vm, parse_address(heartbeat.address), listed=False)
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
            self._first_hand_age_s(),
        )

    def _first_hand_age_s(self) -> float:
        """Return the age of the latest contact with the service that a peer told directly.

        Reports of reports are left out, since they would keep each other young.
        """
        answered = [peer for peer in self._peers.values() if peer.answer]
        reached = [p.answered_at - p.answer.service_age_s for p in answered if p.answer]
        return trio.current_time() - max(reached, default=NEVER)

    async def _answer_probe(self, vm: str, probe: ServiceProbe) -> Message:
        return ServiceProbeReply(self._service_age_s())
