"""Request forwarding of the HTTP interface to the homes of a group.

A write that may have run is retried only if it is repeatable or has an idempotency key.
"""

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
# No home is known while a home role lock moves. Polling reads local state and sends no message.
NO_HOME_POLL_S = 0.05
# Retries per request, limited so that a fault does not multiply the load.
RETRY_RATIO = 0.2
MAX_SAVED_RETRIES = 20.0


class ForwardingMetrics(Protocol):
    """Counters that forwarding updates."""

    def count_read(self, *, by_replica: bool) -> None:
        """Count one completed read."""

    def count_retry(self, cause: str) -> None:
        """Count one retry by the problem type of the error that caused it."""


class RetryBudget:
    """Limit retries to a share of the requests, plus a reserve for times of little traffic."""

    def __init__(
        self, retry_ratio: float = RETRY_RATIO, max_saved_retries: float = MAX_SAVED_RETRIES
    ) -> None:
        self._retry_ratio = retry_ratio
        self._max_saved_retries = max_saved_retries
        self._saved_retries = max_saved_retries

    def record_request(self) -> None:
        """Add the share of one request to the budget."""
        self._saved_retries = min(self._max_saved_retries, self._saved_retries + self._retry_ratio)

    def try_acquire(self) -> bool:
        """Use one retry of the budget; returns False if none is left."""
        if self._saved_retries < 1:
            return False
        self._saved_retries -= 1
        return True


class _Attempts:
    """Attempts, deadline and failures of one request."""

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
        """Return the request with its remaining timeout and token lifetime.

        Raises DeadlineExceededError or RateLimitedError if either has run out.
        """
        now = trio.current_time()
        elapsed_s, remaining_s = now - self.started_at, self.deadline - now
        if remaining_s <= 0:
            raise DeadlineExceededError("the deadline passed before the request could be forwarded")
        lifetime_s = self.request.token_lifetime_s
        if lifetime_s is None:
            return msgspec.structs.replace(self.request, timeout_s=remaining_s)
        if lifetime_s <= elapsed_s:
            raise RateLimitedError("the rate token expired before the request could be forwarded")
        return msgspec.structs.replace(
            self.request, timeout_s=remaining_s, token_lifetime_s=lifetime_s - elapsed_s
        )

    def record_failure(self, home: HomeVm, error: TanagerfrontError) -> None:
        self.failed_vms.add(home.vm)
        self.may_have_run = self.may_have_run or error.executed == "unknown"

    def final_error(self, error: TanagerfrontError) -> TanagerfrontError:
        """Return the error to report.

        It is OutcomeUnknownError if the last attempt did not run a write but an earlier one may
        have.
        """
        if self.may_have_run and error.executed == "no" and self.request.mode != "read":
            message = f"an earlier attempt may have run; the last one failed: {error.message}"
            return OutcomeUnknownError(message)
        return error


class Forwarder:
    """Forward requests to homes; `random_source` returns numbers from 0 to 1."""

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
        """Return the reply of a home.

        Raises TanagerfrontError whose `executed` covers all attempts.
        """
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
        """Wait for a home of the group and select one; raises UnavailableError at the deadline."""
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
        # Not charged to the budget: a draining home refuses at once, and only until its role lock
        # has moved.
        return isinstance(error, DrainingError) or self._budget.try_acquire()

    async def _back_off(self, attempts: _Attempts) -> None:
        max_delay_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempts.count - 1))
        remaining_s = attempts.deadline - trio.current_time()
        await trio.sleep(max(0.0, min(max_delay_s * self._random(), remaining_s)))


def _is_transient(error: TanagerfrontError) -> bool:
    """Return whether a retry at another home, or later at the same one, may succeed."""
    if isinstance(error, SqlError):
        return False
    return isinstance(
        error, UnavailableError | ConnectionLostError | DatabaseError | OutcomeUnknownError
    )
