"""Monitoring of a database group by a home VM, for the HTTP interface."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import structlog
import trio

from .acknowledgement import Verdict, decide_majority_term, decide_replicated
from .configuration import Acknowledge, Group, Instance
from .databases import DatabaseSession, FollowResult, InstanceStatus
from .entry_id import EntryId
from .errors import ConnectionLostError, DatabaseError, OutcomeUnknownError, UnavailableError
from .http_client import Address

__all__ = [
    "ControlSession",
    "GroupMonitor",
    "GroupSnapshot",
    "InstanceSnapshot",
    "LiveGroupMonitor",
    "OpenSession",
    "ProbeSettings",
]

_log = structlog.get_logger(__name__)


class InstanceSnapshot(NamedTuple):
    """Last observed state of one instance; `observed_at` is a time of trio's clock in seconds."""

    instance: Instance
    status: InstanceStatus | None
    reachable: bool
    observed_at: float


class GroupSnapshot(NamedTuple):
    """Last observed state of a group; `primary` is None while no primary of `term` is known."""

    group: Group
    term: int
    primary: InstanceSnapshot | None
    instances: tuple[InstanceSnapshot, ...]
    # New requests wait while the primary hands over to another instance.
    handing_over: bool = False


class GroupMonitor(Protocol):
    """Monitor the instances of one group by long polls of their status."""

    @property
    def snapshot(self) -> GroupSnapshot:
        """Return the latest snapshot of the group."""

    async def wait_primary(self, deadline: float) -> GroupSnapshot:
        """Wait for a primary that accepts requests; raises UnavailableError at the deadline."""

    async def wait_acknowledged(self, entry: EntryId, deadline: float) -> None:
        """Wait until the write may be acknowledged.

        Raises OutcomeUnknownError if the entry is lost or still pending at the deadline.
        """

    def report_failure(self, instance: str) -> None:
        """Record a failed request to an instance, so that its reachability is checked at once."""

    def observe_term(self, term: int) -> None:
        """Record the term of an instance's reply."""


class ControlSession(Protocol):
    """The control calls of a database session, which run no SQL."""

    async def status(
        self,
        term: int = ...,
        held: int = ...,
        wait_s: float = ...,
        *,
        applied: int | None = ...,
        timeout_s: float = ...,
    ) -> InstanceStatus:
        """Return the status once it differs from the given one or `wait_s` has passed."""

    async def fence(self, term: int, timeout_s: float = ...) -> InstanceStatus:
        """Raise the instance's term, so that a primary of a lower term accepts no more writes."""

    async def promote(self, term: int, timeout_s: float = ...) -> InstanceStatus:
        """Make the instance primary of the term it was fenced at."""

    async def follow(self, term: int, primary: str, timeout_s: float = ...) -> FollowResult:
        """Make the instance a replica of `primary` in the given term."""

    async def close(self) -> None:
        """Close the connection."""


OpenSession = Callable[[Address, float], Awaitable[ControlSession]]


class ProbeSettings(NamedTuple):
    """Intervals and timeouts of the probes, in seconds."""

    # An instance holds a long poll for at most this time, so a healthy connection replies at least
    # this often.
    poll_wait_s: float = 0.25
    # Time beyond the wait of a poll after which a connection without a reply counts as failed.
    exchange_margin_s: float = 0.25
    open_timeout_s: float = 0.3
    # With the majority-term check the connection is idle between polls, so that a check can be
    # sent at once.
    check_interval_s: float = 0.02
    # Limits the polls of a busy group to 1,000 per second and instance.
    min_poll_interval_s: float = 0.001
    initial_backoff_s: float = 0.05
    max_backoff_s: float = 0.5
    # Minimum time between two reopenings of a probe's connection for failures that requests report.
    min_reopen_interval_s: float = 0.5


