"""Reports of where a statement would go: the same as where it goes, and without any effect."""

from __future__ import annotations

import msgspec

from front_fakes import GROUP
from support import TestCase, trio_test
from tanagerfront.entry_id import EntryId
from tanagerfront.errors import NotFoundError
from tanagerfront.evacuation import Evacuation
from tanagerfront.placement_report import PlacementQuestion, PlacementReport, report_placement
from tanagerfront.session_model import RouteKind, boottime_s
from test_caller_session import Vm, start_vm


def report(vm: Vm, kind: RouteKind = RouteKind.BOUNDED, *, writes: bool = False) -> PlacementReport:
    return report_placement(vm.services, PlacementQuestion(kind.value, "foremen", writes))


def shares(found: PlacementReport) -> dict[str, float]:
    return {item.id: item.share for item in found.candidates if item.share}


def executed(vm: Vm) -> dict[str, int]:
    return {name: len(fake.caller_statements) for name, fake in vm.instances.items()}


class PlacementReportTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_reads_run_at_the_instance_that_was_reported(self) -> None:
        # Guards against a report by rules of its own, which would mislead operators.
        vm = await start_vm()
        caller = vm.session(RouteKind.BOUNDED)
        for slow in vm.instances:
            vm.group.instances[slow].response_s = 0.5
            vm.sample()
            ran = executed(vm)
            [expected] = shares(report(vm))
            await caller.send("READ 1")
            ran[expected] += 1
            self.assertEqual(ran, executed(vm))

    @trio_test(mock_clock=True)
    async def test_reads_chosen_by_load_run_at_an_instance_with_a_share(self) -> None:
        vm = await start_vm()
        vm.directory.uses_relay = lambda registration: True
        await vm.directory.set_connection_shares(30, {GROUP: 16})
        caller = vm.session(RouteKind.BOUNDED)
        for _ in range(20):
            vm.sample()
            found = report(vm)
            self.assertTrue(found.even_load)
            self.assertAlmostEqual(1.0, sum(shares(found).values()), delta=0.01)
            ran = {name: len(fake.caller_statements) for name, fake in vm.instances.items()}
            await caller.send("READ 1")
            [used] = [
                name
                for name, fake in vm.instances.items()
                if len(fake.caller_statements) > ran[name]
            ]
            self.assertIn(used, shares(found))

    @trio_test(mock_clock=True)
    async def test_writes_and_reads_without_a_position_go_to_the_primary(self) -> None:
        vm = await start_vm()
        self.assertEqual({"p": 1.0}, shares(report(vm, RouteKind.PRIMARY, writes=True)))
        found = report(vm)
        self.assertEqual({"p": 1.0}, shares(found))
        self.assertEqual("no recent position of the primary is known", found.reason)

    @trio_test(mock_clock=True)
    async def test_instances_out_of_the_choice_are_reported_with_the_reason(self) -> None:
        vm = await start_vm()
        vm.sample()
        vm.group.instances["r1"].evacuation = Evacuation(boottime_s(), 5.0)
        vm.group.instances["r2"].unreachable_since = boottime_s()
        found = report(vm)
        excluded = {item.id: item.excluded for item in found.candidates}
        self.assertEqual({"p": None, "r1": "evacuated", "r2": "unreachable"}, excluded)
        self.assertEqual({"p": 1.0}, shares(found))

    @trio_test(mock_clock=True)
    async def test_a_primary_that_may_not_be_used_is_waited_for(self) -> None:
        vm = await start_vm()
        vm.confirmed_state.lose_lease()
        found = report(vm, RouteKind.PRIMARY, writes=True)
        self.assertEqual(("wait", "not-confirmed"), (found.outcome, found.primary_obstacle))

    @trio_test(mock_clock=True)
    async def test_the_last_write_of_the_session_is_required_of_a_replica(self) -> None:
        vm = await start_vm()
        vm.sample()
        kind = RouteKind.READ_YOUR_WRITES.value
        question = PlacementQuestion(kind, "foremen", session_entry=EntryId(1, 99))
        self.assertEqual("1.99", report_placement(vm.services, question).required_entry)

    @trio_test(mock_clock=True)
    async def test_a_report_has_no_effect_and_shows_no_key(self) -> None:
        # Guards against an operator's question that takes a token, opens a connection, counts as a
        # placed read, or reveals a caller's key.
        vm = await start_vm()
        vm.sample()
        before = (vm.services.metrics.render(), vm.rates.surpluses())
        document = msgspec.json.encode(report(vm))
        self.assertEqual(before, (vm.services.metrics.render(), vm.rates.surpluses()))
        self.assertEqual(0, sum(fake.opened for fake in vm.instances.values()))
        self.assertNotIn(b"secret", document)

    @trio_test(mock_clock=True)
    async def test_unknown_names_are_errors(self) -> None:
        vm = await start_vm()
        for question in (
            PlacementQuestion("nowhere", "foremen"),
            PlacementQuestion(RouteKind.BOUNDED.value, "nobody"),
        ):
            with self.assertRaises(NotFoundError):
                report_placement(vm.services, question)
