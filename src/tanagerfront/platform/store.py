"""Client of the platform's store."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec
import trio

from ..errors import (
    ConnectionLostError,
    HistoryLostError,
    KeyValueTimeoutError,
    KeyValueUnavailableError,
)
from ..http_client import Address, HttpConnection, HttpReply
from ..kv import KeyValue, WatchEvent

__all__ = [
    "GONE",
    "NOT_FOUND",
    "OK",
    "WATCH_PATH",
    "LeaseEndedError",
    "Page",
    "StoreClient",
    "SwapConflictError",
    "encode_watch_response",
]

OK, NOT_FOUND, GONE, PRECONDITION_FAILED = 200, 404, 410, 412
REJECTED = frozenset({429, 503})
WATCH_PATH = "/v1/kv-watch"


class SwapConflictError(KeyValueUnavailableError):
    """A key was not at the expected revision; `items` are the current values of the keys."""

    def __init__(self, items: Sequence[KeyValue]) -> None:
        super().__init__("a key has changed")
        self._items = tuple(items)

    @property
    def items(self) -> tuple[KeyValue, ...]:
        """Return the expected keys that exist, with their current values."""
        return self._items


class LeaseEndedError(KeyValueUnavailableError):
    """The lease has ended, and its keys are gone."""


class Page(NamedTuple):
    """Values or changes, and the store's revision that they belong to."""

    values: tuple[KeyValue, ...]
    events: tuple[WatchEvent, ...]
    revision: int


class _Item(msgspec.Struct):
    key: str
    revision: int = 0
    value: str | None = None
    lease: int = 0
    deleted: bool = False


class _Response(msgspec.Struct):
    items: list[_Item] = []
    events: list[_Item] = []
    has_more: bool = False
    at_revision: int = 0
    revision: int = 0
    lease: int = 0
    ttl_ms: float = 0.0


_answer = msgspec.json.Decoder(_Response)


def _bytes(text: str | None) -> bytes:
    return base64.b64decode(text) if text else b""


def encode_watch_response(events: Iterable[WatchEvent], revision: int) -> bytes:
    """Return the answer to a watch."""
    items = [
        _Item(
            each.key,
            each.revision,
            None if each.value is None else base64.b64encode(each.value).decode(),
            deleted=each.value is None,
        )
        for each in events
    ]
    return msgspec.json.encode(_Response(events=items, at_revision=revision))


def _key_value(item: _Item) -> KeyValue:
    return KeyValue(item.key, _bytes(item.value), item.revision, item.lease)


class StoreClient:
    """Calls over one kept connection; one call at a time.

    Each raises KeyValueUnavailableError when the call had no effect, and KeyValueTimeoutError
    when it may have had one, also later.
    """

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._connection: HttpConnection | None = None
        self._lock = trio.Lock()
        self.calls = 0

    async def range(self, prefix: str) -> Page:
        """Return all values under a prefix and a revision from which a watch misses nothing."""
        values: list[KeyValue] = []
        after = ""
        revision = 0
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            answer = await self._call("GET", f"/v1/kv-range?{urlencode(query)}")
            # Pages are not a snapshot, so the watch has to begin with the first one.
            revision = revision or answer.at_revision
            values += [_key_value(each) for each in answer.items]
            if not answer.has_more or not answer.items:
                return Page(tuple(values), (), revision)
            after = answer.items[-1].key

    async def get(self, key: str) -> KeyValue | None:
        """Return the current value of a key."""
        page = await self.range(key)
        return next((each for each in page.values if each.key == key), None)

    async def watch(self, prefix: str, after: int, wait_s: float, *, large: bool = False) -> Page:
        """Return the changes after a revision, waiting for one; raises HistoryLostError.

        Another VM that is asked in place of the store returns large values only with `large`.
        """
        query = {"prefix": prefix, "after": after, "wait_ms": int(wait_s * 1000)}
        query |= {"large": 1} if large else {}
        answer = await self._call("GET", f"{WATCH_PATH}?{urlencode(query)}", extra_s=wait_s)
        events = tuple(
            WatchEvent(each.key, None if each.deleted else _bytes(each.value), each.revision)
            for each in answer.events
        )
        return Page((), events, answer.at_revision)

    async def swap(
        self,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes] | None = None,
        lease: int = 0,
    ) -> int:
        """Change keys if all are at their expected revisions, 0 for a key that must not exist.

        Return the new revision; raises SwapConflictError or LeaseEndedError. Without changes this
        confirms that the revisions are current.
        """
        body = msgspec.json.encode(
            {
                "expected_revision": [
                    {"key": key, "revision": revision} for key, revision in expected.items()
                ],
                "puts": [
                    {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
                    for key, value in (puts or {}).items()
                ],
                "deletes": [],
            }
        )
        answer = await self._call("POST", "/v1/kv-txn", body)
        return answer.revision

    async def grant(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        body = msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})
        return (await self._call("POST", "/v1/kv-lease", body)).lease

    async def keep_alive(self, lease: int) -> None:
        """Renew a lease; raises LeaseEndedError."""
        await self._call("POST", f"/v1/kv-keep/{lease}")

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are deleted."""
        await self._call("DELETE", f"/v1/kv-lease-end/{lease}")

    async def _call(
        self, method: str, path: str, body: bytes = b"", *, extra_s: float = 0.0
    ) -> _Response:
        async with self._lock:
            self.calls += 1
            reply = await self._exchange(method, path, body, self._timeout_s + extra_s)
        if reply.status in REJECTED:
            raise KeyValueUnavailableError(f"the store answered {reply.status}")
        if reply.status == GONE:
            raise HistoryLostError("the store dropped this history")
        if reply.status == NOT_FOUND:
            raise LeaseEndedError("the lease has ended")
        try:
            answer = _answer.decode(reply.body or b"{}")
            conflict = [_key_value(each) for each in answer.items if each.revision]
        except (msgspec.MsgspecError, binascii.Error) as error:
            raise KeyValueTimeoutError(f"the store's answer is malformed: {error}") from error
        if reply.status == PRECONDITION_FAILED:
            raise SwapConflictError(conflict)
        if reply.status != OK:
            raise KeyValueUnavailableError(f"the store answered {reply.status}")
        return answer

    async def _exchange(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpReply:
        try:
            if self._connection is None or not self._connection.usable:
                self._connection = await HttpConnection.open(
                    self._address, timeout_s=self._timeout_s
                )
            return await self._connection.request(method, path, body, timeout_s=timeout_s)
        except ConnectionLostError as error:
            if error.executed == "no":
                raise KeyValueUnavailableError(str(error)) from error
            raise KeyValueTimeoutError(str(error)) from error
