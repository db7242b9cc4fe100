"""Rate and burst of each organisation over the whole fleet, by tokens from the owners of parts."""

from __future__ import annotations

import collections
import contextlib
import math
from typing import NamedTuple

import trio

from ._limits_bucket import BucketPart, Grant, part_capacity, part_count
from ._limits_owner import LIMIT_ROLE, TokenOwner
from ._limits_stock import HeldGrant, LocalTokens, OwnerReport, Token
from .configuration import Organisation
from .errors import RateLimitedError, TanagerfrontError
from .messages import TokenGrant, TokenRequest
from .peers import PeerNetwork
from .role_locks import RoleLocks

__all__ = [
    "LIMIT_ROLE",
    "BucketPart",
    "Grant",
    "Token",
    "TokenCache",
    "TokenCacheSettings",
    "TokenOwner",
    "part_capacity",
    "part_count",
]


WAITERS_CHECK_S = 0.01


class TokenCacheSettings(NamedTuple):
    """Times of the requester's side."""

    max_parts: int = 3
    max_wait_s: float = 0.5
    call_timeout_s: float = 0.25
    # An owner that did not answer is left out for this long.
    backoff_s: float = 0.5
    # With shorter pauses the requests for tokens of one flooding organisation used most of the
    # processor time of every VM.
    min_retry_delay_s: float = 0.05
    max_retry_delay_s: float = 0.1
    # Tokens kept in stock, as a time of the recent demand.
    prefetch_s: float = 0.1
    demand_window_s: float = 0.5
    report_interval_s: float = 0.02
    idle_timeout_s: float = 5.0


class _Demand:
    """The recent demand in tokens per second, with exponential decay."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._weight = 0.0
        self._at = trio.current_time()

    @property
    def per_second(self) -> float:
        age_s = trio.current_time() - self._at
        return self._weight * math.exp(-age_s / self._window_s) / self._window_s

    def note(self) -> None:
        now = trio.current_time()
        self._weight = self._weight * math.exp((self._at - now) / self._window_s) + 1
        self._at = now


class _Part:
    """What the requester knows about one bucket part."""

    def __init__(self) -> None:
        self.retry_at = 0.0
        self.available = 0.0
        self.capacity = 0.0
        self.asked = 0


class _Waiter:
    """A request that waits for a token."""

    def __init__(self) -> None:
        self.token: Token | None = None
        self.done = trio.Event()


class _Account:
    """The requester's state of one organisation."""

    def __init__(self, organisation: Organisation, settings: TokenCacheSettings) -> None:
        self.organisation = organisation
        self.local_tokens = LocalTokens()
        self.demand = _Demand(settings.demand_window_s)
        self.waiters: collections.deque[_Waiter] = collections.deque()
        self.parts: collections.defaultdict[int, _Part] = collections.defaultdict(_Part)
        self.wake = trio.Event()
        self.running = False
        self.rotation = 0

    def serve_waiters(self) -> None:
        while self.waiters and (token := self.local_tokens.try_acquire()) is not None:
            waiter = self.waiters.popleft()
            waiter.token = token
            waiter.done.set()

    def earliest_retry(self) -> float:
        """Return the time at which a part may be asked again, -inf if one may be asked now."""
        return min((part.retry_at for part in self.parts.values()), default=-math.inf)

    def target(self, prefetch_s: float) -> int:
        """Return how many tokens to keep in stock; never more than an eighth of the burst."""
        wanted = self.demand.per_second * prefetch_s
        return min(round(wanted), math.floor(self.organisation.burst / 8))

    def needed(self, prefetch_s: float) -> int:
        asked = sum(part.asked for part in self.parts.values())
        wanted = len(self.waiters) + self.target(prefetch_s)
        return wanted - self.local_tokens.unused - asked


