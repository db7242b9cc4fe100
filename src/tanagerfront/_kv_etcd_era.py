"""Eras of an etcd cluster, which may be restored from a snapshot (HTTP interface)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .store_era import FIRST_ERA, era_of, global_revision, stored_revision

__all__ = ["ClusterEra", "KnownState"]


class KnownState(NamedTuple):
    """What was known of the cluster when a call was made."""

    era: int
    # Newest revision in a reply of this era.
    newest_revision: int


class ClusterEra:
    """Number revisions across restores, which this process counts from the replies."""

    def __init__(self) -> None:
        self._cluster_id: str | None = None
        self._era = FIRST_ERA
        self._newest_revision = 0

    @property
    def known(self) -> KnownState:
        """Return what is known of the cluster now."""
        return KnownState(self._era, self._newest_revision)

    def record(self, header: Mapping[str, str], asked: KnownState, *, linearizable: bool) -> bool:
        """Record the header of a reply; return whether the call was answered in another era.

        A restored cluster has another id, unless its data were copied back; then a linearizable
        reply shows a revision below one that was known when the call was made.
        """
        cluster_id, revision = header.get("cluster_id"), int(header.get("revision", 0))
        went_back = linearizable and asked.era == self._era and revision < asked.newest_revision
        if self._cluster_id not in (None, cluster_id) or went_back:
            self._era += 1
            self._newest_revision = 0
        self._cluster_id = cluster_id
        self._newest_revision = max(self._newest_revision, revision)
        return asked.era != self._era

    def numbered(self, revision: int) -> int:
        """Number a revision of the cluster across eras."""
        return global_revision(self._era, revision)

    def stored(self, revision: int) -> int | None:
        """Return the cluster's number of a revision, None if it is of an earlier era."""
        if revision and era_of(revision) != self._era:
            return None
        return stored_revision(revision)
