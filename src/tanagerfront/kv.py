"""Interface of the platform's key-value service."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

__all__ = ["KeyValue", "KeyValueStore", "WatchEvent"]


class KeyValue(NamedTuple):
    """A stored value; `revision` is the one of its last change and the subject of swaps."""

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
    """Calls of the service.

    Each raises KeyValueUnavailableError when the call cannot have taken effect, and
    KeyValueTimeoutError when it may have.
    """

    @property
    def last_answer_age_s(self) -> float:
        """Return the seconds since the service last answered a call of this client."""

    async def get(self, key: str) -> KeyValue | None:
        """Return the current value."""

    async def range(self, prefix: str) -> tuple[tuple[KeyValue, ...], int]:
        """Return all values under a prefix and the store's revision."""

    async def put_if(self, key: str, value: bytes, revision: int, *, lease: int = 0) -> bool:
        """Write if the key's revision is still `revision`, 0 for a key that must not exist."""

    async def delete_if(self, key: str, revision: int) -> bool:
        """Delete if the key's revision is still `revision`."""

    async def grant(self, ttl_s: int) -> int:
        """Create a lease and return its id."""

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its full time in seconds, 0 if it has ended."""

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are deleted."""

    def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield changes under a prefix from a revision on; ends with an error when silent."""
