"""Choice of the instance for a statement of the session interface; pure functions."""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from .entry_id import EntryId

__all__ = [
    "Assessment",
    "Candidate",
    "ChoiceReason",
    "Exclusion",
    "LoadEstimate",
    "assess_candidates",
    "choose_candidate",
    "choose_evenly",
    "estimated_delay_s",
    "expected_delay_s",
]

# Opening a connection occupies one of the instance's slots for 12 ms and takes one round trip.
CONNECTION_OPENING_S = 0.015
# Traffic between failure domains is billed, and a round trip takes a few milliseconds longer.
OTHER_FAILURE_DOMAIN_PENALTY_S = 0.004
# The primary serves all writes, so it gets reads only if replicas are slower by this much.
PRIMARY_READ_PENALTY_S = 0.006
# After a replica refused a read because it lagged, it is excluded for this long from reads that
# need a position it isn't known to have.
LAGGING_EXCLUSION_S = 0.15
# A failed statement costs its caller another attempt, often after a pause of its own, about as
# much as the shortest latency objectives of 150 ms.
FAILED_STATEMENT_PENALTY_S = 0.15
# An instance that fails everything stays a choice where there is no other.
MAX_FAILED_SHARE = 0.98
# Utilisation of the slots that is assumed while no reading of any instance is known.
UNKNOWN_UTILISATION = 0.5
# The probability that a statement finds all slots taken falls steeply with the utilisation.
QUEUEING_EXPONENT = 3


class LoadEstimate(NamedTuple):
    """Load of an instance as a VM knows it.

    `statements` is the number that ran or waited at the reading, None without one, and `trust` its
    weight at its age, 0 to 1. `sent_since` counts the VM's own statements since the reading, and
    `failed_share` is the part of the VM's statements that the instance failed of late.
    """

    slots: int
    service_s: float
    statements: float | None
    trust: float
    age_s: float
    sent_since: int
    failed_share: float


class Candidate(NamedTuple):
    """An instance that could execute a statement, with the inputs of the choice.

    `connection_limit` is this VM's share of the instance's connections. `reached` is the last log
    position that the instance reported, and `lagging_since` the time of its last refusal for lag.
    """

    id: str
    is_primary: bool
    same_failure_domain: bool
    has_idle_connection: bool
    busy_connections: int
    waiting_requests: int
    connection_limit: int
    response_s: float
    reached: EntryId | None
    lagging_since: float
    load: LoadEstimate | None = None


class Exclusion(enum.Enum):
    """Why a candidate can't get a statement."""

    TRIED = "tried"
    NO_CONNECTIONS = "no-connections"
    LAGGING = "lagging"


class ChoiceReason(enum.Enum):
    """What the choice of an instance rests on, for metrics."""

    NEAR = "near"
    OTHER_DOMAIN = "other-domain"
    PRIMARY = "primary"
    UNKNOWN = "unknown-load"


class Assessment(NamedTuple):
    """A candidate with its expected delay and its weight in the choice, or why it is excluded.

    The weights of all candidates add up to 1 if any can be chosen.
    """

    candidate: Candidate
    exclusion: Exclusion | None
    delay_s: float
    weight: float

    @property
    def reason(self) -> ChoiceReason:
        """Return what the weight rests on."""
        if not _load_known(self.candidate):
            return ChoiceReason.UNKNOWN
        if self.candidate.is_primary:
            return ChoiceReason.PRIMARY
        near = self.candidate.same_failure_domain
        return ChoiceReason.NEAR if near else ChoiceReason.OTHER_DOMAIN


def _may_have_entry(candidate: Candidate, after: EntryId | None, now: float) -> bool:
    """Return whether an instance probably has a log entry, or may have caught up with it by now."""
    if after is None or candidate.is_primary:
        return True
    if candidate.reached is not None and candidate.reached >= after:
        return True
    return now - candidate.lagging_since > LAGGING_EXCLUSION_S


