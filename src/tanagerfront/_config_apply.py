"""Apply one edit to the document by compare-and-swap of the manifest."""

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

RETRY_S = 0.05


class EditRequest(NamedTuple):
    """An operator's edit; `base_version` is the section's version that it started from."""

    team: str
    text: str
    base_version: int
    edit_id: str
    # POSIX time in seconds, kept in the history.
    at: float


class EditResult(NamedTuple):
    """An accepted edit, and whether an earlier call had made it already."""

    edit: Edit
    repeated: bool


async def apply_edit(
    service: ConfigRecords,
    load: Callable[[Manifest], Awaitable[Document]],
    request: EditRequest,
    timeout_s: float,
) -> EditResult:
    """Make the edit within about `timeout_s`; a lost answer is settled by the edit id.

    Raises ConflictError, ConfigurationError, KeyValueUnavailableError when the edit was not made,
    and KeyValueTimeoutError when it may have been.
    """
    deadline = trio.current_time() + timeout_s
    uncertain = False
    while True:
        swapping = False
        try:
            stored = await service.read_manifest()
            if found := await _find_accepted(service, stored.manifest, request):
                return EditResult(found, repeated=not uncertain)
            edit, manifest = await _prepare(service, load, stored, request)
            swapping = True
            if await service.swap_manifest(manifest, stored.revision):
                # The next editor stores the record if this does not.
                with suppress(KeyValueError):
                    await service.record_edit(edit)
                return EditResult(edit, repeated=False)
        except (KeyValueUnavailableError, KeyValueTimeoutError) as error:
            # A swap that may still be on its way can be settled only by a later answer.
            uncertain = uncertain or (swapping and isinstance(error, KeyValueTimeoutError))
            if trio.current_time() >= deadline:
                raise _final_error(error, request, uncertain=uncertain) from error
        await trio.sleep(RETRY_S * random.uniform(0.5, 1.5))


def _final_error(error: KeyValueError, request: EditRequest, *, uncertain: bool) -> KeyValueError:
    if uncertain:
        advice = f"repeat it with edit id {request.edit_id} to find out"
        return KeyValueTimeoutError(f"the edit may have been accepted, {advice}: {error}")
    return KeyValueUnavailableError(f"the edit was not made: {error}")


async def _find_accepted(
    service: ConfigRecords, manifest: Manifest, request: EditRequest
) -> Edit | None:
    if manifest.edit and manifest.edit.id == request.edit_id:
        found: Edit | None = manifest.edit
    else:
        found = await service.read_edit(request.edit_id)
    if found and (found.team, found.digest) != (request.team, body_digest(request.text)):
        raise BadRequestError(f"edit id {request.edit_id} belongs to another edit")
    return found


async def _prepare(
    service: ConfigRecords,
    load: Callable[[Manifest], Awaitable[Document]],
    stored: StoredManifest,
    request: EditRequest,
) -> tuple[Edit, Manifest]:
    """Check the edit and store all that the manifest refers to; return the new manifest."""
    document = await load(stored.manifest)
    check_base_version(document, request.team, request.text, request.base_version)
    accepted = document.manifest.sections.get(request.team)
    edit = Edit(
        request.edit_id,
        request.team,
        stored.manifest.version + 1,
        body_digest(request.text),
        accepted.digest if accepted else None,
        request.at,
    )
    manifest = stored.manifest.with_edit(edit)
    await document.with_section(manifest, request.team, request.text)
    if stored.manifest.edit:
        # The manifest holds only its last edit; the record has to exist before it is replaced.
        await service.record_edit(stored.manifest.edit)
    await service.write_body(request.text)
    return edit, manifest


def check_base_version(document: Document, team: str, text: str, base_version: int) -> None:
    """Check that the section is still at the version an edit started from; raises ConflictError."""
    accepted = document.manifest.sections.get(team)
    version = accepted.version if accepted else 0
    if base_version != version:
        difference = section_diff(team, document.configuration.sections.get(team, ""), text)
        raise ConflictError(
            f"section {team} is at version {version}, the edit started from version "
            f"{base_version}\n{difference}"
        )
