"""Background probes of instances and samples of primary positions (session interface)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from .confirmed_state import ConfirmedState
from .decision_log import DecisionLog
from .errors import ConnectionLostError, OverloadedError, TanagerfrontError
from .http_client import Address
from .instance_directory import Group, Instance, InstanceDirectory
from .instance_pool import INTERNAL_STATEMENT_ID, NO_ORGANISATION, InstanceStatement
from .session_model import FrontConfiguration, ResetSession, RouteKind, boottime_s

__all__ = ["InstanceWatch", "WatchTiming"]


class WatchTiming(NamedTuple):
    """Intervals and timeouts of the instance watch, in seconds."""

    # Short compared with the time until the fleet treats a primary as unreachable.
    interval_s: float = 0.1
    # A primary with work in progress that has not answered for this long is probed.
    overdue_s: float = 0.25
    # Reads on replicas need a position of the primary newer than the route's staleness bound.
    sample_s: float = 0.5
    # A VM that gets positions with the replies to its heartbeats samples only if these fail to
    # arrive: a position is passed at an age of up to 0.4 s, every 0.3 s.
    passed_sample_s: float = 1.5
    # Time before the staleness bound at which such a VM samples anyway: the margin of the bound,
    # an interval and the timeout of a sample.
    sample_lead_s: float = 0.5
    # The statement needs no slot, only a round trip; a new connection occupies a slot for 12 ms.
    sample_timeout_s: float = 0.3


class InstanceWatch:
    """Probes unreachable and silent instances and samples the positions of idle primaries."""

    def __init__(
        self,
        directory: InstanceDirectory,
        confirmed_state: ConfirmedState,
        reach: Callable[[Address], Awaitable[bool]],
        log: DecisionLog,
        timing: WatchTiming | None = None,
    ) -> None:
        self._directory = directory
        self._confirmed_state = confirmed_state
        self._reach = reach
        self._log = log
        self._timing = timing or WatchTiming()
        self._active: set[str] = set()
        self._staleness_of: FrontConfiguration | None = None
        self._staleness_s: dict[str, float] = {}
        # Whether the VM passes positions on to others, so that it has to have recent ones.
        self.samples_for_others: Callable[[], bool] = lambda: True

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._timing.interval_s)
                for group in tuple(self._directory.groups.values()):
                    primary = group.primary
                    for instance in tuple(group.instances.values()):
                        self._check_instance(group, instance, instance is primary, nursery)

    def _check_instance(
        self, group: Group, instance: Instance, is_primary: bool, nursery: trio.Nursery
    ) -> None:
        instance_id = instance.registration.id
        if instance_id in self._active:
            return
        unreachable = instance.unreachable_since is not None and instance.unregistered_since is None
        if unreachable or self._is_overdue(instance):
            self._active.add(instance_id)
            nursery.start_soon(self._probe, group, instance)
        elif is_primary and self._needs_sample(group, instance):
            self._active.add(instance_id)
            nursery.start_soon(self._sample, group, instance)

    def _is_overdue(self, instance: Instance) -> bool:
        """Return whether an instance with work in progress has been silent for too long."""
        if not instance.pool.busy_connections:
            return False
        return boottime_s() - instance.answered_at > self._timing.overdue_s

    async def _probe(self, group: Group, instance: Instance) -> None:
        """Connect to an instance to check whether its host and process respond."""
        try:
            reached = await self._reach(instance.registration.address)
            if reached and instance.unreachable_since is not None:
                instance.record_answer(None, None)
                self._log.decision("instance_regained", instance=instance.registration.id)
                group.notify()
            elif not reached and instance.record_failure():
                self._log.failure(
                    "instance_unreachable", instance=instance.registration.id, by="probe"
                )
        finally:
            self._active.discard(instance.registration.id)

    def _needs_sample(self, group: Group, instance: Instance) -> bool:
        age_s = boottime_s() - group.samples.latest_at
        if age_s < self._timing.sample_s or not self._is_usable_primary(group, instance):
            return False
        staleness_s = self._smallest_staleness_s(group.name)
        if staleness_s is None:
            return False
        if self.samples_for_others() or group.primary_record is None:
            return True
        limit_s = min(self._timing.passed_sample_s, staleness_s - self._timing.sample_lead_s)
        return age_s >= limit_s

    def _is_usable_primary(self, group: Group, instance: Instance) -> bool:
        """Return whether a position that the instance reports now bounds the group's commits."""
        return (
            instance is group.primary
            and self._confirmed_state.primaries_confirmed
            and not group.superseded
            and not group.refuses_work(instance, boottime_s())
        )

    def _smallest_staleness_s(self, group: str) -> float | None:
        """Return the smallest staleness bound of the group's routes, None if none reads replicas.

        A configuration may have thousands of routes, so this is computed once for each.
        """
        configuration = self._confirmed_state.configuration
        if configuration is None:
            return None
        if configuration is not self._staleness_of:
            self._staleness_of, self._staleness_s = configuration, {}
            for route in configuration.routes.values():
                bound_s = route.max_staleness_s
                if route.kind is not RouteKind.PRIMARY and bound_s is not None:
                    known_s = self._staleness_s.get(route.group, bound_s)
                    self._staleness_s[route.group] = min(known_s, bound_s)
        return self._staleness_s.get(group)

    async def _sample(self, group: Group, instance: Instance) -> None:
        """Query the primary's position with a statement that needs no slot."""
        now = trio.current_time()
        pool = instance.pool
        try:
            connection = pool.pop_any_idle()
            if connection is None:
                if pool.busy_connections >= pool.connection_limit:
                    return
                deadline = now + self._timing.sample_timeout_s
                connection = await pool.acquire(NO_ORGANISATION, now, deadline)
            try:
                asked_at = boottime_s()
                # The wait for a connection may have outlasted the confirmation of the primary.
                usable = self._is_usable_primary(group, instance)
                with trio.fail_after(self._timing.sample_timeout_s):
                    statement = InstanceStatement(INTERNAL_STATEMENT_ID, ResetSession())
                    [reply] = await connection.run([statement])
                if instance.record_reply(reply, None):
                    group.notify()
                if usable and reply.reached is not None and group.primary is instance:
                    group.samples.add(asked_at, reply.reached)
            finally:
                await pool.release(connection)
        except (ConnectionLostError, OverloadedError, trio.TooSlowError) as error:
            self._log.decision("no_sample", instance=instance.registration.id, error=str(error))
        except TanagerfrontError as error:
            self._log.failure("no_sample", instance=instance.registration.id, error=str(error))
        finally:
            self._active.discard(instance.registration.id)
