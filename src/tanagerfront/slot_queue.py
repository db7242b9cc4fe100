"""Order of the statements that wait for an instance's slots, and refusal of those that can't wait.

The load pattern: the replicas of a group lag, so that the primary gets all its reads. Reads that
may take a second arrive in bursts, one organisation sends a multiple of its usual load, and short
urgent writes stand among them. No input or output.
"""

from __future__ import annotations

import bisect
import enum
import math
from collections.abc import Iterator
from typing import NamedTuple

from .session_model import Begin, Execute, Urgency, Verbatim

__all__ = [
    "DEFAULT_OBJECTIVE_S",
    "DEFAULT_PRIORITY",
    "INITIAL_SERVICE_TIME_S",
    "Offer",
    "Refusal",
    "SERVICE_TIME_SMOOTHING",
    "ServiceTimes",
    "SlotQueue",
    "SlotRequest",
    "StatementKind",
    "Ticket",
    "kind_of",
    "waiting_limit",
]

# Statements whose VM states no urgency, such as one with an older build, rank among ordinary ones.
DEFAULT_PRIORITY = 1
DEFAULT_OBJECTIVE_S = 0.12
# Larger priority numbers, which only a malformed message holds, rank like this one.
MAX_PRIORITY = 99
# A new statement is refused once this part of its remaining time has passed: the rest is for the
# caller's next try.
WAIT_FRACTION = 0.4
# Time that a reply takes from the instance's home to the caller.
REPLY_DELIVERY_S = 0.01
# Part of the slots' time that a class gets whose statements have waited for half of their
# objective, so that a steady load of more urgent statements doesn't starve it.
AGED_SHARE = 0.1
# Long against single statements, and short against bursts of a few seconds.
RATE_WINDOW_S = 1.0
INITIAL_SERVICE_TIME_S = 0.015
SERVICE_TIME_SMOOTHING = 0.1


class StatementKind(enum.Enum):
    """Kind of a statement, by which its expected service time differs."""

    READ = "read"
    WRITE = "write"
    COMMIT = "commit"


def kind_of(statement: object) -> StatementKind:
    """Return the kind of a statement's body; one that does not show it counts as a read."""
    match statement:
        case Verbatim("COMMIT"):
            return StatementKind.COMMIT
        case Verbatim(text) if text.startswith("WRITE "):
            return StatementKind.WRITE
        case Begin(read_only=False):
            return StatementKind.WRITE
        case Execute(_, arguments) if " " in arguments:
            # An execution of a write has a value after the item.
            return StatementKind.WRITE
    return StatementKind.READ


class Refusal(enum.Enum):
    """Why a statement was refused before it was sent."""

    QUEUE_TOO_LONG = "the queue for the instance's slots is too long"
    DISPLACED = "a more urgent statement took its place in the queue for the instance's slots"
    WAITED_TOO_LONG = "no slot of the instance became free in time"
    TOO_LATE = "its deadline passed before it reached the queue for the instance's slots"


class SlotRequest(NamedTuple):
    """A statement that needs a slot of an instance."""

    organisation: str
    urgency: Urgency
    kind: StatementKind = StatementKind.READ

    @property
    def priority(self) -> int:
        """Return the priority of the route, within the accepted range."""
        return max(0, min(MAX_PRIORITY, self.urgency.priority))

    @classmethod
    def of(
        cls, organisation: str, urgency: Urgency | None, kind: StatementKind, now: float
    ) -> SlotRequest:
        """Return a request, with an ordinary urgency if none is stated."""
        if urgency is None:
            objective_at = now + DEFAULT_OBJECTIVE_S
            urgency = Urgency(
                DEFAULT_PRIORITY, objective_at, now + DEFAULT_OBJECTIVE_S / WAIT_FRACTION
            )
        return cls(organisation, urgency, kind)


def waiting_limit(urgency: Urgency, now: float) -> float:
    """Return the time until which a statement that arrives now may wait and run.

    An answer after the latency objective still helps its caller, but a new statement is refused
    while the caller can still try again. A transaction that is refused is lost as a whole.
    """
    if urgency.in_transaction:
        return urgency.deadline
    with_retry = now + WAIT_FRACTION * (urgency.deadline - now)
    return min(urgency.deadline, max(urgency.objective_at, with_retry))


