"""Counters and latency histograms of the session interface."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

from .metrics import REQUEST_SECONDS_BUCKETS, LabelLimiter

__all__ = ["FrontMetrics"]


class FrontMetrics:
    """Metrics of one VM; the number of label values is bounded."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._labels = LabelLimiter()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._statement_seconds = Histogram(
            "tanagerfront_statement_seconds",
            "Time to serve a statement, by organisation and route",
            registry=self._registry,
            buckets=REQUEST_SECONDS_BUCKETS,
        )

    def observe(self, organisation: str, route: str, seconds: float) -> None:
        """Record the time to serve one statement."""
        labels = {"organisation": self._labels.bounded_value(organisation), "route": route}
        self._statement_seconds.observe(labels, seconds)

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        self.add(name, 1, **labels)

    def add(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(f"tanagerfront_{name}_total", name, registry=self._registry)
            self._counters[name] = counter
        counter.add(
            {key: self._labels.bounded_value(label) for key, label in labels.items()}, value
        )

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"tanagerfront_{name}", name, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set({key: self._labels.bounded_value(text) for key, text in labels.items()}, value)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return bytes(text.TextFormatter().marshall(self._registry))
