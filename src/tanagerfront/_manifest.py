"""The manifest of the configuration document and the records of its edits."""

from __future__ import annotations

import hashlib
from typing import TypeVar

import msgspec

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
    """A section's body by digest; `version` is the manifest version that last changed it."""

    digest: str
    version: int


class Edit(msgspec.Struct, frozen=True):
    """One accepted edit; `previous` is the digest it replaced, `at` a POSIX time in seconds."""

    id: str
    team: str
    version: int
    digest: str
    previous: str | None
    at: float

    def encode(self) -> bytes:
        """Return the JSON form."""
        return msgspec.json.encode(self)


class Manifest(msgspec.Struct, frozen=True):
    """Names the bodies of one version of the document and the edit that made it."""

    version: int
    sections: dict[str, SectionEntry]
    edit: Edit | None = None

    def with_edit(self, edit: Edit) -> Manifest:
        """Return the next manifest, in which the edit is accepted."""
        entry = SectionEntry(edit.digest, edit.version)
        return Manifest(edit.version, {**self.sections, edit.team: entry}, edit)

    def encode(self) -> bytes:
        """Return the JSON form."""
        return msgspec.json.encode(self)


EMPTY_MANIFEST = Manifest(0, {})


def body_digest(text: str) -> str:
    """Return the SHA-256 digest of a body in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def decode_manifest(value: bytes) -> Manifest:
    """Decode a manifest; raises KeyValueError."""
    return _decode(value, Manifest)


def decode_edit(value: bytes) -> Edit:
    """Decode the record of an edit; raises KeyValueError."""
    return _decode(value, Edit)


def _decode(value: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        raise KeyValueError(f"malformed {kind.__name__.lower()} in the service: {error}") from error
