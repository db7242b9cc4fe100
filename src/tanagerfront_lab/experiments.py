"""Run an experiment: a deployment under load, planned faults, and a check of the history."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import msgspec
import trio

from tanagerfront.errors import TanagerfrontError

from .checker import Violation, check_history
from .deployments import Deployment
from .history import FinalRow, History
from .load import LoadPlan, Recorder, VmBalancer, run_load
from .measures import Measures, measure
from .processes import Cluster, ClusterOptions, DatabaseProcess, request_once

__all__ = ["Experiment", "Fault", "ExperimentResult", "read_rows", "run_experiment"]

SETTLE_S = 2.0
READ_ROWS_ATTEMPTS = 40
READ_ROWS_INTERVAL_S = 0.25

Fault = Callable[[Cluster, VmBalancer], Awaitable[None]]


class Experiment(NamedTuple):
    """Setup of an experiment; `faults` are pairs of seconds after the start of load and fault."""

    deployment: Deployment
    options: ClusterOptions
    plans: tuple[LoadPlan, ...]
    seed: int
    faults: tuple[tuple[float, Fault], ...] = ()


class ExperimentResult(NamedTuple):
    """Recorded history of an experiment, with its violations and measures."""

    history: History
    violations: tuple[Violation, ...]
    measures: Measures


async def _primary_rows(database: DatabaseProcess, term: int) -> list[FinalRow]:
    query = {"sql": "SELECT ref, session, seq FROM records", "params": []}
    body = {
        "term": term,
        "statements": [query],
        "begin": True,
        "commit": True,
        "read_only": True,
    }
    reply = await request_once(
        database.address, "POST", "/execute", msgspec.json.encode(body), timeout_s=10
    )
    if reply.status != 200:
        raise RuntimeError(f"{database.name} rejected the final read: {reply.body!r}")
    rows = msgspec.json.decode(reply.body)["results"][0]["rows"]
    return [FinalRow(database.group, ref, session, seq) for ref, session, seq in rows]


async def read_rows(cluster: Cluster, group: str) -> list[FinalRow]:
    """Read all rows of a group from its primary; retries while there is none.

    Raises RuntimeError after the last attempt.
    """
    for _ in range(READ_ROWS_ATTEMPTS):
        try:
            primary = await cluster.primary(group)
            status = await cluster.database_status(primary)
            return await _primary_rows(primary, int(str(status["term"])))
        except (RuntimeError, TanagerfrontError):
            await trio.sleep(READ_ROWS_INTERVAL_S)
    raise RuntimeError(f"could not read the final rows of {group} from a primary")


async def _inject_faults(
    cluster: Cluster, balancer: VmBalancer, faults: Sequence[tuple[float, Fault]]
) -> None:
    start = trio.current_time()
    for seconds, fault in sorted(faults, key=lambda item: item[0]):
        await trio.sleep_until(start + seconds)
        await fault(cluster, balancer)


async def run_experiment(experiment: Experiment) -> ExperimentResult:
    """Start the processes, apply load and faults, and check the history."""
    recorder = Recorder()
    async with Cluster(experiment.deployment, experiment.options) as cluster:
        balancer = VmBalancer(cluster.vms, random.Random(experiment.seed))
        plans = [plan._replace(groups=plan.groups or cluster.groups) for plan in experiment.plans]
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_inject_faults, cluster, balancer, experiment.faults)
            await run_load(plans, balancer, recorder, seed=experiment.seed)
        await trio.sleep(SETTLE_S)
        await balancer.close()
        rows = [row for group in cluster.groups for row in await read_rows(cluster, group)]
    history = History(recorder.operations, tuple(rows))
    seconds = max(plan.duration_s for plan in plans)
    return ExperimentResult(
        history,
        tuple(check_history(history)),
        measure(recorder.operations, seconds, since=start),
    )
