"""Fleet-wide rate limits: rate shares, loans and restarts."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from unittest import mock

import trio
from hypothesis import given
from hypothesis import strategies as st

from support import TestCase, trio_test
from tanagerfront.fleet_roles import RateHolders, rate_holders
from tanagerfront.rate_shares import UNKNOWN_LENDER, RateShare, RateShares, TokenLoanRequest
from tanagerfront.session_model import Organisation

WINDOW_S = 5.0


class SurplusTest(TestCase):
    def test_a_share_announces_what_it_would_lend(self) -> None:
        # Guards against a lender in constant use that announces nothing, so that nobody asks it
        # although it would lend half of its share.
        share = RateShare(0.0)
        share.set_limits(0.0, 1000.0, 20.0)
        for step in range(400):
            share.try_acquire(0.00125 * step)
        now = 0.55
        announced = int(share.surplus(now))
        self.assertGreater(announced, 0)
        self.assertEqual(announced, share.lend(now, 100))


class DivisionTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_rates_are_divided_again_only_if_organisations_or_vms_change(self) -> None:
        # Guards against a ranking of 84 VMs for each of 84 organisations when a configuration only
        # adds routes: statements wait for it on a VM with half a core.
        shares = RateShares("a", _no_loan, lambda _vm, _organisation: 0)
        ranked: list[int] = []

        update = RateHolders.update

        def counted(
            holders: RateHolders, organisations: Collection[Organisation], vms: Sequence[str]
        ) -> dict[str, tuple[str, ...]]:
            ranked.append(len(vms))
            return update(holders, organisations, vms)

        with mock.patch.object(RateHolders, "update", counted):
            limits = Organisation("x", 50.0, 10.0)
            for rate_per_s, vms in (
                (50.0, ["a", "b", "c"]),
                (50.0, ["a", "b", "c"]),
                (60.0, ["a", "b", "c"]),
                (60.0, ["a", "b", "c", "d"]),
            ):
                shares.configure({"x": limits._replace(rate_per_s=rate_per_s)}, vms)
        self.assertEqual([3, 3, 4], ranked)


async def _no_loan(_request: TokenLoanRequest, _lender: str) -> int:
    return UNKNOWN_LENDER


class AnnouncementTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_surpluses_are_announced_of_held_shares_and_follow_their_use(self) -> None:
        # Guards against heartbeats that take time for each organisation of the deployment, and
        # against loan requests to a VM that has nothing left.
        limits = {f"o{number}": Organisation(f"o{number}", 40.0, 40.0) for number in range(40)}
        names = [f"vm-{number}" for number in range(40)]
        held = {name for name in limits if "vm-0" in rate_holders(limits[name], names)}
        self.assertTrue(0 < len(held) < 20)

        shares = RateShares("vm-0", _no_loan, lambda _vm, _organisation: 0)
        shares.configure(limits, names)
        await trio.sleep(2.0)
        before = dict(shares.surpluses())
        self.assertEqual(held, set(before))
        name = next(iter(sorted(held)))
        self.assertGreater(shares.lend(TokenLoanRequest(name, 100)), 0)
        await trio.sleep(0.1)
        self.assertLess(shares.surpluses().get(name, 0), before[name])
        shares.configure({}, names)
        self.assertEqual({}, shares.surpluses())


class Fleet:
    """VMs that share one organisation's rate and lend tokens to each other."""

    def __init__(self, names: list[str], limits: Organisation) -> None:
        self.limits = limits
        self.names = names
        self.unreachable: set[str] = set()
        self.shares = {name: self.start(name) for name in names}
        self.ran_at: list[float] = []

    def start(self, name: str) -> RateShares:
        async def borrow(request: TokenLoanRequest, lender: str) -> int:
            if name in self.unreachable or lender in self.unreachable:
                await trio.sleep(0.04)
                return UNKNOWN_LENDER
            await trio.sleep(0.003)
            return self.shares[lender].lend(request)

        shares = RateShares(name, borrow, lambda _vm, _organisation: 0)
        shares.configure({self.limits.name: self.limits}, self.names)
        return shares

    async def ask(self, name: str) -> bool:
        admitted = await self.shares[name].try_acquire(self.limits.name)
        if admitted:
            self.ran_at.append(trio.current_time())
        return admitted

    def most_in_a_window(self) -> int:
        times = self.ran_at
        return max(
            (sum(at <= other <= at + WINDOW_S for other in times) for at in times), default=0
        )

    @property
    def allowed(self) -> float:
        """Return the allowed requests in a window, with the tolerated overage and slack."""
        return (self.limits.rate_per_s * WINDOW_S + self.limits.burst) * 1.1 + 20


