"""Choice among idle connections: few openings although organisations outnumber connections."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.idle_connections import REUSE_PREFERENCE_S, IdleConnections


class FakeIdle:
    """A connection without input and output."""

    def __init__(self, organisation: str, now: float = 0.0) -> None:
        self.organisation = organisation
        self.last_used_at = now
        self.reused = False


Replace = Callable[[IdleConnections[FakeIdle], float], FakeIdle | None]


def least_recently_used(idle: IdleConnections[FakeIdle], _now: float) -> FakeIdle | None:
    return idle.take_oldest()


def least_valuable(idle: IdleConnections[FakeIdle], now: float) -> FakeIdle | None:
    return idle.take_least_valuable(now)


class Load:
    """Statements of organisations with skewed rates at one instance, from one seed."""

    def __init__(self, organisations: int, rate_per_s: float, seconds: float, seed: int) -> None:
        self.names = [f"o{number}" for number in range(organisations)]
        self.rate_per_s = rate_per_s
        self.seconds = seconds
        self.random = random.Random(seed)
        self.weights = [1 / (number + 1) ** 1.2 for number in range(organisations)]
        self.service_s = 0.04

    def openings_per_statement(self, connections: int, replace: Replace) -> float:
        """Return the share of statements for which a connection is opened."""
        idle: IdleConnections[FakeIdle] = IdleConnections()
        busy: list[tuple[float, int, FakeIdle]] = []
        now, statements, opened = 0.0, 0, 0
        while now < self.seconds:
            now += self.random.expovariate(self.rate_per_s)
            while busy and busy[0][0] <= now:
                at, _, released = heapq.heappop(busy)
                released.last_used_at = at
                idle.add(released)
            [name] = self.random.choices(self.names, self.weights)
            connection = idle.take(name)
            if connection is None:
                if len(busy) + len(idle) >= connections and replace(idle, now) is None:
                    continue
                connection = FakeIdle(name)
                opened += 1
            statements += 1
            ends_at = now + self.random.expovariate(1 / self.service_s)
            heapq.heappush(busy, (ends_at, statements, connection))
        return opened / statements


class ReplayTest(TestCase):
    def test_fewer_connections_are_opened_than_without_regard_to_reuse(self) -> None:
        # Guards against slots that open connections instead of running statements, 12 ms each. The
        # loads are those of a home with 80 organisations and of one with scarce connections.
        for organisations, connections, rate_per_s in (
            (80, 35, 12.0),
            (84, 42, 40.0),
            (80, 17, 12.0),
        ):
            with self.subTest(organisations=organisations, connections=connections):
                shares = [
                    Load(organisations, rate_per_s, 300.0, seed=1).openings_per_statement(
                        connections, replace
                    )
                    for replace in (least_recently_used, least_valuable)
                ]
                self.assertLess(shares[1], 0.9 * shares[0])

    def test_a_change_of_the_active_organisations_is_followed(self) -> None:
        # Guards against connections that were once reused and are kept for good, while the
        # organisations that send statements now share what is left.
        idle: IdleConnections[FakeIdle] = IdleConnections()
        for number in range(10):
            former = FakeIdle(f"former-{number}")
            former.reused = True
            idle.add(former)
        replaced: list[str] = []
        for number in range(10):
            now = REUSE_PREFERENCE_S + 1.0 + number
            victim = idle.take_least_valuable(now)
            assert victim is not None
            replaced.append(victim.organisation)
            idle.add(FakeIdle(f"present-{number}", now))
        self.assertEqual([f"former-{number}" for number in range(10)], replaced)


class OrderTest(TestCase):
    def test_a_connection_that_was_never_reused_is_replaced_first(self) -> None:
        idle: IdleConnections[FakeIdle] = IdleConnections()
        idle.add(FakeIdle("frequent"))
        reused = idle.take("frequent")
        assert reused is not None
        idle.add(reused)
        idle.add(FakeIdle("rare", 1.0))
        for expected in ("rare", "frequent"):
            victim = idle.take_least_valuable(2.0)
            self.assertEqual(expected, victim and victim.organisation)
        self.assertIsNone(idle.take_least_valuable(2.0))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("add", "take", "newest", "oldest", "least")),
                st.sampled_from("abc"),
            ),
            max_size=60,
        )
    )
    def test_no_connection_is_lost_or_returned_twice(self, steps: list[tuple[str, str]]) -> None:
        # Guards against a pool that counts connections which nobody can use any more.
        idle: IdleConnections[FakeIdle] = IdleConnections()
        present: list[FakeIdle] = []
        for now, (step, name) in enumerate(steps):
            taken: FakeIdle | None = None
            match step:
                case "add":
                    present.append(FakeIdle(name, float(now)))
                    idle.add(present[-1])
                case "take":
                    taken = idle.take(name)
                    expected = [each for each in present if each.organisation == name]
                    self.assertEqual(expected[-1] if expected else None, taken)
                case "newest":
                    taken = idle.take_newest()
                    self.assertIs(present[-1] if present else None, taken)
                case "oldest":
                    taken = idle.take_oldest()
                    self.assertIs(present[0] if present else None, taken)
                case "least":
                    taken = idle.take_least_valuable(float(now))
            if taken is not None:
                present.remove(taken)
            self.assertEqual(tuple(present), idle.connections)
            for each in "abc":
                held = any(other.organisation == each for other in present)
                self.assertEqual(held, idle.has(each))
