"""Metrics of one VM in the Prometheus text format."""

from __future__ import annotations

import math
import re
from typing import cast

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text
from aioprometheus.histogram import Histogram as HistogramSeries

from .configuration import RequestClass

__all__ = ["LabelLimiter", "Metrics"]

REQUEST_SECONDS_BUCKETS = (
    *(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0),
    math.inf,
)
# A histogram has about 17 series, so 200 organisations in 3 classes make about 10,000 series.
MAX_LABEL_VALUES = 200
OTHER_LABEL = "other"
_UNSAFE = re.compile(r"[^A-Za-z0-9 ._:@()/-]")


class LabelLimiter:
    """Bound the cardinality of a label: values after the first `limit` become `other`."""

    def __init__(self, limit: int = MAX_LABEL_VALUES) -> None:
        self._limit = limit
        self._known: dict[str, str] = {}

    def bounded_value(self, raw: str) -> str:
        """Return the label value for `raw`, without characters that would break the text format."""
        known = self._known.get(raw)
        if known is not None:
            return known
        if len(self._known) >= self._limit:
            return OTHER_LABEL
        return self._known.setdefault(raw, _UNSAFE.sub("_", raw))


class Metrics:
    """Counters, gauges and histograms of one VM."""

    def __init__(self, max_label_values: int = MAX_LABEL_VALUES) -> None:
        self._registry = Registry()
        self._organisations = LabelLimiter(max_label_values)
        self._reasons = LabelLimiter(max_label_values)
        self._groups = LabelLimiter(max_label_values)
        self._instances = LabelLimiter(max_label_values)
        self._request_seconds = Histogram(
            "tanagerfront_request_seconds",
            "Time to serve a request, by organisation and request class",
            registry=self._registry,
            buckets=REQUEST_SECONDS_BUCKETS,
        )
        self._request_series: dict[tuple[str, RequestClass], HistogramSeries] = {}
        self._refusals = self._counter("refusals_total", "Requests refused, by problem type")
        self._reads = self._counter("reads_total", "Reads, by the role of the instance")
        self._retries = self._counter("retries_total", "Further attempts of requests, by cause")
        self._promotions = self._counter("promotions_total", "Changes of primary made by this VM")
        self._discarded = self._counter(
            "discarded_entries_total", "Log entries discarded when a former primary rejoined"
        )
        self._connections = self._gauge("connections", "Open connections, by kind")
        self._queues = self._gauge("queue_length", "Requests waiting for a slot, by instance")

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"tanagerfront_{name}", doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"tanagerfront_{name}", doc, registry=self._registry)

    @property
    def registry(self) -> Registry:
        """Return the registry, to which other modules may add collectors."""
        return self._registry

    def observe_request(
        self, organisation: str, request_class: RequestClass, seconds: float
    ) -> None:
        """Record the duration of a served request."""
        series = self._request_series.get((organisation, request_class))
        if series is None:
            series = self._add_request_series(organisation, request_class)
        series.observe(seconds)

    def _add_request_series(
        self, organisation: str, request_class: RequestClass
    ) -> HistogramSeries:
        label = self._organisations.bounded_value(organisation)
        labels = {"organisation": label, "class": request_class.name.lower()}
        try:
            series = cast(HistogramSeries, self._request_seconds.get_value(labels))
        except KeyError:
            series = HistogramSeries(*REQUEST_SECONDS_BUCKETS)
            self._request_seconds.set_value(labels, series)
        # The library looks a series up by its labels as JSON, which costs more than observing.
        if label != OTHER_LABEL:
            self._request_series[organisation, request_class] = series
        return series

    def count_refusal(self, reason: str, organisation: str) -> None:
        """Count a refused request; `reason` is a problem type."""
        labels = {
            "reason": self._reasons.bounded_value(reason),
            "organisation": self._organisations.bounded_value(organisation),
        }
        self._refusals.inc(labels)

    def count_read(self, *, by_replica: bool) -> None:
        """Count a read by the role of the instance that served it."""
        self._reads.inc({"role": "replica" if by_replica else "primary"})

    def count_retry(self, cause: str) -> None:
        """Count a retry; `cause` is a problem type."""
        self._retries.inc({"cause": self._reasons.bounded_value(cause)})

    def count_promotion(self, group: str) -> None:
        """Count a failover that this VM performed."""
        self._promotions.inc({"group": self._groups.bounded_value(group)})

    def count_discarded_entries(self, group: str, entries: int) -> None:
        """Count log entries of a rejoined former primary that are not in the group's history."""
        self._discarded.add({"group": self._groups.bounded_value(group)}, entries)

    def set_connections(self, kind: str, count: int) -> None:
        """Set the number of open connections of a kind, such as `callers` or `databases`."""
        self._connections.set({"kind": kind}, count)

    def set_queue_length(self, instance: str, count: int) -> None:
        """Set the number of requests that wait for a slot on an instance."""
        self._queues.set({"instance": self._instances.bounded_value(instance)}, count)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return bytes(text.TextFormatter().marshall(self._registry))