async def flood(fleet: Fleet, names: list[str], per_s: float, seconds: float) -> int:
    """Send requests at a rate, round-robin over the VMs; return how many were admitted."""
    admitted = 0
    for number in range(int(per_s * seconds)):
        admitted += await fleet.ask(names[number % len(names)])
        await trio.sleep(1 / per_s)
    return admitted


class RateTest(TestCase):
    names = [f"vm-{number}" for number in range(7)]

    @trio_test(mock_clock=True, timeout_s=1000.0)
    async def test_a_flood_through_one_vm_gets_the_whole_rate_and_no_more(self) -> None:
        # Guards against refusals below the limit when one VM serves many callers: a failure domain
        # with a single VM serves a quarter of them.
        fleet = Fleet(self.names, Organisation("a", 50.0, 50.0))
        await trio.sleep(10)
        admitted = await flood(fleet, self.names[:1], 200.0, 10.0)
        self.assertGreater(admitted, 0.9 * 500)
        self.assertLessEqual(fleet.most_in_a_window(), fleet.allowed)

    @trio_test(mock_clock=True, timeout_s=1000.0)
    async def test_a_small_rate_is_available_at_every_vm_of_a_large_fleet(self) -> None:
        # Guards against shares of less than one token, which can't be consumed or lent (81 VMs).
        names = [f"vm-{number}" for number in range(81)]
        fleet = Fleet(names, Organisation("a", 8.0, 8.0))
        await trio.sleep(10)
        admitted = await flood(fleet, names, 6.0, 30.0)
        self.assertGreaterEqual(admitted, 0.95 * 180)
        self.assertLessEqual(fleet.most_in_a_window(), fleet.allowed)

    @trio_test(mock_clock=True, timeout_s=1000.0)
    async def test_partitioned_vms_stay_within_the_rate(self) -> None:
        fleet = Fleet(self.names, Organisation("a", 20.0, 20.0))
        await trio.sleep(10)
        fleet.unreachable = set(self.names[:3])
        await flood(fleet, self.names, 300.0, 8.0)
        self.assertLessEqual(fleet.most_in_a_window(), fleet.allowed)

    @trio_test(mock_clock=True, timeout_s=1000.0)
    async def test_restarts_of_all_vms_stay_within_the_rate(self) -> None:
        # Guards against a full bucket after each restart and an empty one after a power loss.
        fleet = Fleet(self.names, Organisation("a", 20.0, 20.0))
        await trio.sleep(10)
        await flood(fleet, self.names, 100.0, 2.0)
        before = len(fleet.ran_at)
        fleet.shares = {name: fleet.start(name) for name in self.names}
        self.assertTrue(await fleet.ask(rate_holders(fleet.limits, self.names)[0]))
        await flood(fleet, self.names, 300.0, 4.0)
        self.assertGreater(len(fleet.ran_at), before)
        self.assertLessEqual(fleet.most_in_a_window(), fleet.allowed)

    @trio_test(mock_clock=True, timeout_s=1000.0)
    async def test_the_first_vm_of_a_starting_fleet_waits_for_the_others(self) -> None:
        # Guards against a VM that assumes the whole rate because no other VM is registered yet.
        shares = Fleet(["vm-0"], Organisation("a", 1000.0, 1000.0)).shares["vm-0"]
        self.assertFalse(shares.configured)
        self.assertFalse(await shares.try_acquire("a"))

    @trio_test(mock_clock=True, timeout_s=1000.0)
    async def test_a_lowered_limit_applies_at_once(self) -> None:
        fleet = Fleet(self.names, Organisation("a", 100.0, 100.0))
        await trio.sleep(10)
        lower = Organisation("a", 5.0, 5.0)
        for shares in fleet.shares.values():
            shares.configure({"a": lower}, self.names)
        fleet.limits = lower
        await flood(fleet, self.names, 100.0, 6.0)
        self.assertLessEqual(fleet.most_in_a_window(), fleet.allowed)

    @trio_test(mock_clock=True, timeout_s=1000.0)
    async def test_the_token_of_a_request_that_did_not_run_is_refunded(self) -> None:
        fleet = Fleet(self.names[:3], Organisation("a", 0.01, 3.0))
        await trio.sleep(900)
        name = rate_holders(fleet.limits, self.names[:3])[0]
        count = 0
        while await fleet.ask(name):
            count += 1
        fleet.shares[name].refund("a")
        self.assertTrue(await fleet.ask(name))


class HoldersTest(TestCase):
    @given(
        st.sets(st.sampled_from([f"vm-{number}" for number in range(20)]), min_size=2),
        st.floats(0, 500),
    )
    def test_the_removal_of_a_vm_adds_at_most_one_holder(
        self, names: set[str], rate: float
    ) -> None:
        limits = Organisation("a", rate, rate)
        before = rate_holders(limits, sorted(names))
        removed = sorted(names)[0]
        after = rate_holders(limits, sorted(names - {removed}))
        self.assertLessEqual(len(set(after) - set(before)), 1)
