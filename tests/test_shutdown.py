"""What a stopping VM of the session interface takes, by the time since the signal."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.shutdown import MIN_IDLE_S, Shutdown

STARTED_AT = 100.0
SHUTDOWN = Shutdown(STARTED_AT, 6.0)


class ShutdownTest(TestCase):
    @given(st.floats(0.0, 10.0), st.floats(0.0, 10.0))
    def test_in_the_second_half_only_statements_that_end_in_time_are_accepted(
        self, since_s: float, timeout_s: float
    ) -> None:
        # Guards against requests that are taken at the last moment and cut off.
        now = STARTED_AT + since_s
        if SHUTDOWN.accepts(now, timeout_s) and since_s >= 3.0:
            self.assertTrue(now + timeout_s <= SHUTDOWN.ends_at < STARTED_AT + 6.0)

    def test_callers_are_served_until_the_load_balancer_can_have_noticed(self) -> None:
        # Guards against refusals at a VM that still gets connections in good order.
        self.assertTrue(SHUTDOWN.accepts(STARTED_AT + 2.9, 10.0))
        self.assertTrue(SHUTDOWN.accepts(STARTED_AT + 3.5, 1.5))
        self.assertFalse(SHUTDOWN.accepts(STARTED_AT + 3.9, 1.5))

    @given(st.floats(0.0, 1.0), st.floats(0.0, 2.0))
    def test_a_short_grace_time_leaves_no_statement_behind(
        self, grace_s: float, since_s: float
    ) -> None:
        # Guards against statements that are accepted although the process is due to exit.
        shutdown = Shutdown(STARTED_AT, grace_s)
        if STARTED_AT + since_s >= shutdown.ends_at:
            self.assertFalse(shutdown.accepts(STARTED_AT + since_s, 0.1))

    def test_a_caller_that_was_just_answered_is_not_cut_off(self) -> None:
        # Guards against closing a connection on which a statement is on its way: the caller of a
        # write could not tell whether it ran.
        for since_s in (0.1, 2.0, 4.0):
            now = STARTED_AT + since_s
            for waited_s, closes in ((0.0, False), (MIN_IDLE_S / 2, False), (MIN_IDLE_S, True)):
                waiting_since = now - waited_s
                self.assertEqual(
                    closes, SHUTDOWN.may_close(now, waiting_since, in_transaction=False)
                )

    def test_open_transactions_have_half_of_the_grace_time(self) -> None:
        # Guards against transactions that are rolled back as soon as the VM is stopped.
        self.assertFalse(SHUTDOWN.may_close(STARTED_AT + 2.9, STARTED_AT, in_transaction=True))
        self.assertTrue(SHUTDOWN.may_close(STARTED_AT + 3.1, STARTED_AT, in_transaction=True))

    def test_no_connection_outlives_the_end(self) -> None:
        # Guards against a process that is killed because a connection never became idle.
        ends_at = SHUTDOWN.ends_at
        self.assertTrue(SHUTDOWN.may_close(ends_at, ends_at, in_transaction=True))
