"""One version of the configuration document: manifest, parsed sections and configuration."""

from __future__ import annotations

import difflib
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

import trio

from ._manifest import EMPTY_MANIFEST, Manifest
from .configuration import Configuration, Section, parse_section

__all__ = ["Document", "section_diff"]

# Longer texts are parsed in a thread: parsing 1 MB in the event loop would delay all requests.
MAX_INLINE_PARSE_CHARACTERS = 16 * 1024
# The diff is sent in an error response.
MAX_DIFF_CHARACTERS = 64 * 1024


class Document(NamedTuple):
    """A valid version of the document; `parsed` maps team names to parsed sections."""

    manifest: Manifest
    parsed: Mapping[str, Section]
    configuration: Configuration

    @classmethod
    def empty(cls) -> Document:
        """Return the document before its first edit."""
        return cls(EMPTY_MANIFEST, {}, Configuration.from_sections(0, {}))

    async def load(
        self,
        manifest: Manifest,
        bodies: Mapping[str, str],
        read_body: Callable[[str], Awaitable[str]],
    ) -> Document:
        """Return the document for another manifest, reusing the sections that did not change.

        A body missing from `bodies`, which is keyed by digest, is read with `read_body`. Raises
        ConfigurationError, and whatever `read_body` raises.
        """
        texts: dict[str, str] = {}
        parsed: dict[str, Section] = {}
        for team, entry in manifest.sections.items():
            current_entry = self.manifest.sections.get(team)
            if current_entry and current_entry.digest == entry.digest:
                texts[team], parsed[team] = self.configuration.sections[team], self.parsed[team]
                continue
            text = bodies.get(entry.digest)
            texts[team] = text if text is not None else await read_body(entry.digest)
            parsed[team] = await _parse(team, texts[team])
        return _build(manifest, texts, parsed)

    async def with_section(self, manifest: Manifest, team: str, text: str) -> Document:
        """Return the document with one section replaced; raises ConfigurationError."""
        parsed = await _parse(team, text)
        texts = {**self.configuration.sections, team: text}
        return _build(manifest, texts, {**self.parsed, team: parsed})


def _build(manifest: Manifest, texts: dict[str, str], parsed: dict[str, Section]) -> Document:
    configuration = Configuration.from_parsed(manifest.version, texts, parsed.values())
    return Document(manifest, parsed, configuration)


async def _parse(team: str, text: str) -> Section:
    if len(text) <= MAX_INLINE_PARSE_CHARACTERS:
        return parse_section(team, text)
    return await trio.to_thread.run_sync(parse_section, team, text)


def section_diff(team: str, accepted: str, offered: str) -> str:
    """Return the unified diff from the accepted section to the offered one."""
    lines = difflib.unified_diff(
        accepted.splitlines(),
        offered.splitlines(),
        f"{team} (accepted)",
        f"{team} (offered)",
        lineterm="",
    )
    text = "\n".join(lines)
    if len(text) > MAX_DIFF_CHARACTERS:
        return text[:MAX_DIFF_CHARACTERS] + "\n(difference cut)"
    return text
