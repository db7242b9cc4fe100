"""Binary body of a watch response between VMs, with large values compressed or withheld.

A VM asks for it with the query parameter PACKED. A VM of an older build ignores the parameter and
replies with the store's JSON, or with 410 if the changes are large.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..change_history import LARGE_VALUE_BYTES, ChangeHistory
from ..decoding import DECODING_ERRORS
from ..kv import WatchEvent

__all__ = ["CONTENT_TYPE", "PackedPage", "decode_packed", "deflate", "encode_packed"]

CONTENT_TYPE = "application/msgpack"
# Ten times the largest value of the store; a response that expands beyond it is malformed.
MAX_VALUE_BYTES = 16 * 1024 * 1024
COMPRESSION_LEVEL = 6


class PackedPage(NamedTuple):
    """Decoded changes; `deflated` has the compressed form of those values that came compressed."""

    events: tuple[WatchEvent, ...]
    revision: int
    # Whether changes with large values were left out.
    withheld: bool
    deflated: dict[str, bytes]


class _Change(msgspec.Struct, array_like=True):
    key: str
    revision: int
    value: bytes | None
    deflated: bool = False


class _Page(msgspec.Struct, array_like=True):
    revision: int
    changes: list[_Change]
    withheld: bool = False


_decoder = msgspec.msgpack.Decoder(_Page)


def deflate(value: bytes) -> bytes:
    """Return a value in compressed form."""
    return zlib.compress(value, COMPRESSION_LEVEL)


def encode_packed(
    events: Iterable[WatchEvent], revision: int, history: ChangeHistory, *, withheld: bool
) -> bytes:
    """Return the body of a response; large values are compressed once for all requests."""
    return msgspec.msgpack.encode(
        _Page(revision, [_encode(event, history) for event in events], withheld)
    )


def _encode(event: WatchEvent, history: ChangeHistory) -> _Change:
    if len(event.value or b"") <= LARGE_VALUE_BYTES:
        return _Change(event.key, event.revision, event.value)
    compressed = history.compressed(event, deflate)
    return _Change(event.key, event.revision, compressed, deflated=True)


def decode_packed(body: bytes) -> PackedPage:
    """Return the changes of a response; raises ValueError."""
    try:
        page = _decoder.decode(body)
        events = tuple(
            WatchEvent(change.key, _value(change), change.revision) for change in page.changes
        )
    except (*DECODING_ERRORS, zlib.error) as error:
        raise ValueError(f"malformed changes: {error}") from error
    deflated = {
        change.key: change.value
        for change in page.changes
        if change.deflated and change.value is not None
    }
    return PackedPage(events, page.revision, page.withheld, deflated)


def _value(change: _Change) -> bytes | None:
    if not change.deflated or change.value is None:
        return change.value
    decompressor = zlib.decompressobj()
    value = decompressor.decompress(change.value, MAX_VALUE_BYTES)
    if not decompressor.eof:
        raise ValueError("malformed changes: a value is truncated or too large")
    return value
