"""Command line of the load generator and experiment runner."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Literal

import cyclopts
import msgspec
import trio

from .bench import BenchResult, run_bench
from .campaign import LOAD_SHARE, Campaign, load_plans, run_campaign
from .deployments import DEPLOYMENTS
from .even_load import ChoiceRule, EvenLoadCase, play_case
from .experiments import Experiment, ExperimentResult, Fault, run_experiment
from .faults import freeze_primary, freeze_vm, kill_primary, kill_vm, replace_vm, service_outage
from .history import write_history
from .processes import ClusterOptions
from .replay import PATTERNS
from .replay import replay as replay_pattern
from .slopes import measure_slopes
from .soak import SoakOptions, run_soak

__all__ = ["app", "main"]

app = cyclopts.App(name="tanagerfront-lab", help="Load and experiments on real processes.")
FAULTS: dict[str, Fault] = {
    "kill-primary": kill_primary,
    "freeze-primary": freeze_primary,
    "kill-vm": kill_vm,
    "freeze-vm": freeze_vm,
    "replace-vm": replace_vm,
    "outage": service_outage,
}


def _print_result(name: str, result: ExperimentResult) -> None:
    measures = result.measures
    gap = max(measures.gaps_s.values(), default=0.0)
    print(f"{name}: {measures.calls} calls, {measures.failed} not served")
    print(f"  reads on replicas (eligible)   {measures.replica_share:.1%}")
    print(f"  longest gap in writes          {gap:.2f} s")
    print(f"  refused for the rate           {measures.refused_share:.3%}")
    print(f"  unknown outcomes               {measures.unknown}")
    print(f"  violations                     {len(result.violations)}")
    print(f"  {'organisation':<16}{'calls':>8}{'per s':>9}{'429':>7}{'failed':>8}"
          f"{'p50 ms':>9}{'p99 ms':>9}")  # fmt: skip
    for entry in measures.organisations:
        print(
            f"  {entry.organisation:<16}{entry.calls:>8}{entry.throughput:>9.1f}"
            f"{entry.refused:>7}{entry.failed:>8}{entry.median_ms:>9.1f}{entry.p99_ms:>9.1f}"
        )
    for violation in result.violations[:10]:
        print(f"  violation: {violation.guarantee}: {violation.detail}")


@app.command
def run(
    deployment: Literal["kumasi", "frost"],
    *,
    fault: Annotated[tuple[str, ...], cyclopts.Parameter(consume_multiple=True)] = (),
    at: float = 5.0,
    duration: float = 15.0,
    share: float = LOAD_SHARE,
    flood: str = "",
    baseline: bool = False,
    acknowledge: Literal["replicated", "majority-term"] = "replicated",
    homes: int = 3,
    apply_delay_ms: float = 20.0,
    receive_delay_ms: float = 1.0,
    statement_ms: float = 2.0,
    seed: int = 1,
    history: Path | None = None,
    json: Path | None = None,
) -> None:
    """Run one experiment and print the measures.

    Parameters
    ----------
    fault: Faults to inject together, such as kill-primary or outage.
    at: Seconds after the start of the load at which they begin.
    share: Part of each organisation's rate that the load uses.
    flood: Organisation that sends five times its rate.
    baseline: Send all reads to the primary and no idempotency keys.
    history: File for the history, as JSON lines.
    json: File for the measures.
    """
    unknown = [name for name in fault if name not in FAULTS]
    if unknown:
        print(f"no fault {', '.join(unknown)}; there are {', '.join(FAULTS)}", file=sys.stderr)
        sys.exit(2)
    sizes = DEPLOYMENTS[deployment]
    options = ClusterOptions(
        acknowledge=acknowledge,
        homes=homes,
        apply_delay_ms=apply_delay_ms,
        receive_delay_ms=receive_delay_ms,
        statement_ms=statement_ms,
    )
    experiment = Experiment(
        deployment=sizes,
        options=options,
        plans=load_plans(sizes, duration, share=share, baseline=baseline, flood=flood),
        seed=seed,
        faults=tuple((at, FAULTS[name]) for name in fault),
    )
    result = trio.run(run_experiment, experiment)
    _print_result(f"{deployment} {' '.join(fault)}", result)
    if history is not None:
        write_history(history, result.history)
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(result.measures)))
    if result.violations:
        sys.exit(1)


@app.command
def replay(pattern: str = "", *, seed: int = 1) -> None:
    """Replay recorded load patterns, or one of them, in simulated time.

    Parameters
    ----------
    pattern: Name of the pattern; all by default.
    """
    if pattern and pattern not in PATTERNS:
        print(f"no such pattern; there are {', '.join(PATTERNS)}", file=sys.stderr)
        sys.exit(2)
    print(f"{'pattern':<28}{'asked':>7}{'in time':>9}{'late':>7}{'refused':>9}{'opened':>8}"
          f"{'small':>8}{'large':>8}")  # fmt: skip
    for name in (pattern,) if pattern else PATTERNS:
        counts = replay_pattern(PATTERNS[name], seed)
        print(
            f"{name:<28}{counts.asked:>7}{counts.in_time:>9}{counts.late:>7}{counts.refused:>9}"
            f"{counts.opened:>8}{counts.small_in_time:>8.1%}{counts.large_in_time:>8.1%}"
        )


@app.command
def even_load(
    *,
    vms: int = 84,
    instances: int = 3,
    age_ms: float = 200.0,
    utilisation: float = 0.75,
    slow: bool = False,
    failing: bool = False,
    domains: bool = False,
    returns_at: float = 0.0,
    seed: int = 1,
) -> None:
    """Compare choices of the instance on old load readings, in virtual time.

    Parameters
    ----------
    age_ms: Age of the load readings that the VMs choose by.
    slow: Let the last instance be four times slower.
    failing: Let the last instance fail all statements fast.
    domains: Give each instance a failure domain of its own.
    returns_at: Seconds until the last instance takes part.
    """
    case = EvenLoadCase(
        vms, instances, age_ms / 1000, utilisation,
        slow=slow, failing=failing, domains=domains, returns_at=returns_at,
    )  # fmt: skip
    print(f"{'choice':<20}{'idle':>8}{'largest':>9}{'p99 ms':>9}{'failed':>8}{'other':>8}")
    for rule in ChoiceRule:
        figures = play_case(case, rule, seed)
        print(
            f"{rule.value:<20}{figures.idle_share:>8.1%}{figures.largest_over_mean:>9.2f}"
            f"{figures.p99_wait_s * 1000:>9.0f}{figures.failed_share:>8.1%}"
            f"{figures.other_domain_share:>8.1%}"
        )


def _print_bench(result: BenchResult) -> None:
    direct, proxied = result.direct, result.proxied
    added = result.half_load_proxied_ms - result.half_load_direct_ms
    print(f"direct             {direct.per_s:8.0f}/s   median {direct.median_ms:.2f} ms")
    print(f"through one VM     {proxied.per_s:8.0f}/s   median {proxied.median_ms:.2f} ms")
    print(f"ratio              {proxied.per_s / direct.per_s:8.2f}     target at least 0.50")
    print(f"per core of the VM {proxied.per_cpu_s:8.0f}/s   target at least 3000")
    print(f"added at half load {added:8.2f} ms  target at most 1.00")
    print(f"idle VM            {result.idle_vm_mb:8.1f} MB  target at most 64")
    print(f"idle connection    {result.idle_connection_kb:8.1f} KB  target at most 20")


def _print_campaign(campaign: Campaign) -> None:
    gaps = sorted(campaign.gaps_s)
    print(f"{campaign.deployment}")
    print(f"  eligible reads on replicas     {campaign.replica_share:.1%}   baseline 0.0%")
    print(f"  failover gaps                  {', '.join(f'{gap:.2f}' for gap in gaps)} s")
    print(f"  median and worst gap           {campaign.median_gap_s:.2f} s, {gaps[-1]:.2f} s")
    print(f"  doubled and lost writes        {campaign.write_violations}   "
          f"baseline {campaign.baseline_write_violations}")  # fmt: skip
    print(f"  other violations               {campaign.other_violations}")
    print(f"  refused within the rate, calm  {campaign.no_fault_refused_share:.3%}")
    print(f"  refused within the rate, kills {campaign.failover_refused_share:.3%}")
    worst = campaign.most_affected
    print(f"  worst served under a flood     {worst.organisation}: "
          f"{worst.throughput_ratio:.1%} of its calm throughput, "
          f"{worst.p99_ratio:.2f} times its calm p99")  # fmt: skip


@app.command
def measure(
    deployments: Annotated[
        tuple[Literal["kumasi", "frost"], ...], cyclopts.Parameter(consume_multiple=True)
    ] = ("kumasi", "frost"),
    *,
    runs: int = 3,
    share: float = LOAD_SHARE,
    seed: int = 1,
    json: Path | None = None,
) -> None:
    """Measure replica reads, failover gap, worst-served organisation and refusals.

    Parameters
    ----------
    runs: Failovers for each deployment.
    share: Part of each organisation's rate that the load uses.
    json: File for the measures.
    """
    campaigns = []
    for name in deployments:
        campaigns.append(run_campaign(DEPLOYMENTS[name], runs=runs, share=share, seed=seed))
        _print_campaign(campaigns[-1])
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(campaigns)))


@app.command
def bench() -> None:
    """Compare calls through one VM with direct calls to the stand-in databases."""
    _print_bench(trio.run(run_bench))


@app.command
def slopes(*, json: Path | None = None) -> None:
    """Measure the slopes that CAPACITY.md is computed from.

    Parameters
    ----------
    json: File for the points and fits.
    """
    measured = trio.run(measure_slopes)
    for slope in measured:
        points = ", ".join(f"{size:g}: {value:.4g}" for size, value in slope.points)
        print(f"{slope.name}: {slope.slope:.4g} {slope.unit} for each {slope.per}")
        print(
            f"    at 0: {slope.intercept:.4g}, largest residual {slope.max_residual:.2g}; {points}"
        )
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(measured)))


@app.command
def soak(
    *,
    seed: int = 1,
    runs: int = 1,
    seconds: float = 20.0,
    vms: int = 4,
    restores: int = 0,
    evacuations: int = 0,
    synchronous: bool = False,
    odd_entries: int = 0,
    groups: int = 1,
    promoter_kills: int = 0,
    order_cuts: int = 0,
    timeout_ms: int = 900,
    random_faults: bool = True,
    keep: Path | None = None,
) -> None:
    """Run the session interface under faults and check its promises.

    Parameters
    ----------
    seed: First seed; further runs use the next ones.
    restores: How often the store returns from an older copy, beside random faults.
    evacuations: How many failure domains are taken out of service and given back, beside them.
    synchronous: Acknowledge commits after a replica has received them, and lose none.
    odd_entries: How many malformed entries of instances another writer leaves in the store.
    groups: How many groups of instances there are.
    promoter_kills: How often primaries are replaced while the promoter's process is ended.
    order_cuts: How often a promoter is cut off while its order is on the way.
    timeout_ms: Limit for a statement.
    random_faults: Inject faults at random times.
    keep: Directory for settings and logs of the VMs.
    """
    failed = 0
    for number in range(seed, seed + runs):
        options = SoakOptions(
            number,
            seconds,
            vms,
            restores=restores,
            evacuations=evacuations,
            synchronous=synchronous,
            odd_entries=odd_entries,
            groups=groups,
            promoter_kills=promoter_kills,
            order_cuts=order_cuts,
            timeout_ms=timeout_ms,
            random_faults=random_faults,
        )
        result = run_soak(options, keep / str(number) if keep else None)
        print(
            f"seed {result.seed}: {result.served} served, {result.refused} refused, "
            f"{len(result.faults)} faults, {len(result.violations)} violations",
            flush=True,
        )
        for violation in result.violations:
            print(f"    {violation}")
        failed += bool(result.violations)
    if failed:
        raise SystemExit(1)


def main() -> None:
    """Run the command line."""
    app()
