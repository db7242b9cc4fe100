"""Periodic report of the queue for an instance's slots, as one log line and metrics by priority."""

from __future__ import annotations

from .decision_log import DecisionLog
from .front_metrics import FrontMetrics
from .instance_directory import Instance

__all__ = ["report_slot_queue"]


def report_slot_queue(instance: Instance, log: DecisionLog, metrics: FrontMetrics) -> None:
    """Report what happened in the queue since the last report, unless nothing waited."""
    counts = instance.pool.take_slot_counts()
    if counts is None or not (counts.admitted_after_wait or counts.refused):
        return
    for priority, number in counts.admitted_after_wait.items():
        label = str(priority)
        metrics.add("slot_waits", number, priority=label)
        metrics.add("slot_wait_seconds", counts.waited_s[priority], priority=label)
    for (priority, refusal), number in counts.refused.items():
        metrics.add("slot_refusals", number, priority=str(priority), reason=refusal.name.lower())
    metrics.gauge("slot_queue_longest", counts.longest_queue, instance=instance.registration.id)
    log.decision(
        "slot_queue",
        instance=instance.registration.id,
        admitted_at_once=counts.admitted_at_once,
        waited={str(priority): number for priority, number in counts.admitted_after_wait.items()},
        mean_wait_ms={
            str(priority): round(1000 * counts.waited_s[priority] / number, 1)
            for priority, number in counts.admitted_after_wait.items()
        },
        refused={
            f"{priority} {refusal.name.lower()}": number
            for (priority, refusal), number in counts.refused.items()
        },
        longest_queue=counts.longest_queue,
    )
