"""Deadlines and retries of one statement of the session interface."""

from __future__ import annotations

import trio

from .session_model import Route, Urgency, boottime_s

__all__ = ["Attempts", "urgency_of"]

# Fraction of the statement timeout for which a statement may wait for a connection or a primary.
# A refusal after that leaves the caller time to retry through another VM.
WAIT_TIMEOUT_FRACTION = 0.4
# Attempts per statement, at different instances or at the same one if it refused to execute it.
MAX_ATTEMPTS = 5
# Fraction of the statement timeout after which an unanswered read is retried at another instance,
# because the answer may be lost.
READ_TIMEOUT_FRACTION = 0.45


def urgency_of(route: Route, received_at: float, *, in_transaction: bool = False) -> Urgency:
    """Return the urgency of a statement that was received at a time of trio's clock."""
    deadline = received_at + route.statement_timeout_s
    objective_at = min(deadline, received_at + route.latency_objective_s)
    return Urgency(route.priority, objective_at, deadline, in_transaction)


class Attempts:
    """Count the attempts of one statement and hold its deadlines, in seconds of trio's clock."""

    def __init__(self, route: Route, received_at: float) -> None:
        self._route = route
        self._timeout_s = route.statement_timeout_s
        self._received_at = received_at
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

    def statement_urgency(self, *, writes: bool) -> Urgency:
        """Return the urgency of the current attempt; a read may be tried at another instance."""
        deadline = self.deadline if writes else self.read_attempt_deadline()
        return urgency_of(self._route, self._received_at)._replace(deadline=deadline)

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
