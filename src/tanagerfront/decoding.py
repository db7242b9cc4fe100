"""Errors of decoding documents that other processes wrote."""

from __future__ import annotations

import re

import msgspec

__all__ = ["DECODING_ERRORS", "MAX_DEPTH", "without_deep_values"]

# The decoders raise RecursionError for input that is nested too deeply, also in members that they
# would skip.
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
# No document of this project is nested more deeply.
MAX_DEPTH = 32
_STRUCTURE = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def without_deep_values(document: bytes) -> bytes:
    """Return a JSON document in which `null` replaces the values nested beyond MAX_DEPTH.

    The rest of the document can then be decoded.
    """
    parts: list[bytes] = []
    depth = kept_to = 0
    for token in _STRUCTURE.finditer(document):
        match token.group():
            case b"[" | b"{":
                depth += 1
                if depth == MAX_DEPTH + 1:
                    parts += document[kept_to : token.start()], b"null"
            case b"]" | b"}":
                if depth == MAX_DEPTH + 1:
                    kept_to = token.end()
                depth -= 1
    if depth > MAX_DEPTH:
        return b"".join(parts)
    return b"".join([*parts, document[kept_to:]])
