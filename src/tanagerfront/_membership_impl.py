"""Settings and value types of the membership, and the state of one peer."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from .http_client import Address, parse_address
from .messages import HeartbeatReply

__all__ = ["NEVER", "ListedPeer", "LiveVm", "MembershipSettings", "OutageEvidence", "Peer"]

NEVER = float("-inf")


class MembershipSettings(NamedTuple):
    """Times and limits of heartbeats and membership."""

    heartbeat_interval_s: float = 0.5
    heartbeat_timeout_s: float = 1.0
    # A peer is live for this long after the last heartbeat that it answered was sent.
    live_s: float = 2.0
    # A VM counts as unable to reach the service after this long without an answer from it. This
    # must exceed the interval of lease renewals plus the interval and timeout of a heartbeat.
    unreachable_after_s: float = 5.0
    # A silent VM stays a member for this long, so that a partition does not reduce the number of
    # members of which a majority is required.
    forget_after_s: float = 30.0
    # Up to this fleet size, all VMs exchange heartbeats; a larger fleet uses a sample per VM.
    sample_size: int = 16
    list_interval_s: float = 2.0


class ListedPeer(Protocol):
    """The part of an entry of the platform's list that the membership uses."""

    @property
    def id(self) -> str:
        """Return the id of the VM."""

    @property
    def address(self) -> Address:
        """Return the address to which its peers connect."""


class LiveVm(NamedTuple):
    """A VM that answers heartbeats, as its last answer describes it."""

    id: str
    incarnation: str
    failure_domain: str
    address: Address
    draining: bool
    config_version: int


class OutageEvidence(NamedTuple):
    """Whether a majority cannot reach the key-value service and no VM is known to reach it."""

    unreachable: bool
    # Monotonic time in seconds at which this held; a vote counts from the sending of its request.
    at: float


class Peer:
    """The state of one other VM."""

    def __init__(self, vm: str, address: Address, now: float) -> None:
        self.id = vm
        self.address = address
        # Time at which the VM was added or last sent a heartbeat.
        self.known_at = now
        self.listed = False
        self.awaiting_reply = False
        # Time at which the last heartbeat that it answered was sent.
        self.answered_at = NEVER
        self.last_reply: HeartbeatReply | None = None
        self.vm: LiveVm | None = None

    @property
    def seen_at(self) -> float:
        """Return the time of the last sign of the VM: its addition, a heartbeat or an answer."""
        return max(self.known_at, self.answered_at)

    def record_reply(self, sent_at: float, reply: HeartbeatReply) -> bool:
        """Record a reply and return whether the VM's properties changed.

        Raises ValueError if the reply has a malformed address.
        """
        previous = self.vm
        self.vm = LiveVm(
            reply.vm,
            reply.incarnation,
            reply.failure_domain,
            parse_address(reply.address),
            reply.draining,
            reply.config_version,
        )
        self.answered_at = sent_at
        self.last_reply = reply
        return self.vm != previous
