"""What a stopping VM still takes from its callers, decided without input or output.

Part of the session interface. The load pattern: callers keep using a VM that is being stopped,
because their sessions are open or because the load balancer has too few other VMs.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Shutdown"]

# Part of the grace time that is reserved for the exit of the process.
EXIT_MARGIN_S = 0.7
# The next statement of a caller that has just connected or been answered may be on its way.
MIN_IDLE_S = 0.25


class Shutdown(NamedTuple):
    """A planned stop of this VM; times are in seconds of trio's clock."""

    started_at: float
    grace_s: float

    @property
    def ends_at(self) -> float:
        """Return when the last reply has to be on its way."""
        return self.started_at + max(0.0, self.grace_s - EXIT_MARGIN_S)

    @property
    def transactions_until(self) -> float:
        """Return until when open transactions may wait for their next statement."""
        return min(self.started_at + self.grace_s / 2, self.ends_at)

    def accepts(self, now: float, timeout_s: float) -> bool:
        """Return whether a statement that may take `timeout_s` seconds is still executed.

        In the second half of the grace time only those are that end in time even if they are slow.
        """
        return now < self.transactions_until or now + timeout_s <= self.ends_at

    def may_close(self, now: float, waiting_since: float, *, in_transaction: bool) -> bool:
        """Return whether a connection that waits for its caller's next statement is closed."""
        if now >= self.ends_at:
            return True
        if in_transaction and now < self.transactions_until:
            return False
        return now - waiting_since >= MIN_IDLE_S
