"""Experiments that measure a deployment and compare it with a baseline configuration."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import NamedTuple

import trio

from .checker import count_doubled_writes
from .deployments import Deployment
from .experiments import Experiment, ExperimentResult, Fault, run_experiment
from .faults import kill_primary
from .load import LoadPlan
from .measures import OrganisationMeasures
from .processes import ClusterOptions

__all__ = ["LOAD_SHARE", "Campaign", "MostAffectedOrganisation", "load_plans", "run_campaign"]

# Fraction of its rate limit at which each organisation sends.
LOAD_SHARE = 0.15
FLOOD_FACTOR = 5.0
DURATION_S = 12.0
KILL_AT_S = 4.0
# Writes per second to the group whose primary is killed. At a lower rate the time between arrivals
# would be measured as a failover gap.
GAP_WRITES_PER_S = 40.0
WRITE_GUARANTEES = frozenset({"at-most-once", "lost-write"})


class MostAffectedOrganisation(NamedTuple):
    """The organisation affected most by a flood, with ratios to its run without the flood."""

    organisation: str
    throughput_ratio: float
    p99_ratio: float


class Campaign(NamedTuple):
    """Measures of a deployment over several experiments; shares are between 0 and 1.

    The baseline's write violations include rows that its callers doubled by repeating a call.
    """

    deployment: str
    replica_share: float
    gaps_s: tuple[float, ...]
    write_violations: int
    baseline_write_violations: int
    other_violations: int
    no_fault_refused_share: float
    failover_refused_share: float
    most_affected: MostAffectedOrganisation

    @property
    def median_gap_s(self) -> float:
        """Return the median failover gap in seconds."""
        return statistics.median(self.gaps_s)


def load_plans(
    deployment: Deployment,
    duration_s: float,
    *,
    share: float = LOAD_SHARE,
    baseline: bool = False,
    flood: str = "",
) -> tuple[LoadPlan, ...]:
    """Return load plans for all organisations; `flood` sends FLOOD_FACTOR times its rate limit.

    A baseline plan sends all reads to the primary and no idempotency keys.
    """
    return tuple(
        LoadPlan(
            organisation.name,
            rate=organisation.rate * (FLOOD_FACTOR if organisation.name == flood else share),
            duration_s=duration_s,
            max_staleness_s=None if baseline else 2.0,
            idempotency_keys=not baseline,
        )
        for organisation in deployment.organisations
    )


def _gap_write_plan(deployment: Deployment, plan: LoadPlan) -> LoadPlan:
    """Return a plan of writes to the first group, which is the target of the faults."""
    return plan._replace(rate=GAP_WRITES_PER_S, read_share=0.0, groups=deployment.groups[:1])


def _run(
    deployment: Deployment,
    seed: int,
    share: float,
    *,
    fault: Fault | None = None,
    baseline: bool = False,
    flood: str = "",
) -> ExperimentResult:
    plans = load_plans(deployment, DURATION_S, share=share, baseline=baseline, flood=flood)
    faults = ((KILL_AT_S, fault),) if fault else ()
    if fault:
        plans = (*plans, _gap_write_plan(deployment, plans[0]))
    return trio.run(run_experiment, Experiment(deployment, ClusterOptions(), plans, seed, faults))


def _write_violations(results: Sequence[ExperimentResult]) -> int:
    violations = (violation for result in results for violation in result.violations)
    return sum(1 for violation in violations if violation.guarantee in WRITE_GUARANTEES)


def _other_violations(results: Sequence[ExperimentResult]) -> int:
    return sum(len(result.violations) for result in results) - _write_violations(results)


def _refused_share(results: Sequence[ExperimentResult]) -> float:
    calls = sum(result.measures.calls for result in results)
    refused = sum(entry.refused for result in results for entry in result.measures.organisations)
    return refused / calls


def _most_affected(
    undisturbed: ExperimentResult, flooded: ExperimentResult, flood: str
) -> MostAffectedOrganisation:
    before = {entry.organisation: entry for entry in undisturbed.measures.organisations}

    def compare(entry: OrganisationMeasures) -> MostAffectedOrganisation:
        reference = before[entry.organisation]
        served_share = (entry.calls - entry.failed - entry.refused) / entry.calls
        reference_served_share = (
            reference.calls - reference.failed - reference.refused
        ) / reference.calls
        return MostAffectedOrganisation(
            entry.organisation,
            served_share / reference_served_share,
            entry.p99_ms / max(reference.p99_ms, 1e-3),
        )

    others = [entry for entry in flooded.measures.organisations if entry.organisation != flood]
    return min(
        map(compare, others), key=lambda affected: (affected.throughput_ratio, -affected.p99_ratio)
    )


def run_campaign(deployment: Deployment, *, runs: int, share: float, seed: int) -> Campaign:
    """Run experiments without faults, with failovers, a flood and the baseline; measure them."""
    flood = deployment.organisations[0].name
    undisturbed = _run(deployment, seed, share)
    failovers = [
        _run(deployment, seed + number, share, fault=kill_primary) for number in range(runs)
    ]
    flooded = _run(deployment, seed, share, flood=flood)
    baseline = _run(deployment, seed, share, fault=kill_primary, baseline=True)
    measured = [undisturbed, *failovers, flooded]
    return Campaign(
        deployment=deployment.name,
        replica_share=undisturbed.measures.replica_share,
        gaps_s=tuple(result.measures.gaps_s[deployment.groups[0]] for result in failovers),
        write_violations=_write_violations(measured),
        baseline_write_violations=(
            _write_violations([baseline]) + count_doubled_writes(baseline.history)
        ),
        other_violations=_other_violations(measured),
        no_fault_refused_share=_refused_share([undisturbed]),
        failover_refused_share=_refused_share(failovers),
        most_affected=_most_affected(undisturbed, flooded, flood),
    )
