"""Configuration document in the key-value service: edits, edit history and version updates."""

from __future__ import annotations

import random
import re
import secrets
import time
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Mapping
from contextlib import aclosing, suppress
from typing import cast

import structlog
import trio

from ._config_apply import EditRequest, EditResult, apply_edit, check_base_version
from ._config_service import MANIFEST_KEY, ConfigRecords, StoredManifest, stored_manifest
from ._document import Document, section_diff
from ._manifest import Edit, Manifest, body_digest, decode_manifest
from .configuration import Configuration
from .errors import BadRequestError, ConfigurationError, KeyValueError
from .kv import KeyValueStore, WatchEvent
from .messages import ConfigOffer

__all__ = ["ConfigStore", "Edit", "EditResult", "read_or_create_secret"]

EDIT_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{8,64}")
EDIT_ID_RULE = "8 to 64 letters, digits, - and _"
APPLY_TIMEOUT_S = 10.0
# Finds a change that an open watch failed to deliver; a broken watch is detected sooner.
REREAD_INTERVAL_S = 60.0
# Exponential backoff after a watch fails. Each delay has random jitter so that the VMs do not
# all reconnect to the key-value service at the same time.
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
# The history is limited because each edit may leave a body of 1 MB in the key-value service.
# A repeat of an edit whose record was pruned fails with ConflictError and is not applied twice.
MAX_HISTORY_EDITS = 2000
PRUNE_INTERVAL_EDITS = 100
SECRET_KEY = "tanagerfront/session-secret"
SECRET_BYTES = 32

_log = structlog.get_logger(__name__)


