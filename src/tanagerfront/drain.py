"""Graceful shutdown: no request is interrupted, no caller is surprised."""

from __future__ import annotations

import enum
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple, Protocol

import structlog
import trio

__all__ = ["Drain", "DrainState", "DrainStatus", "DrainTiming", "DrainableConnections"]

CLOSE_IDLE_INTERVAL_S = 0.02
# The seats are keys bound to a lease; a service that does not answer ends them by itself.
RELEASE_TIMEOUT_S = 2.0
_log = structlog.get_logger()


class DrainTiming(NamedTuple):
    """Delay before the VM stops accepting, and limit for what is in progress, in seconds."""

    delay_s: float = 3.0
    limit_s: float = 30.0


class DrainState(enum.Enum):
    """Stages of a process."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    FINISHING = "finishing"
    DONE = "done"


class DrainStatus:
    """The stage of this process and its readiness, as probes and heartbeats report them."""

    def __init__(self, unavailable_reason: Callable[[], str | None] = lambda: None) -> None:
        self._unavailable_reason = unavailable_reason
        self._state = DrainState.SERVING

    @property
    def state(self) -> DrainState:
        """Return the stage the process is in."""
        return self._state

    @property
    def draining(self) -> bool:
        """Tell whether the shutdown has begun."""
        return self._state is not DrainState.SERVING

    @property
    def not_ready_reason(self) -> str | None:
        """Return why no new caller should come here, or None."""
        return "draining" if self.draining else self._unavailable_reason()

    def set_state(self, state: DrainState) -> None:
        """Move on to a stage."""
        self._state = state
        _log.info("drain_state", state=state.value)


class DrainableConnections(Protocol):
    """The caller connections of the VM."""

    @property
    def count(self) -> int:
        """Return the number of open connections."""

    @property
    def busy(self) -> int:
        """Return the number of connections with work in progress."""

    def close_after_requests(self) -> None:
        """Let each connection close after its current request."""

    async def close_idle(self) -> None:
        """Close the connections without work."""


class Drain:
    """Shut one VM down in stages; `announce` tells its peers, `release` gives up its seats."""

    def __init__(
        self,
        status: DrainStatus,
        timing: DrainTiming,
        callers: DrainableConnections,
        listeners: Sequence[trio.abc.Listener[Any]],
        release: Callable[[], Awaitable[None]],
        *,
        announce: Callable[[], None] = lambda: None,
    ) -> None:
        self._status = status
        self._timing = timing
        self._callers = callers
        self._listeners = listeners
        self._release = release
        self._announce = announce
        self._requested = trio.Event()
        self._shutdown_now = trio.Event()

    def request_shutdown(self) -> None:
        """Begin the shutdown; a second request ends the wait for what is in progress."""
        if self._requested.is_set():
            self._shutdown_now.set()
        self._requested.set()

    async def watch_signals(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Begin the shutdown on SIGTERM or SIGINT."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            task_status.started()
            async for number in signals:
                _log.info("signal_received", signal=signal.Signals(number).name)
                self.request_shutdown()

    async def run(self) -> None:
        """Wait for a request to shut down and carry it out; returns when the VM may exit."""
        await self._requested.wait()
        self._status.set_state(DrainState.ANNOUNCED)
        self._announce()
        # Callers that keep a connection busy move away already while the balancer learns of it.
        self._callers.close_after_requests()
        await self._shutdown_now_within(self._timing.delay_s)
        self._status.set_state(DrainState.FINISHING)
        for listener in self._listeners:
            await listener.aclose()
        await self._close_callers()
        with trio.move_on_after(RELEASE_TIMEOUT_S) as scope:
            await self._release()
        if scope.cancelled_caught:
            _log.warning("seats_not_released")
        self._status.set_state(DrainState.DONE)

    async def _close_callers(self) -> None:
        deadline = trio.current_time() + self._timing.limit_s
        while self._callers.count:
            await self._callers.close_idle()
            remaining_s = deadline - trio.current_time()
            if remaining_s <= 0 or await self._shutdown_now_within(
                min(CLOSE_IDLE_INTERVAL_S, remaining_s)
            ):
                _log.warning("requests_interrupted", count=self._callers.busy)
                return

    async def _shutdown_now_within(self, seconds: float) -> bool:
        with trio.move_on_after(seconds):
            await self._shutdown_now.wait()
        return self._shutdown_now.is_set()