def estimated_delay_s(candidate: Candidate) -> float:
    """Return the expected response time of one more statement, including penalties."""
    requests_ahead = candidate.busy_connections + candidate.waiting_requests
    connections = max(1, candidate.connection_limit)
    delay_s = candidate.response_s * (1.0 + requests_ahead / connections)
    if not candidate.has_idle_connection:
        delay_s += CONNECTION_OPENING_S
    if not candidate.same_failure_domain:
        delay_s += OTHER_FAILURE_DOMAIN_PENALTY_S
    if candidate.is_primary:
        delay_s += PRIMARY_READ_PENALTY_S
    return delay_s


def choose_candidate(
    candidates: Sequence[Candidate], after: EntryId | None, now: float, tried: Iterable[str] = ()
) -> Candidate | None:
    """Return the eligible candidate with the lowest estimated delay, None if there is none.

    A replica is eligible if it probably has the log entry `after`; `tried` are ids to exclude.
    """
    excluded = frozenset(tried)
    eligible = [
        candidate for candidate in candidates if _exclusion(candidate, after, now, excluded) is None
    ]
    return min(eligible, key=estimated_delay_s, default=None)


def _exclusion(
    candidate: Candidate, after: EntryId | None, now: float, tried: frozenset[str]
) -> Exclusion | None:
    if candidate.id in tried:
        return Exclusion.TRIED
    if candidate.connection_limit <= 0:
        return Exclusion.NO_CONNECTIONS
    return None if _may_have_entry(candidate, after, now) else Exclusion.LAGGING


def _utilisation(candidate: Candidate, neutral: float) -> float:
    """Return the expected statements for each slot; `neutral` stands for what isn't known."""
    load = candidate.load
    if load is None:
        return neutral
    known = neutral if load.statements is None else load.statements / load.slots
    return load.trust * known + (1.0 - load.trust) * neutral + load.sent_since / load.slots


def _service_s(candidate: Candidate) -> float:
    return candidate.response_s if candidate.load is None else candidate.load.service_s


def expected_delay_s(candidate: Candidate, neutral: float) -> float:
    """Return the expected response time of one more statement from the load known of an instance.

    A statement rarely waits while slots are free, and always once all are taken. `neutral` is the
    utilisation that is assumed where none is known.
    """
    utilisation = _utilisation(candidate, neutral)
    delay_s = _service_s(candidate) * (1.0 + utilisation * min(1.0, utilisation))
    if not candidate.has_idle_connection:
        delay_s += CONNECTION_OPENING_S
    return delay_s + _penalty_s(candidate)


def _penalty_s(candidate: Candidate) -> float:
    penalty_s = 0.0 if candidate.same_failure_domain else OTHER_FAILURE_DOMAIN_PENALTY_S
    return penalty_s + (PRIMARY_READ_PENALTY_S if candidate.is_primary else 0.0)


def _mean_utilisation(candidates: Sequence[Candidate]) -> float:
    known = [
        (load.trust, load.trust * load.statements / load.slots)
        for candidate in candidates
        if (load := candidate.load) is not None and load.statements is not None
    ]
    trust = sum(weight for weight, _ in known)
    return sum(part for _, part in known) / trust if trust else UNKNOWN_UTILISATION


def _weights(delays_s: Sequence[float], rates: Sequence[float], horizon_s: float) -> list[float]:
    """Return the parts of the statements of `horizon_s` that even out the delays.

    Statements go to the lowest delays until all that got any are equal, as water fills a vessel
    with an uneven floor. `rates` are the statements that each instance serves in a second.
    """
    order = sorted(range(len(delays_s)), key=delays_s.__getitem__)
    work = horizon_s * sum(rates)
    filled_rate = filled = 0.0
    level = delays_s[order[0]]
    for position, index in enumerate(order):
        filled_rate += rates[index]
        filled += rates[index] * delays_s[index]
        level = (work + filled) / filled_rate
        following = order[position + 1 :][:1]
        if not following or level <= delays_s[following[0]]:
            break
    weights = [max(0.0, level - d) * rate for d, rate in zip(delays_s, rates, strict=True)]
    total = sum(weights)
    if not total:
        return [float(index == order[0]) for index in range(len(delays_s))]
    return [weight / total for weight in weights]


