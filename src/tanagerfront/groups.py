"""What a home knows of a group of databases."""

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
    """One instance as last seen; `observed_at` is in trio's clock, in seconds."""

    instance: Instance
    status: InstanceStatus | None
    reachable: bool
    observed_at: float


class GroupSnapshot(NamedTuple):
    """A group as last seen; `primary` is None while no primary of `term` is known."""

    group: Group
    term: int
    primary: InstanceSnapshot | None
    instances: tuple[InstanceSnapshot, ...]
    # New work waits while the primary hands over to another instance.
    handing_over: bool = False


class GroupMonitor(Protocol):
    """Follow the instances of one group by long polls."""

    @property
    def snapshot(self) -> GroupSnapshot:
        """Return the current view."""

    async def wait_primary(self, deadline: float) -> GroupSnapshot:
        """Wait for a primary that takes work; raises UnavailableError at the deadline."""

    async def wait_acknowledged(self, entry: EntryId, deadline: float) -> None:
        """Wait until the write may be acknowledged; raises OutcomeUnknownError."""

    def report_failure(self, instance: str) -> None:
        """Note that an exchange with an instance failed, so that it is checked at once."""

    def observe_term(self, term: int) -> None:
        """Note a term that an instance answered with."""


class ControlSession(Protocol):
    """The calls of a database session that do not run SQL."""

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
        """Raise the instance's term."""

    async def promote(self, term: int, timeout_s: float = ...) -> InstanceStatus:
        """Make the instance primary of a term it was fenced at."""

    async def follow(self, term: int, primary: str, timeout_s: float = ...) -> FollowResult:
        """Make the instance a replica of `primary`."""

    async def close(self) -> None:
        """Close the connection."""


OpenSession = Callable[[Address, float], Awaitable[ControlSession]]


class ProbeSettings(NamedTuple):
    """Times of the probes in seconds."""

    # A poll may wait this long at the instance, so a healthy connection answers as often.
    poll_wait_s: float = 0.25
    # Margin of an exchange beyond its wait, after which the connection counts as silent.
    exchange_margin_s: float = 0.25
    open_timeout_s: float = 0.3
    # Groups with the majority-term check leave the connection idle between polls, so that a check
    # can be sent at once.
    check_interval_s: float = 0.02
    # Limits the polls of a busy group to 1,000 a second for each instance.
    min_poll_interval_s: float = 0.001
    initial_backoff_s: float = 0.05
    max_backoff_s: float = 0.5
    # Failures reported by requests reopen the probe's connection at most this often.
    min_reopen_interval_s: float = 0.5


