"""Check that each statement option of a route holds one statement with valid parameters.

Transaction control is refused, and routes in mode read accept queries only.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ._configuration_options import Options
from ._configuration_values import Mode

__all__ = ["check_statements", "parameter_names"]

# Quoted text and comments are matched first, so that their content isn't read as a parameter.
TOKEN = re.compile(
    r"""
    (?P<quoted>'(?:[^']|'')*' | "(?:[^"]|"")*" | `[^`]*` | \[[^\]]*\])
  | (?P<comment>--[^\n]* | /\*.*?\*/)
  | (?P<cast>::)
  | (?P<parameter>:[A-Za-z_][A-Za-z0-9_]*)
  | (?P<placeholder>\?[0-9]* | [:@$][A-Za-z0-9_]*)
  | (?P<unclosed>['"`\[] | /\*)
  | (?P<end>;)
  | (?P<word>[A-Za-z_][A-Za-z0-9_$]*)
  | (?P<other>\S)
    """,
    re.VERBOSE | re.DOTALL,
)
# These statements would end or nest the transaction in which the proxy runs the route.
TRANSACTION_KEYWORDS = frozenset(
    ("BEGIN", "START", "COMMIT", "END", "ROLLBACK", "SAVEPOINT", "RELEASE", "ABORT")
)
READ_KEYWORDS = ("SELECT", "VALUES", "WITH")


class _Token(NamedTuple):
    kind: str
    text: str


def _tokenize(sql: str) -> Iterator[_Token]:
    for match in TOKEN.finditer(sql):
        if match.lastgroup not in (None, "comment"):
            yield _Token(str(match.lastgroup), match.group())


def parameter_names(statements: Iterable[str]) -> frozenset[str]:
    """Return the names of the parameters that the statements use, without the colon."""
    tokens = (token for sql in statements for token in _tokenize(sql))
    return frozenset(token.text[1:] for token in tokens if token.kind == "parameter")


def check_statements(options: Options, mode: Mode, statements: Iterable[str]) -> None:
    """Check the statements of a route; raises ConfigurationError."""
    for number, sql in enumerate(statements, 1):
        option = f"statement.{number}"
        tokens = list(_tokenize(sql))
        if tokens and tokens[-1].kind == "end":
            tokens.pop()
        for token in tokens:
            _check_token(options, option, token)
        _check_first_word(options, option, mode, tokens)


def _check_token(options: Options, option: str, token: _Token) -> None:
    match token.kind:
        case "placeholder":
            raise options.error(option, token.text, "parameters written as :name")
        case "unclosed":
            raise options.error(option, token.text, "quotes, brackets and comments that are closed")
        case "end":
            raise options.error(option, token.text, "one statement in each option")


def _check_first_word(options: Options, option: str, mode: Mode, tokens: list[_Token]) -> None:
    first = tokens[0].text.upper() if tokens else "(empty)"
    if not tokens or first in TRANSACTION_KEYWORDS:
        raise options.error(option, first, "a statement other than transaction control")
    if mode == "read" and first not in READ_KEYWORDS:
        raise options.error(option, first, f"{', '.join(READ_KEYWORDS)} in mode read")
