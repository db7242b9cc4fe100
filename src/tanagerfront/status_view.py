"""Terminal rendering of the status document of a VM."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import msgspec

from .errors import ConnectionLostError, SettingsError
from .http_client import HttpConnection, parse_address

__all__ = ["fetch_status", "render_status"]


async def fetch_status(server: str, timeout_s: float) -> bytes:
    """Return the JSON document of /status.

    Raises SettingsError for an invalid address and ConnectionLostError if the request fails.
    """
    try:
        address = parse_address(server)
    except ValueError as error:
        raise SettingsError(f"--server: {error}") from error
    connection = await HttpConnection.open(address, timeout_s=timeout_s)
    try:
        reply = await connection.request("GET", "/status", timeout_s=timeout_s)
    finally:
        await connection.close()
    if reply.status != 200:
        raise ConnectionLostError(f"{server} answered with status {reply.status}")
    return reply.body


def render_status(document: bytes) -> str:
    """Return the document as aligned text; raises ConnectionLostError if it is not JSON."""
    try:
        decoded = msgspec.json.decode(document)
    except msgspec.DecodeError as error:
        raise ConnectionLostError("the status document of the VM is not valid JSON") from error
    members = decoded if isinstance(decoded, dict) else {"status": decoded}
    return "\n".join(_render(members))


def _render(members: Mapping[str, Any]) -> Iterator[str]:
    """Yield scalar members first, then one table for each list of objects or mapping."""
    plain = {name: value for name, value in members.items() if not _is_table(value)}
    width = max((len(name) for name in plain), default=0)
    yield from (f"{name:<{width}}  {_cell(value)}" for name, value in plain.items())
    for name, value in members.items():
        if _is_table(value):
            yield f"\n{name}"
            yield from _table(_rows(value))


def _is_table(value: Any) -> bool:
    return isinstance(value, dict) or (
        isinstance(value, list) and any(isinstance(row, dict) for row in value)
    )


def _rows(value: Any) -> list[Mapping[str, Any]]:
    if isinstance(value, list):
        return [row if isinstance(row, dict) else {"value": row} for row in value]
    return [
        {"name": name, **(row if isinstance(row, dict) else {"value": row})}
        for name, row in value.items()
    ]


def _table(rows: Sequence[Mapping[str, Any]]) -> Iterator[str]:
    columns = list(dict.fromkeys(name for row in rows for name in row))
    lines = [columns, *([_cell(row.get(name)) for name in columns] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    for line in lines:
        cells = (f"{cell:<{width}}" for cell, width in zip(line, widths, strict=True))
        yield ("  " + "  ".join(cells)).rstrip()


def _cell(value: Any) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case str():
            return value
        case float():
            return f"{value:.3f}".rstrip("0").rstrip(".")
        case _:
            return msgspec.json.encode(value).decode()
