"""Start a small deployment, send orders to it, kill a primary and print the results.

Exits with 1 if a read misses a write of its session, an order is lost or duplicated, or no call
succeeds.
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


def print_result(result: ExperimentResult) -> None:
    operations = result.history.operations
    writes = [op for op in operations if op.kind == "write"]
    rows = (
        ("calls", len(operations)),
        ("orders acknowledged", sum(1 for op in writes if op.acknowledged)),
        ("orders in the database", len(result.history.rows)),
        ("reads by replicas", f"{result.measures.replica_share:.1%}"),
        ("longest gap in orders", f"{max(result.measures.gaps_s.values(), default=0):.2f} s"),
        ("calls that failed", result.measures.failed),
        ("violations", len(result.violations)),
    )
    for name, value in rows:
        print(f"{name:<24}{value}")
    for violation in result.violations[:10]:
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
    result = trio.run(run_experiment, experiment)
    print_result(result)
    served = sum(1 for op in result.history.operations if op.acknowledged)
    return 1 if result.violations or not served else 0


if __name__ == "__main__":
    sys.exit(main())
