"""Rendezvous hashing: removing a candidate reassigns only the work of that candidate."""

from __future__ import annotations

import xxhash

__all__ = ["rendezvous_score"]


def rendezvous_score(*parts: object) -> int:
    """Return the score of a candidate for a work item; the lowest score wins."""
    return xxhash.xxh64_intdigest("/".join(map(str, parts)).encode())
