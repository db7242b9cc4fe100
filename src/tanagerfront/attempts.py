"""Deadlines and retries of one statement of the session interface."""

from __future__ import annotations

import trio

from .session_model import Route, boottime_s

__all__ = ["Attempts"]

# Fraction of the statement timeout for which a statement may wait for a connection or a primary.
# A refusal after that leaves the caller time to retry through another VM.
WAIT_TIMEOUT_FRACTION = 0.4
# Attempts per statement, at different instances or at the same one if it refused to execute it.
MAX_ATTEMPTS = 5
# Fraction of the statement timeout after which an unanswered read is retried at another instance,
# because the answer may be lost.
READ_TIMEOUT_FRACTION = 0.45


class Attempts:
    """Count the attempts of one statement and hold its deadlines, in seconds of trio's clock."""

    def __init__(self, route: Route, received_at: float) -> None:
        self._timeout_s = route.statement_timeout_s
        self._attempt_count = 1
        self.received_boottime_s = boottime_s() - (trio.current_time() - received_at)
        self.deadline = received_at + route.statement_timeout_s
        self.wait_deadline = received_at + WAIT_TIMEOUT_FRACTION * route.statement_timeout_s
        # Waiting statements get connections in ascending order of this time: the end of the latency
        # objective, brought forward by a lower priority number.
        self.urgency = received_at + route.latency_objective_s * (1 + route.priority) / 2
        self.tried_instances: set[str] = set()
        # Instances whose homes refused the statement, because it would wait there for too long.
        self.overloaded_instances: set[str] = set()
        self.sent = False

    def read_attempt_deadline(self) -> float:
        """Return the time until which the current attempt of a read may wait for an answer."""
        if self._attempt_count > 1:
            return self.deadline
        return min(self.deadline, trio.current_time() + READ_TIMEOUT_FRACTION * self._timeout_s)

    def start_next(self, excluded_instance: str | None) -> bool:
        """Count one more attempt and return whether it may start.

        `excluded_instance`, unless None, is left out of the choice from now on.
        """
        if excluded_instance is not None:
            self.tried_instances.add(excluded_instance)
        self._attempt_count += 1
        return self._attempt_count <= MAX_ATTEMPTS and trio.current_time() < self.deadline
