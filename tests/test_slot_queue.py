"""Order of the statements that wait for an instance's slots; no input or output."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.session_model import Begin, Execute, Urgency, Verbatim
from tanagerfront.slot_queue import (
    AGED_SHARE,
    Offer,
    Refusal,
    SlotQueue,
    SlotRequest,
    StatementKind,
    Ticket,
    kind_of,
    waiting_limit,
)

LIMIT = 4


def request(
    priority: int = 1,
    organisation: str = "a",
    *,
    now: float = 0.0,
    objective_s: float = 0.4,
    timeout_s: float = 1.0,
    in_transaction: bool = False,
    kind: StatementKind = StatementKind.READ,
) -> SlotRequest:
    urgency = Urgency(priority, now + objective_s, now + timeout_s, in_transaction)
    return SlotRequest(organisation, urgency, kind)


def trained_queue(service_s: float, *priorities: int, limit: int = LIMIT) -> SlotQueue:
    """Return a queue that expects the same service time of all statements."""
    queue = SlotQueue(limit)
    for _ in range(200):
        for priority in priorities or (0, 1, 2):
            for kind in StatementKind:
                queue.service_times.observe(request(priority, kind=kind), service_s)
    return queue


def drain(queue: SlotQueue, now: float = 0.0) -> list[SlotRequest]:
    served: list[SlotRequest] = []
    while queue:
        ticket, _ = queue.pop(now)
        if ticket is not None:
            served.append(ticket.request)
    return served


class OrderTest(TestCase):
    def _assert_order(self, expected: Sequence[SlotRequest]) -> None:
        queue = trained_queue(0.001)
        for waiting in reversed(expected):
            self.assertIsNotNone(queue.offer(waiting, 0.0).ticket)
        self.assertEqual(list(expected), drain(queue))

    def test_a_lower_priority_number_goes_first(self) -> None:
        # Guards against urgent writes that stand behind reads which may take a second.
        self._assert_order([request(0), request(1), request(2)])

    def test_within_a_priority_the_earlier_objective_goes_first(self) -> None:
        self._assert_order([request(objective_s=s) for s in (0.2, 0.3, 0.4)])

    def test_an_open_transaction_goes_before_new_work_and_its_commit_before_all(self) -> None:
        # Guards against transactions that keep connections and locks while new work runs.
        self._assert_order(
            [
                request(2, in_transaction=True, kind=StatementKind.COMMIT),
                request(0, in_transaction=True),
                request(2, in_transaction=True),
                request(0),
            ]
        )

    def test_a_write_goes_before_the_reads_of_its_priority(self) -> None:
        # Guards against writes that stand behind reads which come to the primary only because
        # the replicas lag.
        write = request(1, objective_s=0.4, kind=StatementKind.WRITE)
        self._assert_order([request(0), write, request(1, objective_s=0.2), request(2)])

    def test_what_would_be_late_goes_after_what_can_be_in_time(self) -> None:
        late = request(0, objective_s=0.0)
        self._assert_order([request(2), late])

    def test_the_kind_of_a_statement_is_read_from_its_text(self) -> None:
        kinds = [
            kind_of(statement)
            for statement in (
                Verbatim("READ 1a4"),
                Verbatim("WRITE 1a4 x"),
                Verbatim("COMMIT"),
                Begin(read_only=False),
                Begin(read_only=True),
                Execute("p1", "1a4"),
                Execute("p1", "1a4 x"),
            )
        ]
        read, write, commit = StatementKind
        self.assertEqual([read, write, commit, write, read, read, write], kinds)


class RefusalTest(TestCase):
    def test_a_statement_waits_as_long_as_its_own_objective_allows(self) -> None:
        # Guards against one longest wait for all: a read that may take a second was refused
        # after 0.12 s.
        queue = trained_queue(0.04)
        waiting = sum(
            queue.offer(request(2, str(n), objective_s=1.2, timeout_s=2.0), 0.0).ticket is not None
            for n in range(200)
        )
        served_in_time = (1.2 - 0.01 - 0.04) / (0.04 / LIMIT)
        self.assertGreaterEqual(waiting, 0.9 * served_in_time)
        self.assertLessEqual(waiting, 1.1 * served_in_time)

    def test_what_cannot_be_served_in_time_is_refused_on_arrival(self) -> None:
        # Guards against refusals at the end of a wait that could not help.
        queue = trained_queue(0.1)
        offers = [queue.offer(request(1, str(n), objective_s=0.2), 0.0) for n in range(30)]
        refused = [offer.refusal for offer in offers if offer.ticket is None]
        self.assertEqual({Refusal.QUEUE_TOO_LONG}, set(refused))
        self.assertTrue(all(offer.displaced == () for offer in offers))

    def test_a_more_urgent_arrival_displaces_the_least_urgent_waiter(self) -> None:
        queue = trained_queue(0.1)
        while queue.offer(request(2), 0.0).ticket is not None:
            pass
        offer = queue.offer(request(0), 0.0)
        self.assertIsNotNone(offer.ticket)
        self.assertEqual([2], [ticket.request.priority for ticket in offer.displaced])

    def test_a_transaction_is_never_displaced(self) -> None:
        queue = trained_queue(0.1)
        while queue.offer(request(2, in_transaction=True), 0.0).ticket is not None:
            pass
        length = len(queue)
        offer = queue.offer(request(0, in_transaction=True), 0.0)
        self.assertEqual(((), length + 1), (offer.displaced, len(queue)))

    def test_a_deadline_that_has_passed_is_refused_and_a_far_one_is_bounded(self) -> None:
        queue = trained_queue(0.01)
        past = queue.offer(request(objective_s=-1.0, timeout_s=-0.5), 0.0)
        self.assertEqual(Offer(None, Refusal.TOO_LATE), past)
        self.assertEqual(1.0, waiting_limit(request(objective_s=5.0).urgency, 0.0))
        self.assertEqual(0.4, waiting_limit(request(objective_s=0.0).urgency, 0.0))

    def test_a_missing_or_malformed_urgency_counts_as_ordinary(self) -> None:
        ordinary = SlotRequest.of("a", None, StatementKind.READ, 0.0)
        self.assertEqual(1, ordinary.priority)
        self.assertEqual([0, 99], [request(priority).priority for priority in (-7, 10**9)])
        queue = trained_queue(0.01)
        queue.offer(ordinary, 0.0)
        queue.offer(request(0), 0.0)
        self.assertEqual([0, 1], [served.priority for served in drain(queue)])


class ExpectedTimeTest(TestCase):
    def test_a_short_urgent_write_is_not_judged_by_long_reads(self) -> None:
        # Guards against one service time for all kinds: it refuses short statements that could
        # be served, and admits long ones that can't.
        queue = SlotQueue(LIMIT)
        write = request(0, kind=StatementKind.WRITE, objective_s=0.05)
        for _ in range(100):
            queue.service_times.observe(request(2), 0.1)
            queue.service_times.observe(write, 0.008)
        self.assertAlmostEqual(0.1, queue.service_times.expected_s(request(2)), delta=0.001)
        self.assertAlmostEqual(0.008, queue.service_times.expected_s(write), delta=0.001)
        self.assertIsNotNone(queue.offer(write, 0.0).ticket)


class FairnessTest(TestCase):
    @given(st.lists(st.integers(1, 40), min_size=2, max_size=6), st.randoms())
    def test_no_organisation_gets_less_than_its_share_while_it_asks(
        self, counts: list[int], rng: object
    ) -> None:
        # Guards against an organisation with much waiting that pushes out the others.
        queue = trained_queue(0.001)
        arrivals = [str(n) for n, count in enumerate(counts) for _ in range(count)]
        rng.shuffle(arrivals)  # type: ignore[attr-defined]
        for index, organisation in enumerate(arrivals):
            # Waits long enough that the order decides alone.
            queue.offer(request(1, organisation, objective_s=90 + index, timeout_s=900), 0.0)
        served = Counter[str]()
        asked = Counter(arrivals)
        for waiting in drain(queue):
            served[waiting.organisation] += 1
            behind = [
                served[organisation]
                for organisation in asked
                if served[organisation] < asked[organisation]
            ]
            # A statement of each slot, and the one in service.
            self.assertLessEqual(served[waiting.organisation], min(behind, default=999) + LIMIT + 2)
        self.assertEqual(asked, served)

    def test_one_statement_of_a_small_organisation_passes_the_backlog_of_a_large_one(self) -> None:
        queue = trained_queue(0.01)
        for _ in range(60):
            queue.offer(request(1, "large", objective_s=2.0, timeout_s=4.0), 0.0)
        self.assertIsNotNone(queue.offer(request(1, "small", now=0.1, objective_s=2.0), 0.1).ticket)
        served = [waiting.organisation for waiting in drain(queue, 0.1)]
        self.assertLessEqual(served.index("small"), LIMIT + 2)

    @given(st.sampled_from([0.008, 0.02, 0.06]), st.sampled_from([0.02, 0.06]))
    def test_a_steady_load_of_urgent_statements_starves_no_class(
        self, urgent_s: float, patient_s: float
    ) -> None:
        queue = SlotQueue(LIMIT)
        for _ in range(100):
            queue.service_times.observe(request(0), urgent_s)
            queue.service_times.observe(request(2), patient_s)
        now, patient_served = 0.0, 0.0
        while now < 8.0:
            for priority in (0, 0, 2):
                queue.offer(request(priority, now=now, objective_s=1.2, timeout_s=2.0), now)
            ticket, _ = queue.pop(now)
            assert ticket is not None
            now += ticket.service_s / LIMIT
            if ticket.request.priority == 2 and now > 2.0:
                patient_served += ticket.service_s / LIMIT
        self.assertGreaterEqual(patient_served, 0.8 * AGED_SHARE * 6.0)


class Arrival(NamedTuple):
    request: SlotRequest
    pause_s: float
    pops: int


arrivals = st.builds(
    Arrival,
    st.builds(
        request,
        priority=st.integers(-1, 4),
        organisation=st.sampled_from("abcd"),
        objective_s=st.floats(-0.1, 1.5),
        timeout_s=st.floats(-0.1, 2.5),
        in_transaction=st.booleans(),
        kind=st.sampled_from(StatementKind),
    ),
    st.floats(0.0, 0.05),
    st.integers(0, 2),
)


class PropertyTest(TestCase):
    @given(st.lists(arrivals, max_size=80))
    def test_each_statement_gets_exactly_one_outcome(self, sequence: list[Arrival]) -> None:
        # Guards against a statement that is refused and then runs, or waits for ever.
        queue = SlotQueue(LIMIT)
        queued: set[Ticket] = set()
        ended: list[Ticket] = []
        now = 0.0

        def end(tickets: Iterable[Ticket]) -> None:
            for ticket in tickets:
                self.assertIn(ticket, queued)
                queued.remove(ticket)
                ended.append(ticket)

        for arrival in sequence:
            now += arrival.pause_s
            urgency = arrival.request.urgency
            moved = urgency._replace(
                objective_at=urgency.objective_at + now, deadline=urgency.deadline + now
            )
            offer = queue.offer(arrival.request._replace(urgency=moved), now)
            self.assertEqual(offer.ticket is None, offer.refusal is not None)
            if offer.ticket is not None:
                queued.add(offer.ticket)
            end(offer.displaced)
            for _ in range(arrival.pops):
                ticket, expired = queue.pop(now)
                end(expired)
                if ticket is not None:
                    self.assertLessEqual(now, ticket.latest_start)
                    end([ticket])
            self.assertEqual(len(queued), len(queue))
            self.assertGreaterEqual(queue.expected_wait_s, 0.0)
        for ticket in list(queued):
            queue.remove(ticket)
        self.assertEqual(0, len(queue))
        self.assertEqual(len(ended), len(set(ended)))
