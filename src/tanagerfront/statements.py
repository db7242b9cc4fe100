"""Checks of SQL statements and their parameters before they are forwarded."""

from __future__ import annotations

import functools
import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from .errors import BadRequestError
from .messages import WireStatement, WireValue

__all__ = ["SqlShape", "bind_route", "check_statement", "sql_shape", "text_values"]

# Transactions belong to the proxy: a caller's COMMIT inside a batch would end another boundary
# than the one the proxy tracks, and the others change the session that callers share.
REFUSED_WORDS = frozenset(
    {"ABORT", "ATTACH", "BEGIN", "COMMIT", "DETACH", "END", "PRAGMA", "RELEASE", "ROLLBACK"}
    | {"SAVEPOINT", "SET", "START", "VACUUM"}
)
INTEGER_RANGE = range(-(2**63), 2**63)
# Longer statements are analysed each time, so that the cache stays within a few megabytes.
MAX_CACHED_SQL = 4096
# Every alternative for a quoted part also ends at the end of the text, which keeps the scan linear.
_TOKEN = re.compile(
    r"""
      '[^']*(?:''[^']*)*(?:'|\Z) | "[^"]*(?:""[^"]*)*(?:"|\Z) | `[^`]*(?:`|\Z) | \[[^\]]*(?:\]|\Z)
    | --[^\n]* | /\*.*?(?:\*/|\Z)
    | ::\w* | [:@$](?P<name>[A-Za-z_]\w*)
    | (?P<word>[\w][\w$]*) | (?P<other>\S)
    """,
    re.VERBOSE | re.DOTALL,
)


class SqlShape(NamedTuple):
    """What the proxy needs to know of a statement."""

    first_word: str
    parameters: frozenset[str]
    statements: int


def sql_shape(sql: str) -> SqlShape:
    """Return the shape of one SQL text."""
    return _cached_shape(sql) if len(sql) <= MAX_CACHED_SQL else _scan(sql)


@functools.lru_cache(maxsize=1024)
def _cached_shape(sql: str) -> SqlShape:
    return _scan(sql)


def _scan(sql: str) -> SqlShape:
    first_word, names, statements, at_start = "", set(), 0, True
    for match in _TOKEN.finditer(sql):
        text = match[0]
        if text.startswith(("--", "/*")):
            continue
        if text == ";":
            at_start = True
            continue
        if at_start:
            statements += 1
            at_start = False
            first_word = first_word or text.upper()
        if match["name"]:
            names.add(match["name"])
    return SqlShape(first_word, frozenset(names), statements)


def check_statement(
    sql: str, params: Sequence[WireValue] | Mapping[str, WireValue], index: int
) -> WireStatement:
    """Return the statement for forwarding; raises BadRequestError."""
    shape = sql_shape(sql)
    if shape.statements != 1:
        raise BadRequestError(f"statements[{index}].sql must hold exactly one statement")
    if shape.first_word in REFUSED_WORDS:
        raise BadRequestError(
            f"statements[{index}].sql: {shape.first_word} is not allowed;"
            " use the batch and transaction calls"
        )
    if isinstance(params, Mapping):
        _check_names(shape.parameters, params, f"statements[{index}].params")
        _check_values(params.values())
        return WireStatement(sql, dict(params))
    _check_values(params)
    return WireStatement(sql, list(params))


def bind_route(
    statements: tuple[str, ...], params: Mapping[str, WireValue]
) -> tuple[WireStatement, ...]:
    """Return a route's statements with their own parameters; raises BadRequestError."""
    shapes = _route_parameters(statements)
    _check_names(shapes.declared, params, "params")
    _check_values(params.values())
    return tuple(
        WireStatement(sql, {name: params[name] for name in names})
        for sql, names in zip(statements, shapes.of_statements, strict=True)
    )


class _RouteParameters(NamedTuple):
    """Names of the parameters of a route, together and by statement."""

    declared: frozenset[str]
    of_statements: tuple[frozenset[str], ...]


@functools.lru_cache(maxsize=4096)
def _route_parameters(statements: tuple[str, ...]) -> _RouteParameters:
    of_statements = tuple(sql_shape(sql).parameters for sql in statements)
    return _RouteParameters(frozenset[str]().union(*of_statements), of_statements)


def _check_names(declared: frozenset[str], given: Mapping[str, WireValue], where: str) -> None:
    if declared == given.keys():
        return
    missing = sorted(declared - given.keys())
    unknown = sorted(given.keys() - declared)
    parts = [f"missing: {', '.join(missing)}"] if missing else []
    parts += [f"unknown: {', '.join(unknown)}"] if unknown else []
    raise BadRequestError(f"{where}: {'; '.join(parts)}")


def _check_values(values: Iterable[WireValue]) -> None:
    for value in values:
        if isinstance(value, int) and value not in INTEGER_RANGE:
            raise BadRequestError("params: an integer needs more than 64 bits")


def text_values(statements: Iterable[WireStatement]) -> Iterator[str]:
    """Yield every text that would reach a database."""
    for statement in statements:
        yield statement.sql
        params = statement.params
        values = params.values() if isinstance(params, dict) else params
        yield from (value for value in values if isinstance(value, str))
