"""Rendezvous hashing: who does what, so that one that leaves moves only its own work."""

from __future__ import annotations

import xxhash

__all__ = ["rendezvous_score"]


def rendezvous_score(*parts: object) -> int:
    """Return the place of a candidate for some work; the lowest score is preferred."""
    return xxhash.xxh64_intdigest("/".join(map(str, parts)).encode())
