"""Datagrams between VMs: heartbeats with what a VM sees, and loans of rate tokens."""

from __future__ import annotations

import msgspec

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
    """Answer to a heartbeat, from which its sender learns how old its beliefs may be.

    The store confirmed the revisions no earlier than `lag_s` before the heartbeat that carried
    `sent_at` came in. No clock is compared with another VM's.
    """

    sent_at: float
    lag_s: float
    configuration_revision: int
    # Newest revision that the answering VM has taken in.
    store_revision: int


class Heartbeat(msgspec.Struct, tag="h", array_like=True):
    """What a VM sees; `sent_at` is in the sender's own clock."""

    vm: str
    sent_at: float
    # Newest revision of a primary's record that the VM acts on.
    seen_revision: int
    # Primaries that the VM cannot connect to, and those that answered it lately.
    unreachable: list[str]
    reachable: list[str]
    # Rate tokens that the VM would lend, by organisation.
    surplus: dict[str, int]
    echo: Echo | None = None


class LoanRequest(msgspec.Struct, tag="r", array_like=True):
    """Ask for rate tokens of an organisation."""

    loan: int
    organisation: str
    count: int


class LoanGrant(msgspec.Struct, tag="g", array_like=True):
    """Give rate tokens; they no longer belong to the sender."""

    loan: int
    count: int


Datagram = Heartbeat | LoanRequest | LoanGrant

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode_datagram(message: Datagram) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode_datagram(data: bytes) -> Datagram:
    """Return the message; raises msgspec.MsgspecError."""
    return _decoder.decode(data)
