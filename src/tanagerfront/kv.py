"""Interface of the platform's key-value service."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

__all__ = ["KeyValue", "KeyValueStore", "WatchEvent"]


class KeyValue(NamedTuple):
    """A stored value; `revision` is that of its last change, compared by conditional writes."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


class WatchEvent(NamedTuple):
    """A change of one key; `value` is None when the key was deleted."""

    key: str
    value: bytes | None
    revision: int


class KeyValueStore(Protocol):
    """Client of the key-value service.

    A call raises KeyValueUnavailableError when it cannot have taken effect, and
    KeyValueTimeoutError when it may have.
    """

    @property
    def last_answer_age_s(self) -> float:
        """Return the seconds since the service last answered a call from this client."""

    async def get(self, key: str) -> KeyValue | None:
        """Return the current value, None if the key does not exist."""

    async def range(self, prefix: str) -> tuple[tuple[KeyValue, ...], int]:
        """Return all values under a prefix and the store revision."""

    async def put_if(self, key: str, value: bytes, revision: int, *, lease: int = 0) -> bool:
        """Write if the key is at `revision`, 0 for an absent key; return whether it was."""

    async def delete_if(self, key: str, revision: int) -> bool:
        """Delete the key if it is still at `revision`; return whether it was."""

    async def grant(self, ttl_s: int) -> int:
        """Create a lease of `ttl_s` seconds and return its id."""

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its TTL in seconds, 0 if it has expired."""

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""

    def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield changes under a prefix from a revision; raises KeyValueError on end or silence."""
