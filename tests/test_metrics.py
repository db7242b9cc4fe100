"""Metrics: text format and bounded cardinality."""

from __future__ import annotations

from support import TestCase
from tanagerfront.configuration import RequestClass
from tanagerfront.metrics import LabelLimiter, Metrics


class MetricsTest(TestCase):
    def test_series_are_rendered_with_labels_and_buckets(self) -> None:
        # Guards against buckets that are not cumulative and labels that are missing.
        metrics = Metrics()
        for seconds in (0.0001, 0.003, 99):
            metrics.observe_request("foremen", RequestClass.ORDERS, seconds)
        metrics.count_refusal("rate-limited", "foremen")
        metrics.count_read(by_replica=True)
        metrics.count_discarded_entries("orders-1", 3)
        metrics.set_connections("callers", 2)
        text = metrics.render().decode()
        labels = 'class="orders",le="{}",organisation="foremen"'
        for bound, count in (("0.0005", 1), ("0.005", 2), ("+Inf", 3)):
            line = f"request_seconds_bucket{{{labels.format(bound)}}} {count}.0"
            self.assertIn(line, text)
        self.assertIn('refusals_total{organisation="foremen",reason="rate-limited"} 1', text)
        self.assertIn('reads_total{role="replica"} 1', text)
        self.assertIn('discarded_entries_total{group="orders-1"} 3', text)
        self.assertIn('connections{kind="callers"} 2', text)

    def test_number_of_label_values_is_bounded(self) -> None:
        # Guards against memory and scrape size that grow with label values chosen by callers.
        metrics = Metrics(max_label_values=3)
        for number in range(1000):
            metrics.count_refusal("sql", f"org-{number}")
        lines = [line for line in metrics.render().decode().splitlines() if "refusals" in line]
        samples = [line for line in lines if not line.startswith("#")]
        self.assertEqual(4, len(samples))
        self.assertIn('tanagerfront_refusals_total{organisation="other",reason="sql"} 997', samples)

    def test_label_values_cannot_break_the_format(self) -> None:
        # Guards against a label value that injects lines into the output.
        limiter = LabelLimiter(5)
        self.assertEqual("a__b_", limiter.bounded_value('a"\nb\\'))

    def test_two_registries_are_independent(self) -> None:
        # Guards against the global registry of the library, where the metrics of two VMs collide.
        Metrics().count_promotion("orders-1")
        self.assertNotIn("orders-1", Metrics().render().decode())
