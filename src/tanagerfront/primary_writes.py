"""Writes in progress at a group's primary, followed across a failover (session interface).

The load pattern: a primary is slow, or its queue is long, when another instance is promoted in its
place, so that writes which were sent to it before are executed after the promotion. No input or
output.
"""

from __future__ import annotations

__all__ = ["PrimaryWrite", "PrimaryWrites"]


class PrimaryWrite:
    """A single write or a commit that was sent to a primary and has not been answered."""

    __slots__ = ("instance", "sent_before_failover")

    def __init__(self, instance: str) -> None:
        self.instance = instance
        # Whether this VM has learned of a failover of the group since the write was sent.
        self.sent_before_failover = False


class PrimaryWrites:
    """The writes in progress at the primaries of one group."""

    def __init__(self) -> None:
        self._pending: set[PrimaryWrite] = set()

    @property
    def sent_before_failover(self) -> int:
        """Return how many of the writes in progress were sent before the last failover began."""
        return sum(write.sent_before_failover for write in self._pending)

    def begin(self, instance: str) -> PrimaryWrite:
        """Note a write that is about to be sent to an instance."""
        write = PrimaryWrite(instance)
        self._pending.add(write)
        return write

    def end(self, write: PrimaryWrite) -> None:
        """Note that a write has been answered or given up."""
        self._pending.discard(write)

    def replace_primary(self, primary: str | None) -> None:
        """Note the group's new primary, None during a failover."""
        for write in self._pending:
            if write.instance != primary:
                write.sent_before_failover = True
