"""Client of the administration API of a VM."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple
from urllib.parse import quote

import trio

from .errors import ConnectionLostError, TanagerfrontError, error_for_type
from .http_client import Address, HttpConnection, HttpReply

__all__ = ["AcceptedEdit", "AdminClient", "SectionText"]

# Longer than the server's time limit for an edit, so that its reply still arrives.
REQUEST_TIMEOUT_S = 15.0
# Retries send the same edit id, by which the server recognises an edit that it has accepted.
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.5


class SectionText(NamedTuple):
    """Text and version of a section."""

    text: str
    version: int


class AcceptedEdit(NamedTuple):
    """Accepted edit and the document version that it created."""

    edit_id: str
    version: int


class AdminClient:
    """Client of one VM; its methods raise the error in the reply, or ConnectionLostError."""

    def __init__(self, address: Address, key: str, *, timeout_s: float = REQUEST_TIMEOUT_S) -> None:
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
        """Return the accepted edits, oldest first."""
        edits = json.loads((await self._request("GET", "/v1/config/history")).body)["edits"]
        return list(edits)

    async def versions(self) -> Mapping[str, int]:
        """Return the configuration version in force on each VM, by VM name."""
        reply = await self._request("GET", "/v1/config/versions")
        return dict(json.loads(reply.body)["versions"])

    async def preview(self, team: str, text: str, base_version: int) -> str:
        """Validate an edit without applying it and return the resulting diff."""
        headers = [("if-match", f'"{base_version}"')]
        path = _section_path(team) + "?dry-run=1"
        reply = await self._request("PUT", path, text.encode(), headers)
        return str(json.loads(reply.body)["difference"])

    async def apply(self, team: str, text: str, base_version: int, edit_id: str) -> AcceptedEdit:
        """Apply an edit, retrying with the same edit id while the outcome is unknown."""
        headers = [("if-match", f'"{base_version}"'), ("edit-id", edit_id)]
        attempts_left = MAX_ATTEMPTS
        while True:
            attempts_left -= 1
            try:
                reply = await self._request("PUT", _section_path(team), text.encode(), headers)
                return AcceptedEdit(edit_id, int(json.loads(reply.body)["version"]))
            except TanagerfrontError as error:
                if error.executed == "no" or not attempts_left:
                    raise
            await trio.sleep(RETRY_DELAY_S)

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
    ) -> HttpReply:
        request_headers = [("authorization", f"Bearer {self._key}"), *headers]
        connection = await HttpConnection.open(self._address)
        try:
            reply = await connection.request(
                method, path, body, headers=request_headers, timeout_s=self._timeout_s
            )
        finally:
            await connection.close()
        if reply.status != 200:
            raise _error_from_reply(reply)
        return reply


def _section_path(team: str) -> str:
    return f"/v1/config/sections/{quote(team, safe='')}"


def _error_from_reply(reply: HttpReply) -> TanagerfrontError:
    try:
        problem = json.loads(reply.body)
        error_type = error_for_type(problem["type"])
        return error_type(problem["detail"], executed=problem["executed"])
    except (ValueError, KeyError):
        return ConnectionLostError(
            f"server replied with status {reply.status} and no valid problem details"
        )
