"""Time and instances that one statement may use."""

from __future__ import annotations

import trio

from .session_model import Route, boottime_s

__all__ = ["Attempts"]

# Part of the statement timeout that a request may wait for a connection or a primary. A refusal
# after that still leaves the caller time for an attempt through another VM.
WAIT_SHARE = 0.4
# Attempts for one statement at different instances, or again after a refusal that ran nothing.
MAX_ATTEMPTS = 5
# A read that is not answered after this part of its timeout is repeated elsewhere, because the
# answer may be lost.
READ_ATTEMPT_SHARE = 0.45


class Attempts:
    """Time and instances that one statement has used up."""

    def __init__(self, route: Route, received_at: float) -> None:
        self._timeout_s = route.statement_timeout_s
        self._count = 1
        self.received_boottime_s = boottime_s() - (trio.current_time() - received_at)
        self.deadline = received_at + route.statement_timeout_s
        self.wait_deadline = received_at + WAIT_SHARE * route.statement_timeout_s
        # The statement whose objective ends first goes first; a lower priority number is urgent.
        self.urgency = received_at + route.latency_objective_s * (1 + route.priority) / 2
        self.tried_instances: set[str] = set()
        self.sent = False

    def read_attempt_deadline(self) -> float:
        """Return until when to wait for the answer of this attempt of a read."""
        if self._count > 1:
            return self.deadline
        return min(self.deadline, trio.current_time() + READ_ATTEMPT_SHARE * self._timeout_s)

    def start_next(self, instance: str | None) -> bool:
        """Use one more attempt, not at this instance; return whether there is one."""
        if instance is not None:
            self.tried_instances.add(instance)
        self._count += 1
        return self._count <= MAX_ATTEMPTS and trio.current_time() < self.deadline
