"""HTTP client of the platform's key-value store (session interface)."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec
import trio

from ..decoding import DECODING_ERRORS
from ..errors import (
    ConnectionLostError,
    HistoryLostError,
    KeyValueTimeoutError,
    KeyValueUnavailableError,
    StoreRestoredError,
)
from ..http_client import Address, HttpConnection, HttpReply
from ..kv import KeyValue, WatchEvent
from ..store_era import FIRST_ERA, era_of, global_revision, stored_revision
from .packed_changes import CONTENT_TYPE, PackedPage, decode_packed

__all__ = [
    "GONE",
    "NOT_FOUND",
    "OK",
    "WATCH_PATH",
    "LeaseEndedError",
    "Page",
    "StoreClient",
    "StoreEra",
    "SwapConflictError",
    "encode_watch_response",
]

# HTTP statuses of the store; it executes nothing when it replies with one of REJECTED_STATUSES.
OK, NOT_FOUND, GONE, PRECONDITION_FAILED = 200, 404, 410, 412
REJECTED_STATUSES = frozenset({429, 503})
WATCH_PATH = "/v1/kv-watch"
# Rises by one each time the store returns from an older copy; sent with every reply.
ERA_HEADER = "store-era"
# A configuration with thousands of routes has 0.5 MB, which takes longer than a call's timeout on a
# small link shared with statements. This is a tenth of a link of 5 Mbit/s.
MIN_BODY_BYTES_PER_S = 62_500.0


class SwapConflictError(KeyValueUnavailableError):
    """A key was not at its expected revision; `items` are the current values of those expected."""

    def __init__(self, items: Sequence[KeyValue]) -> None:
        super().__init__("compare-and-swap failed: a key is at another revision")
        self._items = tuple(items)

    @property
    def items(self) -> tuple[KeyValue, ...]:
        """Return those expected keys that exist, with their current values."""
        return self._items


class LeaseEndedError(KeyValueUnavailableError):
    """The lease has expired or was revoked, and the store has deleted its keys."""


class Page(NamedTuple):
    """Values or changes, with the store revision that they belong to."""

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


_response_decoder = msgspec.json.Decoder(_Response)


def _decode_value(text: str | None) -> bytes:
    """Return the bytes of a value, none if they can't be read."""
    try:
        return base64.b64decode(text) if text else b""
    except binascii.Error:
        return b""


def encode_watch_response(events: Iterable[WatchEvent], revision: int) -> bytes:
    """Return the body of a watch response."""
    items = [
        _Item(
            event.key,
            event.revision,
            None if event.value is None else base64.b64encode(event.value).decode(),
            deleted=event.value is None,
        )
        for event in events
    ]
    return msgspec.json.encode(_Response(events=items, at_revision=revision))


class StoreEra:
    """The era in the store's latest replies, shared by all clients of one store."""

    def __init__(self) -> None:
        self._number: int | None = None
        # Called when a reply shows another era than the replies before, not for the first reply.
        self.on_restored: Callable[[int], None] = lambda era: None

    @property
    def number(self) -> int:
        """Return the era; a store that names none stays in its first."""
        return FIRST_ERA if self._number is None else self._number

    def record(self, reply: HttpReply, asked_in: int | None) -> None:
        """Record the era of a reply; raises StoreRestoredError if the call was made in another."""
        text = reply.headers.get(ERA_HEADER, "")
        if not text.isdecimal():
            return
        era, before = int(text), self._number
        if before is None or era > before:
            self._number = era
            if before is not None:
                self.on_restored(era)
        if asked_in is not None and not era == asked_in == self._number:
            raise StoreRestoredError(f"store is in era {era}; the call relied on era {asked_in}")

    @property
    def asked_in(self) -> int | None:
        """Return the era on which a call made now relies, None before the first reply."""
        return self._number


