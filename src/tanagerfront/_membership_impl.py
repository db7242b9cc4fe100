"""Value types of the membership and the record of one peer."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from .http_client import Address, parse_address
from .messages import HeartbeatReply

__all__ = ["NEVER", "ListedPeer", "LiveVm", "MembershipSettings", "Peer", "OutageEvidence"]

NEVER = float("-inf")


class MembershipSettings(NamedTuple):
    """Intervals and limits of the heartbeats."""

    heartbeat_interval_s: float = 0.5
    heartbeat_timeout_s: float = 1.0
    # A peer is live for this long after the sending of the last heartbeat it answered.
    live_s: float = 2.0
    # A VM says that it cannot reach the service after this long without any answer. It has to be
    # longer than the interval of its keep-alives plus one heartbeat and its timeout.
    lost_after_s: float = 5.0
    # A silent VM counts as a member for this long, so that a partition does not shrink the
    # membership that the majority is taken of.
    forget_after_s: float = 30.0
    # Fleets up to this size exchange heartbeats between all VMs.
    sample_size: int = 16
    list_interval_s: float = 2.0


class ListedPeer(Protocol):
    """What the membership reads from an entry of the platform's list."""

    @property
    def id(self) -> str:
        """Return the id of the VM."""

    @property
    def address(self) -> Address:
        """Return the address its peers connect to."""


class LiveVm(NamedTuple):
    """A VM that answers heartbeats."""

    id: str
    incarnation: str
    failure_domain: str
    address: Address
    draining: bool
    config_version: int


class OutageEvidence(NamedTuple):
    """Whether a majority cannot reach the key-value service and nobody is known to reach it."""

    unreachable: bool
    # Monotonic time in seconds at which it held; a vote counts from the sending of its request.
    at: float


class Peer:
    """What is known about one other VM."""

    def __init__(self, vm: str, address: Address, now: float) -> None:
        self.id = vm
        self.address = address
        self.known_at = now
        self.listed = False
        self.asked = False
        # Sending time of the last heartbeat that was answered.
        self.answered_at = NEVER
        self.answer: HeartbeatReply | None = None
        self.vm: LiveVm | None = None

    @property
    def seen_at(self) -> float:
        """Return the last time at which there was a reason to count the VM."""
        return max(self.known_at, self.answered_at)

    def accept(self, sent_at: float, answer: HeartbeatReply) -> bool:
        """Record an answer and tell whether the VM changed; raises ValueError."""
        previous = self.vm
        self.vm = LiveVm(
            answer.vm,
            answer.incarnation,
            answer.failure_domain,
            parse_address(answer.address),
            answer.draining,
            answer.config_version,
        )
        self.answered_at = sent_at
        self.answer = answer
        return self.vm != previous
