"""Replica share, failover gaps, latencies and refusals computed from recorded operations."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from .history import Operation

__all__ = ["Measures", "OrganisationMeasures", "failover_gaps", "latency_histogram", "measure"]

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


class OrganisationMeasures(NamedTuple):
    """Counts of calls, acknowledged calls per second and latencies of one organisation."""

    organisation: str
    calls: int
    throughput: float
    refused: int
    failed: int
    median_ms: float
    p99_ms: float


class Measures(NamedTuple):
    """Measures of a run; shares are between 0 and 1, `gaps_s` is by group."""

    calls: int
    replica_share: float
    gaps_s: Mapping[str, float]
    refused_share: float
    unknown: int
    failed: int
    organisations: tuple[OrganisationMeasures, ...]


def latency_histogram(operations: Iterable[Operation]) -> HdrHistogram:
    """Return a histogram of the latencies of acknowledged calls, in microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for operation in operations:
        if operation.acknowledged:
            histogram.record_value(max(1, int((operation.ended - operation.started) * 1e6)))
    return histogram


def failover_gaps(operations: Sequence[Operation], since: float) -> Mapping[str, float]:
    """Return for each group the longest time in seconds without an acknowledged write."""
    gaps: dict[str, float] = {}
    last: dict[str, float] = {}
    writes = (op for op in operations if op.kind == "write" and op.acknowledged)
    for write in sorted(writes, key=lambda op: op.ended):
        if write.ended >= since:
            previous = max(last.get(write.group, since), since)
            gaps[write.group] = max(gaps.get(write.group, 0.0), write.ended - previous)
        last[write.group] = write.ended
    return gaps


def _organisation_measures(
    organisation: str, operations: Sequence[Operation], seconds: float
) -> OrganisationMeasures:
    histogram = latency_histogram(operations)
    acknowledged = sum(1 for op in operations if op.acknowledged)
    refused = sum(1 for op in operations if op.status == 429)
    return OrganisationMeasures(
        organisation=organisation,
        calls=len(operations),
        throughput=acknowledged / seconds,
        refused=refused,
        failed=len(operations) - acknowledged - refused,
        median_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
    )


def measure(operations: Sequence[Operation], seconds: float, since: float = 0.0) -> Measures:
    """Return the measures of a run of `seconds`; `since` is when the first gap can start."""
    eligible = [op for op in operations if op.eligible and op.acknowledged]
    by_replica = sum(1 for op in eligible if op.by_replica)
    names = sorted({op.organisation for op in operations})
    by_name = {name: [op for op in operations if op.organisation == name] for name in names}
    refused = sum(1 for op in operations if op.status == 429)
    return Measures(
        calls=len(operations),
        replica_share=by_replica / len(eligible) if eligible else 0.0,
        gaps_s=failover_gaps(operations, since),
        refused_share=refused / len(operations) if operations else 0.0,
        unknown=sum(1 for op in operations if op.executed == "unknown"),
        failed=sum(1 for op in operations if not op.acknowledged),
        organisations=tuple(_organisation_measures(name, by_name[name], seconds) for name in names),
    )
