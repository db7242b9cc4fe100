"""A key-value store in memory whose calls fail as a test plans it."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable, Iterable

import trio

from tanagerfront.errors import KeyValueTimeoutError, KeyValueUnavailableError
from tanagerfront.kv import KeyValue, WatchEvent

# What may happen to a write: its answer is lost, it is lost itself, it takes effect late, or the
# service refuses it.
WRITE_FAULTS = ("ok", "answer lost", "call lost", "late", "refused")
READ_FAULTS = ("ok", "refused")


class MemoryStore:
    """The calls that the configuration needs; after the plan ends every call succeeds."""

    def __init__(self, writes: Iterable[str] = (), reads: Iterable[str] = ()) -> None:
        self._entries: dict[str, KeyValue] = {}
        self._events: list[WatchEvent] = []
        self._revision = 1
        self._writes = iter(tuple(writes))
        self._reads = iter(tuple(reads))
        self._late: list[Callable[[], bool]] = []
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
        fault = next(self._reads, "ok")
        if self.down or fault == "refused":
            raise KeyValueUnavailableError("refused")

    async def get(self, key: str) -> KeyValue | None:
        await self._read()
        found = self._entries.get(key)
        # Later answers may overtake this one.
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
        fault = next(self._writes, "ok")
        if self.down or fault == "refused":
            raise KeyValueUnavailableError("refused")
        if fault == "call lost":
            raise KeyValueTimeoutError("lost")
        if fault == "late":
            self._late.append(lambda: self._put(key, value, revision, lease))
            raise KeyValueTimeoutError("late")
        done = self._put(key, value, revision, lease)
        if self._late and self._random.random() < 0.5:
            self._late.pop(0)()
        if fault == "answer lost":
            raise KeyValueTimeoutError("answer lost")
        return done

    def end_faults(self) -> None:
        """Drop the rest of the plan and let the writes that are on their way take effect."""
        self._writes = self._reads = iter(())
        while self._late:
            self._late.pop(0)()

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
