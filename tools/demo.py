"""Start a small deployment, place orders on it, kill a primary, and print what came of it.

Exits with 1 when a read misses a write of its session, or an order is lost or doubled.
"""

from __future__ import annotations

import sys

import trio

from tanagerfront_lab.deployments import KUMASI
from tanagerfront_lab.experiments import Experiment, ExperimentResult, run_experiment
from tanagerfront_lab.load import LoadPlan, VmBalancer
from tanagerfront_lab.processes import Cluster, ClusterOptions

DURATION_S = 12.0
KILL_AFTER_S = 4.0
SEED = 1
SETTINGS = {"timing": {"drain_delay": "0.5"}}


async def kill_primary(cluster: Cluster, _balancer: VmBalancer) -> None:
    primary = await cluster.primary(cluster.groups[0])
    cluster.kill(primary.name)
    print(f"killed the primary {primary.name}", flush=True)


def print_outcome(outcome: ExperimentResult) -> None:
    operations = outcome.history.operations
    writes = [op for op in operations if op.kind == "write"]
    rows = (
        ("calls", len(operations)),
        ("orders acknowledged", sum(1 for op in writes if op.acknowledged)),
        ("orders in the database", len(outcome.history.rows)),
        ("reads by replicas", f"{outcome.measures.replica_share:.1%}"),
        ("longest gap in orders", f"{max(outcome.measures.gaps_s.values(), default=0):.2f} s"),
        ("calls that failed", outcome.measures.failed),
        ("violations", len(outcome.violations)),
    )
    for name, value in rows:
        print(f"{name:<24}{value}")
    for violation in outcome.violations[:10]:
        print(f"violation: {violation.guarantee}: {violation.detail}")


def main() -> int:
    print("starting the platform's stand-in, three databases and three VMs", flush=True)
    plans = [
        LoadPlan(tenant, rate=30, duration_s=DURATION_S, read_share=0.5)
        for tenant in ("foremen", "agents-1")
    ]
    experiment = Experiment(
        deployment=KUMASI,
        options=ClusterOptions(vms=3, groups=1, settings=SETTINGS),
        plans=tuple(plans),
        seed=SEED,
        faults=((KILL_AFTER_S, kill_primary),),
    )
    outcome = trio.run(run_experiment, experiment)
    print_outcome(outcome)
    served = sum(1 for op in outcome.history.operations if op.acknowledged)
    return 1 if outcome.violations or not served else 0


if __name__ == "__main__":
    sys.exit(main())