def assess_candidates(
    candidates: Sequence[Candidate], after: EntryId | None, now: float, tried: Iterable[str] = ()
) -> list[Assessment]:
    """Return all candidates with their part in an even choice."""
    excluded = frozenset(tried)
    exclusions = [_exclusion(candidate, after, now, excluded) for candidate in candidates]
    eligible = [index for index, exclusion in enumerate(exclusions) if exclusion is None]
    neutral = _mean_utilisation([candidates[index] for index in eligible])
    delays = [expected_delay_s(candidate, neutral) for candidate in candidates]
    delays = [
        delay_s + _retry_s(index, candidates[index], delays, eligible)
        for index, delay_s in enumerate(delays)
    ]
    sharing = list(_sharing(candidates, delays, eligible))
    weights = dict.fromkeys(range(len(candidates)), 0.0)
    if sharing:
        # What arrives while slots are free leaves no queue, so near instances are preferred then.
        queueing = min(1.0, neutral) ** QUEUEING_EXPONENT
        horizon_s = queueing * _mean_age_s([candidates[index] for index in sharing])
        rates = [_service_rate(candidates[index]) for index in sharing]
        shares = _weights([delays[index] for index in sharing], rates, horizon_s)
        weights.update(zip(sharing, shares, strict=True))
    return [
        Assessment(candidate, exclusions[index], delays[index], weights[index])
        for index, candidate in enumerate(candidates)
    ]


def _retry_s(
    index: int, candidate: Candidate, delays_s: Sequence[float], eligible: Iterable[int]
) -> float:
    """Return the time that failures add, as a failed statement has to run at another instance."""
    if candidate.load is None or not candidate.load.failed_share:
        return 0.0
    elsewhere_s = min((delays_s[other] for other in eligible if other != index), default=0.0)
    return candidate.load.failed_share * (FAILED_STATEMENT_PENALTY_S + elsewhere_s)


def _sharing(
    candidates: Sequence[Candidate], delays_s: Sequence[float], eligible: Sequence[int]
) -> Iterator[int]:
    """Yield the candidates that share the statements.

    The primary serves all writes, so it takes part only if it is expected to be faster than every
    replica in spite of its penalty.
    """
    fastest_s = min(
        (delays_s[index] for index in eligible if not candidates[index].is_primary),
        default=float("inf"),
    )
    for index in eligible:
        if not candidates[index].is_primary or delays_s[index] < fastest_s:
            yield index


def _load_known(candidate: Candidate) -> bool:
    return candidate.load is not None and candidate.load.statements is not None


def _mean_age_s(candidates: Sequence[Candidate]) -> float:
    ages_s = [candidate.load.age_s for candidate in candidates if candidate.load is not None]
    return sum(ages_s) / len(ages_s) if ages_s else 0.0


def _service_rate(candidate: Candidate) -> float:
    """Return the statements that an instance serves in a second, less with failures."""
    load = candidate.load
    slots, failed = (1, 0.0) if load is None else (load.slots, load.failed_share)
    return slots * (1.0 - min(failed, MAX_FAILED_SHARE)) ** 2 / _service_s(candidate)


def choose_evenly(assessments: Sequence[Assessment], rng: random.Random) -> Assessment | None:
    """Return a candidate drawn by weight, None if there is none."""
    eligible = [assessment for assessment in assessments if assessment.weight > 0.0]
    if not eligible:
        return None
    [drawn] = rng.choices(eligible, [assessment.weight for assessment in eligible])
    return drawn