class ConfigStore:
    """Read, edit and watch the document; the version in force on this VM never decreases."""

    def __init__(
        self,
        store: KeyValueStore,
        *,
        clock: Callable[[], float] = time.time,
        apply_timeout_s: float = APPLY_TIMEOUT_S,
        reread_interval_s: float = REREAD_INTERVAL_S,
        history_edits: int = MAX_HISTORY_EDITS,
        prune_interval_edits: int = PRUNE_INTERVAL_EDITS,
    ) -> None:
        self._store = store
        self._records = ConfigRecords(store)
        self._clock = clock
        self._apply_timeout_s = apply_timeout_s
        self._reread_interval_s = reread_interval_s
        self._history_edits = history_edits
        self._prune_interval_edits = prune_interval_edits
        self._document = Document.empty()
        self._changed = trio.Event()

    @property
    def current(self) -> Configuration:
        """Return the configuration in force on this VM, version 0 before the first read."""
        return self._document.configuration

    @property
    def manifest(self) -> Manifest:
        """Return the manifest in force on this VM."""
        return self._document.manifest

    async def read(self) -> Configuration:
        """Adopt the stored document if newer and return the configuration in force.

        Raises KeyValueError, and ConfigurationError when the stored document is invalid.
        """
        stored = await self._records.read_manifest()
        await self._adopt_manifest(stored.manifest)
        return self.current

    async def history(self) -> tuple[Edit, ...]:
        """Return the most recent accepted edits, oldest first; raises KeyValueError."""
        records = await self._records.read_edits()
        last_edit = (await self._records.read_manifest()).manifest.edit
        if last_edit and last_edit not in records:
            return (*records, last_edit)
        return records

    async def preview(self, team: str, text: str, base_version: int) -> str:
        """Validate an edit without applying it and return its diff; raises as `apply`."""
        document = await self._load_document((await self._records.read_manifest()).manifest)
        check_base_version(document, team, text, base_version)
        await document.with_section(document.manifest, team, text)
        return section_diff(team, document.configuration.sections.get(team, ""), text)

    async def apply(self, team: str, text: str, base_version: int, edit_id: str) -> EditResult:
        """Replace a team's section if it is still at `base_version`, 0 for a new section.

        Raises BadRequestError for an invalid or reused edit id, ConflictError when another edit
        of the section was accepted first, ConfigurationError when the document would be invalid,
        KeyValueUnavailableError when the edit was not applied and KeyValueTimeoutError when it
        may have been. Repeating the call with the same edit id returns the actual outcome.
        """
        if not EDIT_ID_PATTERN.fullmatch(edit_id):
            raise BadRequestError(f"invalid edit id {edit_id!r}: must be {EDIT_ID_RULE}")
        with suppress(KeyValueError):
            # Without it the edit conflicts with its base version, or is retried below.
            await self._write_lost_document(await self._records.read_manifest())
        request = EditRequest(team, text, base_version, edit_id, self._clock())
        result = await apply_edit(
            self._records, self._load_document, request, self._apply_timeout_s
        )
        if result.edit.version % self._prune_interval_edits == 0 and not result.repeated:
            # Pruning is best-effort: a later edit prunes whatever is left.
            with suppress(KeyValueError):
                await self._records.prune(self._history_edits)
        return result

    async def updates(self) -> AsyncIterator[Configuration]:
        """Yield the configuration in force, then newer ones as they are adopted."""
        yielded_version = 0
        while True:
            changed = self._changed
            if self.current.version > yielded_version:
                yielded_version = self.current.version
                yield self.current
            else:
                await changed.wait()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the document current with a watch and periodic reads, until cancelled."""
        task_status.started()
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                with trio.move_on_after(self._reread_interval_s * random.uniform(0.5, 1.0)):
                    revision = await self._refresh()
                    backoff_s = MIN_BACKOFF_S
                    await self._watch(revision + 1)
            except (KeyValueError, ConfigurationError) as error:
                _log.warning("configuration watch failed; retrying", error=str(error))
                await trio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _refresh(self) -> int:
        """Adopt the stored document if newer and return the store revision of the read."""
        entries, revision = await self._store.range(MANIFEST_KEY)
        for value in entries:
            await self._adopt_manifest(decode_manifest(value.value))
        stored = next((value for value in entries if value.key == MANIFEST_KEY), None)
        await self._write_lost_document(stored_manifest(stored))
        return revision

    async def _write_lost_document(self, stored: StoredManifest) -> None:
        """Write the document in force again if a restored store has an older one.

        Otherwise its version would be given to another document, which no VM would adopt.
        """
        document = self._document
        if document.manifest.version <= stored.manifest.version:
            return
        for text in document.configuration.sections.values():
            await self._records.write_body(text)
        written = await self._records.swap_manifest(document.manifest, stored.revision)
        _log.warning(
            "configuration document written again after the store lost it",
            version=document.manifest.version,
            stored_version=stored.manifest.version,
            written=written,
        )

    async def _watch(self, start_revision: int) -> None:
        events = cast(
            AsyncGenerator[WatchEvent, None], self._store.watch(MANIFEST_KEY, start_revision)
        )
        async with aclosing(events):
            async for event in events:
                if event.value is not None:
                    await self._adopt_manifest(decode_manifest(event.value))

    def offer(self, version: int) -> ConfigOffer | None:
        """Return the changes since `version` for a peer, or None if it is up to date."""
        manifest = self.manifest
        if manifest.version <= version:
            return None
        bodies = {
            entry.digest: self.current.sections[team]
            for team, entry in manifest.sections.items()
            if entry.version > version
        }
        return ConfigOffer(manifest.version, manifest.encode(), bodies)

    async def adopt_offer(self, offer: ConfigOffer) -> bool:
        """Adopt the document that a peer offers; return whether it was newer.

        Raises ConfigurationError when a body does not match its digest, and KeyValueError when a
        body is missing from the offer and cannot be read from the key-value service.
        """
        for digest, text in offer.bodies.items():
            if body_digest(text) != digest:
                raise ConfigurationError(f"offered section body does not match digest {digest}")
        return await self._adopt_manifest(decode_manifest(offer.manifest), offer.bodies)

    async def _adopt_manifest(
        self, manifest: Manifest, bodies: Mapping[str, str] | None = None
    ) -> bool:
        if manifest.version <= self.current.version:
            return False
        document = await self._load_document(manifest, bodies)
        # Another task may have adopted a later version while this one was reading bodies.
        if manifest.version <= self.current.version:
            return False
        self._document = document
        self._changed.set()
        self._changed = trio.Event()
        _log.info("configuration adopted", version=manifest.version)
        return True

    async def _load_document(
        self, manifest: Manifest, bodies: Mapping[str, str] | None = None
    ) -> Document:
        return await self._document.load(manifest, bodies or {}, self._records.read_body)


async def read_or_create_secret(store: KeyValueStore) -> bytes:
    """Return the deployment's session secret, creating it if absent; raises KeyValueError."""
    while True:
        stored = await store.get(SECRET_KEY)
        if stored:
            return stored.value
        # The next read returns the stored secret, whether this VM or another one created it.
        await store.put_if(SECRET_KEY, secrets.token_bytes(SECRET_BYTES), 0)
