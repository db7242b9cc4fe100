"""Choice of a home by failure domain, recent latency, errors and requests in progress."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Collection, Iterator, Sequence

import trio

from .errors import ConnectionLostError, PeerUnreachableError, UnavailableError
from .home_calls import HomeVm

__all__ = ["HomeSelector"]

LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.002
# A home in another failure domain is chosen once the one in this domain is slower by this much.
OTHER_DOMAIN_S = 0.003
# A home that failed is avoided for this long, doubled for each further failure.
FIRST_PENALTY_S = 0.5
LONGEST_PENALTY_S = 8.0
# Equal homes get equal shares from many VMs only if each VM varies its choice a little.
SPREAD = 0.2


class _Record:
    """Recent behaviour of one home."""

    def __init__(self) -> None:
        self.latency_s = INITIAL_LATENCY_S
        self.in_progress = 0
        self.failures = 0
        self.avoid_until = float("-inf")

    def succeeded(self, seconds: float) -> None:
        self.latency_s += LATENCY_WEIGHT * (seconds - self.latency_s)
        self.failures = 0
        self.avoid_until = float("-inf")

    def failed(self) -> None:
        penalty = min(LONGEST_PENALTY_S, FIRST_PENALTY_S * 2**self.failures)
        self.failures += 1
        self.avoid_until = trio.current_time() + penalty


class HomeSelector:
    """Rank the homes of a group as seen from this VM."""

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
        self._records: dict[str, _Record] = {}

    def select(self, homes: Sequence[HomeVm], failed: Collection[str]) -> HomeVm:
        """Return the home to try next, one in `failed` only when there is no other."""
        now = trio.current_time()
        return min(homes, key=lambda home: self._rank(home, home.vm in failed, now))

    def _rank(self, home: HomeVm, failed: bool, now: float) -> tuple[bool, bool, float]:
        record = self._records.get(home.vm) or _Record()
        avoided = record.avoid_until > now
        cost = record.latency_s * (1 + record.in_progress)
        cost *= 1 + SPREAD * self._random()
        if home.failure_domain != self._failure_domain:
            cost += OTHER_DOMAIN_S
        if home.vm == self._own_vm:
            cost -= OTHER_DOMAIN_S
        return failed, avoided, cost

    @contextlib.contextmanager
    def measure_call(self, vm: str) -> Iterator[None]:
        """Measure one exchange with a home."""
        record = self._records.setdefault(vm, _Record())
        record.in_progress += 1
        started = trio.current_time()
        try:
            yield
        except (ConnectionLostError, PeerUnreachableError, UnavailableError):
            record.failed()
            raise
        else:
            record.succeeded(trio.current_time() - started)
        finally:
            record.in_progress -= 1

    def retain(self, live: Collection[str]) -> None:
        """Drop the records of VMs that are gone."""
        for vm in [vm for vm in self._records if vm not in live]:
            del self._records[vm]
