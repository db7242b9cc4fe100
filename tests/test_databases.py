"""Tests of the database session: values, errors, and the outcome of lost requests."""

from __future__ import annotations

import contextlib
import json
from collections.abc import AsyncIterator

import trio
from hypothesis import given
from hypothesis import strategies as st

from standin_group import TIMEOUT_S, StandinGroup, read, write
from support import TestCase, trio_test
from tanagerfront.databases import DatabaseSession, Statement, decode_value, encode_value
from tanagerfront.entry_id import EntryId
from tanagerfront.errors import (
    ConnectionLostError,
    DatabaseError,
    NotPrimaryError,
    SqlError,
    StaleTermError,
    TooManyConnectionsError,
)
from tanagerfront.http_server import ConnectionHandler, Request, Response, serve_http
from tanagerfront_standin.link import Direction, TcpLink

VALUES = st.one_of(
    st.none(), st.integers(-(2**63), 2**63 - 1), st.floats(allow_nan=False), st.text(), st.binary()
)


class FixedResponseHandler(ConnectionHandler):
    """Send the same response to every request."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = Response(status, body)

    async def handle(self, request: Request) -> Response:
        return self._response


@contextlib.asynccontextmanager
async def open_fixed_response(status: int, body: bytes) -> AsyncIterator[DatabaseSession]:
    async with trio.open_nursery() as nursery:
        group = StandinGroup(["a"])
        host, port = group.addresses["a"]
        listeners = await trio.open_tcp_listeners(port, host=host)
        await nursery.start(
            serve_http, listeners, lambda _stream: FixedResponseHandler(status, body)
        )
        yield await group.session("a")
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_link() -> AsyncIterator[tuple[TcpLink, DatabaseSession, DatabaseSession]]:
    """Yield a link, a session through it and a direct session."""
    async with trio.open_nursery() as nursery:
        group = StandinGroup(["a"])
        await group.start(nursery)
        link = TcpLink(group.addresses["a"])
        linked = await DatabaseSession.open(await nursery.start(link.run), TIMEOUT_S)
        yield link, linked, await group.session("a")
        nursery.cancel_scope.cancel()


class ValueTest(TestCase):
    @given(VALUES)
    def test_values_round_trip_through_json(self, value: str | int | float | bytes | None) -> None:
        # Guards against bytes that are decoded as text, and integers that lose digits.
        self.assertEqual(value, decode_value(json.loads(json.dumps(encode_value(value)))))

    @trio_test
    async def test_values_round_trip_through_the_database(self) -> None:
        # Guards against positional and named parameters that are confused or change their type.
        async with open_link() as (_link, session, _direct):
            insert = Statement("INSERT INTO t VALUES (:k, :v)", {"k": "x", "v": b"\x00\xff"})
            select = Statement("SELECT v, ? FROM t", [2**62])
            result = await session.execute(
                [insert, select], term=1, begin=True, commit=True, read_only=False, timeout_s=1
            )
            self.assertEqual(((b"\x00\xff", 2**62),), result.results[1].rows)
            self.assertEqual((1, 1), (result.results[0].changes, result.term))
            self.assertEqual(EntryId(1, 2), result.reached)


class ErrorTest(TestCase):
    @trio_test
    async def test_rejected_requests_did_not_run(self) -> None:
        # Guards against a rejection that raises the wrong error, or is retried although it ran.
        cases: tuple[tuple[int, dict[str, object], type[DatabaseError]], ...] = (
            (409, {"error": "stale-term", "term": 7}, StaleTermError),
            (409, {"error": "not-primary", "term": 7}, NotPrimaryError),
            (409, {"error": "not-fenced", "term": 7}, NotPrimaryError),
            (503, {"error": "too-many-connections"}, TooManyConnectionsError),
            (400, {"error": "sql", "code": "constraint", "index": 2}, SqlError),
        )
        for status, body, expected in cases:
            async with open_fixed_response(status, json.dumps(body).encode()) as session:
                with self.assertRaises(expected) as caught:
                    await write(session, "x")
                self.assertEqual("no", caught.exception.executed)
                self.assertFalse(session.in_transaction)

    @trio_test
    async def test_unexpected_responses_leave_the_outcome_unknown(self) -> None:
        # Guards against an unreadable response that is treated as a rejection.
        for status, body in ((500, b"oops"), (200, b"{}"), (200, b"nonsense")):
            async with open_fixed_response(status, body) as session:
                with self.assertRaises(DatabaseError) as caught:
                    await write(session, "x")
                self.assertEqual("unknown", caught.exception.executed)

    @trio_test
    async def test_lost_response_of_a_commit_is_unknown(self) -> None:
        # Guards against a committed write that is reported as not run after its response was lost.
        async with open_link() as (link, session, direct):
            link.cut_directions(Direction.TO_CLIENT)
            with self.assertRaises(ConnectionLostError) as caught:
                await write(session, "x", timeout_s=0.2)
            self.assertEqual("unknown", caught.exception.executed)
            self.assertFalse(session.usable)
            self.assertEqual({"x"}, await read(direct))

    @trio_test
    async def test_connection_lost_before_commit_did_not_run(self) -> None:
        # Guards against an uncommitted transaction whose outcome is reported as unknown, or whose
        # writes are not rolled back.
        async with open_link() as (link, session, direct):
            link.cut_directions(Direction.TO_CLIENT)
            with self.assertRaises(ConnectionLostError) as caught:
                await write(session, "x", commit=False, timeout_s=0.2)
            self.assertEqual("no", caught.exception.executed)
            link.restore()
            await write(direct, "y")
            self.assertEqual({"y"}, await read(direct))

    @trio_test
    async def test_failed_connect_did_not_run(self) -> None:
        # Guards against a request that is not retried although nothing was sent.
        group = StandinGroup(["a"])
        with self.assertRaises(ConnectionLostError) as caught:
            await group.session("a")
        self.assertEqual("no", caught.exception.executed)