class ServiceTimes:
    """Expected service times by priority and kind, from what was observed."""

    def __init__(self) -> None:
        self._by_key: dict[tuple[int, StatementKind], float] = {}
        self._mean_s = INITIAL_SERVICE_TIME_S

    @property
    def mean_s(self) -> float:
        """Return the expected service time of a statement of unknown kind."""
        return self._mean_s

    def expected_s(self, request: SlotRequest) -> float:
        """Return the expected service time of a statement in seconds."""
        return self._by_key.get((request.priority, request.kind), self._mean_s)

    def observe(self, request: SlotRequest, seconds: float) -> None:
        """Record the service time of a statement that has ended."""
        key = request.priority, request.kind
        expected_s = self._by_key.get(key, self._mean_s)
        self._by_key[key] = expected_s + SERVICE_TIME_SMOOTHING * (seconds - expected_s)
        self._mean_s += SERVICE_TIME_SMOOTHING * (seconds - self._mean_s)


class _Stage(enum.IntEnum):
    """Main part of the order: work in progress goes first, late work last."""

    COMMIT = 0
    TRANSACTION = 1
    IN_TIME = 2
    LATE = 3


class _ClassKey(NamedTuple):
    stage: _Stage
    priority: int
    # While replicas lag, their reads come to the primary and yield to what only it can do.
    is_read: bool

    @classmethod
    def of(cls, request: SlotRequest, stage: _Stage) -> _ClassKey:
        """Return the class of a statement at a stage."""
        return cls(stage, request.priority, request.kind is StatementKind.READ)


class Ticket:
    """A place in the queue; times are in the caller's clock."""

    __slots__ = ("class_key", "enqueued_at", "limit_at", "number", "request", "service_s")

    def __init__(
        self, request: SlotRequest, service_s: float, now: float, limit_at: float, number: int
    ) -> None:
        self.request = request
        self.service_s = service_s
        self.enqueued_at = now
        self.limit_at = limit_at
        self.number = number
        self.class_key = _ClassKey.of(request, _stage(request))

    @property
    def latest_start(self) -> float:
        """Return the time after which the statement can't end within its limit."""
        return self.limit_at - self.service_s

    @property
    def objective_at(self) -> float:
        """Return the end of the latency objective."""
        return self.request.urgency.objective_at

    @property
    def order(self) -> tuple[float, int]:
        """Return the order within a class and an organisation, the earliest objective first."""
        return self.objective_at, self.number

    @property
    def aged_at(self) -> float:
        """Return when half of the time until the end of the latency objective has passed."""
        return (self.enqueued_at + self.objective_at) / 2


def _stage(request: SlotRequest) -> _Stage:
    if not request.urgency.in_transaction:
        return _Stage.IN_TIME
    return _Stage.COMMIT if request.kind is StatementKind.COMMIT else _Stage.TRANSACTION


