"""Storage of the configuration document under its keys in the key-value service."""

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
from .kv import KeyValue, KeyValueStore

__all__ = ["MANIFEST_KEY", "ConfigRecords", "StoredManifest"]

PREFIX = "tanagerfront/config/"
MANIFEST_KEY = PREFIX + "manifest"
SECTION_PREFIX = PREFIX + "section/"
EDIT_PREFIX = PREFIX + "edit/"
# A compare-and-swap with this revision succeeds only if the key does not exist.
ABSENT_REVISION = 0


class StoredManifest(NamedTuple):
    """A manifest and its revision, as expected by `ConfigRecords.swap_manifest`."""

    manifest: Manifest
    revision: int


def stored_manifest(stored: KeyValue | None) -> StoredManifest:
    """Return the manifest under its key, or the empty one at revision 0."""
    if stored is None:
        return StoredManifest(EMPTY_MANIFEST, ABSENT_REVISION)
    return StoredManifest(decode_manifest(stored.value), stored.revision)


class ConfigRecords:
    """Read and write the document's keys; methods raise KeyValueError."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    @property
    def store(self) -> KeyValueStore:
        """Return the key-value service."""
        return self._store

    async def read_manifest(self) -> StoredManifest:
        """Return the stored manifest, or the empty one at revision 0."""
        return stored_manifest(await self._store.get(MANIFEST_KEY))

    async def swap_manifest(self, manifest: Manifest, revision: int) -> bool:
        """Replace the manifest if it is still at `revision`; return whether it was."""
        return await self._store.put_if(MANIFEST_KEY, manifest.encode(), revision)

    async def read_body(self, digest: str) -> str:
        """Return the section body with this digest."""
        stored = await self._store.get(SECTION_PREFIX + digest)
        if stored is None:
            raise KeyValueError(f"section body {digest} is missing from the key-value service")
        text = stored.value.decode()
        if body_digest(text) != digest:
            raise KeyValueError(f"section body {digest} does not match its digest")
        return text

    async def write_body(self, text: str) -> str:
        """Store a section body, rewriting one that exists, and return its digest.

        The rewrite raises the body's revision above the manifest's. `prune` deletes only bodies
        with a lower revision than the manifest, so it spares the body of an edit in progress.
        """
        digest = body_digest(text)
        key = SECTION_PREFIX + digest
        revision = ABSENT_REVISION
        while not await self._store.put_if(key, text.encode(), revision):
            stored = await self._store.get(key)
            revision = stored.revision if stored else ABSENT_REVISION
        return digest

    async def read_edit(self, edit_id: str) -> Edit | None:
        """Return the record of an accepted edit, None if there is none."""
        stored = await self._store.get(EDIT_PREFIX + edit_id)
        return decode_edit(stored.value) if stored else None

    async def record_edit(self, edit: Edit) -> None:
        """Store the record of an accepted edit if it does not exist yet."""
        await self._store.put_if(EDIT_PREFIX + edit.id, edit.encode(), ABSENT_REVISION)

    async def read_edits(self) -> tuple[Edit, ...]:
        """Return the records of accepted edits, ordered by version."""
        records, _revision = await self._store.range(EDIT_PREFIX)
        edits = (decode_edit(record.value) for record in records)
        return tuple(sorted(edits, key=lambda edit: edit.version))

    async def prune(self, keep_edits: int) -> None:
        """Delete all but the last `keep_edits` records and the bodies no longer referenced."""
        stored = await self.read_manifest()
        edits = await self.read_edits()
        pruned, kept = edits[:-keep_edits], edits[-keep_edits:]
        referenced = {entry.digest for entry in stored.manifest.sections.values()}
        referenced |= {edit.digest for edit in kept}
        for digest in sorted({edit.digest for edit in pruned} - referenced):
            body = await self._store.get(SECTION_PREFIX + digest)
            if body and body.revision < stored.revision:
                await self._store.delete_if(body.key, body.revision)
        # Delete records last: a later call needs them to find bodies that were not deleted.
        for edit in pruned:
            record = await self._store.get(EDIT_PREFIX + edit.id)
            if record:
                await self._store.delete_if(record.key, record.revision)
