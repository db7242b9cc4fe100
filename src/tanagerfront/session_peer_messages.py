"""Datagrams between the VMs of the session interface: heartbeats and loans of rate tokens."""

from __future__ import annotations

import msgspec

from .position_exchange import PassedPosition

__all__ = [
    "Datagram",
    "Echo",
    "Heartbeat",
    "LoanGrant",
    "LoanRequest",
    "decode_datagram",
    "encode_datagram",
]


class Echo(msgspec.Struct, array_like=True):
    """Reply to a heartbeat, by which its sender bounds the age of its confirmed state.

    The store confirmed the revisions at most `lag_s` seconds before the heartbeat with `sent_at`
    arrived. Clocks of different VMs are never compared.
    """

    sent_at: float
    lag_s: float
    configuration_revision: int
    # Newest revision that the replying VM has applied.
    store_revision: int
    # After its return from a copy the store may hold an older version than VMs know.
    configuration_version: int = 0
    # Failure domains that are evacuated in the replying VM's view.
    evacuated: list[str] = []


class Heartbeat(msgspec.Struct, tag="h", array_like=True):
    """State that a VM reports to its peers; `sent_at` is a time by the sender's clock."""

    vm: str
    sent_at: float
    # Newest revision of a primary record that the VM uses.
    seen_revision: int
    # Primaries that the VM cannot reach, and those that answered it recently.
    unreachable: list[str]
    reachable: list[str]
    # Rate tokens that the VM offers to lend, by organisation.
    surplus: dict[str, int]
    echo: Echo | None = None
    # Positions of primaries, only in a reply to a heartbeat.
    positions: list[PassedPosition] = msgspec.field(default_factory=list)
    # The promoter may replace primaries by records up to this revision: they are in use, and no
    # success of a former primary will be passed on. None from VMs of older builds.
    acknowledged_revision: int | None = None

    @property
    def acknowledged(self) -> int:
        """Return the acknowledged revision, or what an older build has for it."""
        if self.acknowledged_revision is None:
            return self.seen_revision
        return self.acknowledged_revision


class LoanRequest(msgspec.Struct, tag="r", array_like=True):
    """Request to lend rate tokens of an organisation."""

    loan: int
    organisation: str
    count: int


class LoanGrant(msgspec.Struct, tag="g", array_like=True):
    """Transfer of rate tokens, which the sender has already deducted from its share."""

    loan: int
    count: int


Datagram = Heartbeat | LoanRequest | LoanGrant

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode_datagram(message: Datagram) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode_datagram(data: bytes) -> Datagram:
    """Decode a message; raises msgspec.MsgspecError if it is malformed."""
    return _decoder.decode(data)