class _Rate:
    """Amount per second, averaged over about the last `RATE_WINDOW_S`."""

    __slots__ = ("_updated_at", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_at = 0.0

    def value(self, now: float) -> float:
        """Return the rate at a time."""
        return self._value * math.exp(-max(0.0, now - self._updated_at) / RATE_WINDOW_S)

    def add(self, amount: float, now: float) -> None:
        """Count an amount at a time."""
        self._value = self.value(now) + amount / RATE_WINDOW_S
        self._updated_at = now


class Offer(NamedTuple):
    """Outcome of an arrival: its ticket or refusal, and the tickets that it displaced."""

    ticket: Ticket | None
    refusal: Refusal | None = None
    displaced: tuple[Ticket, ...] = ()


class _OrganisationQueue:
    """Tickets of one organisation in one class; `tag_s` is the service it has been given."""

    __slots__ = ("tag_s", "tickets", "work_s")

    def __init__(self, tag_s: float) -> None:
        self.tag_s = tag_s
        self.tickets: list[Ticket] = []
        self.work_s = 0.0


class _Class:
    """Tickets of one stage, priority and kind of access, with fair queueing between organisations.

    Each organisation's tag grows by the service it is given. Organisations that are ahead of the
    least served one by no more than an allowance are ordered by latency objective; the others
    wait. The class is dropped when it is empty, with its tags.
    """

    def __init__(self) -> None:
        self.queues: dict[str, _OrganisationQueue] = {}
        self.work_s = 0.0
        # Service time that the class may take from more urgent ones once it has aged.
        self.credit_s = 0.0
        # The longest service time of a ticket so far, which credit has to reach.
        self.longest_s = 0.0
        self._tags_s: dict[str, float] = {}
        self._virtual_s = 0.0

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        organisation = ticket.request.organisation
        queue = self.queues.get(organisation)
        if queue is None:
            tag_s = max(self._virtual_s, self._tags_s.get(organisation, 0.0))
            queue = self.queues[organisation] = _OrganisationQueue(tag_s)
        bisect.insort(queue.tickets, ticket, key=lambda waiting: waiting.order)
        queue.work_s += ticket.service_s
        self.work_s += ticket.service_s
        self.longest_s = max(self.longest_s, ticket.service_s)

    def remove(self, ticket: Ticket, *, served: bool) -> None:
        """Remove a ticket, and charge its organisation for its service if it is served."""
        organisation = ticket.request.organisation
        queue = self.queues[organisation]
        queue.tickets.remove(ticket)
        queue.work_s -= ticket.service_s
        self.work_s -= ticket.service_s
        if served:
            queue.tag_s += ticket.service_s
        if not queue.tickets:
            del self.queues[organisation]
            self._tags_s[organisation] = queue.tag_s

    def head(self, allowance_s: float) -> Ticket:
        """Return the next ticket."""
        least_s = min(queue.tag_s for queue in self.queues.values())
        self._virtual_s = max(self._virtual_s, least_s)
        limit_s = self._virtual_s + allowance_s
        return min(
            (queue.tickets[0] for queue in self.queues.values() if queue.tag_s <= limit_s),
            key=lambda ticket: ticket.order,
        )

    def tail(self) -> Ticket:
        """Return the last ticket of the organisation with the most waiting work."""
        return max(self.queues.values(), key=lambda queue: queue.work_s).tickets[-1]

    def work_ahead_s(self, request: SlotRequest, service_s: float) -> float:
        """Return the waiting work that goes before one more statement of an organisation."""
        own = self.queues.get(request.organisation)
        own_s = service_s + (own.work_s if own is not None else 0.0)
        return sum(min(queue.work_s, own_s) for queue in self.queues.values())


class SlotQueue:
    """Statements that wait for the slots of one instance, ordered by urgency.

    `limit` is the number of statements that are admitted at a time.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._classes: dict[_ClassKey, _Class] = {}
        self._length = 0
        self._numbered = 0
        # Service time per second of the statements that were accepted, by class.
        self._arrival_rates: dict[_ClassKey, _Rate] = {}
        self.service_times = ServiceTimes()

    def __len__(self) -> int:
        return self._length

    @property
    def expected_wait_s(self) -> float:
        """Return the expected wait of one more ordinary statement while all slots are taken."""
        in_time_s = sum(
            waiting.work_s
            for key, waiting in self._classes.items()
            if key.stage is not _Stage.LATE and key.priority <= DEFAULT_PRIORITY
        )
        return self._wait_s(in_time_s, self._limit)

    def offer(self, request: SlotRequest, now: float) -> Offer:
        """Queue a statement that arrives while all slots are taken, or refuse it.

        It is queued if it is expected to end within its objective, or else within its limit.
        """
        service_s = self.service_times.expected_s(request)
        self._numbered += 1
        limit_at = waiting_limit(request.urgency, now)
        ticket = Ticket(request, service_s, now, limit_at, self._numbered)
        if now > ticket.latest_start:
            return Offer(None, Refusal.TOO_LATE)
        if ticket.class_key.stage is _Stage.IN_TIME:
            in_time_by = request.urgency.objective_at - REPLY_DELIVERY_S
            if now + self._expected_s(ticket, now) > in_time_by:
                ticket.class_key = _ClassKey.of(request, _Stage.LATE)
        if now + self._expected_s(ticket, now) > limit_at:
            return Offer(None, Refusal.QUEUE_TOO_LONG)
        self._count_arrival(ticket.class_key, service_s, now)
        self._push(ticket)
        return Offer(ticket, None, tuple(self._displace(now)))

    def pop(self, now: float) -> tuple[Ticket | None, tuple[Ticket, ...]]:
        """Remove and return the next statement, if any, and those whose time has run out."""
        expired: list[Ticket] = []
        while self._classes:
            ticket = self._next(now)
            if now > ticket.latest_start:
                self._remove(ticket)
                expired.append(ticket)
                continue
            in_time_by = ticket.objective_at - REPLY_DELIVERY_S - ticket.service_s
            if ticket.class_key.stage is _Stage.IN_TIME and now > in_time_by:
                self._remove(ticket)
                ticket.class_key = _ClassKey.of(ticket.request, _Stage.LATE)
                self._push(ticket)
                continue
            self._remove(ticket, served=True)
            return ticket, tuple(expired)
        return None, tuple(expired)

    def record_admitted(self, request: SlotRequest, now: float) -> None:
        """Count a statement that needed no place in the queue."""
        key = _ClassKey.of(request, _stage(request))
        self._count_arrival(key, self.service_times.expected_s(request), now)

    def _count_arrival(self, key: _ClassKey, service_s: float, now: float) -> None:
        rate = self._arrival_rates.get(key)
        if rate is None:
            rate = self._arrival_rates[key] = _Rate()
        rate.add(service_s, now)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that was neither popped nor displaced."""
        self._remove(ticket)

    @property
    def _round_s(self) -> float:
        """Return the service time of one statement in each slot."""
        return self._limit * self.service_times.mean_s

    def _wait_s(self, work_ahead_s: float, slots: float) -> float:
        # One statement more: the slots are taken, and the first to become free is awaited.
        return (work_ahead_s + self.service_times.mean_s) / slots

    def _slots_left(self, key: _ClassKey, now: float) -> float:
        """Return the number of slots that arrivals of more urgent classes leave to a class."""
        more_urgent = sum(
            rate.value(now) for other, rate in self._arrival_rates.items() if other < key
        )
        return max(AGED_SHARE * self._limit, self._limit - more_urgent)

    def _expected_wait_s(
        self, ticket: Ticket, more_urgent_s: float, own_ahead_s: float, now: float
    ) -> float:
        """Return the expected wait behind waiting work of more urgent classes and of its own."""
        slots = self._slots_left(ticket.class_key, now)
        wait_s = self._wait_s(more_urgent_s + own_ahead_s, slots)
        if ticket.class_key.stage is not _Stage.IN_TIME:
            return wait_s
        # The class has at least the share of those that have aged.
        share = AGED_SHARE * self._limit
        aged_s = max(ticket.aged_at - now, own_ahead_s / share) + ticket.service_s / share
        return min(wait_s, aged_s)

    def _expected_s(self, ticket: Ticket, now: float) -> float:
        """Return the expected time until the end of a statement that arrives now."""
        more_urgent_s = sum(
            waiting.work_s for key, waiting in self._classes.items() if key < ticket.class_key
        )
        own = self._classes.get(ticket.class_key)
        own_s = own.work_ahead_s(ticket.request, ticket.service_s) if own is not None else 0.0
        return self._expected_wait_s(ticket, more_urgent_s, own_s, now) + ticket.service_s

    def _next(self, now: float) -> Ticket:
        """Return the head of the most urgent class, or of one that has aged and has credit."""
        (_, first), *others = sorted(self._classes.items())
        for _, waiting in others:
            head = waiting.head(self._round_s)
            if waiting.credit_s >= head.service_s and now >= head.aged_at:
                return head
        return first.head(self._round_s)

    def _displace(self, now: float) -> Iterator[Ticket]:
        """Remove and yield the last tickets of classes that can't be served within their limits."""
        ahead_s = 0.0
        for key, waiting in sorted(self._classes.items()):
            while key.stage >= _Stage.IN_TIME and waiting.queues:
                tail = waiting.tail()
                own_s = waiting.work_s - tail.service_s
                wait_s = self._expected_wait_s(tail, ahead_s, own_s, now)
                if now + wait_s <= tail.latest_start:
                    break
                self._remove(tail)
                yield tail
            ahead_s += waiting.work_s

    def _push(self, ticket: Ticket) -> None:
        self._classes.setdefault(ticket.class_key, _Class()).push(ticket)
        self._length += 1

    def _remove(self, ticket: Ticket, *, served: bool = False) -> None:
        waiting = self._classes[ticket.class_key]
        waiting.remove(ticket, served=served)
        self._length -= 1
        if served:
            self._grant_credit(ticket)
        if not waiting.queues:
            del self._classes[ticket.class_key]

    def _grant_credit(self, served: Ticket) -> None:
        """Charge the class of a statement that is served, and give credit to less urgent ones."""
        own = self._classes[served.class_key]
        own.credit_s = max(0.0, own.credit_s - served.service_s)
        for key, waiting in self._classes.items():
            if key > served.class_key and key.stage is _Stage.IN_TIME:
                credit_s = waiting.credit_s + AGED_SHARE * served.service_s
                # Credit that is not used while a class is young must not add up to a burst.
                waiting.credit_s = min(credit_s, max(self._round_s, waiting.longest_s))
