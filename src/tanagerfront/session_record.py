"""Logs, metrics and failures of the statements of a session (session interface)."""

from __future__ import annotations

import traceback
from collections.abc import Mapping
from typing import Any, NamedTuple

import trio

from .confirmed_state import ConfirmedState
from .decision_log import DecisionLog
from .errors import ConnectionLostError, TanagerfrontError
from .front_metrics import FrontMetrics
from .instance_directory import Instance
from .instance_pool import NO_ORGANISATION
from .session_model import (
    Connect,
    Failure,
    FailureCode,
    FrontConfiguration,
    Organisation,
    Query,
    Reply,
    Route,
    boottime_s,
)

__all__ = ["AuthorisedCaller", "RefusedError", "SessionRecorder"]

MAX_TRACE_FRAMES = 6


class RefusedError(TanagerfrontError):
    """A statement or connection is refused; it wasn't executed unless the code says otherwise."""

    problem_type = "refused"

    def __init__(self, code: FailureCode, reason: str, **log_fields: Any) -> None:
        super().__init__(reason)
        self._failure = Failure(code, reason)
        self._log_fields = log_fields

    @property
    def failure(self) -> Failure:
        """Return the code and text for the caller."""
        return self._failure

    @property
    def log_fields(self) -> Mapping[str, Any]:
        """Return the inputs of the decision, as fields for the log line."""
        return self._log_fields


class AuthorisedCaller(NamedTuple):
    """A caller, with its route and organisation in the configuration in force.

    `organisation` is None on routes that need no key.
    """

    configuration: FrontConfiguration
    route: Route
    organisation: Organisation | None

    @property
    def organisation_name(self) -> str:
        """Return the organisation's name as sent to instances, a placeholder if there is none."""
        return self.organisation.name if self.organisation else NO_ORGANISATION


def _trace(error: Exception) -> list[str]:
    """Return function names and line numbers of an error's stack trace, innermost call last."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_TRACE_FRAMES:]
    return [f"{frame.name}:{frame.lineno}" for frame in frames]


class SessionRecorder:
    """Log and count the outcomes of one session's statements."""

    def __init__(
        self,
        confirmed_state: ConfirmedState,
        log: DecisionLog,
        metrics: FrontMetrics,
        connect: Connect,
    ) -> None:
        self._confirmed_state = confirmed_state
        self._log = log
        self._metrics = metrics
        self._database = connect.database

    def record_failure(self, query: Query, error: Exception) -> None:
        """Record an unexpected error with its stack trace."""
        self._log.failure(
            "statement_failed", request=query.id, error=repr(error), trace=_trace(error)
        )

    def record_lost_answer(
        self, query: Query, instance: Instance, error: ConnectionLostError
    ) -> None:
        """Record that the connection was lost before the answer arrived."""
        self._metrics.count("connections_lost", instance=instance.registration.id)
        self._log.failure(
            "answer_lost", request=query.id, instance=instance.registration.id, error=str(error)
        )

    def record_late_write(self, query: Query, instance: Instance, *, valid: bool) -> None:
        """Record that a write succeeded at an instance whose replacement may have begun before."""
        self._metrics.count("late_writes", instance=instance.registration.id, valid=str(valid))
        self._log.decision(
            "late_write",
            request=query.id,
            instance=instance.registration.id,
            valid=valid,
            confirmed_s=round(self._confirmed_state.confirmation_age_s, 3),
            elapsed_ms=round((trio.current_time() - query.received_at) * 1000, 1),
        )

    def record_unreachable(self, instance: Instance, error: TanagerfrontError) -> None:
        """Record that a connection to an instance could not be opened."""
        if instance.record_failure():
            self._log.failure(
                "instance_unreachable", instance=instance.registration.id, error=str(error)
            )

    def record_not_run(self, query: Query, instance: Instance, failure: Failure) -> None:
        """Record that an instance refused a statement without executing it."""
        if failure.code is FailureCode.LAGGING:
            instance.lagging_since = boottime_s()
        self._metrics.count("not_run", code=failure.code.value)
        self._log.decision(
            "instance_refused",
            request=query.id,
            instance=instance.registration.id,
            code=failure.code.value,
            text=failure.text,
        )

    def record_served(
        self, query: Query, caller: AuthorisedCaller, instance: Instance, reply: Reply
    ) -> None:
        """Record a statement that succeeded."""
        elapsed_s = trio.current_time() - query.received_at
        self._metrics.observe(caller.organisation_name, caller.route.name, elapsed_s)
        self._log.decision(
            "served",
            request=query.id,
            organisation=caller.organisation_name,
            instance=instance.registration.id,
            role=instance.registration.role.value,
            version=caller.configuration.version,
            confirmed_s=round(self._confirmed_state.confirmation_age_s, 3),
            reached=reply.reached,
            elapsed_ms=round(elapsed_s * 1000, 1),
        )

    def record_refusal(self, query: Query, error: RefusedError) -> Reply:
        """Record a refusal and return the reply for the caller."""
        code = error.failure.code
        self._metrics.count("refused", code=code.value)
        self._log.decision(
            "refused",
            request=query.id,
            database=self._database,
            code=code.value,
            reason=error.failure.text,
            **error.log_fields,
            confirmed_s=round(self._confirmed_state.confirmation_age_s, 3),
            elapsed_ms=round((trio.current_time() - query.received_at) * 1000, 1),
        )
        return Reply(failure=error.failure)
