"""Idle connections of a pool, and which of them makes room for another organisation.

The load pattern: more organisations than connections, of which few send most statements and many
send one now and then. Under replacement of the least recently used connection, each of those rare
statements closes a connection that a frequent organisation needs again soon, and opening one
occupies a slot of the instance. No input or output.
"""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

__all__ = ["IdleConnection", "IdleConnections"]

# A reused connection is not preferred any longer after this time. An organisation with fewer than
# two statements a minute can be served with new connections.
REUSE_PREFERENCE_S = 30.0


class IdleConnection(Protocol):
    """What the choice of a connection depends on; `reused` is set when it is taken again."""

    organisation: str
    last_used_at: float
    reused: bool


ConnectionT = TypeVar("ConnectionT", bound=IdleConnection)


class IdleConnections(Generic[ConnectionT]):
    """Idle connections by organisation and by time of their last use; each call takes O(1)."""

    def __init__(self) -> None:
        # Both in the order of the last use, the oldest first.
        self._all: dict[ConnectionT, None] = {}
        self._never_reused: dict[ConnectionT, None] = {}
        self._by_organisation: dict[str, dict[ConnectionT, None]] = {}

    def __len__(self) -> int:
        return len(self._all)

    @property
    def oldest(self) -> ConnectionT | None:
        """Return the least recently used connection, None if there is none."""
        return next(iter(self._all), None)

    @property
    def connections(self) -> tuple[ConnectionT, ...]:
        """Return all connections, the least recently used first."""
        return tuple(self._all)

    def has(self, organisation: str) -> bool:
        """Return whether a connection of the organisation is idle."""
        return organisation in self._by_organisation

    def add(self, connection: ConnectionT) -> None:
        """Add a connection that was just used."""
        self._all[connection] = None
        self._by_organisation.setdefault(connection.organisation, {})[connection] = None
        if not connection.reused:
            self._never_reused[connection] = None

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection."""
        del self._all[connection]
        self._never_reused.pop(connection, None)
        same_organisation = self._by_organisation[connection.organisation]
        del same_organisation[connection]
        if not same_organisation:
            del self._by_organisation[connection.organisation]

    def take(self, organisation: str) -> ConnectionT | None:
        """Remove and return the most recently used connection of an organisation for reuse."""
        same_organisation = self._by_organisation.get(organisation)
        if not same_organisation:
            return None
        connection = next(reversed(same_organisation))
        self.remove(connection)
        connection.reused = True
        return connection

    def take_newest(self) -> ConnectionT | None:
        """Remove and return the most recently used connection of any organisation."""
        connection = next(reversed(self._all), None)
        if connection is not None:
            self.remove(connection)
        return connection

    def take_oldest(self) -> ConnectionT | None:
        """Remove and return the least recently used connection."""
        connection = self.oldest
        if connection is not None:
            self.remove(connection)
        return connection

    def take_least_valuable(self, now: float) -> ConnectionT | None:
        """Remove and return the connection to close for another organisation.

        Connections that were never reused go first, the least recently used of them before the
        others, unless a reused one has been idle for REUSE_PREFERENCE_S.
        """
        connection = self.oldest
        if connection is None:
            return None
        if now - connection.last_used_at < REUSE_PREFERENCE_S:
            connection = next(iter(self._never_reused), connection)
        self.remove(connection)
        return connection
