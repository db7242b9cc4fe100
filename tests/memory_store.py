"""In-memory key-value store whose calls fail according to a test's plan."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable, Iterable

import trio

from tanagerfront.errors import KeyValueTimeoutError, KeyValueUnavailableError
from tanagerfront.kv import KeyValue, WatchEvent

# Faults of a write: the reply is lost, the call is lost, it takes effect late, or it is rejected.
WRITE_FAULTS = ("ok", "answer lost", "call lost", "late", "refused")
READ_FAULTS = ("ok", "refused")


class MemoryStore:
    """Key-value calls used by the configuration; once the plan ends, every call succeeds."""

    def __init__(self, writes: Iterable[str] = (), reads: Iterable[str] = ()) -> None:
        self._entries: dict[str, KeyValue] = {}
        self._events: list[WatchEvent] = []
        self._revision = 1
        self._write_faults = iter(tuple(writes))
        self._read_faults = iter(tuple(reads))
        self._late_writes: list[Callable[[], bool]] = []
        self._random = random.Random(0)
        self.watch_order: Callable[[list[WatchEvent]], list[WatchEvent]] = list
        self.down = False

    def _put(self, key: str, value: bytes, revision: int, lease: int) -> bool:
        found = self._entries.get(key)
        if (found.revision if found else 0) != revision:
            return False
        self._revision += 1
        self._entries[key] = KeyValue(key, value, self._revision, lease)
        self._events.append(WatchEvent(key, value, self._revision))
        return True

    async def _read(self) -> None:
        await trio.sleep(self._random.random() / 100)
        fault = next(self._read_faults, "ok")
        if self.down or fault == "refused":
            raise KeyValueUnavailableError("refused")

    async def get(self, key: str) -> KeyValue | None:
        await self._read()
        found = self._entries.get(key)
        # A later reply may overtake this one.
        await trio.sleep(self._random.random() / 10)
        return found

    async def range(self, prefix: str) -> tuple[tuple[KeyValue, ...], int]:
        await self._read()
        found = tuple(value for key, value in self._entries.items() if key.startswith(prefix))
        revision = self._revision
        await trio.sleep(self._random.random() / 10)
        return found, revision

    async def put_if(self, key: str, value: bytes, revision: int, *, lease: int = 0) -> bool:
        await trio.sleep(self._random.random() / 100)
        fault = next(self._write_faults, "ok")
        if self.down or fault == "refused":
            raise KeyValueUnavailableError("refused")
        if fault == "call lost":
            raise KeyValueTimeoutError("lost")
        if fault == "late":
            self._late_writes.append(lambda: self._put(key, value, revision, lease))
            raise KeyValueTimeoutError("late")
        written = self._put(key, value, revision, lease)
        if self._late_writes and self._random.random() < 0.5:
            self._late_writes.pop(0)()
        if fault == "answer lost":
            raise KeyValueTimeoutError("answer lost")
        return written

    def end_faults(self) -> None:
        """Drop the rest of the plan and apply the pending late writes."""
        self._write_faults = self._read_faults = iter(())
        while self._late_writes:
            self._late_writes.pop(0)()

    async def delete_if(self, key: str, revision: int) -> bool:
        await trio.sleep(self._random.random() / 100)
        found = self._entries.get(key)
        if not found or found.revision != revision:
            return False
        self._revision += 1
        del self._entries[key]
        return True

    def keys(self, prefix: str) -> list[str]:
        return [key for key in self._entries if key.startswith(prefix)]

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        seen = start_revision - 1
        while not self.down:
            newer = [e for e in self._events if e.revision > seen and e.key.startswith(prefix)]
            seen = self._revision
            for event in self.watch_order(newer):
                yield event
            await trio.sleep(0.05)
        raise KeyValueUnavailableError("watch lost")
