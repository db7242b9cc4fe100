"""Checks of SQL statements and their parameters before they are forwarded."""

from __future__ import annotations

import functools
import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from .errors import BadRequestError
from .messages import WireStatement, WireValue

__all__ = ["SqlAnalysis", "analyse_sql", "bind_route", "check_statement", "forwarded_texts"]

# Transactions belong to the proxy: a caller's COMMIT inside a batch would end another boundary
# than the one the proxy tracks, and the others change the session that callers share.
REFUSED_KEYWORDS = frozenset(
    {"ABORT", "ATTACH", "BEGIN", "COMMIT", "DETACH", "END", "PRAGMA", "RELEASE", "ROLLBACK"}
    | {"SAVEPOINT", "SET", "START", "VACUUM"}
)
INT64_RANGE = range(-(2**63), 2**63)
# Longer statements are analysed each time, so that the cache stays within a few megabytes.
MAX_CACHED_SQL_CHARS = 4096
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


class SqlAnalysis(NamedTuple):
    """What the proxy needs to know of a statement."""

    first_word: str
    parameters: frozenset[str]
    statement_count: int


def analyse_sql(sql: str) -> SqlAnalysis:
    """Return the shape of one SQL text."""
    return _cached_analysis(sql) if len(sql) <= MAX_CACHED_SQL_CHARS else _analyse(sql)


@functools.lru_cache(maxsize=1024)
def _cached_analysis(sql: str) -> SqlAnalysis:
    return _analyse(sql)


def _analyse(sql: str) -> SqlAnalysis:
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
    return SqlAnalysis(first_word, frozenset(names), statements)


def check_statement(
    sql: str, params: Sequence[WireValue] | Mapping[str, WireValue], index: int
) -> WireStatement:
    """Return the statement for forwarding; raises BadRequestError."""
    analysis = analyse_sql(sql)
    if analysis.statement_count != 1:
        raise BadRequestError(f"statements[{index}].sql must hold exactly one statement")
    if analysis.first_word in REFUSED_KEYWORDS:
        raise BadRequestError(
            f"statements[{index}].sql: {analysis.first_word} is not allowed;"
            " use the batch and transaction calls"
        )
    if isinstance(params, Mapping):
        _check_names(analysis.parameters, params, f"statements[{index}].params")
        _check_values(params.values())
        return WireStatement(sql, dict(params))
    _check_values(params)
    return WireStatement(sql, list(params))


def bind_route(
    statements: tuple[str, ...], params: Mapping[str, WireValue]
) -> tuple[WireStatement, ...]:
    """Return a route's statements with their own parameters; raises BadRequestError."""
    parameters = _route_parameters(statements)
    _check_names(parameters.all_names, params, "params")
    _check_values(params.values())
    return tuple(
        WireStatement(sql, {name: params[name] for name in names})
        for sql, names in zip(statements, parameters.by_statement, strict=True)
    )


class _RouteParameters(NamedTuple):
    """Names of the parameters of a route, together and by statement."""

    all_names: frozenset[str]
    by_statement: tuple[frozenset[str], ...]


@functools.lru_cache(maxsize=4096)
def _route_parameters(statements: tuple[str, ...]) -> _RouteParameters:
    by_statement = tuple(analyse_sql(sql).parameters for sql in statements)
    return _RouteParameters(frozenset[str]().union(*by_statement), by_statement)


def _check_names(all_names: frozenset[str], given: Mapping[str, WireValue], location: str) -> None:
    if all_names == given.keys():
        return
    missing = sorted(all_names - given.keys())
    unknown = sorted(given.keys() - all_names)
    parts = [f"missing: {', '.join(missing)}"] if missing else []
    parts += [f"unknown: {', '.join(unknown)}"] if unknown else []
    raise BadRequestError(f"{location}: {'; '.join(parts)}")


def _check_values(values: Iterable[WireValue]) -> None:
    for value in values:
        if isinstance(value, int) and value not in INT64_RANGE:
            raise BadRequestError("params: an integer needs more than 64 bits")


def forwarded_texts(statements: Iterable[WireStatement]) -> Iterator[str]:
    """Yield every text that would reach a database."""
    for statement in statements:
        yield statement.sql
        params = statement.params
        values = params.values() if isinstance(params, dict) else params
        yield from (value for value in values if isinstance(value, str))
