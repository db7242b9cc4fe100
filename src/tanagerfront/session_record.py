"""What is logged, counted and remembered of a session's statements."""

from __future__ import annotations

import traceback
from collections.abc import Mapping
from typing import Any, NamedTuple

import trio

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
    boot_time,
)
from .vm_beliefs import Beliefs

__all__ = ["Caller", "RefusedError", "SessionRecord"]

TRACE_FRAMES = 6


class RefusedError(TanagerfrontError):
    """A statement or connection is refused; nothing of it ran unless the code says otherwise."""

    problem_type = "refused"

    def __init__(self, code: FailureCode, reason: str, **inputs: Any) -> None:
        super().__init__(reason)
        self._failure = Failure(code, reason)
        self._inputs = inputs

    @property
    def failure(self) -> Failure:
        """Return the refusal for the caller."""
        return self._failure

    @property
    def inputs(self) -> Mapping[str, Any]:
        """Return what decided the refusal, for the log."""
        return self._inputs


class Caller(NamedTuple):
    """Who sends a statement, as the configuration in force has it."""

    configuration: FrontConfiguration
    route: Route
    organisation: Organisation | None

    @property
    def instance_name(self) -> str:
        """Return the name under which instances know the caller."""
        return self.organisation.name if self.organisation else NO_ORGANISATION


def _trace(error: Exception) -> list[str]:
    """Return where an unexpected error was raised, innermost call last."""
    frames = traceback.extract_tb(error.__traceback__)[-TRACE_FRAMES:]
    return [f"{each.name}:{each.lineno}" for each in frames]


class SessionRecord:
    """Record the outcomes of one session's statements."""

    def __init__(
        self, beliefs: Beliefs, log: DecisionLog, metrics: FrontMetrics, connect: Connect
    ) -> None:
        self._beliefs = beliefs
        self._log = log
        self._metrics = metrics
        self._database = connect.database

    def failed(self, query: Query, error: Exception) -> None:
        """Record an unexpected error with its place."""
        self._log.trouble(
            "statement_failed", request=query.id, error=repr(error), trace=_trace(error)
        )

    def lost(self, query: Query, instance: Instance, error: ConnectionLostError) -> None:
        """Record that an answer did not come."""
        self._metrics.count("connections_lost", instance=instance.entry.id)
        self._log.trouble(
            "answer_lost", request=query.id, instance=instance.entry.id, error=str(error)
        )

    def unreachable(self, instance: Instance, error: TanagerfrontError) -> None:
        """Record that an instance accepts no connections."""
        if instance.note_failure():
            self._log.trouble("instance_unreachable", instance=instance.entry.id, error=str(error))

    def not_run(self, query: Query, instance: Instance, failure: Failure) -> None:
        """Record that an instance refused a statement without running it."""
        if failure.code is FailureCode.LAGGING:
            instance.lagging_since = boot_time()
        self._metrics.count("not_run", code=failure.code.value)
        self._log.decision(
            "instance_refused",
            request=query.id,
            instance=instance.entry.id,
            code=failure.code.value,
            text=failure.text,
        )

    def served(self, query: Query, caller: Caller, instance: Instance, reply: Reply) -> None:
        """Record a success."""
        elapsed_s = trio.current_time() - query.received_at
        self._metrics.observe(caller.instance_name, caller.route.name, elapsed_s)
        self._log.decision(
            "served",
            request=query.id,
            organisation=caller.instance_name,
            instance=instance.entry.id,
            role=instance.entry.role.value,
            version=caller.configuration.version,
            confirmed_s=round(self._beliefs.confirmation_age_s, 3),
            reached=reply.reached,
            elapsed_ms=round(elapsed_s * 1000, 1),
        )

    def refused(self, query: Query, error: RefusedError) -> Reply:
        """Record a refusal and return the reply for the caller."""
        code = error.failure.code
        self._metrics.count("refused", code=code.value)
        self._log.decision(
            "refused",
            request=query.id,
            database=self._database,
            code=code.value,
            reason=error.failure.text,
            **error.inputs,
            confirmed_s=round(self._beliefs.confirmation_age_s, 3),
            elapsed_ms=round((trio.current_time() - query.received_at) * 1000, 1),
        )
        return Reply(failure=error.failure)