class _Probe:
    """State of the single probe connection to one instance."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.status: InstanceStatus | None = None
        self.reachable = False
        self.observed_at = trio.current_time()
        # Time at which the exchange was sent that returned `status`.
        self.asked_at = float("-inf")
        self.rechecked_at = float("-inf")
        self.scope = trio.CancelScope()
        self.exchange = trio.CancelScope()

    def snapshot(self) -> InstanceSnapshot:
        return InstanceSnapshot(self.instance, self.status, self.reachable, self.observed_at)


class LiveGroupMonitor:
    """Follow a group with one task and one connection for each instance."""

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
        self._check_wanted = trio.Event()
        self._check_wanted_at = float("-inf")
        self._nursery: trio.Nursery | None = None
        self._view = self._build_view()

    @property
    def snapshot(self) -> GroupSnapshot:
        """Return the current view."""
        return self._view

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Probe the instances until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for probe in self._probes.values():
                nursery.start_soon(self._follow, probe)
            task_status.started()
            await trio.sleep_forever()

    async def wait_change(self) -> GroupSnapshot:
        """Wait for the next change of the view."""
        await self._changed.wait()
        return self._view

    async def wait_primary(self, deadline: float) -> GroupSnapshot:
        """Wait for a primary that takes work; raises UnavailableError at the deadline."""
        with trio.move_on_at(deadline):
            while True:
                primary = self._view.primary
                if primary is not None and primary.reachable and not self._view.handing_over:
                    return self._view
                await self._changed.wait()
        raise UnavailableError(f"group {self._group.name} has no primary that takes work")

    async def wait_acknowledged(self, entry: EntryId, deadline: float) -> None:
        """Wait until the write may be acknowledged; raises OutcomeUnknownError."""
        asked_since = trio.current_time()
        verdict = self._decide(entry, asked_since)
        if verdict is Verdict.PENDING:
            # Reads of a primary are mostly replicated already and need no scope for a wait.
            verdict = await self._wait_verdict(entry, asked_since, deadline)
        if verdict is not Verdict.ACKNOWLEDGED:
            raise OutcomeUnknownError(
                f"entry {entry.position} of term {entry.term} of group {self._group.name} "
                "is not known to survive a promotion"
            )

    async def _wait_verdict(self, entry: EntryId, asked_since: float, deadline: float) -> Verdict:
        """Return the verdict, PENDING if there is none by the deadline."""
        self._request_check(asked_since)
        verdict = Verdict.PENDING
        with trio.move_on_at(deadline):
            while verdict is Verdict.PENDING:
                await self._changed.wait()
                verdict = self._decide(entry, asked_since)
        return verdict

    def report_failure(self, instance: str) -> None:
        """Reopen the probe's connection, because the instance's others may be silent too."""
        probe = self._probes.get(instance)
        now = trio.current_time()
        if probe and now - probe.rechecked_at >= self._settings.min_reopen_interval_s:
            probe.rechecked_at = now
            probe.exchange.cancel()

    def observe_term(self, term: int) -> None:
        """Note a term that an instance answered with."""
        if term > self._term:
            self._publish(term)

    def set_handing_over(self, handing_over: bool) -> None:
        """Hold new work back while the primary hands over, or let it continue."""
        if handing_over != self._handing_over:
            self._handing_over = handing_over
            self._publish(self._term)

    def update_group(self, group: Group) -> None:
        """Take over an edit of the group; only instances with a new address are probed anew."""
        self._group = group
        previous, self._probes = self._probes, {}
        for instance in group.instances:
            probe = previous.pop(instance.name, None)
            if probe is not None and probe.instance.address == instance.address:
                probe.instance = instance
            else:
                if probe is not None:
                    probe.scope.cancel()
                probe = _Probe(instance)
                if self._nursery is not None:
                    self._nursery.start_soon(self._follow, probe)
            self._probes[instance.name] = probe
        for probe in previous.values():
            probe.scope.cancel()
        self._publish(self._term)

    def _build_view(self) -> GroupSnapshot:
        instances = tuple(probe.snapshot() for probe in self._probes.values())
        primaries = (
            view
            for view in instances
            if view.status and view.status.role == "primary" and view.status.term == self._term
        )
        primary = next(primaries, None)
        return GroupSnapshot(self._group, self._term, primary, instances, self._handing_over)

    def _publish(self, term: int, *, notify: bool = True) -> None:
        self._term = max(term, self._term)
        self._view = self._build_view()
        if not notify:
            return
        event, self._changed = self._changed, trio.Event()
        event.set()

    def _decide(self, entry: EntryId, asked_since: float) -> Verdict:
        probes = self._probes.values()
        size = len(self._group.instances)
        if self._group.acknowledge is Acknowledge.REPLICATED:
            known = [probe.status for probe in probes if probe.status]
            return decide_replicated(entry, known, size)
        terms = [
            probe.status.term for probe in probes if probe.status and probe.asked_at >= asked_since
        ]
        return decide_majority_term(entry, terms, size)

    def _request_check(self, asked_since: float) -> None:
        """Ask every probe for one exchange; waiters that arrive meanwhile share the next."""
        self._check_wanted_at = asked_since
        event, self._check_wanted = self._check_wanted, trio.Event()
        event.set()

    async def _follow(self, probe: _Probe) -> None:
        """Keep one connection to an instance and record what it answers."""
        initial_backoff_s = 0.0
        with probe.scope:
            while True:
                answered_at = probe.observed_at
                with trio.CancelScope() as probe.exchange:
                    await self._poll_until_broken(probe)
                if probe.exchange.cancelled_caught:
                    initial_backoff_s = 0.0
                    continue
                # A connection that worked is reopened at once, as only it may be broken.
                initial_backoff_s = (
                    0.0 if probe.observed_at > answered_at else self._next_retry(initial_backoff_s)
                )
                await trio.sleep(initial_backoff_s * self._jitter.uniform(0.5, 1.5))

    def _next_retry(self, initial_backoff_s: float) -> float:
        return min(
            max(initial_backoff_s * 2, self._settings.initial_backoff_s),
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
                    await self._pause(probe)
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
        asked_at = trio.current_time()
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
        probe.status, probe.asked_at = status, asked_at
        probe.reachable, probe.observed_at = True, trio.current_time()
        self._publish(status.term, notify=changed)

    async def _pause(self, probe: _Probe) -> None:
        """Wait until the next poll is due or a waiter asks for a check."""
        if self._group.acknowledge is Acknowledge.REPLICATED:
            await trio.sleep(self._settings.min_poll_interval_s)
            return
        if probe.asked_at >= self._check_wanted_at:
            with trio.move_on_after(self._settings.check_interval_s):
                await self._check_wanted.wait()
