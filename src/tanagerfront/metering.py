"""Rate tokens around the execution of a request: one for each statement."""

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

# Tokens can expire while a request waits for a home; fresh ones are taken this often.
MAX_ROUNDS = 3
_Result = TypeVar("_Result")
_Token = TypeVar("_Token")


class RateLimiter(Protocol[_Token]):
    """Tokens of each organisation's rate and burst over the fleet."""

    async def acquire(self, organisation: Organisation, deadline: float) -> _Token:
        """Return the permission for one statement; raises RateLimitedError."""

    def lifetime_s(self, token: _Token) -> float:
        """Return the seconds until the token expires, 0 when it has."""

    def record_spent(self, token: _Token) -> None:
        """End a token whose statement ran; one that may still run counts until it expires."""

    def refund(self, token: _Token) -> None:
        """End a token whose statement did not run and will not."""


class MeteredCall(Protocol):
    """The part of a call that metering reads and records."""

    caller: Caller | None
    deadline: float
    executed: Executed


class _Tokens(Generic[_Token]):
    """The tokens of one request."""

    def __init__(self, limiter: RateLimiter[_Token]) -> None:
        self._limiter = limiter
        self._held: list[_Token] = []

    @property
    def lifetime_s(self) -> float:
        """Return the seconds until the first of them expires."""
        return min(map(self._limiter.lifetime_s, self._held))

    @property
    def expired(self) -> bool:
        """Tell whether the request held its tokens until one expired."""
        return bool(self._held) and self.lifetime_s <= 0

    async def acquire(self, organisation: Organisation, count: int, deadline: float) -> None:
        """Take `count` tokens or none; raises RateLimitedError."""
        complete = False
        try:
            for _ in range(count):
                self._held.append(await self._limiter.acquire(organisation, deadline))
            complete = True
        finally:
            if not complete:
                self.settle("no")
                self._held.clear()

    def settle(self, ran: Executed) -> None:
        """End the tokens, except those of statements that may still run."""
        match ran:
            case "yes":
                end = self._limiter.record_spent
            case "no":
                end = self._limiter.refund
            case "unknown":
                return
        for token in self._held:
            end(token)


async def run_metered(
    limiter: RateLimiter[_Token],
    call: MeteredCall,
    count: int,
    run: Callable[[float | None], Awaitable[_Result]],
) -> _Result:
    """Return what `run` returns, given the lifetime of the tokens it was called with.

    `call.executed` tells afterwards whether the request ran. Raises TanagerfrontError.
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
    ran: Executed | None = None
    try:
        return await _run(call, run, tokens.lifetime_s)
    except SqlError:
        # The statements used the database although they have no effect.
        ran = "yes"
        raise
    except TransactionError:
        # They have no effect either, but the last of them may still be running.
        ran = "unknown"
        raise
    finally:
        tokens.settle(ran or call.executed)


async def _run(
    call: MeteredCall, run: Callable[[float | None], Awaitable[_Result]], lifetime_s: float | None
) -> _Result:
    # Until the outcome is known, also when the task is cancelled, the request may have run.
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
