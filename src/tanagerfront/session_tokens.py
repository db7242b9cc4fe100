"""Session tokens of the HTTP interface, authenticated with HMAC-SHA256.

A token holds the log entry that the session has reached in each group.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from collections.abc import Mapping

import msgspec

from .decoding import DECODING_ERRORS
from .entry_id import ZERO, EntryId
from .errors import SessionTokenError

__all__ = ["MAX_GROUPS", "MAX_TOKEN_CHARS", "SessionToken"]

TOKEN_VERSION = b"\x01"
MAC_BYTES = 16
MIN_SECRET_BYTES = 16
MAX_GROUPS = 128
# Leaves room for other headers: the HTTP server limits a request head to 16 KiB.
MAX_TOKEN_CHARS = 8192
MAX_ENTRY_NUMBER = 2**63 - 1

_EncodedEntries = dict[str, tuple[int, int]]


class SessionToken:
    """Immutable mapping from group to the log entry that the session has reached in it."""

    __slots__ = ("_entries",)

    def __init__(self, entries: Mapping[str, EntryId] | None = None) -> None:
        self._entries = dict(entries or {})

    @property
    def entries(self) -> Mapping[str, EntryId]:
        """Return the entries by group."""
        return dict(self._entries)

    def entry(self, group: str) -> EntryId:
        """Return the entry reached in a group, or ZERO if the session has not used it."""
        return self._entries.get(group, ZERO)

    def advance(self, group: str, entry: EntryId) -> SessionToken:
        """Return a token advanced to `entry`, or this token if `entry` is not later."""
        if entry <= self.entry(group):
            return self
        return SessionToken({**self._entries, group: entry})

    def encode(self, secret: bytes, organisation: str) -> str:
        """Return the header value; raises SessionTokenError if it would be too large."""
        if len(self._entries) > MAX_GROUPS:
            raise SessionTokenError(f"a session is limited to {MAX_GROUPS} groups", executed="yes")
        body = msgspec.msgpack.encode(
            {group: tuple(entry) for group, entry in self._entries.items()}
        )
        token = TOKEN_VERSION + _compute_mac(secret, organisation, body) + body
        text = base64.urlsafe_b64encode(token).rstrip(b"=").decode("ascii")
        if len(text) > MAX_TOKEN_CHARS:
            raise SessionTokenError("the session token is too large", executed="yes")
        return text

    @classmethod
    def decode(cls, text: str, secret: bytes, organisation: str) -> SessionToken:
        """Return the token; raises SessionTokenError if malformed or not authentic."""
        raw = _decode_base64url(text)
        version, mac, body = raw[:1], raw[1 : 1 + MAC_BYTES], raw[1 + MAC_BYTES :]
        if version != TOKEN_VERSION:
            raise SessionTokenError("the session token has an unknown version")
        if not hmac.compare_digest(mac, _compute_mac(secret, organisation, body)):
            raise SessionTokenError(
                "the session token was not issued to this organisation by this deployment"
            )
        return cls(_parse_entries(body))


def _compute_mac(secret: bytes, organisation: str, body: bytes) -> bytes:
    """Return the truncated MAC.

    The length prefix of the name makes the boundary between name and body unambiguous.
    """
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f"the session secret has fewer than {MIN_SECRET_BYTES} bytes")
    name = organisation.encode()
    message = TOKEN_VERSION + len(name).to_bytes(4, "big") + name + body
    return hmac.new(secret, message, hashlib.sha256).digest()[:MAC_BYTES]


def _decode_base64url(text: str) -> bytes:
    if len(text) > MAX_TOKEN_CHARS:
        raise SessionTokenError("the session token is too large")
    try:
        padded = text.encode("ascii") + b"=" * (-len(text) % 4)
        return base64.b64decode(padded, altchars=b"-_", validate=True)
    except (UnicodeEncodeError, binascii.Error) as error:
        raise SessionTokenError("the session token is not base64url") from error


def _parse_entries(body: bytes) -> dict[str, EntryId]:
    try:
        parsed = msgspec.msgpack.decode(body, type=_EncodedEntries)
    except DECODING_ERRORS as error:
        raise SessionTokenError("the session token is malformed") from error
    if len(parsed) > MAX_GROUPS:
        raise SessionTokenError(f"the session token exceeds {MAX_GROUPS} groups")
    entries = {group: EntryId(*numbers) for group, numbers in parsed.items()}
    if any(not 0 <= number <= MAX_ENTRY_NUMBER for entry in entries.values() for number in entry):
        raise SessionTokenError("the session token is malformed")
    return entries