class StoreClient:
    """Call the store over one persistent connection, one call at a time.

    Every call raises KeyValueUnavailableError if it had no effect, and KeyValueTimeoutError if it
    may have had an effect or may still have one later. Revisions are numbered across eras; a call
    that is answered in a later era than it was made in raises StoreRestoredError.
    """

    def __init__(self, address: Address, timeout_s: float, era: StoreEra | None = None) -> None:
        self._address = address
        self._timeout_s = timeout_s
        # None for a peer VM, which numbers revisions across eras itself.
        self._era = era
        self._connection: HttpConnection | None = None
        self._lock = trio.Lock()
        self.calls = 0

    @property
    def arriving_bytes(self) -> int:
        """Return the length of the reply whose body is arriving, 0 if none is."""
        return self._connection.arriving_bytes if self._connection is not None else 0

    async def range(self, prefix: str) -> Page:
        """Return all values under a prefix and a revision from which a watch misses no change."""
        values: list[KeyValue] = []
        after = ""
        revision = 0
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            response = await self._call("GET", f"/v1/kv-range?{urlencode(query)}")
            # Pages are read at different revisions, so a watch has to start at the first page's.
            revision = revision or self._global(response.at_revision)
            values += [self._key_value(item) for item in response.items]
            if not response.has_more or not response.items:
                return Page(tuple(values), (), revision)
            after = response.items[-1].key

    async def get(self, key: str) -> KeyValue | None:
        """Return the current value of a key."""
        page = await self.range(key)
        return next((found for found in page.values if found.key == key), None)

    async def watch(self, prefix: str, after: int, wait_s: float, *, large: bool = False) -> Page:
        """Return the changes after a revision; raises HistoryLostError.

        Waits up to `wait_s` seconds for a change. Without `large` a peer VM that serves the call
        in place of the store refuses it if the changes are large.
        """
        query = {"prefix": prefix, "after": self._stored(after), "wait_ms": int(wait_s * 1000)}
        query |= {"large": 1} if large else {}
        response = await self._call("GET", f"{WATCH_PATH}?{urlencode(query)}", wait_s=wait_s)
        return self._watched(response)

    async def watch_packed(
        self, after: int, until: int, wait_s: float, *, withhold: bool
    ) -> tuple[PackedPage, int]:
        """Return a peer VM's changes after a revision, and the size of the response in bytes.

        The peer waits up to `wait_s` seconds until it knows all changes up to `until`. After that
        this raises HistoryLostError, except that with `withhold`, which leaves out large values,
        the peer replies with what it knows.
        """
        query = {"prefix": "", "after": after, "until": until, "wait_ms": int(wait_s * 1000)}
        query |= {"packed": 1} | ({"withhold": 1} if withhold else {})
        reply = await self._reply("GET", f"{WATCH_PATH}?{urlencode(query)}", wait_s=wait_s)
        if reply.status == OK and reply.headers.get("content-type") == CONTENT_TYPE:
            try:
                return decode_packed(reply.body), len(reply.body)
            except ValueError as error:
                raise KeyValueTimeoutError(str(error)) from error
        # A VM of an older build.
        page = self._watched(self._decoded(reply))
        return PackedPage(page.events, page.revision, withheld=False, deflated={}), len(reply.body)

    def _watched(self, response: _Response) -> Page:
        events = tuple(
            WatchEvent(
                item.key,
                None if item.deleted else _decode_value(item.value),
                self._global(item.revision),
            )
            for item in response.events
        )
        return Page((), events, self._global(response.at_revision))

    async def swap(
        self,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes] | None = None,
        lease: int = 0,
    ) -> int:
        """Write keys if all expected keys are at their revisions, 0 for a key that must not exist.

        Return the new revision; raises SwapConflictError or LeaseEndedError. Without `puts` the
        call only confirms that the revisions are current.
        """
        body = msgspec.json.encode(
            {
                "expected_revision": [
                    {"key": key, "revision": self._stored(revision)}
                    for key, revision in expected.items()
                ],
                "puts": [
                    {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
                    for key, value in (puts or {}).items()
                ],
                "deletes": [],
            }
        )
        response = await self._call("POST", "/v1/kv-txn", body)
        return self._global(response.revision)

    async def grant(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        body = msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})
        return (await self._call("POST", "/v1/kv-lease", body)).lease

    async def keep_alive(self, lease: int) -> None:
        """Renew a lease; raises LeaseEndedError."""
        await self._call("POST", f"/v1/kv-keep/{lease}")

    async def revoke(self, lease: int) -> None:
        """End a lease; the store deletes its keys."""
        await self._call("DELETE", f"/v1/kv-lease-end/{lease}")

    async def _call(
        self, method: str, path: str, body: bytes = b"", *, wait_s: float = 0.0
    ) -> _Response:
        return self._decoded(await self._reply(method, path, body, wait_s=wait_s))

    async def _reply(
        self, method: str, path: str, body: bytes = b"", *, wait_s: float = 0.0
    ) -> HttpReply:
        # The call's revisions are of this era, also if it waits for the connection.
        asked_in = self._era.asked_in if self._era else None
        async with self._lock:
            self.calls += 1
            reply = await self._exchange(method, path, body, self._timeout_s + wait_s)
            if self._era is not None:
                self._era.record(reply, asked_in)
        if reply.status in REJECTED_STATUSES:
            raise KeyValueUnavailableError(f"store rejected the call with status {reply.status}")
        if reply.status == GONE:
            raise HistoryLostError("changes after this revision are no longer available")
        if reply.status == NOT_FOUND:
            raise LeaseEndedError("lease has expired or was revoked")
        return reply

    def _decoded(self, reply: HttpReply) -> _Response:
        try:
            response = _response_decoder.decode(reply.body or b"{}")
            current = [self._key_value(item) for item in response.items if item.revision]
        except (*DECODING_ERRORS, binascii.Error) as error:
            raise KeyValueTimeoutError(f"malformed store response: {error}") from error
        if reply.status == PRECONDITION_FAILED:
            raise SwapConflictError(current)
        if reply.status != OK:
            raise KeyValueUnavailableError(f"unexpected store status {reply.status}")
        return response

    def _global(self, revision: int) -> int:
        return revision if self._era is None else global_revision(self._era.number, revision)

    def _stored(self, revision: int) -> int:
        """Return the store's own number of a revision; raises StoreRestoredError if it is void."""
        if self._era is None:
            return revision
        if revision and era_of(revision) != self._era.number:
            raise StoreRestoredError("revision of an earlier era of the store")
        return stored_revision(revision)

    def _key_value(self, item: _Item) -> KeyValue:
        return KeyValue(
            item.key, _decode_value(item.value), self._global(item.revision), item.lease
        )

    async def _exchange(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpReply:
        try:
            if self._connection is None or not self._connection.usable:
                self._connection = await HttpConnection.open(
                    self._address,
                    timeout_s=self._timeout_s,
                    user_timeout_ms=int(self._timeout_s * 1000),
                )
            return await self._connection.request(
                method,
                path,
                body,
                timeout_s=timeout_s,
                min_body_bytes_per_s=MIN_BODY_BYTES_PER_S,
            )
        except ConnectionLostError as error:
            if error.executed == "no":
                raise KeyValueUnavailableError(str(error)) from error
            raise KeyValueTimeoutError(str(error)) from error
