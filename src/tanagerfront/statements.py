"""Check SQL statements and their parameters before they are forwarded."""

from __future__ import annotations

import functools
import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from .errors import BadRequestError
from .messages import WireStatement, WireValue

__all__ = ["SqlAnalysis", "analyse_sql", "bind_route", "check_statement", "forwarded_texts"]

# The proxy controls transactions: a COMMIT inside a batch would end the proxy's own transaction
# without its knowledge. The other keywords change a database session that callers share.
REFUSED_KEYWORDS = frozenset(
    {"ABORT", "ATTACH", "BEGIN", "COMMIT", "DETACH", "END", "PRAGMA", "RELEASE", "ROLLBACK"}
    | {"SAVEPOINT", "SET", "START", "VACUUM"}
)
INT64_RANGE = range(-(2**63), 2**63)
# Longer statements are not cached, which limits the cache to a few megabytes.
MAX_CACHED_SQL_CHARS = 4096
# Unclosed quotes and comments match up to the end of the text, which keeps the scan linear.
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
    """First word, parameter names and number of statements of one SQL text."""

    first_word: str
    parameters: frozenset[str]
    statement_count: int


def analyse_sql(sql: str) -> SqlAnalysis:
    """Analyse one SQL text; results for short texts are cached."""
    return _cached_analysis(sql) if len(sql) <= MAX_CACHED_SQL_CHARS else _analyse(sql)


@functools.lru_cache(maxsize=1024)
def _cached_analysis(sql: str) -> SqlAnalysis:
    return _analyse(sql)


def _analyse(sql: str) -> SqlAnalysis:
    first_word, names, statement_count, at_start = "", set(), 0, True
    for match in _TOKEN.finditer(sql):
        text = match[0]
        if text.startswith(("--", "/*")):
            continue
        if text == ";":
            at_start = True
            continue
        if at_start:
            statement_count += 1
            at_start = False
            first_word = first_word or text.upper()
        if match["name"]:
            names.add(match["name"])
    return SqlAnalysis(first_word, frozenset(names), statement_count)


def check_statement(
    sql: str, params: Sequence[WireValue] | Mapping[str, WireValue], index: int
) -> WireStatement:
    """Check a caller's statement and return it for forwarding; raises BadRequestError."""
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
    """Bind to each statement of a route the parameters it uses; raises BadRequestError."""
    parameters = _route_parameters(statements)
    _check_names(parameters.all_names, params, "params")
    _check_values(params.values())
    return tuple(
        WireStatement(sql, {name: params[name] for name in names})
        for sql, names in zip(statements, parameters.by_statement, strict=True)
    )


class _RouteParameters(NamedTuple):
    """Parameter names of a route, all of them and by statement."""

    all_names: frozenset[str]
    by_statement: tuple[frozenset[str], ...]


@functools.lru_cache(maxsize=4096)
def _route_parameters(statements: tuple[str, ...]) -> _RouteParameters:
    by_statement = tuple(analyse_sql(sql).parameters for sql in statements)
    return _RouteParameters(frozenset[str]().union(*by_statement), by_statement)


def _check_names(expected: frozenset[str], params: Mapping[str, WireValue], location: str) -> None:
    if expected == params.keys():
        return
    missing = sorted(expected - params.keys())
    unknown = sorted(params.keys() - expected)
    parts = [f"missing: {', '.join(missing)}"] if missing else []
    parts += [f"unknown: {', '.join(unknown)}"] if unknown else []
    raise BadRequestError(f"{location}: {'; '.join(parts)}")


def _check_values(values: Iterable[WireValue]) -> None:
    for value in values:
        if isinstance(value, int) and value not in INT64_RANGE:
            raise BadRequestError("params: an integer needs more than 64 bits")


def forwarded_texts(statements: Iterable[WireStatement]) -> Iterator[str]:
    """Yield the SQL and the text parameters that would be sent to a database."""
    for statement in statements:
        yield statement.sql
        params = statement.params
        values = params.values() if isinstance(params, dict) else params
        yield from (value for value in values if isinstance(value, str))
