"""Orders to evacuate failure domains, and the pace of the moves of their primaries."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.evacuation import (
    MOVE_DURATION_S,
    Evacuation,
    Evacuations,
    OrderOutcome,
    concurrent_moves,
)

DOMAINS = frozenset({"suame", "adum", "ahinsan"})
BOUND_S = 5.0
NOW = 100.0


def order(
    evacuations: Evacuations, domain: str, revision: int, *, readable: bool = True
) -> OrderOutcome:
    return evacuations.order(
        domain, revision, readable=readable, known_domains=DOMAINS, ordered_at=NOW
    )


class OrderTest(TestCase):
    def test_a_domain_is_evacuated_until_its_order_is_removed(self) -> None:
        evacuations = Evacuations(BOUND_S)
        self.assertIs(OrderOutcome.EVACUATED, order(evacuations, "adum", 5))
        self.assertEqual({"adum": Evacuation(NOW, BOUND_S)}, evacuations.in_force)
        self.assertIs(OrderOutcome.RETURNED, evacuations.remove("adum", 6))
        self.assertEqual({}, evacuations.in_force)

    def test_an_order_given_twice_keeps_the_time_of_the_first(self) -> None:
        # Guards against transactions that get more of the bound with each repeated order.
        evacuations = Evacuations(BOUND_S)
        order(evacuations, "adum", 5)
        outcome = evacuations.order(
            "adum", 7, readable=True, known_domains=DOMAINS, ordered_at=NOW + 4
        )
        self.assertIs(OrderOutcome.REPEATED, outcome)
        self.assertEqual(NOW, evacuations.in_force["adum"].ordered_at)
        self.assertEqual({"adum": 7}, evacuations.revisions)

    def test_changes_that_arrive_late_do_not_undo_newer_ones(self) -> None:
        # Guards against a domain in use again, or out of use for good, because a peer delivered an
        # older change than the check of the store had found.
        evacuations = Evacuations(BOUND_S)
        order(evacuations, "adum", 9)
        self.assertIs(OrderOutcome.OUTDATED, evacuations.remove("adum", 7))
        self.assertIn("adum", evacuations.in_force)
        evacuations.remove("adum", 12)
        self.assertIs(OrderOutcome.OUTDATED, order(evacuations, "adum", 9))
        self.assertEqual({}, evacuations.in_force)

    def test_the_last_domain_with_instances_stays_in_service(self) -> None:
        # Guards against an order by mistake that leaves no instance for any statement.
        evacuations = Evacuations(BOUND_S)
        order(evacuations, "adum", 5)
        order(evacuations, "suame", 6)
        self.assertIs(OrderOutcome.NO_DOMAIN_LEFT, order(evacuations, "ahinsan", 7))
        self.assertEqual({"adum", "suame"}, set(evacuations.in_force))
        evacuations.remove("adum", 8)
        self.assertIs(OrderOutcome.EVACUATED, order(evacuations, "ahinsan", 9))

    def test_an_unreadable_order_changes_nothing_but_is_known(self) -> None:
        # Guards against a VM that finds the unreadable order in each check and confirms nothing.
        evacuations = Evacuations(BOUND_S)
        self.assertIs(OrderOutcome.UNREADABLE, order(evacuations, "adum", 5, readable=False))
        self.assertEqual(({}, {"adum": 5}), (evacuations.in_force, evacuations.revisions))

    def test_an_unknown_domain_is_recorded_for_instances_that_register_later(self) -> None:
        evacuations = Evacuations(BOUND_S)
        self.assertIs(OrderOutcome.EVACUATED, order(evacuations, "elsewhere", 5))

    @given(
        st.permutations([("order", 1), ("remove", 2), ("order", 3), ("remove", 4), ("order", 5)])
    )
    def test_vms_agree_whatever_the_order_of_delivery(self, changes: list[tuple[str, int]]) -> None:
        evacuations = Evacuations(BOUND_S)
        for kind, revision in changes:
            if kind == "order":
                order(evacuations, "adum", revision)
            else:
                evacuations.remove("adum", revision)
        self.assertEqual({"adum"}, set(evacuations.in_force))


class PaceTest(TestCase):
    def test_an_order_of_unknown_age_gives_transactions_no_time(self) -> None:
        # Guards against a VM that had no confirmation for long and counts the bound from when it
        # reads the order.
        evacuation = Evacuation(float("-inf"), BOUND_S)
        self.assertTrue(evacuation.transactions_ended(NOW) and evacuation.primary_ended(NOW))

    @given(st.integers(1, 40))
    def test_all_primaries_move_within_the_bound(self, groups: int) -> None:
        # Replays an evacuation of a domain that holds the primaries of many groups, each moved in
        # the time of a planned failover.
        ordered = Evacuation(NOW, BOUND_S)
        pending, now, most = groups, NOW, 0
        while pending:
            moves = min(pending, concurrent_moves([ordered] * pending, now))
            most = max(most, moves)
            pending -= moves
            now += MOVE_DURATION_S
        self.assertTrue(now <= NOW + 0.8 * BOUND_S)
        # At least a third of the groups keeps its primary while others move.
        self.assertTrue(most <= groups / 3 + 1)
