"""The configuration document in the key-value service: edits, history and newer versions."""

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
from ._config_service import MANIFEST_KEY, ConfigRecords
from ._document import Document, section_diff
from ._manifest import Edit, Manifest, body_digest, decode_manifest
from .configuration import Configuration
from .errors import BadRequestError, ConfigurationError, KeyValueError
from .kv import KeyValueStore, WatchEvent
from .messages import ConfigOffer

__all__ = ["ConfigStore", "Edit", "EditResult", "read_or_create_secret"]

EDIT_ID = re.compile(r"[A-Za-z0-9_-]{8,64}")
EDIT_ID_RULE = "8 to 64 letters, digits, - and _"
APPLY_TIMEOUT_S = 10.0
# Finds a change that a watch missed although it stayed open; a watch that breaks is noticed sooner.
REREAD_INTERVAL_S = 60.0
# Delays after a lost watch, doubled from the first to the last while the service does not answer
# and drawn at random, so that the fleet does not return to it at one moment.
FIRST_RECOVERY_S = 0.2
LAST_RECOVERY_S = 2.0
# The history is limited because each edit may leave a body of 1 MB in the service. An edit repeated
# after its record was deleted conflicts with itself, but is not made twice.
HISTORY_EDITS = 2000
PRUNE_INTERVAL_EDITS = 100
SECRET_KEY = "tanagerfront/session-secret"
SECRET_BYTES = 32

_log = structlog.get_logger(__name__)


class ConfigStore:
    """Read, edit and follow the document; the version in force here never decreases."""

    def __init__(
        self,
        store: KeyValueStore,
        *,
        clock: Callable[[], float] = time.time,
        apply_timeout_s: float = APPLY_TIMEOUT_S,
        reread_interval_s: float = REREAD_INTERVAL_S,
        history_edits: int = HISTORY_EDITS,
        prune_interval_edits: int = PRUNE_INTERVAL_EDITS,
    ) -> None:
        self._store = store
        self._service = ConfigRecords(store)
        self._clock = clock
        self._apply_timeout_s = apply_timeout_s
        self._reread_interval_s = reread_interval_s
        self._history_edits = history_edits
        self._prune_interval_edits = prune_interval_edits
        self._document = Document.empty()
        self._changed = trio.Event()

    @property
    def current(self) -> Configuration:
        """Return the configuration in force here, version 0 before the first was read."""
        return self._document.configuration

    @property
    def manifest(self) -> Manifest:
        """Return the manifest in force here."""
        return self._document.manifest

    async def read(self) -> Configuration:
        """Bring in the service's document; raises KeyValueError, ConfigurationError."""
        stored = await self._service.read_manifest()
        await self._adopt_manifest(stored.manifest)
        return self.current

    async def history(self) -> tuple[Edit, ...]:
        """Return the last accepted edits, the oldest first; raises KeyValueError."""
        records = await self._service.read_edits()
        last = (await self._service.read_manifest()).manifest.edit
        if last and last not in records:
            return (*records, last)
        return records

    async def preview(self, team: str, text: str, base_version: int) -> str:
        """Check an edit without making it and return the difference; raises as `apply`."""
        document = await self._load((await self._service.read_manifest()).manifest)
        check_base_version(document, team, text, base_version)
        await document.with_section(document.manifest, team, text)
        return section_diff(team, document.configuration.sections.get(team, ""), text)

    async def apply(self, team: str, text: str, base_version: int, edit_id: str) -> EditResult:
        """Replace a team's section that is still at `base_version`, 0 for a new one.

        Raises ConflictError when another edit of the section came first, ConfigurationError when
        the document would be invalid, KeyValueUnavailableError when the edit was not made and
        KeyValueTimeoutError when it may have been; a repeat with the same edit id settles that.
        """
        if not EDIT_ID.fullmatch(edit_id):
            raise BadRequestError(f"edit id {edit_id!r}: allowed are {EDIT_ID_RULE}")
        request = EditRequest(team, text, base_version, edit_id, self._clock())
        result = await apply_edit(self._service, self._load, request, self._apply_timeout_s)
        if result.edit.version % self._prune_interval_edits == 0 and not result.repeated:
            # A later edit prunes what this one cannot.
            with suppress(KeyValueError):
                await self._service.prune(self._history_edits)
        return result

    async def updates(self) -> AsyncIterator[Configuration]:
        """Yield the configuration in force and each newer one that `run` or a peer brings in."""
        seen = 0
        while True:
            changed = self._changed
            if self.current.version > seen:
                seen = self.current.version
                yield self.current
            else:
                await changed.wait()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the document current by a watch and by re-reading it, until cancelled."""
        task_status.started()
        delay_s = FIRST_RECOVERY_S
        while True:
            try:
                with trio.move_on_after(self._reread_interval_s * random.uniform(0.5, 1.0)):
                    revision = await self._read_revision()
                    delay_s = FIRST_RECOVERY_S
                    await self._watch(revision + 1)
            except (KeyValueError, ConfigurationError) as error:
                _log.warning("configuration watch ended", error=str(error))
                await trio.sleep(delay_s * random.uniform(0.5, 1.0))
                delay_s = min(delay_s * 2, LAST_RECOVERY_S)

    async def _read_revision(self) -> int:
        """Bring in the stored document and return the store's revision at that time."""
        found, revision = await self._store.range(MANIFEST_KEY)
        for value in found:
            await self._adopt_manifest(decode_manifest(value.value))
        return revision

    async def _watch(self, start_revision: int) -> None:
        events = cast(
            AsyncGenerator[WatchEvent, None], self._store.watch(MANIFEST_KEY, start_revision)
        )
        async with aclosing(events):
            async for event in events:
                if event.value is not None:
                    await self._adopt_manifest(decode_manifest(event.value))

    def offer(self, version: int) -> ConfigOffer | None:
        """Return what a peer at `version` lacks, or None when it has this or a later version."""
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
        """Take a peer's newer document; return whether it was newer.

        Raises ConfigurationError when a digest differs, and KeyValueError when a body is missing
        in the offer and cannot be read from the service.
        """
        for digest, text in offer.bodies.items():
            if body_digest(text) != digest:
                raise ConfigurationError(f"offered section body differs from digest {digest}")
        return await self._adopt_manifest(decode_manifest(offer.manifest), offer.bodies)

    async def _adopt_manifest(
        self, manifest: Manifest, bodies: Mapping[str, str] | None = None
    ) -> bool:
        if manifest.version <= self.current.version:
            return False
        document = await self._load(manifest, bodies)
        # Another task may have adopted a later version while this one read bodies.
        if manifest.version <= self.current.version:
            return False
        self._document = document
        self._changed.set()
        self._changed = trio.Event()
        _log.info("configuration adopted", version=manifest.version)
        return True

    async def _load(self, manifest: Manifest, bodies: Mapping[str, str] | None = None) -> Document:
        return await self._document.load(manifest, bodies or {}, self._service.read_body)


async def read_or_create_secret(store: KeyValueStore) -> bytes:
    """Return the deployment's session secret, created by the first VM; raises KeyValueError."""
    while True:
        stored = await store.get(SECRET_KEY)
        if stored:
            return stored.value
        # Whether this or another VM's secret was stored, the next read tells.
        await store.put_if(SECRET_KEY, secrets.token_bytes(SECRET_BYTES), 0)
