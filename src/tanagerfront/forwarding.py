"""Forwarding of a request to a home of its group, with retries that never repeat a write."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import msgspec
import trio

from .errors import (
    ConnectionLostError,
    DatabaseError,
    DeadlineExceededError,
    DrainingError,
    OutcomeUnknownError,
    RateLimitedError,
    SqlError,
    TanagerfrontError,
    UnavailableError,
)
from .home_calls import HomeClient, HomeDirectory, HomeVm
from .home_choice import HomeSelector
from .messages import ExecuteReply, ExecuteRequest

__all__ = ["Forwarder", "ForwardingMetrics", "RetryBudget"]

MAX_ATTEMPTS = 6
FIRST_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25
# While a home seat moves no home is known; looking again costs no message.
NO_HOME_POLL_S = 0.05
# Retries may add this share to the traffic, so that a fault does not multiply the load.
RETRY_RATIO = 0.2
MAX_SAVED_RETRIES = 20.0


class ForwardingMetrics(Protocol):
    """The counters that forwarding feeds."""

    def count_read(self, *, by_replica: bool) -> None:
        """Count one read."""

    def count_retry(self, cause: str) -> None:
        """Count one further attempt."""


class RetryBudget:
    """Allow retries up to a share of the requests, plus a reserve for quiet times."""

    def __init__(
        self, retry_ratio: float = RETRY_RATIO, max_saved_retries: float = MAX_SAVED_RETRIES
    ) -> None:
        self._retry_ratio = retry_ratio
        self._max_saved_retries = max_saved_retries
        self._saved_retries = max_saved_retries

    def record_request(self) -> None:
        """Credit one request."""
        self._saved_retries = min(self._max_saved_retries, self._saved_retries + self._retry_ratio)

    def try_acquire(self) -> bool:
        """Take one retry from the budget, if there is one."""
        if self._saved_retries < 1:
            return False
        self._saved_retries -= 1
        return True


class _Attempts:
    """What has happened to one request so far."""

    def __init__(self, request: ExecuteRequest) -> None:
        self.request = request
        self.started_at = trio.current_time()
        self.deadline = self.started_at + request.timeout_s
        self.count = 0
        self.failed_vms: set[str] = set()
        self.may_have_run = False

    @property
    def repeat_is_safe(self) -> bool:
        request = self.request
        return request.mode == "read" or request.repeatable or request.idempotency_key is not None

    def current_request(self) -> ExecuteRequest:
        """Return the request with the time and token lifetime that are left; raises."""
        now = trio.current_time()
        elapsed_s, remaining_s = now - self.started_at, self.deadline - now
        if remaining_s <= 0:
            raise DeadlineExceededError("the deadline passed before the request could run")
        lifetime_s = self.request.token_lifetime_s
        if lifetime_s is None:
            return msgspec.structs.replace(self.request, timeout_s=remaining_s)
        if lifetime_s <= elapsed_s:
            raise RateLimitedError("the rate token expired before the request could run")
        return msgspec.structs.replace(
            self.request, timeout_s=remaining_s, token_lifetime_s=lifetime_s - elapsed_s
        )

    def record_failure(self, home: HomeVm, error: TanagerfrontError) -> None:
        self.failed_vms.add(home.vm)
        self.may_have_run = self.may_have_run or error.executed == "unknown"

    def final_error(self, error: TanagerfrontError) -> TanagerfrontError:
        """Return the error to report; an earlier attempt may have run although the last did not."""
        if self.may_have_run and error.executed == "no" and self.request.mode != "read":
            message = f"an earlier attempt may have run; the last one failed: {error.message}"
            return OutcomeUnknownError(message)
        return error


class Forwarder:
    """Run requests at homes; `random_source` returns numbers from 0 to 1."""

    def __init__(
        self,
        directory: HomeDirectory,
        calls: HomeClient,
        selector: HomeSelector,
        metrics: ForwardingMetrics,
        *,
        budget: RetryBudget | None = None,
        random_source: Callable[[], float] = random.random,
    ) -> None:
        self._directory = directory
        self._calls = calls
        self._selector = selector
        self._metrics = metrics
        self._budget = budget or RetryBudget()
        self._random = random_source

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Return the reply of a home; raises TanagerfrontError with the true `executed`."""
        self._budget.record_request()
        attempts = _Attempts(request)
        while True:
            try:
                reply = await self._attempt(attempts)
            except TanagerfrontError as error:
                if not self._may_retry(attempts, error):
                    raise attempts.final_error(error) from error
                self._metrics.count_retry(error.problem_type)
                await self._back_off(attempts)
            else:
                if request.mode == "read":
                    self._metrics.count_read(by_replica=reply.by_replica)
                return reply

    async def _attempt(self, attempts: _Attempts) -> ExecuteReply:
        home = await self._find_home(attempts)
        request = attempts.current_request()
        attempts.count += 1
        try:
            with self._selector.measure_call(home.vm):
                return await self._calls.execute(home, request)
        except TanagerfrontError as error:
            attempts.record_failure(home, error)
            raise

    async def _find_home(self, attempts: _Attempts) -> HomeVm:
        """Wait until the group has a home; raises UnavailableError at the deadline."""
        while True:
            homes = self._directory.homes(attempts.request.group)
            if homes:
                return self._selector.select(homes, attempts.failed_vms)
            if trio.current_time() + NO_HOME_POLL_S >= attempts.deadline:
                raise UnavailableError(f"group {attempts.request.group} has no home at present")
            await trio.sleep(NO_HOME_POLL_S)

    def _may_retry(self, attempts: _Attempts, error: TanagerfrontError) -> bool:
        if not attempts.count or attempts.count >= MAX_ATTEMPTS:
            return False
        if trio.current_time() >= attempts.deadline or not _is_transient(error):
            return False
        if error.executed != "no" and not (attempts.repeat_is_safe and error.executed == "unknown"):
            return False
        # A draining home refuses at once and only until its seat has moved.
        return isinstance(error, DrainingError) or self._budget.try_acquire()

    async def _back_off(self, attempts: _Attempts) -> None:
        max_delay_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempts.count - 1))
        remaining_s = attempts.deadline - trio.current_time()
        await trio.sleep(max(0.0, min(max_delay_s * self._random(), remaining_s)))


def _is_transient(error: TanagerfrontError) -> bool:
    """Tell whether another home, or the same one later, may succeed."""
    if isinstance(error, SqlError):
        return False
    return isinstance(
        error, UnavailableError | ConnectionLostError | DatabaseError | OutcomeUnknownError
    )
