"""State model of the change of a primary: nobody uses one that has been replaced.

The model plays the store, the clocks and the messages; what VMs may use and when the promoter may
order are the program's own `Beliefs` and `is_unused`. Each safeguard is taken away in turn, and the
fault has to be found.
"""

from __future__ import annotations

from typing import ClassVar, NamedTuple
from unittest import mock

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from support import TestCase
from tanagerfront.confirmed_state import ConfirmedState, StalenessLimits
from tanagerfront.fleet_sync import LEASE_TTL_S, SyncTiming
from tanagerfront.front import LEASE_MARGIN_S
from tanagerfront.session_failover import (
    CONFIRMATION_MARGIN_S,
    RecordPropagation,
    is_old_primary_unused,
)
from tanagerfront.session_peers import HEARTBEAT_INTERVAL_S, SILENT_INTERVALS

LIMITS = StalenessLimits(
    keys_s=4.5, primary_s=3.0, lease_s=LEASE_TTL_S - LEASE_MARGIN_S, leaving_s=5.5
)
STEPS_S = st.sampled_from([0.5, 2.0, 3.5, 10.0])


class Record(NamedTuple):
    instance: int
    moving: bool
    revision: int


class Vm:
    def __init__(self) -> None:
        self.confirmed_state = ConfirmedState(LIMITS)
        self.record: Record | None = None
        # Answers of the store and of the promoter that are under way.
        self.granted: float | None = None
        self.read: tuple[float, Record] | None = None
        self.echo: tuple[float, float, int] | None = None

    @property
    def uses(self) -> int | None:
        """Return the primary that the VM would send a statement to."""
        if (
            self.record is None
            or self.record.moving
            or not self.confirmed_state.primaries_confirmed
        ):
            return None
        return self.record.instance


class Agreement(RuleBasedStateMachine):
    """One VM and the promoter, which is also the coordinator that answers its heartbeats."""

    waits: ClassVar[bool] = True
    wait_s: ClassVar[float] = LIMITS.primary_s + CONFIRMATION_MARGIN_S
    knows_registrations: ClassVar[bool] = False
    confirms_at_receipt: ClassVar[bool] = False

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self._clock = mock.patch("tanagerfront.confirmed_state.boottime_s", lambda: self.now)
        self._clock.start()
        self.revision = 1
        self.record = Record(0, False, 1)
        self.primary = 0
        self.lease_ends: float | None = None
        self.vm = Vm()
        self.confirmed_at = self.now
        self.known_revision = 1
        self.known = False
        self.gone_at: float | None = None
        self.heard: tuple[float, int] | None = None
        self.written_at: float | None = None

    def teardown(self) -> None:
        self._clock.stop()

    @initialize(joined=st.booleans())
    def the_vm_may_serve_already(self, joined: bool) -> None:
        if joined:
            self.the_vm_registers_or_renews(True)
            self.now += 0.001
            self.the_store_answers_a_read(True)
            self.the_promoters_watch_answers()

    @rule(seconds=STEPS_S, heartbeats=st.booleans())
    def time_passes(self, seconds: float, heartbeats: bool) -> None:
        """Let time pass, perhaps with heartbeats while the VM cannot reach the store."""
        ends = self.now + seconds
        while self.now < ends:
            self.now = min(self.now + 1.0, ends)
            if self.lease_ends is not None and self.lease_ends <= self.now:
                self.lease_ends = None
                self.revision += 1
            if heartbeats:
                self.the_promoter_sees_the_store()
                self.a_heartbeat_is_answered(True)

    # The VM and the store

    @rule(answered=st.booleans())
    def the_vm_registers_or_renews(self, answered: bool) -> None:
        renewed = self.lease_ends is not None and self.vm.confirmed_state.lease_valid
        if self.lease_ends is None:
            self.revision += 1
        self.lease_ends = self.now + LEASE_TTL_S
        if renewed:
            self.vm.confirmed_state.renew_lease(self.now)
            return
        self.vm.granted = self.now
        if answered:
            self.answers_come()

    @rule(answered=st.booleans())
    def the_store_answers_a_read(self, answered: bool) -> None:
        self.vm.read = (self.now, self.record)
        if answered:
            self.answers_come()

    @rule()
    def answers_come(self) -> None:
        """Let the VM take in answers that were under way, however late they are."""
        vm = self.vm
        if vm.granted is not None:
            vm.confirmed_state.register(vm.granted)
            vm.granted = None
        if vm.read is not None:
            asked_at, record = vm.read
            vm.read = None
            if vm.record is None or record.revision >= vm.record.revision:
                vm.record = record
            vm.confirmed_state.confirm(asked_at)
        if vm.echo is not None:
            sent_at, lag_s, acknowledged = vm.echo
            vm.echo = None
            if vm.record is None or acknowledged > vm.record.revision:
                vm.confirmed_state.suspend_primaries()
            else:
                vm.confirmed_state.confirm(
                    (self.now if self.confirms_at_receipt else sent_at) - lag_s
                )

    # The promoter

    @rule(answered=st.booleans())
    def a_heartbeat_is_answered(self, answered: bool) -> None:
        self.heard = (self.now, self.vm.record.revision if self.vm.record else 0)
        self.vm.echo = (self.now, self.now - self.confirmed_at, self.record.revision)
        if answered:
            self.answers_come()

    @rule()
    def the_promoter_sees_the_store(self) -> None:
        self.confirmed_at = self.now
        self.the_promoters_watch_answers()

    def the_promoters_watch_answers(self) -> None:
        self.known_revision = self.revision
        if self.lease_ends is not None:
            self.known, self.gone_at = True, None
        elif self.known and self.gone_at is None:
            self.gone_at = self.now

    @precondition(lambda self: self.written_at is None)
    @rule()
    def the_promoter_records_a_move(self) -> None:
        self.revision += 1
        self.record = Record(self.primary, True, self.revision)
        self.written_at = self.now

    @precondition(lambda self: self.written_at is not None)
    @rule()
    def the_promoter_orders(self) -> None:
        assert self.written_at is not None
        waited = self.now >= self.written_at + self.wait_s
        if self.waits and not waited and not is_old_primary_unused(self._view()):
            return
        self.primary += 1
        self.revision += 1
        self.record = Record(self.primary, False, self.revision)
        self.written_at = None

    def _view(self) -> RecordPropagation:
        counted = self.known and (
            self.gone_at is None or self.now - self.gone_at < SyncTiming().vm_grace_s
        )
        fresh_since = self.now - SILENT_INTERVALS * HEARTBEAT_INTERVAL_S
        heard = self.heard is not None and self.heard[0] >= fresh_since
        return RecordPropagation(
            record_revision=self.record.revision,
            registrations_revision=(
                self.revision if self.knows_registrations else self.known_revision
            ),
            other_vms=["vm"] if counted else [],
            acknowledged={"vm": self.heard[1]} if heard and self.heard is not None else {},
        )

    @invariant()
    def every_step_takes_time(self) -> None:
        self.now += 0.001

    @invariant()
    def nobody_uses_a_replaced_primary(self) -> None:
        assert self.vm.uses in (None, self.primary)


