"""Request of a placement report from a VM of the session interface."""

from __future__ import annotations

from urllib.parse import urlencode

import msgspec

from .errors import ConnectionLostError, SettingsError
from .http_client import HttpConnection, parse_address

__all__ = ["EXPLAIN_PATH", "fetch_report"]

EXPLAIN_PATH = "/explain"


async def fetch_report(
    server: str, database: str, organisation: str, *, writes: bool, after: str, timeout_s: float
) -> bytes:
    """Return the JSON report of where a statement would go now.

    Raises SettingsError for an invalid address, an unknown name or a malformed position, and
    ConnectionLostError if the request fails.
    """
    try:
        address = parse_address(server)
    except ValueError as error:
        raise SettingsError(f"--server: {error}") from error
    query = {"database": database, "organisation": organisation}
    query |= {"writes": "1"} if writes else {}
    query |= {"after": after} if after else {}
    connection = await HttpConnection.open(address, timeout_s=timeout_s)
    try:
        reply = await connection.request(
            "GET", f"{EXPLAIN_PATH}?{urlencode(query)}", timeout_s=timeout_s
        )
    finally:
        await connection.close()
    if reply.status in (400, 404):
        raise SettingsError(_error_text(reply.body) or f"{server} does not explain placements")
    if reply.status != 200:
        raise ConnectionLostError(f"{server} answered with status {reply.status}")
    return reply.body


def _error_text(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=dict[str, str]).get("error", "")
    except msgspec.MsgspecError:
        return ""
