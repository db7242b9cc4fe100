"""The runs that give the four measures of one deployment, beside a baseline."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import NamedTuple

import trio

from .deployments import Deployment
from .experiments import Experiment, ExperimentResult, Fault, run_experiment
from .faults import kill_primary
from .load import LoadPlan
from .measures import OrganisationMeasures
from .processes import ClusterOptions

__all__ = ["LOAD_SHARE", "Campaign", "MostAffectedOrganisation", "load_plans", "run_campaign"]

# Part of each organisation's rate that the load uses.
LOAD_SHARE = 0.15
FLOOD_FACTOR = 5.0
DURATION_S = 12.0
KILL_AT_S = 4.0
# Writes per second to the group whose primary is killed; fewer would show the pauses between
# arrivals as gaps.
GAP_WRITE_RATE = 40.0
WRITE_GUARANTEES = frozenset({"at-most-once", "lost-write"})


class MostAffectedOrganisation(NamedTuple):
    """The organisation that suffers most while another sends several times its rate."""

    organisation: str
    throughput_ratio: float
    p99_ratio: float


class Campaign(NamedTuple):
    """Measures of one deployment; shares are between 0 and 1."""

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
    """Return the load of all organisations; `flood` sends a multiple of its own rate."""
    return tuple(
        LoadPlan(
            tenant.name,
            rate=tenant.rate * (FLOOD_FACTOR if tenant.name == flood else share),
            duration_s=duration_s,
            max_staleness_s=None if baseline else 2.0,
            idempotency_keys=not baseline,
        )
        for tenant in deployment.organisations
    )


def _gap_writer(deployment: Deployment, plan: LoadPlan) -> LoadPlan:
    """Return steady writes to the first group, on which the faults act."""
    return plan._replace(rate=GAP_WRITE_RATE, read_share=0.0, groups=deployment.groups[:1])


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
        plans = (*plans, _gap_writer(deployment, plans[0]))
    return trio.run(run_experiment, Experiment(deployment, ClusterOptions(), plans, seed, faults))


def _write_violations(outcomes: Sequence[ExperimentResult]) -> int:
    found = (violation for outcome in outcomes for violation in outcome.violations)
    return sum(1 for violation in found if violation.guarantee in WRITE_GUARANTEES)


def _other_violations(outcomes: Sequence[ExperimentResult]) -> int:
    return sum(len(outcome.violations) for outcome in outcomes) - _write_violations(outcomes)


def _refused(outcomes: Sequence[ExperimentResult]) -> float:
    calls = sum(outcome.measures.calls for outcome in outcomes)
    refused = sum(tenant.refused for each in outcomes for tenant in each.measures.organisations)
    return refused / calls


def _most_affected(
    calm: ExperimentResult, flooded: ExperimentResult, flood: str
) -> MostAffectedOrganisation:
    before = {tenant.organisation: tenant for tenant in calm.measures.organisations}

    def compare(tenant: OrganisationMeasures) -> MostAffectedOrganisation:
        base = before[tenant.organisation]
        served = (tenant.calls - tenant.failed - tenant.refused) / tenant.calls
        base_served = (base.calls - base.failed - base.refused) / base.calls
        return MostAffectedOrganisation(
            tenant.organisation, served / base_served, tenant.p99_ms / max(base.p99_ms, 1e-3)
        )

    others = [tenant for tenant in flooded.measures.organisations if tenant.organisation != flood]
    return min(map(compare, others), key=lambda worst: (worst.throughput_ratio, -worst.p99_ratio))


def run_campaign(deployment: Deployment, *, runs: int, share: float, seed: int) -> Campaign:
    """Run calm, failover, flood and baseline experiments and return the measures."""
    flood = deployment.organisations[0].name
    calm = _run(deployment, seed, share)
    failovers = [
        _run(deployment, seed + number, share, fault=kill_primary) for number in range(runs)
    ]
    flooded = _run(deployment, seed, share, flood=flood)
    baseline = _run(deployment, seed, share, fault=kill_primary, baseline=True)
    judged = [calm, *failovers, flooded]
    return Campaign(
        deployment=deployment.name,
        replica_share=calm.measures.replica_share,
        gaps_s=tuple(outcome.measures.gaps_s[deployment.groups[0]] for outcome in failovers),
        write_violations=_write_violations(judged),
        baseline_write_violations=_write_violations([baseline]),
        other_violations=_other_violations(judged),
        no_fault_refused_share=_refused([calm]),
        failover_refused_share=_refused(failovers),
        most_affected=_most_affected(calm, flooded, flood),
    )
