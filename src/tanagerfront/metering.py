"""Acquire rate tokens for requests of the HTTP interface and end them, one for each statement."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

import trio

from .authentication import Caller
from .configuration import Organisation
from .errors import (
    BadRequestError,
    Executed,
    RateLimitedError,
    SqlError,
    TanagerfrontError,
    TransactionError,
)

__all__ = ["MeteredCall", "RateLimiter", "run_metered"]

# Tokens can expire while a request waits for a home. It is then tried again with new ones, in at
# most this many rounds.
MAX_ROUNDS = 3
_Result = TypeVar("_Result")
_Token = TypeVar("_Token")


class RateLimiter(Protocol[_Token]):
    """Source of tokens within each organisation's fleet-wide rate and burst."""

    async def acquire(self, organisation: Organisation, deadline: float) -> _Token:
        """Return a token for one statement; raises RateLimitedError."""

    def lifetime_s(self, token: _Token) -> float:
        """Return the seconds until the token expires, 0 if it has expired."""

    def record_spent(self, token: _Token) -> None:
        """End a token whose statement ran; one that may still run is left to expire."""

    def refund(self, token: _Token) -> None:
        """End a token whose statement did not run and will not run."""


class MeteredCall(Protocol):
    """Attributes of a call that `run_metered` uses; it sets `executed`."""

    caller: Caller | None
    deadline: float
    executed: Executed


class _Tokens(Generic[_Token]):
    """The tokens of one request."""

    def __init__(self, limiter: RateLimiter[_Token]) -> None:
        self._limiter = limiter
        self._acquired: list[_Token] = []

    @property
    def lifetime_s(self) -> float:
        """Return the seconds until the first of the tokens expires."""
        return min(map(self._limiter.lifetime_s, self._acquired))

    @property
    def expired(self) -> bool:
        """Return whether the request holds tokens of which one has expired."""
        return bool(self._acquired) and self.lifetime_s <= 0

    async def acquire(self, organisation: Organisation, count: int, deadline: float) -> None:
        """Acquire `count` tokens or none; raises RateLimitedError."""
        complete = False
        try:
            for _ in range(count):
                self._acquired.append(await self._limiter.acquire(organisation, deadline))
            complete = True
        finally:
            if not complete:
                self.settle("no")
                self._acquired.clear()

    def settle(self, executed: Executed) -> None:
        """End the tokens; those of statements that may still run count until they expire."""
        match executed:
            case "yes":
                end = self._limiter.record_spent
            case "no":
                end = self._limiter.refund
            case "unknown":
                return
        for token in self._acquired:
            end(token)


async def run_metered(
    limiter: RateLimiter[_Token],
    call: MeteredCall,
    count: int,
    run: Callable[[float | None], Awaitable[_Result]],
) -> _Result:
    """Acquire `count` tokens, call `run` with their lifetime in seconds, and return its result.

    The lifetime is None for a call without a caller, which needs no tokens. Afterwards
    `call.executed` is set to whether the request ran. Raises TanagerfrontError.
    """
    if call.caller is None:
        return await _run(call, run, None)
    organisation = call.caller.organisation
    if count > organisation.burst:
        raise BadRequestError(
            f"{count} statements exceed the organisation's burst of {organisation.burst:g}"
        )
    for _ in range(MAX_ROUNDS - 1):
        tokens = _Tokens(limiter)
        try:
            return await _run_round(tokens, call, organisation, count, run)
        except RateLimitedError as error:
            if not tokens.expired or error.executed != "no" or _is_over(call):
                raise
    return await _run_round(_Tokens(limiter), call, organisation, count, run)


async def _run_round(
    tokens: _Tokens[_Token],
    call: MeteredCall,
    organisation: Organisation,
    count: int,
    run: Callable[[float | None], Awaitable[_Result]],
) -> _Result:
    await tokens.acquire(organisation, count, call.deadline)
    executed: Executed | None = None
    try:
        return await _run(call, run, tokens.lifetime_s)
    except SqlError:
        # The statements have no effect, but they ran on the database and count against the rate.
        executed = "yes"
        raise
    except TransactionError:
        # The statements have no effect, but the last of them may still be running.
        executed = "unknown"
        raise
    finally:
        tokens.settle(executed or call.executed)


async def _run(
    call: MeteredCall, run: Callable[[float | None], Awaitable[_Result]], lifetime_s: float | None
) -> _Result:
    # The request may have run until its outcome is known, also if the task is cancelled.
    call.executed = "unknown"
    try:
        result = await run(lifetime_s)
    except TanagerfrontError as error:
        call.executed = error.executed
        raise
    call.executed = "yes"
    return result


def _is_over(call: MeteredCall) -> bool:
    return trio.current_time() >= call.deadline
