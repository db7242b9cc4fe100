"""Codec of the line protocol: accepted messages, and rejection of everything else."""

from __future__ import annotations

import trio
from hypothesis import given
from hypothesis import strategies as st

from support import TestCase, trio_test
from tanagerfront.entry_id import EntryId
from tanagerfront.errors import BadRequestError
from tanagerfront.instance_pool import InstanceStatement
from tanagerfront.platform.lines import (
    Bye,
    Complete,
    Error,
    InstanceConnect,
    Ready,
    Row,
    decode_caller_line,
    decode_instance_line,
    decode_relay_line,
    encode_connect,
    encode_query,
    encode_reply,
)
from tanagerfront.session_model import (
    Begin,
    Connect,
    Execute,
    Failure,
    FailureCode,
    InstanceLoad,
    Prepare,
    Query,
    Read,
    Reply,
    SetValue,
    StepDown,
    TransactionState,
    Urgency,
    Verbatim,
    Write,
)


def decode_statement(text: str) -> object:
    query = decode_caller_line(f"QUERY q1 {text}".encode(), 0.0)
    assert isinstance(query, Query)
    return query.statement


class CallerLineTest(TestCase):
    def test_messages_and_statements_are_decoded(self) -> None:
        self.assertEqual(Connect("orders", "u3f1"), decode_caller_line(b"CONNECT orders u3f1", 0))
        self.assertEqual(Connect("orders", ""), decode_caller_line(b"CONNECT orders", 0))
        self.assertEqual(Bye(), decode_caller_line(b"BYE", 0))
        self.assertEqual(Begin(read_only=False), decode_statement("BEGIN"))
        self.assertEqual(Begin(read_only=True), decode_statement("BEGIN READ"))
        self.assertEqual(Read(), decode_statement("READ 1a4"))
        self.assertEqual(Write(), decode_statement("WRITE 1a4 some data"))
        self.assertEqual(SetValue("a", "b c"), decode_statement("SET a b c"))
        self.assertEqual(Prepare("s1", True, "q2c"), decode_statement("PREPARE s1 WRITE q2c"))
        self.assertEqual(Execute("s1", "1a4 data"), decode_statement("EXECUTE s1 1a4 data"))

    def test_a_caller_cannot_send_instance_control_statements_or_prefixes(self) -> None:
        # Guards against callers that pass control statements or the AFTER prefix to an instance.
        for text in ("STATUS", "STEPDOWN 9", "AFTER 1.2 READ 1", "RESET", "BEGIN WRITE", "READ"):
            with self.assertRaises(BadRequestError):
                decode_statement(text)

    @given(st.binary(max_size=200))
    def test_any_bytes_are_decoded_or_rejected(self, line: bytes) -> None:
        try:
            decode_caller_line(line, 0.0)
        except BadRequestError:
            return

    @given(st.binary(max_size=200))
    def test_any_bytes_from_an_instance_are_decoded_or_rejected(self, line: bytes) -> None:
        try:
            decode_instance_line(line)
        except BadRequestError:
            return


class InstanceLineTest(TestCase):
    def test_messages_are_decoded(self) -> None:
        self.assertEqual(Row(b"a b"), decode_instance_line(b"ROW a b"))
        self.assertEqual(Complete(b"7.1f3"), decode_instance_line(b"COMPLETE 7.1f3"))
        self.assertEqual(
            Error(Failure(FailureCode.READ_ONLY, "i-7f")),
            decode_instance_line(b"ERROR READONLY i-7f"),
        )
        self.assertEqual(
            Ready(TransactionState.FAILED, EntryId(3, 1209)),
            decode_instance_line(b"READY E 3.1209"),
        )
        self.assertEqual(Ready(TransactionState.IDLE, None), decode_instance_line(b"READY I -"))

    def test_an_unknown_code_is_decoded_as_failed(self) -> None:
        self.assertEqual(
            Error(Failure(FailureCode.FAILED, "x")), decode_instance_line(b"ERROR ODD x")
        )

    def test_statements_are_encoded(self) -> None:
        read_after = InstanceStatement("q1", Verbatim("READ 1a4"), EntryId(3, 1207))
        self.assertEqual(b"QUERY q1 AFTER 3.1207 READ 1a4\r\n", encode_query(read_after))
        step_down = InstanceStatement("-", StepDown(4))
        self.assertEqual(b"QUERY - STEPDOWN 4\r\n", encode_query(step_down))
        self.assertEqual(b"CONNECT g o i\r\n", encode_connect("g", "o", "i"))

    def test_replies_are_encoded(self) -> None:
        success = Reply((b"r",), signature=b"7.1", reached=EntryId(3, 9))
        self.assertEqual(b"ROW r\r\nCOMPLETE 7.1\r\nREADY I 3.9\r\n", encode_reply(success))
        error = Reply(failure=Failure(FailureCode.IN_DOUBT, "lost"), state=TransactionState.FAILED)
        self.assertEqual(b"ERROR INDOUBT lost\r\nREADY E -\r\n", encode_reply(error))

    @given(st.text(st.characters(exclude_characters="\r\n", codec="utf-8"), min_size=1))
    def test_a_callers_text_reaches_the_instance_unchanged(self, text: str) -> None:
        line = encode_query(InstanceStatement("q1", Verbatim(text)))
        self.assertEqual(f"QUERY q1 {text}\r\n".encode(), line)


