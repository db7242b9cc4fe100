"""Restart of background tasks after unexpected errors (session interface)."""

from __future__ import annotations

import traceback
from collections.abc import Awaitable, Callable

import trio

from .decision_log import DecisionLog

__all__ = ["run_restarting"]

# Bounds the load of a task that fails at once each time.
RESTART_DELAY_S = 0.1
# The innermost frames of the traceback show where the error was raised.
LOGGED_FRAMES = 3


async def run_restarting(
    task: Callable[[], Awaitable[None]], log: DecisionLog, name: str | None = None
) -> None:
    """Run a background task until it returns; start it again after an unexpected error.

    An error that ended the process would end the sessions of all callers. `name` is the task's name
    in the log, by default that of its function.
    """
    while True:
        try:
            await task()
            return
        except Exception as error:
            cause = _first_cause(error)
            log.failure(
                "task_restarted",
                task=name or getattr(task, "__qualname__", repr(task)),
                error=repr(cause),
                raised_at=[
                    f"{frame.filename}:{frame.lineno}"
                    for frame in traceback.extract_tb(cause.__traceback__, -LOGGED_FRAMES)
                ],
            )
        await trio.sleep(RESTART_DELAY_S)


def _first_cause(error: Exception) -> Exception:
    """Return the first error of nested exception groups."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return error
