"""Replay a load of several kinds of requests against the slots of one instance.

The replay runs in simulated time, without a network.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import trio
import trio.testing

from tanagerfront.http_client import Address
from tanagerfront.instance_pool import InstancePool, InstanceStatement, PoolLimits
from tanagerfront.relay import RelaySession
from tanagerfront.session_model import (
    Begin,
    InstanceRegistration,
    InstanceRole,
    Reply,
    TransactionState,
    Urgency,
    Verbatim,
)
from tanagerfront.slot_admission import SlotOrder

__all__ = ["LAGGING_WITH_BURST", "ClassOutcome", "RequestClass", "UrgencyPattern", "replay_classes"]

# Sigma of the log-normal distribution of statement times.
STATEMENT_TIME_SIGMA = 0.7
# Mean delay of callers between a refusal and the next attempt.
RETRY_DELAY_S = 0.05
COMMIT_S = 0.002
MAX_STATEMENT_S = 0.3


class RequestClass(NamedTuple):
    """A kind of request; times in seconds, `burst` is the factor while the burst lasts."""

    name: str
    operations_per_s: float
    burst: float
    priority: int
    mean_statement_s: float
    objective_s: float
    timeout_s: float
    # Time after which callers don't try again.
    deadline_s: float
    writes: float
    transactions: float


class UrgencyPattern(NamedTuple):
    """Load on the primary of one group, with a burst in the middle."""

    classes: Sequence[RequestClass]
    # Relative number of operations of each organisation, and the factor of the first of them.
    organisation_weights: Sequence[float]
    hot_factor: float
    before_s: float
    burst_s: float
    after_s: float
    slots: int
    connections: int
    connect_s: float
    retries: int


# Replicas lag for 6 s, so that the primary gets all reads of its group; meanwhile one kind of
# reads arrives 2.4 times as often and one organisation sends 6 times its usual.
LAGGING_WITH_BURST = UrgencyPattern(
    classes=(
        RequestClass("score-lock", 18.0, 1.0, 0, 0.008, 0.2, 1.0, 2.0, 0.2, 0.4),
        RequestClass("team-answer", 85.0, 1.0, 1, 0.024, 0.4, 1.0, 2.0, 0.12, 0.12),
        RequestClass("standings-view", 31.5, 2.4, 2, 0.04, 1.2, 2.0, 6.0, 0.0, 0.1),
    ),
    organisation_weights=tuple(1 / (rank + 3) for rank in range(84)),
    hot_factor=6.0,
    before_s=1.0,
    burst_s=6.0,
    after_s=2.0,
    slots=5,
    connections=40,
    connect_s=0.012,
    retries=2,
)


class ClassOutcome(NamedTuple):
    """Outcomes of the operations of one class that started during the burst."""

    asked: int
    in_time: int
    late: int
    refused: int
    # Operations whose last refusal came later than their latency objective.
    refused_late: int

    @property
    def in_time_share(self) -> float:
        """Return the share of operations served within the latency objective."""
        return self.in_time / max(1, self.asked)


class _Operation(NamedTuple):
    started_at: float
    kind: RequestClass
    organisation: int
    ended_at: float
    served: bool


class _SimulatedInstance:
    """An instance whose statements and new connections share its slots."""

    def __init__(self, pattern: UrgencyPattern, rng: random.Random) -> None:
        self._pattern = pattern
        self._slots = trio.Semaphore(pattern.slots)
        self._rng = rng
        self.most_sent = 0
        self._sent = 0

    async def open(self, entry: InstanceRegistration, organisation: str) -> _Connection:
        """Open a connection, which occupies a slot."""
        async with self._slots:
            await trio.sleep(self._pattern.connect_s)
        return _Connection(self)

    async def run(self, statement: InstanceStatement) -> None:
        """Occupy a slot for the time of a statement."""
        match statement.statement:
            case Verbatim("COMMIT"):
                mean_s = COMMIT_S
            case Verbatim(text):
                mean_s = float(text.rsplit(" ", 1)[1])
            case _:
                return
        self._sent += 1
        self.most_sent = max(self.most_sent, self._sent)
        try:
            async with self._slots:
                factor = self._rng.lognormvariate(
                    -(STATEMENT_TIME_SIGMA**2) / 2, STATEMENT_TIME_SIGMA
                )
                await trio.sleep(min(mean_s * factor, MAX_STATEMENT_S))
        finally:
            self._sent -= 1


class _Connection:
    usable = True
    alive = True

    def __init__(self, instance: _SimulatedInstance) -> None:
        self._instance = instance
        self._state = TransactionState.IDLE

    async def run(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        replies: list[Reply] = []
        for statement in statements:
            await self._instance.run(statement)
            match statement.statement:
                case Begin():
                    self._state = TransactionState.OPEN
                case Verbatim("COMMIT"):
                    self._state = TransactionState.IDLE
            replies.append(Reply(state=self._state))
        return replies

    async def close(self) -> None:
        self.usable = False


class _Replay:
    """One run of a pattern."""

    def __init__(self, pattern: UrgencyPattern, order: SlotOrder, seed: int) -> None:
        self._pattern = pattern
        self._rng = random.Random(seed)
        self.instance = _SimulatedInstance(pattern, self._rng)
        entry = InstanceRegistration(
            id="i",
            group="g",
            address=Address("127.0.0.1", 1),
            failure_domain="d",
            slots=pattern.slots,
            draining=False,
            role=InstanceRole.PRIMARY,
            born_ms=1,
            revision=1,
        )
        limits = PoolLimits(
            pattern.connections, pattern.connections, admission_control=True, slot_order=order
        )
        self._pool = InstancePool(entry, self.instance.open, limits)
        self.operations: list[_Operation] = []

    async def run(self) -> None:
        """Run the pattern to the end of its last operation."""
        async with trio.open_nursery() as nursery:
            for kind in self._pattern.classes:
                nursery.start_soon(self._send_class, kind, nursery)

    async def _send_class(self, kind: RequestClass, nursery: trio.Nursery) -> None:
        pattern = self._pattern
        burst_ends = pattern.before_s + pattern.burst_s
        usual = list(pattern.organisation_weights)
        hot = [usual[0] * pattern.hot_factor, *usual[1:]]
        growth = sum(hot) / sum(usual)
        while (now := trio.current_time()) < burst_ends + pattern.after_s:
            bursting = pattern.before_s <= now < burst_ends
            weights, factor = (hot, kind.burst * growth) if bursting else (usual, 1.0)
            [organisation] = self._rng.choices(range(len(usual)), weights)
            nursery.start_soon(self._run_operation, kind, organisation)
            await trio.sleep(self._rng.expovariate(kind.operations_per_s * factor))

    async def _run_operation(self, kind: RequestClass, organisation: int) -> None:
        started_at = trio.current_time()
        bodies = self._draw_statements(kind)
        served = False
        for _ in range(1 + self._pattern.retries):
            served = await self._try_operation(kind, str(organisation), bodies)
            if served or trio.current_time() - started_at > kind.deadline_s:
                break
            ended_at = trio.current_time()
            await trio.sleep(self._rng.uniform(0.5, 1.5) * RETRY_DELAY_S)
        ended_at = trio.current_time() if served else ended_at
        self.operations.append(_Operation(started_at, kind, organisation, ended_at, served))

    def _draw_statements(self, kind: RequestClass) -> Sequence[Begin | Verbatim]:
        verb = "WRITE" if self._rng.random() < kind.writes else "READ"
        statement = Verbatim(f"{verb} x {kind.mean_statement_s}")
        if self._rng.random() < kind.transactions:
            return Begin(read_only=verb == "READ"), statement, Verbatim("COMMIT")
        return (statement,)

    async def _try_operation(
        self, kind: RequestClass, organisation: str, bodies: Sequence[Begin | Verbatim]
    ) -> bool:
        session = RelaySession(self._pool, organisation)
        try:
            for number, body in enumerate(bodies):
                now = trio.current_time()
                urgency = Urgency(
                    kind.priority, now + kind.objective_s, now + kind.timeout_s, number > 0
                )
                reply = await session.run(InstanceStatement("1", body, urgency=urgency))
                if reply.failure is not None:
                    return False
        finally:
            await session.close()
        return True

    def outcome(self, kind: RequestClass, organisations: Sequence[int] | None) -> ClassOutcome:
        """Summarise the operations of a class that started during the burst."""
        first, last = self._pattern.before_s, self._pattern.before_s + self._pattern.burst_s
        chosen = [
            operation
            for operation in self.operations
            if operation.kind is kind
            and first <= operation.started_at < last
            and (organisations is None or operation.organisation in organisations)
        ]
        served = [operation for operation in chosen if operation.served]
        in_time = sum(_in_time(operation) for operation in served)
        refused_late = sum(not operation.served and not _in_time(operation) for operation in chosen)
        refused = len(chosen) - len(served)
        return ClassOutcome(len(chosen), in_time, len(served) - in_time, refused, refused_late)


def _in_time(operation: _Operation) -> bool:
    return operation.ended_at - operation.started_at <= operation.kind.objective_s


class UrgencyResult(NamedTuple):
    """Outcomes by class, for all organisations and without the one that sends too much."""

    all: Mapping[str, ClassOutcome]
    others: Mapping[str, ClassOutcome]
    # The most statements that the instance had at a time.
    most_sent: int


def replay_classes(pattern: UrgencyPattern, order: SlotOrder, seed: int) -> UrgencyResult:
    """Replay a pattern in simulated time; this takes a few seconds of CPU time."""
    run = _Replay(pattern, order, seed)
    trio.run(run.run, clock=trio.testing.MockClock(autojump_threshold=0.0))
    others = range(1, len(pattern.organisation_weights))
    return UrgencyResult(
        {kind.name: run.outcome(kind, None) for kind in pattern.classes},
        {kind.name: run.outcome(kind, others) for kind in pattern.classes},
        run.instance.most_sent,
    )
