"""HTTP handler of the administration API, with which teams edit their sections."""

from __future__ import annotations

import hashlib
import json
import re
import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import structlog

from .config_store import ConfigStore
from .configuration import Configuration
from .errors import (
    BadRequestError,
    ConfigurationError,
    ForbiddenError,
    KeyRequiredError,
    KeyValueError,
    NotFoundError,
    TanagerfrontError,
)
from .http_server import ConnectionHandler, Request, Response

__all__ = ["AdminHandler"]

BEARER = re.compile(r"Bearer +(\S+)", re.IGNORECASE)
ENTITY_TAG = re.compile(r'"?([0-9]{1,18})"?')

_log = structlog.get_logger(__name__)


class AdminHandler(ConnectionHandler):
    """Serve `/v1/config`; without state of a connection, so that one instance serves them all."""

    def __init__(
        self,
        config_store: ConfigStore,
        versions: Callable[[], Mapping[str, int]],
        *,
        bootstrap_key_digest: str | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._config_store = config_store
        self._versions = versions
        self._bootstrap_key_digest = bootstrap_key_digest
        self._clock = clock

    async def handle(self, request: Request) -> Response:
        """Return the response to a request; errors become problem details."""
        try:
            return await self._dispatch(request)
        except TanagerfrontError as error:
            return _problem_response(error)
        except Exception:
            # An unexpected exception in one request must not end the other connections.
            _log.exception("administration request failed", path=request.path)
            return _problem_response(TanagerfrontError("internal error", executed="unknown"))

    def handle_bad_request(self, error: BadRequestError) -> Response:
        """Return problem details for a request that could not be parsed."""
        return _problem_response(error)._replace(close=True)

    async def handle_unmatched(self, request: Request) -> Response:
        """Handle a path outside `/v1/config`; override to serve more paths on the same port."""
        raise NotFoundError(f"{request.method} {request.path} is not served on this port")

    async def _dispatch(self, request: Request) -> Response:
        match request.method, request.path.split("/")[1:]:
            case "GET", ["v1", "config"]:
                return self._get_document(request, await self._read_configuration())
            case "GET", ["v1", "config", "history"]:
                return await self._get_history(request)
            case "GET", ["v1", "config", "versions"]:
                self._owned_teams(request, self._config_store.current)
                return _json_response({"versions": dict(self._versions())})
            case "GET", ["v1", "config", "sections", team]:
                return self._get_section(request, await self._read_configuration(), team)
            case "PUT", ["v1", "config", "sections", team]:
                return await self._put_section(request, team)
            case _:
                return await self.handle_unmatched(request)

    async def _read_configuration(self) -> Configuration:
        """Return the stored configuration, or the one in force here if that cannot be read."""
        try:
            return await self._config_store.read()
        except (KeyValueError, ConfigurationError) as error:
            _log.warning(
                "cannot read the stored configuration; using the one in force", error=str(error)
            )
            return self._config_store.current

    def _key_digest(self, request: Request) -> str:
        match = BEARER.fullmatch(request.headers.get("authorization", "").strip())
        if not match:
            raise KeyRequiredError("send Authorization: Bearer KEY")
        return hashlib.sha256(match.group(1).encode("latin-1")).hexdigest()

    def _owned_teams(self, request: Request, configuration: Configuration) -> frozenset[str]:
        """Return the teams that the key owns; raises KeyRequiredError when it owns none."""
        digest = self._key_digest(request)
        teams = configuration.teams_for_key(digest, self._clock())
        if not teams and digest != self._bootstrap_key_digest:
            raise KeyRequiredError("the key belongs to no team or has expired")
        return teams

    def _check_may_edit(self, request: Request, configuration: Configuration, team: str) -> None:
        owned = self._owned_teams(request, configuration)
        may_create = (
            team not in configuration.teams
            and self._key_digest(request) == self._bootstrap_key_digest
        )
        if team not in owned and not may_create:
            raise ForbiddenError(f"the key may not edit section {team}")

    def _get_document(self, request: Request, configuration: Configuration) -> Response:
        self._owned_teams(request, configuration)
        entries = self._config_store.manifest.sections
        sections = {
            team: {"version": entries[team].version, "text": text}
            for team, text in configuration.sections.items()
        }
        return _json_response({"version": configuration.version, "sections": sections})

    async def _get_history(self, request: Request) -> Response:
        self._owned_teams(request, self._config_store.current)
        edits = await self._config_store.history()
        return _json_response({"edits": msgspec.to_builtins(edits)})

    def _get_section(self, request: Request, configuration: Configuration, team: str) -> Response:
        self._owned_teams(request, configuration)
        if team not in configuration.sections:
            raise NotFoundError(f"there is no section {team}")
        version = self._config_store.manifest.sections[team].version
        body = configuration.sections[team].encode()
        headers = [("etag", f'"{version}"')]
        return Response(200, body, headers, "text/plain; charset=utf-8")

    async def _put_section(self, request: Request, team: str) -> Response:
        # The configuration in force may still list a revoked key, so an edit is authorised only by
        # the stored one; it needs the key-value service in any case.
        self._check_may_edit(request, await self._config_store.read(), team)
        base_version = _parse_if_match(request)
        text = _decode_section(request)
        if request.query.get("dry-run", "0") not in ("0", "no"):
            difference = await self._config_store.preview(team, text, base_version)
            return _json_response({"difference": difference})
        edit_id = request.headers.get("edit-id", "")
        edit, repeated = await self._config_store.apply(team, text, base_version, edit_id)
        _log.info("section edited", team=team, version=edit.version, edit=edit.id)
        body = {"edit": edit.id, "version": edit.version, "repeated": repeated}
        return _json_response(body, headers=[("etag", f'"{edit.version}"')])


def _parse_if_match(request: Request) -> int:
    value = request.headers.get("if-match", "")
    match = ENTITY_TAG.fullmatch(value)
    if not match:
        allowed = "the section's version, 0 for a new section"
        raise BadRequestError(f"If-Match is {value or 'missing'}; it must be {allowed}")
    return int(match.group(1))


def _decode_section(request: Request) -> str:
    try:
        return request.body.decode()
    except UnicodeDecodeError as error:
        raise BadRequestError("the section is not UTF-8 text") from error


def _json_response(
    value: Any, *, status: int = 200, headers: list[tuple[str, str]] | None = None
) -> Response:
    return Response(status, json.dumps(value).encode(), headers or [])


def _problem_response(error: TanagerfrontError) -> Response:
    problem = {
        "type": error.problem_type,
        "status": error.status,
        "detail": error.message,
        "executed": error.executed,
    }
    body = json.dumps(problem).encode()
    return Response(error.status, body, content_type="application/problem+json")
