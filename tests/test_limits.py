"""Tests of rate limits: one bucket part, and owners and requesters in a fleet with faults."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterable
from unittest import mock

import trio
import trio.testing
from hypothesis import example, given, settings
from hypothesis import strategies as st

from fleet import PROFILE, STEPS, Fleet, Vm, apply_step, fleet
from support import TestCase, trio_test
from tanagerfront._limits_owner import GRANT_LIFETIME_S, TRANSIT_MARGIN_S
from tanagerfront.configuration import Organisation
from tanagerfront.errors import KeyValueError, PeerUnreachableError, RateLimitedError
from tanagerfront.limits import BucketPart, TokenCache, TokenOwner
from tanagerfront.messages import TokenRequest
from tanagerfront.role_locks import RoleLocks

VIRTUAL_TIMEOUT_S = 10_000
# The burst takes ten seconds to refill, so that tokens admitted twice exceed the limit measurably.
ORGANISATION = Organisation("x", (), 12.0, 120.0, 1.0, frozenset())
MAX_PARTS = 2
SEND_INTERVAL_S = 2.7
TOLERANCE = 1e-6


def worst_excess(times: Iterable[float], rate: float, burst: float) -> float:
    """Return the largest excess over burst + rate * window in any window, at most 0 if none."""
    level, last, worst = burst, 0.0, -burst
    for time in sorted(times):
        level = min(burst, level + (time - last) * rate) - 1
        last = time
        worst = max(worst, -level)
    return worst


class LimitedVm:
    """Token owner and token cache of one VM, with a caller that sends more than the rate."""

    def __init__(self, running: Fleet, vm: Vm, admitted: list[float]) -> None:
        self.vm = vm
        self.faults = running.faults
        self.admitted = admitted
        self.refused = 0
        network = running.hub.networks[vm.id]
        self.owner = TokenOwner(
            network, vm.role_locks, vm.lease, lambda _name: ORGANISATION, max_parts=MAX_PARTS
        )
        self.cache = TokenCache(network, vm.role_locks)
        self.rng = random.Random(vm.id)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.owner.run)
            nursery.start_soon(self.cache.run)

    async def request(self, nursery: trio.Nursery) -> None:
        try:
            token = await self.cache.acquire(ORGANISATION, trio.current_time() + 5)
        except RateLimitedError:
            self.refused += 1
            return
        nursery.start_soon(self._use, token)

    async def _use(self, token: object) -> None:
        await self.faults.wait_while_paused(self.vm.id)
        lifetime_s = self.cache.lifetime_s(token)
        if not self.cache.is_valid(token) or self.rng.random() < 0.2:
            self.cache.refund(token)
            return
        # The statement reaches the home, then waits there until many are sent at once or until just
        # before its token expires.
        await trio.sleep(self.rng.choice([0.001, 0.9]))
        until_send_s = SEND_INTERVAL_S - trio.current_time() % SEND_INTERVAL_S
        await trio.sleep(min(until_send_s, 0.99 * lifetime_s))
        self.admitted.append(trio.current_time())
        await trio.sleep(0.005)
        if self.rng.random() < 0.9:
            self.cache.record_spent(token)

    async def flood(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self.request, nursery)
                await trio.sleep(self.rng.expovariate(2 * ORGANISATION.rate))


async def release_role_locks(running: Fleet, vm: str) -> None:
    """Release the role locks of a VM, so that a successor claims them within a second or two."""
    running.vms[vm].role_locks._draining = True
    with contextlib.suppress(KeyValueError):
        await running.vms[vm].lease.release()


async def limit_under_faults(steps: list[tuple[str, set[str], float]]) -> None:
    admitted: list[float] = []
    async with fleet("abcde") as running:
        limited_vms = [LimitedVm(running, vm, admitted) for vm in running.vms.values()]
        for limited_vm in limited_vms:
            running.nursery.start_soon(limited_vm.run)
        await trio.sleep(15)
        for limited_vm in limited_vms[:3]:
            running.nursery.start_soon(limited_vm.flood)
        running.faults.duplicated = {"a", "b"}
        await trio.sleep(1)
        for action, vms, seconds in steps:
            apply_step(running, action, vms)
            if action == "lose":
                running.nursery.start_soon(release_role_locks, running, min(vms))
            await trio.sleep(seconds)
        await trio.sleep(3)
    excess = worst_excess(admitted, ORGANISATION.rate, ORGANISATION.burst)
    assert excess <= TOLERANCE, f"{excess} above the limit"
    assert admitted


class BucketModel:
    """Spend the tokens that a part grants at any time before they expire.

    Reports about them can be missing, late or repeated.
    """

    def __init__(self, rate: float, capacity: float) -> None:
        self.rate, self.capacity = rate, capacity
        self.part = BucketPart(rate, capacity, 0.0)
        self.now = 0.0
        self.spent_at: list[float] = []
        self.grants: list[ModelGrant] = []

    def apply(self, action: str, number: int, seconds: float) -> None:
        self.now += seconds
        if action == "grant":
            grant = self.part.grant(number, self.now + 2.0, self.now)
            if grant.tokens:
                self.grants.append(ModelGrant(grant.id, grant.tokens, self.now + 2.0))
        elif action == "take over":
            # A successor starts after all grants of its predecessor have expired.
            self.now = max([self.now, *(grant.expires_at for grant in self.grants)])
            self.part = BucketPart(self.rate, self.capacity, self.now)
        elif self.grants:
            self._change(action, self.grants[-1 - number % min(4, len(self.grants))], number)

    def _change(self, action: str, grant: ModelGrant, number: int) -> None:
        match action:
            case "spend" if self.now < grant.expires_at:
                count = min(grant.unused, number)
                self.spent_at += [self.now] * count
                grant.unused -= count
                grant.spent += count
            case "return":
                count = min(grant.unused, number)
                grant.unused -= count
                grant.returned += count
                self._report(grant)
            case "report":
                self._report(grant)

    def _report(self, grant: ModelGrant) -> None:
        self.part.record_report(grant.id, grant.spent, grant.returned, self.now)


class ModelGrant:
    def __init__(self, number: int, tokens: int, expires_at: float) -> None:
        self.id = number
        self.unused = tokens
        self.expires_at = expires_at
        self.spent = 0
        self.returned = 0


class LimitsTest(TestCase):
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    ["grant", "grant", "spend", "spend", "return", "report", "take over"]
                ),
                st.integers(1, 12),
                st.sampled_from([0.0, 0.0, 0.0, 0.5, 1.9, 5.0]),
            ),
            min_size=10,
            max_size=40,
        )
    )
    # A repeated report of returned tokens while the other tokens of the grant are spent later.
    @example(
        [
            ("grant", 12, 0.0),
            ("return", 5, 0.0),
            ("report", 4, 0.0),
            ("grant", 12, 0.0),
            ("spend", 12, 0.0),
            ("spend", 11, 0.0),
        ]
    )
    @settings(max_examples=1500, deadline=None)
    def test_part_never_exceeds_rate_and_burst(self, steps: list[tuple[str, int, float]]) -> None:
        # Guards against tokens that become available twice: after expiry, after takeover or after
        # repeated reports.
        model = BucketModel(3.0, 10.0)
        for action, number, seconds in [("grant", 0, 5.0), *steps]:
            model.apply(action, number, seconds)
        self.assertLessEqual(worst_excess(model.spent_at, 3.0, 10.0), TOLERANCE)

    @given(STEPS)
    @settings(PROFILE, max_examples=10)
    def test_fleet_never_exceeds_rate_and_burst(
        self, steps: list[tuple[str, set[str], float]]
    ) -> None:
        # Guards against tokens admitted twice after pauses, message loss, duplicates and takeovers.
        trio.run(limit_under_faults, steps, clock=trio.testing.MockClock(autojump_threshold=0))

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_TIMEOUT_S)
    async def test_tokens_expire_before_the_owners_lease(self) -> None:
        # Guards against tokens that outlast the lease of their owner, since its successor does not
        # count them.
        async with fleet("abc") as running:
            limited_vms = {vm.id: LimitedVm(running, vm, []) for vm in running.vms.values()}
            await trio.sleep(20)
            [vm] = running.valid_holders()[("limit", "x", 0)]
            apply_step(running, "isolate", {vm})
            request = TokenRequest("x", 0, 1)
            with self.assertRaises(PeerUnreachableError):
                while True:
                    grant = await limited_vms[vm].owner._handle_token_request("other", request)
                    if grant.count:
                        ends_at = trio.current_time() + grant.lifetime_s + TRANSIT_MARGIN_S
                        self.assertLessEqual(ends_at, running.vms[vm].lease.valid_until)
                    await trio.sleep(0.1)

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_TIMEOUT_S)
    async def test_tokens_in_transit_count_until_a_home_cannot_use_them(self) -> None:
        # Guards against granting new tokens while a home may still use those in transit to it, and
        # against the use of an expired token.
        async with fleet("abc") as running:
            admitted: list[float] = []
            limited_vms = [LimitedVm(running, vm, admitted) for vm in running.vms.values()]
            for limited_vm in limited_vms:
                running.nursery.start_soon(limited_vm.run)
            await trio.sleep(30)
            cache = limited_vms[0].cache
            tokens = [
                await cache.acquire(ORGANISATION, trio.current_time() + 1) for _ in range(118)
            ]
            await trio.sleep(1.8)
            arrives_at = trio.current_time() + 0.9
            ends_at = arrives_at + min(cache.lifetime_s(token) for token in tokens)
            while trio.current_time() < ends_at:
                with contextlib.suppress(RateLimitedError):
                    await cache.acquire(ORGANISATION, ends_at)
                    admitted.append(ends_at)
                await trio.sleep(0.01)
            admitted += [ends_at] * len(tokens)
            excess = worst_excess(admitted, ORGANISATION.rate, ORGANISATION.burst)
            self.assertLessEqual(excess, TOLERANCE)
            self.assertFalse(cache.is_valid(tokens[0]))

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_TIMEOUT_S)
    async def test_lifetime_counts_from_the_request(self) -> None:
        # Guards against a token that the requester uses after its owner has stopped counting it.
        async with fleet("abc") as running:
            limited_vms = [LimitedVm(running, vm, []) for vm in running.vms.values()]
            for limited_vm in limited_vms:
                running.nursery.start_soon(limited_vm.run)
            await trio.sleep(15)
            with mock.patch("fakes.LATENCY_S", 0.1):
                token = await limited_vms[0].cache.acquire(ORGANISATION, trio.current_time() + 1)
                # The request and its reply took 0.1 s each.
                self.assertLessEqual(
                    limited_vms[0].cache.lifetime_s(token), GRANT_LIFETIME_S - 0.2 + TOLERANCE
                )

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_TIMEOUT_S)
    async def test_a_part_is_empty_after_a_new_claim(self) -> None:
        # Guards against using the tokens of a part that another VM owned in between.
        async with fleet("abc") as running:
            limited_vms = {vm.id: LimitedVm(running, vm, []) for vm in running.vms.values()}
            await trio.sleep(15)
            [vm] = running.valid_holders()[("limit", "x", 0)]
            await limited_vms[vm].owner._handle_token_request("other", TokenRequest("x", 0, 1))
            await trio.sleep(5)
            grant = await limited_vms[vm].owner._handle_token_request(
                "other", TokenRequest("x", 0, 1)
            )
            self.assertEqual(1, grant.count)
            with mock.patch.object(RoleLocks, "claim_revisions", return_value={0: 10**6}):
                grant = await limited_vms[vm].owner._handle_token_request(
                    "other", TokenRequest("x", 0, 1)
                )
            self.assertEqual(0, grant.count)

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_TIMEOUT_S)
    async def test_one_busy_vm_gets_the_whole_rate(self) -> None:
        # Guards against refusals of requests within the rate when one VM receives all of them.
        async with fleet("abc") as running:
            limited_vms = [LimitedVm(running, vm, []) for vm in running.vms.values()]
            for limited_vm in limited_vms:
                running.nursery.start_soon(limited_vm.run)
            # Parts start empty and take ten seconds of the rate to fill.
            await trio.sleep(30)
            limited_vm = limited_vms[0]
            for _ in range(3):
                await self._burst(limited_vm, 120)
                await self._steady(limited_vm, 60)
                await trio.sleep(12)
            self.assertEqual(0, limited_vm.refused)

    async def _burst(self, limited_vm: LimitedVm, count: int) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self._use_quickly, limited_vm)

    async def _steady(self, limited_vm: LimitedVm, count: int) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                await trio.sleep(1 / ORGANISATION.rate)
                nursery.start_soon(self._use_quickly, limited_vm)

    @staticmethod
    async def _use_quickly(limited_vm: LimitedVm) -> None:
        try:
            token = await limited_vm.cache.acquire(ORGANISATION, trio.current_time() + 5)
        except RateLimitedError:
            limited_vm.refused += 1
            return
        await trio.sleep(0.005)
        limited_vm.cache.record_spent(token)