class TokenCache:
    """Get tokens from the owners for the requests of this VM."""

    def __init__(
        self,
        network: PeerNetwork,
        role_locks: RoleLocks,
        *,
        settings: TokenCacheSettings | None = None,
    ) -> None:
        self._network = network
        self._role_locks = role_locks
        self._settings = settings or TokenCacheSettings()
        self._accounts: dict[str, _Account] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Fetch and report tokens until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def acquire(self, organisation: Organisation, deadline: float) -> Token:
        """Return a token, waiting briefly; raises RateLimitedError."""
        account = self._account(organisation)
        account.demand.note()
        if not account.waiters and (token := account.local_tokens.try_acquire()) is not None:
            account.wake.set()
            return token
        wait_s = min(self._settings.max_wait_s, deadline - trio.current_time())
        # More waiters than the rate can serve in the time would only wait for their refusal.
        if len(account.waiters) >= organisation.rate * wait_s + organisation.burst:
            raise self._refusal(account)
        return await self._wait(account, wait_s)

    def is_valid(self, token: Token) -> bool:
        """Tell whether a token may still be used; to be asked right before the sending."""
        return self.lifetime_s(token) > 0

    def lifetime_s(self, token: Token) -> float:
        """Return the remaining lifetime in seconds, 0 when it has expired."""
        return max(0.0, token.expires_at - trio.current_time())

    def record_spent(self, token: Token) -> None:
        """End a token whose statement ran; only to be called when it cannot run any more.

        A token whose statement may still run is not ended: it counts until it expires.
        """
        held = token.end()
        if held is not None:
            held.in_use -= 1
            held.spent += 1
            self._mark(held)

    def refund(self, token: Token) -> None:
        """End a token whose statement did not run and will not run."""
        held = token.end()
        if held is None:
            return
        held.in_use -= 1
        held.unused += 1
        account = self._accounts.get(token.organisation)
        if account is not None:
            account.serve_waiters()
            account.wake.set()

    def _mark(self, held: HeldGrant) -> None:
        held.schedule_report()
        account = self._accounts.get(held.grant.organisation)
        if account is not None:
            account.wake.set()

    def _account(self, organisation: Organisation) -> _Account:
        account = self._accounts.get(organisation.name)
        if account is None:
            account = _Account(organisation, self._settings)
            self._accounts[organisation.name] = account
        account.organisation = organisation
        if not account.running and self._nursery is not None:
            account.running = True
            self._nursery.start_soon(self._serve, account)
        return account

    async def _wait(self, account: _Account, wait_s: float) -> Token:
        waiter = _Waiter()
        account.waiters.append(waiter)
        account.wake.set()
        try:
            with trio.move_on_after(max(0.0, wait_s)):
                await waiter.done.wait()
        except trio.Cancelled:
            if waiter.token is not None:
                self.refund(waiter.token)
            raise
        finally:
            if waiter.token is None:
                account.waiters.remove(waiter)
        if waiter.token is None:
            raise self._refusal(account)
        return waiter.token

    def _refusal(self, account: _Account) -> RateLimitedError:
        organisation = account.organisation
        retry_after_s = (len(account.waiters) + 1) / organisation.rate if organisation.rate else 1.0
        return RateLimitedError(
            f"the rate of {organisation.name} is used up", retry_after_s=retry_after_s
        )

    async def _serve(self, account: _Account) -> None:
        """Fetch what is needed and report what was spent, until the organisation is idle."""
        nursery = self._nursery
        assert nursery is not None
        used_at = trio.current_time()
        while trio.current_time() - used_at < self._settings.idle_timeout_s:
            account.wake = trio.Event()
            account.serve_waiters()
            self._send_reports(account.local_tokens.collect_reports())
            for index, count in self._allot(account).items():
                account.parts[index].asked += count
                nursery.start_soon(self._fetch, account, index, count)
            await self._wait_for_work(account)
            if account.waiters or account.demand.per_second >= 1:
                used_at = trio.current_time()
        account.running = False

    async def _wait_for_work(self, account: _Account) -> None:
        """Wait for a change, and long enough that several are handled together."""
        settings = self._settings
        with trio.move_on_after(settings.max_retry_delay_s) as scope:
            if account.waiters:
                scope.deadline = trio.current_time() + WAITERS_CHECK_S
            await account.wake.wait()
        if not account.waiters:
            await trio.sleep(settings.report_interval_s)
        elif (earliest := account.earliest_retry()) > trio.current_time():
            # Arrivals can do nothing before a part has tokens again; grants serve them directly.
            await trio.sleep_until(earliest)
        target = account.target(settings.prefetch_s)
        if not account.waiters and account.local_tokens.unused > 2 * target:
            account.local_tokens.return_unused(target)

    def _send_reports(self, reports: list[OwnerReport]) -> None:
        for report in reports:
            # A report that is lost is made good by the expiry of the grant.
            with contextlib.suppress(TanagerfrontError):
                self._network.send(report.vm, report.message)

    def _allot(self, account: _Account) -> dict[int, int]:
        """Return how many tokens to ask of which part."""
        needed = account.needed(self._settings.prefetch_s)
        if needed <= 0:
            return {}
        now = trio.current_time()
        organisation = account.organisation
        count = part_count(organisation.rate, organisation.burst, self._settings.max_parts)
        holders = self._role_locks.holders(LIMIT_ROLE, organisation.name)
        indexes = [i for i in holders if i < count and account.parts[i].retry_at <= now]
        local = [i for i in indexes if holders[i] == self._network.vm_id]
        for index in local:
            part = account.parts[index]
            # A local part that is half empty is spared, so that the others do not overflow.
            if part.available >= max(needed, part.capacity / 2):
                return {index: needed}
        return self._split(account, indexes, needed)

    @staticmethod
    def _split(account: _Account, indexes: list[int], needed: int) -> dict[int, int]:
        """Split a number over the parts, the fullest first."""
        if not indexes:
            return {}
        account.rotation += 1
        turned = account.rotation % len(indexes)
        order = indexes[turned:] + indexes[:turned]
        order.sort(key=lambda index: -math.floor(account.parts[index].available))
        base, extra = divmod(needed, len(order))
        shares = {index: base + (1 if n < extra else 0) for n, index in enumerate(order)}
        return {index: share for index, share in shares.items() if share}

    async def _fetch(self, account: _Account, index: int, count: int) -> None:
        name = account.organisation.name
        part = account.parts[index]
        vm = self._role_locks.holder(LIMIT_ROLE, name, index) or ""
        sent_at = trio.current_time()
        try:
            request = TokenRequest(name, index, count)
            reply = await self._network.call(vm, request, self._settings.call_timeout_s)
        except TanagerfrontError:
            part.retry_at = trio.current_time() + self._settings.backoff_s
        else:
            if isinstance(reply, TokenGrant):
                self._accept(account, vm, sent_at, reply, part)
        finally:
            part.asked -= count
        account.wake.set()

    def _accept(
        self, account: _Account, vm: str, sent_at: float, grant: TokenGrant, part: _Part
    ) -> None:
        part.available, part.capacity = grant.available, grant.capacity
        if grant.count:
            account.local_tokens.add(HeldGrant(vm, grant, sent_at + grant.lifetime_s))
            account.serve_waiters()
        # An owner near the end of its validity has tokens that it does not grant.
        if grant.available < 1 or not grant.count:
            wait_s = min(grant.retry_after_s, self._settings.max_retry_delay_s)
            part.retry_at = trio.current_time() + max(wait_s, self._settings.min_retry_delay_s)
