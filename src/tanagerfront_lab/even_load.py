"""Compare choices of the instance on load readings that are old, in virtual time.

The load pattern: many VMs choose at the same moment between a few instances, on the same old
readings, while the demand comes in waves. Nothing is sent and no process is started.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple

from tanagerfront.instance_load import KnownLoad
from tanagerfront.placement import (
    Candidate,
    assess_candidates,
    choose_candidate,
    choose_evenly,
)
from tanagerfront.session_model import InstanceLoad

__all__ = ["ChoiceRule", "EvenLoadCase", "EvenLoadFigures", "play_case"]

SLOTS = 6
STATEMENT_S = 0.028
STATEMENT_SIGMA = 0.7
FAST_FAILURE_S = 0.001
WAVE_PERIOD_S = 13.0
WAVE_SWING = 0.55


class ChoiceRule(Enum):
    """A way to choose."""

    LOWEST_DELAY = "lowest delay"
    EVEN = "even load"
    PERFECT = "perfect knowledge"


class EvenLoadCase(NamedTuple):
    """VMs, instances, age of the readings in seconds and mean use of the slots."""

    choosers: int
    instances: int
    age_s: float
    utilisation: float = 0.75
    swing: float = WAVE_SWING
    slow: bool = False
    failing: bool = False
    # Each instance lies in a failure domain of its own, with as many VMs, and the wave reaches
    # each domain a second after the one before.
    domains: bool = False
    # Time at which the last instance, absent until then, takes part; 0 for the whole time.
    returns_at: float = 0.0
    seconds: float = 26.0


class EvenLoadFigures(NamedTuple):
    """Measures of a case; `idle_share` is of the slot time, `failed_share` of the statements."""

    idle_share: float
    largest_over_mean: float
    p99_wait_s: float
    failed_share: float
    last_instance_share: float
    other_domain_share: float


class _Instance:
    """Slots with one queue, and the times at which the number of statements changed."""

    def __init__(self, slowness: float, failing: bool) -> None:
        self.slowness = slowness
        self.failing = failing
        self.running = 0
        self.queue: deque[tuple[float, int]] = deque()
        self.changes: list[float] = [float("-inf")]
        self.loads: list[tuple[int, int]] = [(0, 0)]

    @property
    def statements(self) -> int:
        return self.running + len(self.queue)

    def note(self, now: float) -> None:
        self.changes.append(now)
        self.loads.append((self.running, len(self.queue)))

    def reading(self, at: float) -> InstanceLoad:
        index = bisect_right(self.changes, at) - 1
        running, waiting = self.loads[index]
        wait_s = (waiting + 1) * self.slowness * STATEMENT_S / SLOTS if running == SLOTS else 0.0
        return InstanceLoad(index, running, waiting, wait_s)


class _Chooser:
    def __init__(self, case: EvenLoadCase, domain: int) -> None:
        self.domain = domain
        self.known = [KnownLoad() for _ in range(case.instances)]
        self.response_s = [0.02] * case.instances
        self.busy = [0] * case.instances
        self.sent: list[deque[float]] = [deque() for _ in range(case.instances)]


class _Play:
    """One case under one rule."""

    def __init__(self, case: EvenLoadCase, rule: ChoiceRule, seed: int) -> None:
        self.case, self.rule = case, rule
        self.rng = random.Random(seed)
        # The same demand under all rules.
        self.demand = random.Random(seed)
        last = case.instances - 1
        self.instances = [
            _Instance(4.0 if case.slow and i == last else 1.0, case.failing and i == last)
            for i in range(case.instances)
        ]
        self.choosers = [_Chooser(case, n % case.instances) for n in range(case.choosers)]
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.number = 0
        self.waits: list[float] = []
        self.failed = 0
        self.to_last = 0
        self.to_other = 0
        self.idle_s = self.largest = self.mean = 0.0
        self.last_event = 0.0

    def at(self, when: float, action: Callable[[float], None]) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, action))

    def usable(self, now: float) -> Sequence[int]:
        count = self.case.instances
        return range(count - 1 if now < self.case.returns_at else count)

    def choose(self, chooser: _Chooser, now: float, tried: set[str]) -> int:
        usable = [i for i in self.usable(now) if str(i) not in tried] or list(self.usable(now))
        match self.rule:
            case ChoiceRule.PERFECT:
                # It knows all statements, but not which of them will fail.
                def wait(i: int) -> float:
                    entry = self.instances[i]
                    if entry.failing:
                        return float("inf")
                    return entry.slowness * (1 + max(0, entry.statements + 1 - SLOTS) / SLOTS)

                best = min(map(wait, usable))
                return self.rng.choice([i for i in usable if wait(i) == best])
            case ChoiceRule.LOWEST_DELAY:
                candidates = [self.candidate(chooser, i) for i in usable]
                chosen = choose_candidate(candidates, None, now)
            case ChoiceRule.EVEN:
                candidates = [self.candidate_with_load(chooser, i, now) for i in usable]
                assessment = choose_evenly(assess_candidates(candidates, None, now), self.rng)
                chosen = assessment and assessment.candidate
        assert chosen is not None
        return int(chosen.id)

    def candidate(self, chooser: _Chooser, i: int) -> Candidate:
        return Candidate(
            str(i),
            is_primary=False,
            same_failure_domain=not self.case.domains or chooser.domain == i,
            has_idle_connection=True,
            busy_connections=chooser.busy[i],
            waiting_requests=0,
            connection_limit=8,
            response_s=chooser.response_s[i],
            reached=None,
            lagging_since=0.0,
        )

    def candidate_with_load(self, chooser: _Chooser, i: int, now: float) -> Candidate:
        known, sent = chooser.known[i], chooser.sent[i]
        reading = self.instances[i].reading(now - self.case.age_s)
        known.record_reading(reading, SLOTS, now - self.case.age_s)
        while sent and sent[0] <= now - self.case.age_s:
            sent.popleft()
        load = known.estimate(SLOTS, now)._replace(sent_since=len(sent))
        return self.candidate(chooser, i)._replace(load=load)

    def arrive(self, now: float) -> None:
        case = self.case
        healthy = case.instances - case.failing - 0.75 * case.slow
        rate = healthy * SLOTS / STATEMENT_S * case.utilisation
        self.at(now + self.demand.expovariate(rate * (1.0 + case.swing)), self.arrive)
        chooser = self.demand.choice(self.choosers)
        delay_s = float(chooser.domain) if case.domains else 0.0
        wave = 1.0 + case.swing * math.sin(2 * math.pi * (now - delay_s) / WAVE_PERIOD_S)
        if self.demand.random() * (1.0 + case.swing) > wave:
            return
        work = self.demand.lognormvariate(-(STATEMENT_SIGMA**2) / 2, STATEMENT_SIGMA)
        self.send(chooser, work, now, now, set())

    def send(
        self, chooser: _Chooser, work: float, since: float, now: float, tried: set[str]
    ) -> None:
        i = self.choose(chooser, now, tried)
        instance = self.instances[i]
        chooser.busy[i] += 1
        chooser.sent[i].append(now)
        self.to_other += chooser.domain != i
        self.to_last += i == self.case.instances - 1

        def run(started: float) -> None:
            if not instance.failing:
                self.waits.append(started - since)
            work_s = FAST_FAILURE_S if instance.failing else STATEMENT_S * instance.slowness * work
            self.at(started + work_s, end)

        def end(ended: float) -> None:
            self.account(ended)
            instance.running -= 1
            if instance.queue:
                instance.running += 1
                waiting.pop(instance.queue.popleft()[1])(ended)
            instance.note(ended)
            chooser.busy[i] -= 1
            chooser.response_s[i] += 0.1 * (ended - now - chooser.response_s[i])
            if instance.failing:
                self.failed += 1
                chooser.known[i].record_failed(ended)
                self.send(chooser, work, since, ended, tried | {str(i)})
            else:
                chooser.known[i].record_served(ended - now, SLOTS, ended)

        waiting = self.waiting
        self.account(now)
        if instance.running < SLOTS:
            instance.running += 1
            run(now)
        else:
            self.number += 1
            waiting[self.number] = run
            instance.queue.append((now, self.number))
        instance.note(now)

    def account(self, now: float) -> None:
        usable = [self.instances[i] for i in self.usable(now) if not self.instances[i].failing]
        elapsed, self.last_event = now - self.last_event, now
        queues = [len(instance.queue) for instance in usable]
        if any(queues):
            self.idle_s += elapsed * sum(SLOTS - instance.running for instance in usable)
            self.largest += elapsed * max(queues)
            self.mean += elapsed * sum(queues) / len(queues)

    def play(self) -> EvenLoadFigures:
        self.waiting: dict[int, Callable[[float], None]] = {}
        self.at(0.0, self.arrive)
        now = 0.0
        while now < self.case.seconds:
            now, _, action = heapq.heappop(self.events)
            action(now)
        waits = sorted(self.waits)
        return EvenLoadFigures(
            self.idle_s / (self.case.seconds * SLOTS * self.case.instances),
            self.largest / self.mean if self.mean else 1.0,
            waits[int(0.99 * len(waits))],
            self.failed / max(1, len(waits) + self.failed),
            self.to_last / max(1, len(waits) + self.failed),
            self.to_other / max(1, len(waits) + self.failed) if self.case.domains else 0.0,
        )


def play_case(case: EvenLoadCase, rule: ChoiceRule, seed: int = 1) -> EvenLoadFigures:
    """Play a case in virtual time and return its figures."""
    return _Play(case, rule, seed).play()
