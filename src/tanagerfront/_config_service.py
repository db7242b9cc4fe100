"""Keys of the configuration document in the key-value service."""

from __future__ import annotations

from typing import NamedTuple

from ._manifest import (
    EMPTY_MANIFEST,
    Edit,
    Manifest,
    body_digest,
    decode_edit,
    decode_manifest,
)
from .errors import KeyValueError
from .kv import KeyValueStore

__all__ = ["MANIFEST_KEY", "ConfigRecords", "StoredManifest"]

PREFIX = "tanagerfront/config/"
MANIFEST_KEY = PREFIX + "manifest"
SECTION_PREFIX = PREFIX + "section/"
EDIT_PREFIX = PREFIX + "edit/"
ABSENT_REVISION = 0


class StoredManifest(NamedTuple):
    """A manifest with the revision that a swap has to name."""

    manifest: Manifest
    revision: int


class ConfigRecords:
    """Read and write the document's keys; each call raises KeyValueError."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    @property
    def store(self) -> KeyValueStore:
        """Return the key-value service."""
        return self._store

    async def read_manifest(self) -> StoredManifest:
        """Return the stored manifest, or the empty one at revision 0."""
        stored = await self._store.get(MANIFEST_KEY)
        if stored is None:
            return StoredManifest(EMPTY_MANIFEST, ABSENT_REVISION)
        return StoredManifest(decode_manifest(stored.value), stored.revision)

    async def swap_manifest(self, manifest: Manifest, revision: int) -> bool:
        """Replace the manifest that has this revision."""
        return await self._store.put_if(MANIFEST_KEY, manifest.encode(), revision)

    async def read_body(self, digest: str) -> str:
        """Return a section's body."""
        stored = await self._store.get(SECTION_PREFIX + digest)
        if stored is None:
            raise KeyValueError(f"section body {digest} is missing in the service")
        text = stored.value.decode()
        if body_digest(text) != digest:
            raise KeyValueError(f"section body {digest} has another digest")
        return text

    async def write_body(self, text: str) -> str:
        """Store a body and return its digest; its revision is then above the manifest's.

        `prune` deletes only bodies with a revision below the manifest's, so that it cannot delete
        one that an edit in progress is about to name.
        """
        digest = body_digest(text)
        key = SECTION_PREFIX + digest
        revision = ABSENT_REVISION
        while not await self._store.put_if(key, text.encode(), revision):
            stored = await self._store.get(key)
            revision = stored.revision if stored else ABSENT_REVISION
        return digest

    async def read_edit(self, edit_id: str) -> Edit | None:
        """Return the record of an accepted edit."""
        stored = await self._store.get(EDIT_PREFIX + edit_id)
        return decode_edit(stored.value) if stored else None

    async def record_edit(self, edit: Edit) -> None:
        """Store the record of an accepted edit unless it is stored already."""
        await self._store.put_if(EDIT_PREFIX + edit.id, edit.encode(), ABSENT_REVISION)

    async def read_edits(self) -> tuple[Edit, ...]:
        """Return all records in the order of their versions."""
        records, _revision = await self._store.range(EDIT_PREFIX)
        edits = (decode_edit(record.value) for record in records)
        return tuple(sorted(edits, key=lambda edit: edit.version))

    async def prune(self, keep: int) -> None:
        """Delete all but the last `keep` records, and the bodies that only deleted ones name."""
        stored = await self.read_manifest()
        edits = await self.read_edits()
        old, kept = edits[:-keep], edits[-keep:]
        needed = {entry.digest for entry in stored.manifest.sections.values()}
        needed |= {edit.digest for edit in kept}
        for digest in sorted({edit.digest for edit in old} - needed):
            body = await self._store.get(SECTION_PREFIX + digest)
            if body and body.revision < stored.revision:
                await self._store.delete_if(body.key, body.revision)
        # Records go last: they name the bodies that a later call still has to delete.
        for edit in old:
            record = await self._store.get(EDIT_PREFIX + edit.id)
            if record:
                await self._store.delete_if(record.key, record.revision)
