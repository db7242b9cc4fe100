"""Probes of instances that fail, flap or report a wrong health, and samples of positions."""

from __future__ import annotations

from collections.abc import Callable
from unittest.mock import patch

import trio

from front_fakes import GROUP, FakeInstance, RecordingLog, configuration, registration
from support import TestCase, trio_test
from tanagerfront.confirmed_state import ConfirmedState, StalenessLimits
from tanagerfront.entry_id import EntryId
from tanagerfront.http_client import Address
from tanagerfront.instance_directory import Instance, InstanceDirectory, PrimaryRecord
from tanagerfront.instance_watch import InstanceWatch
from tanagerfront.session_model import boottime_s
from tanagerfront.statement_placement import STALENESS_MARGIN_S


class WatchedGroup:
    """A group with one primary, whose address is reachable or not."""

    def __init__(self) -> None:
        self.fake = FakeInstance("p")
        self.log = RecordingLog()
        self.reachable = True
        self.probes = 0
        self.directory = InstanceDirectory(self.fake.open, "suame")
        confirmed_state = ConfirmedState(StalenessLimits(4.5, 3.0, 4.0, 5.5))
        confirmed_state.apply(configuration())
        confirmed_state.register(boottime_s())
        confirmed_state.confirm(boottime_s())
        self.watch = InstanceWatch(self.directory, confirmed_state, self._can_connect, self.log)

    @property
    def instance(self) -> Instance:
        return self.directory.group(GROUP).instances["p"]

    async def _can_connect(self, _address: Address) -> bool:
        self.probes += 1
        await trio.sleep(0.01)
        return self.reachable

    async def run_with(self, *steps: Callable[[], None], pause_s: float = 1.0) -> None:
        """Run the watch and perform the steps, each followed by a pause."""
        await self.directory.set_connection_shares(1, {GROUP: 16})
        await self.directory.apply(registration("p", primary=True))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch.run)
            for step in steps:
                step()
                await trio.sleep(pause_s)
            nursery.cancel_scope.cancel()


class ProbeTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_an_instance_that_flaps_is_used_again_each_time(self) -> None:
        # Guards against an instance that stays out of use after it went down and up several times,
        # and against one that is used while it is down.
        group = WatchedGroup()
        observed: list[bool] = []

        def go_down() -> None:
            group.reachable = False
            group.instance.record_failure()

        def go_up() -> None:
            observed.append(group.instance.unreachable_since is None)
            group.reachable = True

        def look() -> None:
            observed.append(group.instance.unreachable_since is None)

        await group.run_with(go_down, go_up, look, go_down, go_up, look)
        self.assertEqual([False, True] * 2, observed)

    @trio_test(mock_clock=True)
    async def test_waiting_requests_wake_when_an_instance_is_regained(self) -> None:
        # Guards against requests that wait for the next change of a registration.
        group = WatchedGroup()
        woken: list[float] = []

        async def wait() -> None:
            await group.directory.group(GROUP).changed.wait()
            woken.append(trio.current_time())

        async with trio.open_nursery() as nursery:

            def fail_briefly() -> None:
                group.instance.record_failure()
                nursery.start_soon(wait)

            started = trio.current_time()
            await group.run_with(fail_briefly)
        self.assertEqual(1, len(woken))
        self.assertLess(woken[0] - started, 0.5)

    @trio_test(mock_clock=True)
    async def test_an_instance_that_answers_is_not_probed(self) -> None:
        # Guards against probes of every instance by every VM: only connections and answers count,
        # and the platform's health endpoint, which may lie, is not asked at all.
        group = WatchedGroup()
        await group.run_with(lambda: None, pause_s=5.0)
        self.assertEqual(0, group.probes)


class SampleTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_an_idle_primary_is_asked_for_its_position(self) -> None:
        # Guards against reads that all go to the primary because no recent position is known.
        group = WatchedGroup()
        await group.run_with(lambda: None)
        samples = group.directory.group(GROUP).samples
        self.assertEqual(group.fake.position, samples.oldest_since(float("-inf")))

    @trio_test(mock_clock=True)
    async def test_a_primary_that_does_not_answer_gives_no_sample(self) -> None:
        # Guards against a sample that holds a connection for ever.
        group = WatchedGroup()
        group.fake.answer = lambda _instance, _statement: None
        await group.run_with(lambda: None, pause_s=2.0)
        self.assertIsNone(group.directory.group(GROUP).samples.oldest_since(float("-inf")))
        self.assertGreater(len(group.log.inputs_of("no_sample")), 0)
        self.assertEqual(0, group.instance.pool.busy_connections)

    @trio_test(mock_clock=True)
    async def test_a_vm_that_is_passed_positions_does_not_query_the_primary(self) -> None:
        # Guards against control statements that grow with the number of VMs times the groups.
        group = await self._member()
        samples = group.directory.group(GROUP).samples

        def pass_position() -> None:
            samples.add(trio.current_time(), EntryId(1, 5))

        with patch("tanagerfront.instance_watch.boottime_s", trio.current_time):
            await group.run_with(*[pass_position] * 6, pause_s=0.7)
        self.assertEqual(0, group.fake.opened)

    @trio_test(mock_clock=True)
    async def test_a_vm_that_is_passed_none_queries_the_primary_before_its_bound(self) -> None:
        # Guards against reads that all go to the primary while no coordinator can be heard.
        group = await self._member()
        samples = group.directory.group(GROUP).samples
        ages: list[float] = []

        def observe() -> None:
            ages.append(trio.current_time() - samples.latest_at)

        with patch("tanagerfront.instance_watch.boottime_s", trio.current_time):
            await group.run_with(*[observe] * 40, pause_s=0.1)
        self.assertLess(max(ages[3:]), 1.5 - STALENESS_MARGIN_S)
        self.assertGreater(max(ages[3:]), 0.8)

    async def _member(self) -> WatchedGroup:
        """Return a group whose primary record is known to a VM that passes no positions on."""
        group = WatchedGroup()
        group.directory.set_primary_record(PrimaryRecord(GROUP, "p", 1, False, revision=1))
        group.watch.samples_for_others = lambda: False
        return group
