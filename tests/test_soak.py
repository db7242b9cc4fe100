"""A short fault injection soak, seeds that failed before, and the checks of the soak history."""

from __future__ import annotations

import trio

from support import TestCase, trio_test
from tanagerfront.entry_id import EntryId
from tanagerfront_lab.soak import SoakOptions, run_soak
from tanagerfront_lab.soak_history import Origin, SoakHistory
from tanagerfront_standin.line_group import Arrival, Commit, LineGroup, Promotion, ReadRun
from tanagerfront_standin.loopback import ReservedHost

# Seeds that failed before, each with its cause. None so far.
REGRESSIONS: tuple[int, ...] = ()


class SoakTest(TestCase):
    def test_short_run_violates_no_guarantee(self) -> None:
        result = run_soak(SoakOptions(seed=7, seconds=8.0, vms=3, clients=6))
        self.assertEqual((), result.violations)
        self.assertGreater(result.served, 100)

    def test_short_run_with_a_restored_store_violates_no_guarantee(self) -> None:
        # Guards against a fleet that does not recover when the store loses seconds of its state.
        result = run_soak(SoakOptions(seed=8, seconds=8.0, vms=3, clients=6, restores=2))
        self.assertEqual((), result.violations)
        self.assertGreater(result.served, 100)

    def test_short_run_with_evacuations_violates_no_guarantee(self) -> None:
        # Guards against statements in a domain that is out of service, commits that are lost when
        # its primary moves, and a group without a primary, while VMs are killed or cut off.
        options = SoakOptions(seed=9, seconds=16.0, vms=4, clients=6, evacuations=2)
        result = run_soak(options)
        self.assertEqual((), result.violations)
        self.assertGreater(result.served, 100)

    def test_short_run_of_a_synchronous_group_loses_no_commit(self) -> None:
        # Guards against acknowledged commits that are rolled back when a primary fails while one
        # replica lags and another one is being replaced; also beside odd entries of instances.
        options = SoakOptions(
            seed=11, seconds=12.0, vms=3, clients=6, synchronous=True, odd_entries=4
        )
        result = run_soak(options)
        self.assertEqual((), result.violations)
        self.assertGreater(result.served, 100)

    def test_short_run_with_promoters_cut_off_violates_no_guarantee(self) -> None:
        # Guards against orders, calls and statements that are executed after their sender has given
        # them up or was ended, while the link that held them back was cut.
        options = SoakOptions(13, 16.0, 3, 6, groups=2, order_cuts=2, random_faults=False)
        result = run_soak(options)
        self.assertEqual((), result.violations)
        self.assertGreater(result.served, 100)

    def test_seeds_that_failed_before_pass(self) -> None:
        for seed in REGRESSIONS:
            self.assertEqual((), run_soak(SoakOptions(seed)).violations, f"seed {seed}")


class InstanceTest(TestCase):
    @trio_test
    async def test_a_crashed_instance_counts_as_not_running_at_once(self) -> None:
        # Guards against two faults that crash an instance at the same moment and then both start
        # it, which ends the run because its address is in use.
        with ReservedHost() as host:
            group = LineGroup("orders", host)
            async with trio.open_nursery() as nursery:
                await nursery.start(group.run)
                instance = group.instances[0]
                self.assertTrue(instance.running)
                instance.crash()
                self.assertFalse(instance.running)
                await trio.sleep(0.1)
                await group.restart(instance)
                self.assertTrue(instance.running)
                nursery.cancel_scope.cancel()