class RelayLineTest(TestCase):
    """Messages between a VM and a home, beside those that instances know."""

    @trio_test
    async def test_a_home_receives_the_urgency_that_was_sent(self) -> None:
        # A home that took times of another VM's clock would refuse or delay the wrong statements.
        now = trio.current_time()
        urgency = Urgency(1, now + 0.2, now + 1.0, in_transaction=True)
        sent = InstanceStatement("q1", Verbatim("READ 1a4"), EntryId(3, 7), urgency)
        line = encode_query(sent, to_home=True)
        received = decode_relay_line(line.removesuffix(b"\r\n"))
        assert isinstance(received, InstanceStatement) and received.urgency is not None
        self.assertEqual(sent._replace(urgency=None), received._replace(urgency=None))
        self.assertEqual((1, True), (received.urgency.priority, received.urgency.in_transaction))
        # Sent in whole milliseconds, rounded down, and read a little later.
        self.assertAlmostEqual(urgency.objective_at, received.urgency.objective_at, delta=0.005)
        self.assertAlmostEqual(urgency.deadline, received.urgency.deadline, delta=0.005)

    @trio_test
    async def test_an_instance_never_receives_the_urgency(self) -> None:
        urgency = Urgency(0, 1.0, 2.0)
        line = encode_query(InstanceStatement("q1", Verbatim("READ 1a4"), urgency=urgency))
        self.assertEqual(b"QUERY q1 READ 1a4\r\n", line)

    @given(st.text(st.characters(exclude_characters=" \r\n", codec="utf-8"), min_size=1))
    def test_a_malformed_urgency_leaves_the_statement_as_it_is(self, text: str) -> None:
        @trio_test
        async def decode(test: TestCase) -> None:
            decoded = decode_relay_line(f"QUERY q1 URGENCY {text} READ 1a4".encode())
            assert isinstance(decoded, InstanceStatement)
            test.assertEqual(Verbatim("READ 1a4"), decoded.statement)

        decode(self)

    def test_a_home_tells_the_version_of_a_session(self) -> None:
        self.assertEqual(InstanceConnect("g", "o", "i", 1), decode_relay_line(b"CONNECT g o i"))
        self.assertEqual(InstanceConnect("g", "o", "i", 2), decode_relay_line(b"CONNECT g o i 2"))
        self.assertEqual(b"CONNECT g o i 2\r\n", encode_connect("g", "o", "i", 2))

    def test_the_load_of_an_instance_is_read_from_the_reply_of_its_home(self) -> None:
        load = InstanceLoad(7, 3, 2, 0.045)
        line = encode_reply(Reply(signature=b"7.1", reached=EntryId(3, 9), load=load))
        self.assertEqual(b"COMPLETE 7.1\r\nREADY I 3.9 7/3/2/45\r\n", line)
        ready = Ready(TransactionState.IDLE, EntryId(3, 9), load)
        self.assertEqual(ready, decode_instance_line(b"READY I 3.9 7/3/2/45"))

    def test_a_malformed_load_is_ignored(self) -> None:
        ready = Ready(TransactionState.IDLE, EntryId(3, 9))
        for load in (b"7/3", b"a/b/c/d", b"7/-3/2/45", b"7/3/2/45/6"):
            self.assertEqual(ready, decode_instance_line(b"READY I 3.9 " + load))
