"""Selection of a home VM by failure domain, recent latency, errors and requests in progress.

Serves the HTTP interface.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Collection, Iterator, Sequence

import trio

from .errors import ConnectionLostError, PeerUnreachableError, UnavailableError
from .home_calls import HomeVm

__all__ = ["HomeSelector"]

# Weight of the latest sample in the moving average of the latency.
LATENCY_SAMPLE_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.002
# Latency advantage that a home in another failure domain needs to be selected.
OTHER_DOMAIN_COST_S = 0.003
# A home that failed is avoided for this time, doubled for each consecutive failure.
INITIAL_PENALTY_S = 0.5
MAX_PENALTY_S = 8.0
# Random share added to a cost, so that the requests of many VMs spread over homes of equal cost.
COST_JITTER = 0.2


class _HomeStatistics:
    """Recent latency, load and failures of one home."""

    def __init__(self) -> None:
        self.latency_s = INITIAL_LATENCY_S
        self.in_progress = 0
        self.failures = 0
        self.avoid_until = float("-inf")

    def record_success(self, latency_s: float) -> None:
        self.latency_s += LATENCY_SAMPLE_WEIGHT * (latency_s - self.latency_s)
        self.failures = 0
        self.avoid_until = float("-inf")

    def record_failure(self) -> None:
        penalty_s = min(MAX_PENALTY_S, INITIAL_PENALTY_S * 2**self.failures)
        self.failures += 1
        self.avoid_until = trio.current_time() + penalty_s


class HomeSelector:
    """Select a home of a group for each request of this VM."""

    def __init__(
        self,
        own_vm: str,
        failure_domain: str,
        *,
        random_source: Callable[[], float] = random.random,
    ) -> None:
        self._own_vm = own_vm
        self._failure_domain = failure_domain
        self._random = random_source
        self._statistics: dict[str, _HomeStatistics] = {}

    def select(self, homes: Sequence[HomeVm], failed: Collection[str]) -> HomeVm:
        """Return the home to try next; one in `failed` only if there is no other."""
        now = trio.current_time()
        return min(homes, key=lambda home: self._sort_key(home, home.vm in failed, now))

    def _sort_key(self, home: HomeVm, failed: bool, now: float) -> tuple[bool, bool, float]:
        statistics = self._statistics.get(home.vm) or _HomeStatistics()
        avoided = statistics.avoid_until > now
        cost = statistics.latency_s * (1 + statistics.in_progress)
        cost *= 1 + COST_JITTER * self._random()
        if home.failure_domain != self._failure_domain:
            cost += OTHER_DOMAIN_COST_S
        if home.vm == self._own_vm:
            cost -= OTHER_DOMAIN_COST_S
        return failed, avoided, cost

    @contextlib.contextmanager
    def measure_call(self, vm: str) -> Iterator[None]:
        """Record the latency or failure of the enclosed request to a home."""
        statistics = self._statistics.setdefault(vm, _HomeStatistics())
        statistics.in_progress += 1
        started_at = trio.current_time()
        try:
            yield
        except (ConnectionLostError, PeerUnreachableError, UnavailableError):
            statistics.record_failure()
            raise
        else:
            statistics.record_success(trio.current_time() - started_at)
        finally:
            statistics.in_progress -= 1

    def retain(self, live: Collection[str]) -> None:
        """Discard the statistics of all VMs that are not in `live`."""
        for vm in [vm for vm in self._statistics if vm not in live]:
            del self._statistics[vm]
