"""Commands of `config`, which check, show and edit the configuration document."""

from __future__ import annotations

import datetime
import os
import re
import sys
import uuid
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import cyclopts
import trio

from .admin_client import AcceptedEdit, AdminClient, SectionText
from .configuration import Configuration
from .errors import ConfigurationError, DeadlineExceededError, SettingsError
from .http_client import parse_address

__all__ = ["app"]

KEY_VARIABLE = "TANAGERFRONT_ADMIN_KEY"
SERVER_VARIABLE = "TANAGERFRONT_ADMIN_SERVER"
POLL_INTERVAL_S = 0.2
# `show` prints this line before a section, and `apply` reads the base version from it.
VERSION_LINE = re.compile(r"\A; section version ([0-9]{1,18})\n")
TEAM_LINE = re.compile(r"^\[team ([^\]]+)\]", re.MULTILINE)

Server = Annotated[str, cyclopts.Parameter(env_var=SERVER_VARIABLE)]

app = cyclopts.App(name="config", help="Check, show and edit the configuration document.")


@app.command
def check(*files: Path) -> None:
    """Check sections offline, all given files together as one document.

    Parameters
    ----------
    files
        Files with one section each; `-` is the standard input.
    """
    if not files:
        raise SettingsError("config check: name at least one file")
    sections: dict[str, str] = {}
    for file in files:
        text = _split_version_line(_read_file(file))[0]
        team = _team_name(file, text)
        if team in sections:
            raise ConfigurationError(f"{file}: section {team} is in another file as well")
        sections[team] = text
    document = Configuration.from_sections(0, sections)
    counts = (len(document.organisations), len(document.groups), len(document.routes))
    print("valid: {} organisations, {} groups, {} routes".format(*counts))


@app.command
def show(team: str | None = None, *, server: Server) -> None:
    """Print one section with its version, or all sections.

    Parameters
    ----------
    team
        The team whose section is printed.
    server
        HOST:PORT of a VM's administration API.
    """
    client = _client(server)
    if team is not None:
        print(_add_version_line(trio.run(client.section, team)), end="")
        return
    for name, section in sorted(trio.run(client.document).items()):
        print(f"; ---- {name} ----")
        print(_add_version_line(section))


@app.command
def apply(
    team: str,
    file: Path,
    *,
    server: Server,
    dry_run: bool = False,
    wait: float = 0.0,
    base_version: int | None = None,
    edit_id: str | None = None,
) -> None:
    """Replace a team's section.

    Parameters
    ----------
    team
        The team whose section is replaced.
    file
        The new section; `-` is the standard input.
    server
        HOST:PORT of a VM's administration API.
    dry_run
        Only check the section and print the difference.
    wait
        Seconds to wait until the edit is in effect on every VM.
    base_version
        Version that was edited; default is the one in the file's first line as `show` writes it,
        or 0 for a new section.
    edit_id
        Id of an earlier attempt whose outcome is unknown.
    """
    client = _client(server)
    text, version_in_file = _split_version_line(_read_file(file))
    base = version_in_file if base_version is None else base_version
    if dry_run:
        print(trio.run(client.preview, team, text, base))
        return
    accepted = trio.run(client.apply, team, text, base, _edit_id(edit_id))
    print(f"accepted: version {accepted.version}, edit {accepted.edit_id}")
    if wait > 0:
        trio.run(_wait_in_effect, client, accepted, wait)
        print(f"in effect on every VM: version {accepted.version}")


@app.command
def history(*, server: Server) -> None:
    """Print the accepted edits, the oldest first.

    Parameters
    ----------
    server
        HOST:PORT of a VM's administration API.
    """
    for edit in trio.run(_client(server).history):
        print(_describe_edit(edit))


def _edit_id(given: str | None) -> str:
    if given is not None:
        return given
    edit_id = uuid.uuid4().hex
    # Printed before the edit is sent, so that an interrupted edit can be retried with its id.
    print(f"edit id: {edit_id}", file=sys.stderr)
    return edit_id


async def _wait_in_effect(client: AdminClient, accepted: AcceptedEdit, wait_s: float) -> None:
    behind: dict[str, int] = {}
    with trio.move_on_after(wait_s):
        while True:
            versions = await client.versions()
            behind = {vm: version for vm, version in versions.items() if version < accepted.version}
            if versions and not behind:
                return
            await trio.sleep(POLL_INTERVAL_S)
    names = ", ".join(f"{vm} at {version}" for vm, version in sorted(behind.items()))
    message = f"version {accepted.version} is not in effect after {wait_s:g} s on: {names}"
    raise DeadlineExceededError(message, executed="yes")


def _client(server: str) -> AdminClient:
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise SettingsError(f"set the environment variable {KEY_VARIABLE} to your team's key")
    try:
        return AdminClient(parse_address(server), key)
    except ValueError as error:
        raise SettingsError(f"--server {server}: {error}") from error


def _read_file(file: Path) -> str:
    try:
        return sys.stdin.read() if str(file) == "-" else file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot read {file}: {error}") from error


def _team_name(file: Path, text: str) -> str:
    match = TEAM_LINE.search(text)
    if not match:
        raise ConfigurationError(f"{file}: no [team NAME] found, exactly one is allowed")
    return match.group(1).strip()


def _add_version_line(section: SectionText) -> str:
    return f"; section version {section.version}\n{section.text}"


def _split_version_line(text: str) -> tuple[str, int]:
    match = VERSION_LINE.match(text)
    return (text[match.end() :], int(match.group(1))) if match else (text, 0)


def _describe_edit(edit: Mapping[str, Any]) -> str:
    accepted_at = datetime.datetime.fromtimestamp(edit["at"], datetime.UTC)
    timestamp = accepted_at.isoformat(timespec="seconds")
    return f"{edit['version']}\t{timestamp}\t{edit['team']}\t{edit['id']}\tsha256:{edit['digest']}"