class HistoryTest(TestCase):
    # Guards against a soak that passes because its checks do not detect violations.

    def _write(self, history: SoakHistory, item: str = "x") -> tuple[str, Commit]:
        attempt = history.start_attempt(item, "primary", "k", True, 0.0)
        return attempt.id, Commit(EntryId(1, 1), ((item, attempt.data, attempt.id),))

    def test_write_committed_twice_is_found(self) -> None:
        history = SoakHistory()
        _, commit = self._write(history)
        history.check_log([commit, commit], [], 5.0)
        self.assertIn("committed 2 times", history.violations[0])

    def test_lost_acknowledged_write_is_found_unless_rolled_back(self) -> None:
        history = SoakHistory()
        query_id, commit = self._write(history)
        history.record_success(history._attempts[query_id], [], 1.0)
        history.check_log([], [], 5.0)
        self.assertIn("is not in the log", history.violations[0])
        history.violations.clear()
        history.check_log([], [commit], 5.0)
        self.assertEqual([], history.violations)

    def test_refused_write_in_the_log_is_found(self) -> None:
        history = SoakHistory()
        query_id, commit = self._write(history)
        history.record_rejection(history._attempts[query_id], not_applied=True)
        history.check_log([commit], [], 5.0)
        self.assertIn("was refused as not applied and is in the log", history.violations[0])

    def test_read_older_than_an_acknowledged_write_is_found(self) -> None:
        history = SoakHistory()
        query_id, commit = self._write(history)
        history.record_success(history._attempts[query_id], [], 1.0)
        read = history.start_attempt("x", "primary", "k", False, 2.0)
        history.record_success(read, ["-"], 3.0)
        history.check_log([commit], [], 5.0)
        self.assertIn("read - after acknowledged", history.violations[0])

    def test_use_of_a_key_revoked_too_long_before_is_found(self) -> None:
        history = SoakHistory()
        history.revoked_at["k"] = 1.0
        read = history.start_attempt("x", "bounded", "k", False, 7.0)
        history.record_success(read, ["-"], 7.1)
        history.check_log([], [], 5.0)
        self.assertIn("ran with an API key revoked too long before", history.violations[0])

    def test_a_statement_in_an_evacuated_domain_is_found(self) -> None:
        history = SoakHistory()
        history.evacuations.append(("adum", 1.0, 9.0))
        arrivals = [Arrival("q1", 5.9), Arrival("q2", 6.1), Arrival("q3", 9.1)]
        history.check_evacuations("adum", arrivals, 5.0)
        self.assertEqual(["q2 ran in adum, which was evacuated"], history.violations)

    def test_a_statement_that_arrives_after_its_caller_has_left_is_found(self) -> None:
        for frozen, found in (("i-1", 1), ("vm-2", 0)):
            history = SoakHistory()
            attempt = history.start_attempt("x", "primary", "k", True, 1.0, Origin("", "vm-1"))
            history.check_late_arrivals("i-1", [Arrival(attempt.id, 3.0)])
            attempt.ended_at = 2.0
            history.check_late_arrivals("i-1", [Arrival(attempt.id, 2.1)])
            self.assertEqual([], history.violations)
            history.disruptions.append((frozen, 1.5, 1.9))
            history.check_late_arrivals("i-1", [Arrival(attempt.id, 2.5)])
            self.assertEqual(found, len(history.violations))

    def test_write_acknowledged_after_a_promotion_is_found(self) -> None:
        history = SoakHistory()
        query_id, commit = self._write(history)
        late = commit._replace(instance="p", at=2.0)
        promotions = [Promotion("r", 2, 1.5)]
        history.check_promotions([late], promotions)
        self.assertEqual([], history.violations)
        history.record_success(history._attempts[query_id], [], 2.1)
        history.check_promotions([late._replace(at=1.4)], promotions)
        history.check_promotions([late._replace(entry=EntryId(2, 1))], promotions)
        self.assertEqual([], history.violations)
        history.check_promotions([late], promotions)
        self.assertIn("after the promotion of r to term 2 at 1.500", history.violations[0])

    def test_write_that_a_frozen_vm_sent_late_is_allowed_after_a_promotion(self) -> None:
        history = SoakHistory()
        attempt = history.start_attempt("x", "primary", "k", True, 1.0, Origin("", "vm-1"))
        commit = Commit(EntryId(1, 1), (("x", attempt.data, attempt.id),), "p", 2.0)
        history.record_success(attempt, [], 2.1)
        history.disruptions.append(("vm-1", 1.2, 1.9))
        history.check_promotions([commit], [Promotion("r", 2, 1.5)])
        self.assertEqual([], history.violations)

    def test_read_on_a_log_without_an_acknowledged_commit_is_found(self) -> None:
        cases = [
            # Kind of route, start of the read, session of the write, whether it is a violation.
            ("primary", 1.1, 1, True),
            ("primary", 0.9, 1, False),
            ("bounded", 2.4, 2, False),
            ("bounded", 2.6, 2, True),
            ("read_your_writes", 1.1, 1, False),
            ("read_your_writes", 1.1, 2, True),
            ("read_your_writes", 2.6, 1, True),
        ]
        for consistency, started_at, session, violated in cases:
            history = SoakHistory()
            write = history.start_attempt("x", "primary", "k", True, 0.5, Origin("", "", session))
            history.record_success(write, [], 1.0)
            log = [Commit(EntryId(2, 1), (("x", write.data, write.id),))]
            read = history.start_attempt(
                "y", consistency, "k", False, started_at, Origin("", "", 2)
            )
            history.record_success(read, ["-"], 3.0)
            for position in (EntryId(2, 1), EntryId(1, 9)):
                history.check_reads([ReadRun(read.id, "p", position, 2.0)], log, 1.5)
            self.assertEqual(int(violated), len(history.violations), (consistency, started_at))
            if violated:
                self.assertIn("ran at p at 2.000 on log 1.9, without 2.1", history.violations[0])

    def test_low_success_rate_after_the_faults_is_found(self) -> None:
        history = SoakHistory()
        history.check_recovery((10, 0), (11, 9))
        self.assertIn("after recovery", history.violations[0])