def _run(machine: type[Agreement], examples: int) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=20,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


class AgreementTest(TestCase):
    def test_nobody_uses_a_replaced_primary(self) -> None:
        _run(Agreement, 500)

    def _assert_found(self, **changes: object) -> None:
        machine = type("Mutated", (Agreement,), changes)
        with self.assertRaises(AssertionError):
            _run(machine, 4000)

    def test_the_promoter_has_to_wait(self) -> None:
        self._assert_found(waits=False)

    def test_the_promoter_has_to_wait_for_the_whole_time(self) -> None:
        self._assert_found(wait_s=LIMITS.primary_s / 2)

    def test_the_promoter_has_to_know_all_registrations(self) -> None:
        self._assert_found(knows_registrations=True)

    def test_an_answer_confirms_only_what_was_true_when_it_was_asked_for(self) -> None:
        # Played step by step, because the search does not find it in 15,000 runs.
        for at_receipt, uses in ((False, None), (True, 0)):
            machine = type("Mutated", (Agreement,), {"confirms_at_receipt": at_receipt})()
            self.addCleanup(machine.teardown)
            machine.the_vm_may_serve_already(joined=True)
            machine.a_heartbeat_is_answered(answered=False)
            machine.the_promoter_records_a_move()
            machine.time_passes(seconds=3.5, heartbeats=False)
            machine.the_promoter_orders()
            machine.answers_come()
            self.assertEqual((1, uses), (machine.primary, machine.vm.uses))

    def test_a_primary_needs_a_valid_lease(self) -> None:
        with mock.patch.object(ConfirmedState, "lease_valid", True):
            self._assert_found()

    def test_a_primary_needs_a_confirmation_after_the_registration(self) -> None:
        def register(confirmed_state: ConfirmedState, asked_at: float) -> None:
            confirmed_state._registered_at = float("-inf")
            confirmed_state.renew_lease(asked_at)

        with mock.patch.object(ConfirmedState, "register", register):
            self._assert_found()
