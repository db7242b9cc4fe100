"""Replay recorded load patterns against the admission control of one instance.

The replay runs in simulated time.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import trio
import trio.testing

from tanagerfront.errors import TanagerfrontError
from tanagerfront.http_client import Address
from tanagerfront.instance_pool import InstancePool, InstanceStatement, PoolLimits
from tanagerfront.relay import RelaySession
from tanagerfront.session_model import InstanceRegistration, InstanceRole, Reply, Verbatim

__all__ = ["PATTERNS", "LoadPattern", "ReplayResult", "replay"]

# Mean delay of callers between a refusal and the next attempt.
RETRY_DELAY_S = 0.05
# Sigma of the log-normal distribution of statement times.
STATEMENT_TIME_SIGMA = 0.7


class LoadPattern(NamedTuple):
    """Load on one instance from organisations of unequal size; times in seconds.

    An operation that was refused is not retried once `deadline_s` has passed since its start.
    """

    operations_per_s: float
    seconds: float
    # Relative number of statements of each organisation.
    organisation_weights: Sequence[int]
    slots: int
    connections: int
    mean_statement_s: float
    connect_s: float
    objective_s: float
    deadline_s: float
    retries: int


# Statements served for each organisation by the primary of the busiest database in the first 14 s
# of klw-orders-grown quiet-1.
GROWN_ORGANISATION_WEIGHTS = (
    82, 64, 55, 51, 32, 32, 31, 25, 21, 19, 19, 17, 17, 17, 16, 15, 15, 15, 14, 14, 14, 12, 12,
    11, 10, 10, 9, 9, 8, 8, 8, 7, 7, 7, 7, 6, 6, 5, 5, 5, 5, 5, 5, 4, 4, 4, 4, 4, 4, 4, 4, 4, 3,
    3, 3, 3, 3, 3, 3, 2, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1,
)  # fmt: skip

# The primary serves all reads of its group while both replicas lag.
LAGGING_REPLICAS = LoadPattern(
    operations_per_s=150.0,
    seconds=20.0,
    organisation_weights=GROWN_ORGANISATION_WEIGHTS,
    slots=3,
    connections=36,
    mean_statement_s=0.014,
    connect_s=0.012,
    objective_s=0.255,
    deadline_s=1.2,
    retries=2,
)
PATTERNS: Mapping[str, LoadPattern] = {
    "lagging-replicas": LAGGING_REPLICAS,
    # 1.5 times the load exceeds the capacity of the slots.
    "lagging-replicas-burst": LAGGING_REPLICAS._replace(operations_per_s=225.0),
}


class ReplayResult(NamedTuple):
    """Outcomes of the operations of a pattern; `opened` counts connections."""

    asked: int
    in_time: int
    late: int
    refused: int
    opened: int
    # Shares served in time for the smallest third of the organisations and for the others.
    small_in_time: float
    large_in_time: float

    @property
    def in_time_share(self) -> float:
        """Return the share of operations served within the latency objective."""
        return self.in_time / self.asked


class _SimulatedInstance:
    """A simulated instance, whose statements and new connections share its slots."""

    def __init__(self, pattern: LoadPattern, rng: random.Random) -> None:
        self._pattern = pattern
        self._rng = rng
        self._slots = trio.Semaphore(pattern.slots)
        self.opened = 0

    async def open(self, entry: InstanceRegistration, organisation: str) -> _Connection:
        """Open a connection, which occupies a slot for `connect_s`."""
        self.opened += 1
        async with self._slots:
            await trio.sleep(self._pattern.connect_s)
        return _Connection(self)

    async def run_statement(self) -> None:
        """Occupy a slot for the random time of a statement."""
        async with self._slots:
            mean = self._pattern.mean_statement_s
            await trio.sleep(
                mean
                * self._rng.lognormvariate(-(STATEMENT_TIME_SIGMA**2) / 2, STATEMENT_TIME_SIGMA)
            )


class _Connection:
    usable = True
    alive = True

    def __init__(self, instance: _SimulatedInstance) -> None:
        self._instance = instance

    async def run(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        await self._instance.run_statement()
        return [Reply() for _ in statements]

    async def close(self) -> None:
        self.usable = False


class _Operation(NamedTuple):
    organisation: int
    duration_s: float | None


async def _replay(pattern: LoadPattern, seed: int) -> ReplayResult:
    rng = random.Random(seed)
    instance = _SimulatedInstance(pattern, rng)
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
    limits = PoolLimits(pattern.connections, pattern.connections, admission_control=True)
    pool = InstancePool(entry, instance.open, limits)
    operations: list[_Operation] = []

    async def run_operation(organisation: int) -> None:
        started_at = trio.current_time()
        for _ in range(1 + pattern.retries):
            session = RelaySession(pool, str(organisation))
            try:
                reply = await session.run(InstanceStatement("1", Verbatim("READ x")))
            except TanagerfrontError:
                break
            finally:
                await session.close()
            if reply.failure is None:
                operations.append(_Operation(organisation, trio.current_time() - started_at))
                return
            await trio.sleep(rng.uniform(0.5, 1.5) * RETRY_DELAY_S)
            if trio.current_time() - started_at > pattern.deadline_s:
                break
        operations.append(_Operation(organisation, None))

    choices = range(len(pattern.organisation_weights))
    async with trio.open_nursery() as nursery:
        for _ in range(int(pattern.operations_per_s * pattern.seconds)):
            [organisation] = rng.choices(choices, pattern.organisation_weights)
            nursery.start_soon(run_operation, organisation)
            await trio.sleep(rng.expovariate(pattern.operations_per_s))
    return _summarise(pattern, operations, instance.opened)


def _summarise(pattern: LoadPattern, operations: Sequence[_Operation], opened: int) -> ReplayResult:
    def in_time(operation: _Operation) -> bool:
        return operation.duration_s is not None and operation.duration_s <= pattern.objective_s

    def share(organisations: frozenset[int]) -> float:
        in_time_counts = Counter(
            in_time(operation)
            for operation in operations
            if operation.organisation in organisations
        )
        return in_time_counts[True] / max(1, in_time_counts.total())

    by_weight = sorted(
        range(len(pattern.organisation_weights)), key=pattern.organisation_weights.__getitem__
    )
    small = frozenset(by_weight[: len(by_weight) // 3])
    served = sum(operation.duration_s is not None for operation in operations)
    served_in_time = sum(map(in_time, operations))
    return ReplayResult(
        asked=len(operations),
        in_time=served_in_time,
        late=served - served_in_time,
        refused=len(operations) - served,
        opened=opened,
        small_in_time=share(small),
        large_in_time=share(frozenset(by_weight) - small),
    )


def replay(pattern: LoadPattern, seed: int) -> ReplayResult:
    """Replay a pattern in simulated time; this takes a few seconds of CPU time."""
    clock = trio.testing.MockClock(autojump_threshold=0.0)
    return trio.run(_replay, pattern, seed, clock=clock)
