"""Fleet-wide rate limits of organisations for the HTTP interface: the requester's side.

Each organisation's token bucket is divided into parts, and each part is owned by one VM. Every VM
requests tokens from the owners in advance and spends one for each statement.
"""

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


# Limits the wait for a wakeup while requests wait for a token.
WAITERS_CHECK_INTERVAL_S = 0.01


class TokenCacheSettings(NamedTuple):
    """Settings of the requester's side; times in seconds."""

    max_parts: int = 3
    max_wait_s: float = 0.5
    call_timeout_s: float = 0.25
    # An owner whose call failed is not called again for this long.
    backoff_s: float = 0.5
    # With shorter delays, the token requests for one organisation that sends far more than its rate
    # used most of the processor time of every VM.
    min_retry_delay_s: float = 0.05
    max_retry_delay_s: float = 0.1
    # Number of tokens to hold in advance, expressed as seconds of recent demand.
    prefetch_s: float = 0.1
    demand_window_s: float = 0.5
    report_interval_s: float = 0.02
    idle_timeout_s: float = 5.0


class _Demand:
    """Measure the recent demand in tokens, with exponential decay."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._decayed_count = 0.0
        self._updated_at = trio.current_time()

    @property
    def per_second(self) -> float:
        """Return the recent demand in tokens per second."""
        age_s = trio.current_time() - self._updated_at
        return self._decayed_count * math.exp(-age_s / self._window_s) / self._window_s

    def record(self) -> None:
        """Count one requested token."""
        now = trio.current_time()
        self._decayed_count = (
            self._decayed_count * math.exp((self._updated_at - now) / self._window_s) + 1
        )
        self._updated_at = now


class _PartState:
    """Last known tokens of one bucket part and the requests to its owner."""

    def __init__(self) -> None:
        self.retry_at = 0.0
        self.available = 0.0
        self.capacity = 0.0
        self.requested = 0


class _Waiter:
    """A request that waits for a token."""

    def __init__(self) -> None:
        self.token: Token | None = None
        self.done = trio.Event()


class _OrganisationState:
    """Tokens, waiting requests and recent demand of one organisation."""

    def __init__(self, organisation: Organisation, settings: TokenCacheSettings) -> None:
        self.organisation = organisation
        self.local_tokens = LocalTokens()
        self.demand = _Demand(settings.demand_window_s)
        self.waiters: collections.deque[_Waiter] = collections.deque()
        self.parts: collections.defaultdict[int, _PartState] = collections.defaultdict(_PartState)
        self.wake = trio.Event()
        self.serving = False
        self.rotation = 0

    def serve_waiters(self) -> None:
        """Assign the unused tokens to the waiting requests, first come first served."""
        while self.waiters and (token := self.local_tokens.try_acquire()) is not None:
            waiter = self.waiters.popleft()
            waiter.token = token
            waiter.done.set()

    def earliest_retry(self) -> float:
        """Return the earliest time at which a part may be requested again.

        Returns -inf if no part is known yet.
        """
        return min((part.retry_at for part in self.parts.values()), default=-math.inf)

    def target_count(self, prefetch_s: float) -> int:
        """Return how many tokens to hold in advance, at most an eighth of the burst."""
        expected = self.demand.per_second * prefetch_s
        return min(round(expected), math.floor(self.organisation.burst / 8))

    def missing_count(self, prefetch_s: float) -> int:
        """Return how many tokens to request; not positive if none are missing."""
        requested = sum(part.requested for part in self.parts.values())
        total = len(self.waiters) + self.target_count(prefetch_s)
        return total - self.local_tokens.unused - requested


class TokenCache:
    """Acquire tokens from the owners of the bucket parts for the requests of this VM."""

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
        self._states: dict[str, _OrganisationState] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Request tokens and report their use until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def acquire(self, organisation: Organisation, deadline: float) -> Token:
        """Return a token, after a short wait if none is held; raises RateLimitedError.

        The wait ends at `deadline` (trio time in seconds) at the latest.
        """
        state = self._get_state(organisation)
        state.demand.record()
        if not state.waiters and (token := state.local_tokens.try_acquire()) is not None:
            state.wake.set()
            return token
        wait_s = min(self._settings.max_wait_s, deadline - trio.current_time())
        # With more waiters than the rate can serve in this time, a wait would end in a refusal.
        if len(state.waiters) >= organisation.rate * wait_s + organisation.burst:
            raise self._refusal(state)
        return await self._wait(state, wait_s)

    def is_valid(self, token: Token) -> bool:
        """Return whether a token may still be used; check right before sending the statement."""
        return self.lifetime_s(token) > 0

    def lifetime_s(self, token: Token) -> float:
        """Return the remaining lifetime in seconds, 0 when it has expired."""
        return max(0.0, token.expires_at - trio.current_time())

    def record_spent(self, token: Token) -> None:
        """End a token whose statement ran and cannot run any more.

        Don't call it for a statement that may still run: its token counts until it expires.
        """
        held_grant = token.end()
        if held_grant is not None:
            held_grant.in_use -= 1
            held_grant.spent += 1
            self._schedule_report(held_grant)

    def refund(self, token: Token) -> None:
        """End a token whose statement did not run and will not run, so that it can be reused."""
        held_grant = token.end()
        if held_grant is None:
            return
        held_grant.in_use -= 1
        held_grant.unused += 1
        state = self._states.get(token.organisation)
        if state is not None:
            state.serve_waiters()
            state.wake.set()

    def _schedule_report(self, held_grant: HeldGrant) -> None:
        held_grant.schedule_report()
        state = self._states.get(held_grant.grant.organisation)
        if state is not None:
            state.wake.set()

    def _get_state(self, organisation: Organisation) -> _OrganisationState:
        state = self._states.get(organisation.name)
        if state is None:
            state = _OrganisationState(organisation, self._settings)
            self._states[organisation.name] = state
        state.organisation = organisation
        if not state.serving and self._nursery is not None:
            state.serving = True
            self._nursery.start_soon(self._serve, state)
        return state

    async def _wait(self, state: _OrganisationState, wait_s: float) -> Token:
        waiter = _Waiter()
        state.waiters.append(waiter)
        state.wake.set()
        try:
            with trio.move_on_after(max(0.0, wait_s)):
                await waiter.done.wait()
        except trio.Cancelled:
            if waiter.token is not None:
                self.refund(waiter.token)
            raise
        finally:
            if waiter.token is None:
                state.waiters.remove(waiter)
        if waiter.token is None:
            raise self._refusal(state)
        return waiter.token

    def _refusal(self, state: _OrganisationState) -> RateLimitedError:
        organisation = state.organisation
        retry_after_s = (len(state.waiters) + 1) / organisation.rate if organisation.rate else 1.0
        return RateLimitedError(
            f"the rate limit of organisation {organisation.name} is exceeded",
            retry_after_s=retry_after_s,
        )

    async def _serve(self, state: _OrganisationState) -> None:
        """Request missing tokens and report their use until the organisation is idle."""
        nursery = self._nursery
        assert nursery is not None
        last_active_at = trio.current_time()
        while trio.current_time() - last_active_at < self._settings.idle_timeout_s:
            state.wake = trio.Event()
            state.serve_waiters()
            self._send_reports(state.local_tokens.collect_reports())
            for index, count in self._allocate_requests(state).items():
                state.parts[index].requested += count
                nursery.start_soon(self._fetch, state, index, count)
            await self._wait_for_work(state)
            if state.waiters or state.demand.per_second >= 1:
                last_active_at = trio.current_time()
        state.serving = False

    async def _wait_for_work(self, state: _OrganisationState) -> None:
        """Wait for a wakeup, and long enough to handle several of them together."""
        settings = self._settings
        with trio.move_on_after(settings.max_retry_delay_s) as scope:
            if state.waiters:
                scope.deadline = trio.current_time() + WAITERS_CHECK_INTERVAL_S
            await state.wake.wait()
        if not state.waiters:
            await trio.sleep(settings.report_interval_s)
        elif (earliest := state.earliest_retry()) > trio.current_time():
            # No part can be requested earlier, so new requests needn't end this wait. Tokens that
            # are granted meanwhile are assigned to the waiting requests on arrival.
            await trio.sleep_until(earliest)
        target_count = state.target_count(settings.prefetch_s)
        if not state.waiters and state.local_tokens.unused > 2 * target_count:
            state.local_tokens.return_unused(target_count)

    def _send_reports(self, reports: list[OwnerReport]) -> None:
        for report in reports:
            # If a report is lost, its tokens stay outstanding at the owner until the grant expires.
            with contextlib.suppress(TanagerfrontError):
                self._network.send(report.vm, report.message)

    def _allocate_requests(self, state: _OrganisationState) -> dict[int, int]:
        """Return how many tokens to request from each part, by index."""
        missing_count = state.missing_count(self._settings.prefetch_s)
        if missing_count <= 0:
            return {}
        now = trio.current_time()
        organisation = state.organisation
        count = part_count(organisation.rate, organisation.burst, self._settings.max_parts)
        holders = self._role_locks.holders(LIMIT_ROLE, organisation.name)
        available_indexes = [i for i in holders if i < count and state.parts[i].retry_at <= now]
        local_indexes = [i for i in available_indexes if holders[i] == self._network.vm_id]
        for index in local_indexes:
            part = state.parts[index]
            # A local part below half of its capacity isn't used alone: the other parts would fill
            # up, and a full part loses the tokens that its rate adds.
            if part.available >= max(missing_count, part.capacity / 2):
                return {index: missing_count}
        return self._split(state, available_indexes, missing_count)

    @staticmethod
    def _split(
        state: _OrganisationState, available_indexes: list[int], missing_count: int
    ) -> dict[int, int]:
        """Divide a number of tokens among the parts, the fullest first."""
        if not available_indexes:
            return {}
        state.rotation += 1
        offset = state.rotation % len(available_indexes)
        ordered = available_indexes[offset:] + available_indexes[:offset]
        ordered.sort(key=lambda index: -math.floor(state.parts[index].available))
        base, extra = divmod(missing_count, len(ordered))
        counts = {index: base + (1 if n < extra else 0) for n, index in enumerate(ordered)}
        return {index: count for index, count in counts.items() if count}

    async def _fetch(self, state: _OrganisationState, index: int, count: int) -> None:
        name = state.organisation.name
        part = state.parts[index]
        vm = self._role_locks.holder(LIMIT_ROLE, name, index) or ""
        sent_at = trio.current_time()
        try:
            request = TokenRequest(name, index, count)
            reply = await self._network.call(vm, request, self._settings.call_timeout_s)
        except TanagerfrontError:
            part.retry_at = trio.current_time() + self._settings.backoff_s
        else:
            if isinstance(reply, TokenGrant):
                self._accept(state, vm, sent_at, reply, part)
        finally:
            part.requested -= count
        state.wake.set()

    def _accept(
        self,
        state: _OrganisationState,
        vm: str,
        sent_at: float,
        grant: TokenGrant,
        part: _PartState,
    ) -> None:
        part.available, part.capacity = grant.available, grant.capacity
        if grant.count:
            state.local_tokens.add(HeldGrant(vm, grant, sent_at + grant.lifetime_s))
            state.serve_waiters()
        # An owner whose lease ends soon reports available tokens but grants none.
        if grant.available < 1 or not grant.count:
            wait_s = min(grant.retry_after_s, self._settings.max_retry_delay_s)
            part.retry_at = trio.current_time() + max(wait_s, self._settings.min_retry_delay_s)
