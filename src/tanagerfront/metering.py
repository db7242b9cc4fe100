"""Rate tokens around the execution of a request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import trio

from .authentication import Caller
from .errors import (
    BadRequestError,
    Executed,
    RateLimitedError,
    SqlError,
    TanagerfrontError,
    TransactionError,
)

__all__ = ["MeteredCall", "RateLimiter", "RateToken", "run_metered"]

# A token can expire while a request waits for a home; a fresh one is taken this often.
MAX_TOKENS_PER_REQUEST = 3
_Result = TypeVar("_Result")


class RateToken(Protocol):
    """Tokens for one request, which expire together."""

    @property
    def remaining_s(self) -> float:
        """Return the seconds until the tokens expire."""

    def spend(self) -> None:
        """Note that the request ran and does not run any more."""

    def give_back(self) -> None:
        """Note that the request did not run and will not run."""


class RateLimiter(Protocol):
    """Tokens of each organisation's rate and burst over the fleet."""

    async def acquire(self, organisation: str, count: float, deadline: float) -> RateToken:
        """Return tokens; raises RateLimitedError, or UnavailableError when no owner answers."""


class MeteredCall(Protocol):
    """The part of a call that metering reads and records."""

    caller: Caller | None
    deadline: float
    executed: Executed


async def run_metered(
    limiter: RateLimiter,
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
    for attempt in range(1, MAX_TOKENS_PER_REQUEST + 1):
        token = await limiter.acquire(organisation.name, count, call.deadline)
        used_database = False
        try:
            return await _run(call, run, token.remaining_s)
        except (SqlError, TransactionError):
            # The statements used the database although they have no effect.
            used_database = True
            raise
        except RateLimitedError as error:
            expired = token.remaining_s <= 0 and error.executed == "no"
            if not expired or attempt == MAX_TOKENS_PER_REQUEST or _is_over(call):
                raise
        finally:
            if call.executed == "no" and not used_database:
                token.give_back()
            elif call.executed != "unknown":
                token.spend()
            # The statements of an unknown outcome may still run, so their tokens count until
            # they expire.
    raise AssertionError("unreachable: the last attempt returns or raises")


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
