"""Application of one edit to the document by compare-and-swap of the manifest."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

import trio

from ._config_service import ConfigRecords, StoredManifest
from ._document import Document, section_diff
from ._manifest import Edit, Manifest, body_digest
from .errors import (
    BadRequestError,
    ConflictError,
    KeyValueError,
    KeyValueTimeoutError,
    KeyValueUnavailableError,
)

__all__ = ["EditRequest", "EditResult", "apply_edit", "check_base_version"]

RETRY_DELAY_S = 0.05


class EditRequest(NamedTuple):
    """An operator's edit; `base_version` is the version of the section that it is based on."""

    team: str
    text: str
    base_version: int
    edit_id: str
    # POSIX time in seconds, stored in the edit history.
    at: float


class EditResult(NamedTuple):
    """An accepted edit; `repeated` is true if an earlier call had already applied it."""

    edit: Edit
    repeated: bool


async def apply_edit(
    records: ConfigRecords,
    load_document: Callable[[Manifest], Awaitable[Document]],
    request: EditRequest,
    timeout_s: float,
) -> EditResult:
    """Apply the edit, retrying failed calls for about `timeout_s` seconds.

    After a lost response, the edit id shows whether the swap took effect. Raises BadRequestError,
    ConflictError, ConfigurationError, KeyValueUnavailableError when the edit was not applied, and
    KeyValueTimeoutError when it may have been.
    """
    deadline = trio.current_time() + timeout_s
    outcome_unknown = False
    while True:
        swap_started = False
        try:
            stored = await records.read_manifest()
            if found := await _find_accepted(records, stored.manifest, request):
                return EditResult(found, repeated=not outcome_unknown)
            edit, manifest = await _prepare_swap(records, load_document, stored, request)
            swap_started = True
            if await records.swap_manifest(manifest, stored.revision):
                # If this write fails, the next edit stores the record.
                with suppress(KeyValueError):
                    await records.record_edit(edit)
                return EditResult(edit, repeated=False)
        except (KeyValueUnavailableError, KeyValueTimeoutError) as error:
            # A swap that timed out may still take effect; only a later read can show that it did.
            outcome_unknown = outcome_unknown or (
                swap_started and isinstance(error, KeyValueTimeoutError)
            )
            if trio.current_time() >= deadline:
                raise _final_error(error, request, outcome_unknown=outcome_unknown) from error
        if trio.current_time() >= deadline:
            lost = KeyValueUnavailableError("edits of other sections were accepted first")
            raise _final_error(lost, request, outcome_unknown=outcome_unknown)
        await trio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))


def _final_error(
    error: KeyValueError, request: EditRequest, *, outcome_unknown: bool
) -> KeyValueError:
    if outcome_unknown:
        advice = f"retry with edit id {request.edit_id} to find out"
        return KeyValueTimeoutError(f"the edit may have been accepted; {advice}: {error}")
    return KeyValueUnavailableError(f"the edit was not applied: {error}")


async def _find_accepted(
    records: ConfigRecords, manifest: Manifest, request: EditRequest
) -> Edit | None:
    if manifest.edit and manifest.edit.id == request.edit_id:
        found: Edit | None = manifest.edit
    else:
        found = await records.read_edit(request.edit_id)
    if found and (found.team, found.digest) != (request.team, body_digest(request.text)):
        raise BadRequestError(f"edit id {request.edit_id} was already used for a different edit")
    return found


async def _prepare_swap(
    records: ConfigRecords,
    load_document: Callable[[Manifest], Awaitable[Document]],
    stored: StoredManifest,
    request: EditRequest,
) -> tuple[Edit, Manifest]:
    """Validate the edit, store what the new manifest refers to, and return both."""
    document = await load_document(stored.manifest)
    check_base_version(document, request.team, request.text, request.base_version)
    current_entry = document.manifest.sections.get(request.team)
    edit = Edit(
        request.edit_id,
        request.team,
        stored.manifest.version + 1,
        body_digest(request.text),
        current_entry.digest if current_entry else None,
        request.at,
    )
    manifest = stored.manifest.with_edit(edit)
    await document.with_section(manifest, request.team, request.text)
    if stored.manifest.edit:
        # The manifest holds only its latest edit, so store that edit's record before replacing it.
        await records.record_edit(stored.manifest.edit)
    await records.write_body(request.text)
    return edit, manifest


def check_base_version(document: Document, team: str, text: str, base_version: int) -> None:
    """Raise ConflictError unless the section is still at the edit's base version."""
    current_entry = document.manifest.sections.get(team)
    current_version = current_entry.version if current_entry else 0
    if base_version != current_version:
        difference = section_diff(team, document.configuration.sections.get(team, ""), text)
        raise ConflictError(
            f"section {team} is at version {current_version}, the edit is based on version "
            f"{base_version}\n{difference}"
        )
