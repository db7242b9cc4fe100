"""Manifest of the configuration document and records of its edits."""

from __future__ import annotations

import hashlib
from typing import TypeVar

import msgspec

from .decoding import DECODING_ERRORS
from .errors import KeyValueError

__all__ = [
    "EMPTY_MANIFEST",
    "Edit",
    "Manifest",
    "SectionEntry",
    "decode_edit",
    "decode_manifest",
    "body_digest",
]

T = TypeVar("T")


class SectionEntry(msgspec.Struct, frozen=True):
    """A section: the digest of its body and the manifest version that last changed it."""

    digest: str
    version: int


class Edit(msgspec.Struct, frozen=True):
    """An accepted edit; `previous` is the replaced digest, `at` a POSIX time in seconds."""

    id: str
    team: str
    version: int
    digest: str
    previous: str | None
    at: float

    def encode(self) -> bytes:
        """Return the JSON encoding."""
        return msgspec.json.encode(self)


class Manifest(msgspec.Struct, frozen=True):
    """One version of the document: its section bodies by digest and the edit that produced it."""

    version: int
    sections: dict[str, SectionEntry]
    edit: Edit | None = None

    def with_edit(self, edit: Edit) -> Manifest:
        """Return the next manifest, which includes the edit."""
        entry = SectionEntry(edit.digest, edit.version)
        return Manifest(edit.version, {**self.sections, edit.team: entry}, edit)

    def encode(self) -> bytes:
        """Return the JSON encoding."""
        return msgspec.json.encode(self)


EMPTY_MANIFEST = Manifest(0, {})


def body_digest(text: str) -> str:
    """Return the hexadecimal SHA-256 digest of a section body."""
    return hashlib.sha256(text.encode()).hexdigest()


def decode_manifest(value: bytes) -> Manifest:
    """Decode a manifest; raises KeyValueError."""
    return _decode(value, Manifest)


def decode_edit(value: bytes) -> Edit:
    """Decode the record of an edit; raises KeyValueError."""
    return _decode(value, Edit)


def _decode(value: bytes, struct_type: type[T]) -> T:
    try:
        return msgspec.json.decode(value, type=struct_type)
    except DECODING_ERRORS as error:
        raise KeyValueError(
            f"malformed {struct_type.__name__.lower()} in the key-value service: {error}"
        ) from error
