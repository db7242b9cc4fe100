"""Rate tokens of requests: one for each statement, from the owners of the organisation's rate."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import trio

from .configuration import Configuration, Organisation
from .errors import KeyRequiredError
from .limits import LimitSettings, Token, TokenCache, TokenOwner
from .metering import RateToken
from .peers import PeerNetwork
from .seats import SeatRegistry, VmLease

__all__ = ["LIMIT_OWNERS", "FleetLimiter", "RequestTokens"]

LIMIT_OWNERS = LimitSettings().limit_owners


class RequestTokens:
    """The tokens of one request; the earliest to expire decides."""

    def __init__(self, tokens: Sequence[Token], cache: TokenCache) -> None:
        self._tokens = tokens
        self._cache = cache

    @property
    def remaining_s(self) -> float:
        """Return the seconds until the tokens expire."""
        return min(self._cache.lifetime_s(token) for token in self._tokens)

    def spend(self) -> None:
        """End the tokens of a request that ran."""
        for token in self._tokens:
            self._cache.spent(token)

    def give_back(self) -> None:
        """End the tokens of a request that did not run and will not run."""
        for token in self._tokens:
            self._cache.give_back(token)


class FleetLimiter:
    """Both sides of the rate limits at one VM."""

    def __init__(
        self,
        network: PeerNetwork,
        seats: SeatRegistry,
        lease: VmLease,
        configuration: Callable[[], Configuration],
    ) -> None:
        self._configuration = configuration
        self._cache = TokenCache(network, seats)
        self._owner = TokenOwner(network, seats, lease, self._organisation)

    async def acquire(self, organisation: str, count: float, deadline: float) -> RateToken:
        """Return a token for each of `count` statements; raises RateLimitedError."""
        found = self._organisation(organisation)
        if found is None:
            raise KeyRequiredError("the organisation was removed")
        tokens: list[Token] = []
        try:
            while len(tokens) < count:
                tokens.append(await self._cache.acquire(found, deadline))
        except BaseException:
            RequestTokens(tokens, self._cache).give_back()
            raise
        return RequestTokens(tokens, self._cache)

    async def run(self) -> None:
        """Grant, fetch and report tokens until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cache.run)
            nursery.start_soon(self._owner.run)

    def _organisation(self, name: str) -> Organisation | None:
        return self._configuration().organisations.get(name)
