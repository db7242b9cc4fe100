"""Client of the administration API of one VM."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple
from urllib.parse import quote

import trio

from .errors import ConnectionLostError, TanagerfrontError, error_for_type
from .http_client import Address, HttpConnection, HttpReply

__all__ = ["AcceptedEdit", "AdminClient", "SectionText"]

# Longer than the server's own limit for an edit, so that its answer is not missed.
TIMEOUT_S = 15.0
# An edit is repeated with its edit id, which settles whether an earlier attempt was accepted.
ATTEMPTS = 3
RETRY_S = 0.5


class SectionText(NamedTuple):
    """A section's text and version."""

    text: str
    version: int


class AcceptedEdit(NamedTuple):
    """Version of the document that an edit made."""

    edit_id: str
    version: int


class AdminClient:
    """Calls of the API; each raises the error that the VM answered, or ConnectionLostError."""

    def __init__(self, address: Address, key: str, *, timeout_s: float = TIMEOUT_S) -> None:
        self._address = address
        self._key = key
        self._timeout_s = timeout_s

    async def section(self, team: str) -> SectionText:
        """Return a team's section."""
        reply = await self._request("GET", _section_path(team))
        return SectionText(reply.body.decode(), int(reply.headers["etag"].strip('"')))

    async def document(self) -> Mapping[str, SectionText]:
        """Return all sections by team name."""
        sections = json.loads((await self._request("GET", "/v1/config")).body)["sections"]
        return {
            team: SectionText(section["text"], section["version"])
            for team, section in sections.items()
        }

    async def history(self) -> Sequence[Mapping[str, Any]]:
        """Return the accepted edits, the oldest first."""
        edits = json.loads((await self._request("GET", "/v1/config/history")).body)["edits"]
        return list(edits)

    async def versions(self) -> Mapping[str, int]:
        """Return the version in force by VM."""
        reply = await self._request("GET", "/v1/config/versions")
        return dict(json.loads(reply.body)["versions"])

    async def preview(self, team: str, text: str, base_version: int) -> str:
        """Check an edit and return the difference it would make."""
        headers = [("if-match", f'"{base_version}"')]
        path = _section_path(team) + "?dry-run=1"
        reply = await self._request("PUT", path, text.encode(), headers)
        return str(json.loads(reply.body)["difference"])

    async def apply(self, team: str, text: str, base_version: int, edit_id: str) -> AcceptedEdit:
        """Make an edit, repeating it with the same edit id while its outcome is unknown."""
        headers = [("if-match", f'"{base_version}"'), ("edit-id", edit_id)]
        attempts_left = ATTEMPTS
        while True:
            attempts_left -= 1
            try:
                reply = await self._request("PUT", _section_path(team), text.encode(), headers)
                return AcceptedEdit(edit_id, int(json.loads(reply.body)["version"]))
            except TanagerfrontError as error:
                if error.executed == "no" or not attempts_left:
                    raise
            await trio.sleep(RETRY_S)

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
    ) -> HttpReply:
        sent = [("authorization", f"Bearer {self._key}"), *headers]
        connection = await HttpConnection.open(self._address)
        try:
            reply = await connection.request(
                method, path, body, headers=sent, timeout_s=self._timeout_s
            )
        finally:
            await connection.close()
        if reply.status != 200:
            raise _error(reply)
        return reply


def _section_path(team: str) -> str:
    return f"/v1/config/sections/{quote(team, safe='')}"


def _error(reply: HttpReply) -> TanagerfrontError:
    try:
        problem = json.loads(reply.body)
        kind = error_for_type(problem["type"])
        return kind(problem["detail"], executed=problem["executed"])
    except (ValueError, KeyError):
        return ConnectionLostError(f"the server answered with status {reply.status}")