class _Probe:
    """State of the probe of one instance, which uses a single connection."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.status: InstanceStatus | None = None
        self.reachable = False
        self.observed_at = trio.current_time()
        # Time at which the request that returned `status` was sent.
        self.request_sent_at = float("-inf")
        self.reopened_at = float("-inf")
        self.task_scope = trio.CancelScope()
        self.connection_scope = trio.CancelScope()

    def snapshot(self) -> InstanceSnapshot:
        return InstanceSnapshot(self.instance, self.status, self.reachable, self.observed_at)


class LiveGroupMonitor:
    """Monitor a group with one task and one connection for each instance."""

    def __init__(
        self,
        group: Group,
        settings: ProbeSettings | None = None,
        *,
        open_session: OpenSession = DatabaseSession.open,
        jitter: random.Random | None = None,
    ) -> None:
        self._group = group
        self._settings = settings or ProbeSettings()
        self._open_session = open_session
        self._jitter = jitter or random.Random()
        self._probes = {instance.name: _Probe(instance) for instance in group.instances}
        self._term = 0
        self._handing_over = False
        self._changed = trio.Event()
        self._check_requested = trio.Event()
        self._check_requested_at = float("-inf")
        self._nursery: trio.Nursery | None = None
        self._snapshot = self._build_snapshot()

    @property
    def snapshot(self) -> GroupSnapshot:
        """Return the latest snapshot of the group."""
        return self._snapshot

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Probe the instances until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for probe in self._probes.values():
                nursery.start_soon(self._run_probe, probe)
            task_status.started()
            await trio.sleep_forever()

    async def wait_change(self) -> GroupSnapshot:
        """Wait for the next change and return the snapshot after it."""
        await self._changed.wait()
        return self._snapshot

    async def wait_primary(self, deadline: float) -> GroupSnapshot:
        """Wait for a primary that accepts requests; raises UnavailableError at the deadline."""
        with trio.move_on_at(deadline):
            while True:
                primary = self._snapshot.primary
                if primary is not None and primary.reachable and not self._snapshot.handing_over:
                    return self._snapshot
                await self._changed.wait()
        raise UnavailableError(f"group {self._group.name} has no primary that accepts requests")

    async def wait_acknowledged(self, entry: EntryId, deadline: float) -> None:
        """Wait until the write may be acknowledged.

        Raises OutcomeUnknownError if the entry is lost or still pending at the deadline.
        """
        requested_at = trio.current_time()
        verdict = self._decide_verdict(entry, requested_at)
        if verdict is Verdict.PENDING:
            # The entry of a read from a primary is usually replicated already; this
            # check saves it a cancel scope.
            verdict = await self._wait_verdict(entry, requested_at, deadline)
        if verdict is not Verdict.ACKNOWLEDGED:
            raise OutcomeUnknownError(
                f"entry {entry.position} of term {entry.term} of group {self._group.name} "
                "is not known to survive a promotion"
            )

    async def _wait_verdict(self, entry: EntryId, requested_at: float, deadline: float) -> Verdict:
        """Wait for a final verdict; return PENDING if there is none by the deadline."""
        self._request_check(requested_at)
        verdict = Verdict.PENDING
        with trio.move_on_at(deadline):
            while verdict is Verdict.PENDING:
                await self._changed.wait()
                verdict = self._decide_verdict(entry, requested_at)
        return verdict

    def report_failure(self, instance: str) -> None:
        """Reopen the probe's connection, which may be broken like the one that failed."""
        probe = self._probes.get(instance)
        now = trio.current_time()
        if probe and now - probe.reopened_at >= self._settings.min_reopen_interval_s:
            probe.reopened_at = now
            probe.connection_scope.cancel()

    def observe_term(self, term: int) -> None:
        """Record the term of an instance's reply."""
        if term > self._term:
            self._publish(term)

    def set_handing_over(self, handing_over: bool) -> None:
        """Set whether new requests wait because the primary hands over to another instance."""
        if handing_over != self._handing_over:
            self._handing_over = handing_over
            self._publish(self._term)

    def update_group(self, group: Group) -> None:
        """Apply a changed group; probes of instances with an unchanged address keep running."""
        self._group = group
        previous, self._probes = self._probes, {}
        for instance in group.instances:
            probe = previous.pop(instance.name, None)
            if probe is not None and probe.instance.address == instance.address:
                probe.instance = instance
            else:
                if probe is not None:
                    probe.task_scope.cancel()
                probe = _Probe(instance)
                if self._nursery is not None:
                    self._nursery.start_soon(self._run_probe, probe)
            self._probes[instance.name] = probe
        for probe in previous.values():
            probe.task_scope.cancel()
        self._publish(self._term)

    def _build_snapshot(self) -> GroupSnapshot:
        instances = tuple(probe.snapshot() for probe in self._probes.values())
        primaries = (
            snapshot
            for snapshot in instances
            if snapshot.status
            and snapshot.status.role == "primary"
            and snapshot.status.term == self._term
        )
        primary = next(primaries, None)
        return GroupSnapshot(self._group, self._term, primary, instances, self._handing_over)

    def _publish(self, term: int, *, notify: bool = True) -> None:
        self._term = max(term, self._term)
        self._snapshot = self._build_snapshot()
        if not notify:
            return
        event, self._changed = self._changed, trio.Event()
        event.set()

    def _decide_verdict(self, entry: EntryId, requested_at: float) -> Verdict:
        probes = self._probes.values()
        size = len(self._group.instances)
        if self._group.acknowledge is Acknowledge.REPLICATED:
            known = [probe.status for probe in probes if probe.status]
            return decide_replicated(entry, known, size)
        terms = [
            probe.status.term
            for probe in probes
            if probe.status and probe.request_sent_at >= requested_at
        ]
        return decide_majority_term(entry, terms, size)

    def _request_check(self, requested_at: float) -> None:
        """Request one poll by every probe; later waiters share the next poll after it."""
        self._check_requested_at = requested_at
        event, self._check_requested = self._check_requested, trio.Event()
        event.set()

    async def _run_probe(self, probe: _Probe) -> None:
        """Poll one instance until the probe's task is cancelled, reconnecting after failures."""
        backoff_s = 0.0
        with probe.task_scope:
            while True:
                last_observed_at = probe.observed_at
                with trio.CancelScope() as probe.connection_scope:
                    await self._poll_until_broken(probe)
                if probe.connection_scope.cancelled_caught:
                    backoff_s = 0.0
                    continue
                # If the connection worked before, perhaps only it is broken: reconnect at once.
                backoff_s = (
                    0.0 if probe.observed_at > last_observed_at else self._next_backoff(backoff_s)
                )
                await trio.sleep(backoff_s * self._jitter.uniform(0.5, 1.5))

    def _next_backoff(self, backoff_s: float) -> float:
        return min(
            max(backoff_s * 2, self._settings.initial_backoff_s),
            self._settings.max_backoff_s,
        )

    async def _poll_until_broken(self, probe: _Probe) -> None:
        try:
            session = await self._open_session(
                probe.instance.address, self._settings.open_timeout_s
            )
            try:
                while True:
                    await self._poll(probe, session)
                    await self._wait_poll_due(probe)
            finally:
                await session.close()
        except (ConnectionLostError, DatabaseError) as error:
            if probe.reachable:
                _log.warning(
                    "instance unreachable",
                    group=self._group.name,
                    instance=probe.instance.name,
                    reason=str(error),
                )
            probe.reachable = False
            self._publish(self._term)

    async def _poll(self, probe: _Probe, session: ControlSession) -> None:
        request_sent_at = trio.current_time()
        known = probe.status if probe.reachable else None
        margin_s = self._settings.exchange_margin_s
        if known is None or self._group.acknowledge is Acknowledge.MAJORITY_TERM:
            status = await session.status(timeout_s=margin_s)
        else:
            status = await session.status(
                known.term,
                known.held,
                self._settings.poll_wait_s,
                applied=known.applied,
                timeout_s=margin_s,
            )
        changed = status != known or self._group.acknowledge is Acknowledge.MAJORITY_TERM
        probe.status, probe.request_sent_at = status, request_sent_at
        probe.reachable, probe.observed_at = True, trio.current_time()
        self._publish(status.term, notify=changed)

    async def _wait_poll_due(self, probe: _Probe) -> None:
        """Wait until the next poll is due or a waiter requests a check."""
        if self._group.acknowledge is Acknowledge.REPLICATED:
            await trio.sleep(self._settings.min_poll_interval_s)
            return
        if probe.request_sent_at >= self._check_requested_at:
            with trio.move_on_after(self._settings.check_interval_s):
                await self._check_requested.wait()
