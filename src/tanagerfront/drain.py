"""Graceful shutdown of one VM: fail the readiness probe, finish requests, release locks."""

from __future__ import annotations

import enum
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple, Protocol

import structlog
import trio

__all__ = ["Drain", "DrainState", "DrainStatus", "DrainTiming", "DrainableConnections"]

CLOSE_IDLE_INTERVAL_S = 0.02
# Time for the last responses to be sent.
LAST_RESPONSES_S = 0.1
# Role locks that are not released in time expire with the lease of the VM.
RELEASE_TIMEOUT_S = 2.0
_log = structlog.get_logger()


class DrainTiming(NamedTuple):
    """Delay before the VM stops accepting, and limit for requests in progress, in seconds."""

    delay_s: float = 3.0
    limit_s: float = 30.0


class DrainState(enum.Enum):
    """Shutdown stages of a process."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    FINISHING = "finishing"
    DONE = "done"


class DrainStatus:
    """Shutdown stage and readiness of this process, as reported by probes and heartbeats."""

    def __init__(self, unavailable_reason: Callable[[], str | None] = lambda: None) -> None:
        self._unavailable_reason = unavailable_reason
        self._state = DrainState.SERVING

    @property
    def state(self) -> DrainState:
        """Return the current shutdown stage."""
        return self._state

    @property
    def draining(self) -> bool:
        """Return whether the shutdown has begun."""
        return self._state is not DrainState.SERVING

    @property
    def not_ready_reason(self) -> str | None:
        """Return why the VM is not ready for new callers, or None if it is ready."""
        return "draining" if self.draining else self._unavailable_reason()

    def set_state(self, state: DrainState) -> None:
        """Set the shutdown stage and log it."""
        self._state = state
        _log.info("drain_state", state=state.value)


class DrainableConnections(Protocol):
    """Caller connections that a drain can close."""

    @property
    def count(self) -> int:
        """Return the number of open connections."""

    @property
    def busy(self) -> int:
        """Return the number of connections with a request or transaction in progress."""

    def close_after_requests(self) -> None:
        """Close each connection after its current request."""

    async def close_idle(self) -> None:
        """Close the connections that have no work in progress."""

    def interrupt(self) -> None:
        """Answer the requests in progress now, and refuse all further ones."""


class Drain:
    """Shut down one VM in stages.

    `announce` informs the peers that the VM drains; `release` releases its role locks.
    """

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
        """Begin the shutdown; a second call stops waiting for requests in progress."""
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
        """Wait until a shutdown is requested and perform it; return when the VM may exit."""
        await self._requested.wait()
        self._status.set_state(DrainState.ANNOUNCED)
        self._announce()
        # Moves callers with busy connections away before the load balancer detects the drain.
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
                self._callers.interrupt()
                await trio.sleep(LAST_RESPONSES_S)
                return

    async def _shutdown_now_within(self, seconds: float) -> bool:
        with trio.move_on_after(seconds):
            await self._shutdown_now.wait()
        return self._shutdown_now.is_set()
