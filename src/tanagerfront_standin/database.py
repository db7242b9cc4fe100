"""Stand-in database server: one instance per process, with SQL and log replication over HTTP.

All requests use one address. A connection whose first request is a replica's pull (`/log`) or an
inspection by a test (`/debug/...`) does not count against the connection limit; every other open
TCP connection does, including one that has not sent anything. An SQL error rolls back the whole
transaction. The data and the log are lost when the process ends.
"""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import trio

from tanagerfront.databases import InstanceStatus, Statement
from tanagerfront.http_client import Address
from tanagerfront.http_server import ConnectionHandler, HttpLimits, Request, Response, serve_http

from .database_replication import decode_statement, encode_entries, replicate
from .database_sql import SqlConnection, SqlFailure
from .database_state import Refusal
from .database_transaction import DatabaseOptions, SharedState, Transaction

__all__ = ["DatabaseOptions", "serve_database"]

MAX_WAIT_S = 2.0
MAX_ENTRIES_PER_PULL = 1000
WRITE_LOCK_TIMEOUT_S = 5.0
UNCOUNTED_PREFIXES = ("/log", "/debug/")
HTTP_LIMITS = HttpLimits(max_body_bytes=64 * 1024 * 1024)


class _DatabaseHandler(ConnectionHandler):
    """Serve one connection, which is one database session."""

    def __init__(self, server: SharedState, stream: trio.abc.Stream) -> None:
        self._server = server
        self._stream = stream
        self._state = server.state
        self._opened_at = trio.current_time()
        self._admitted: bool | None = None
        self._counted = True
        self._transaction: Transaction | None = None
        self._reader: SqlConnection | None = None
        self._reader_generation = -1
        server.connections.record_opened()

    async def handle(self, request: Request) -> Response:
        if self._admitted is None:
            await self._admit(request)
        if not self._admitted:
            return Response(503, _json({"error": "too-many-connections"}), close=True)
        try:
            return Response(200, _json(await self._dispatch(request)))
        except Refusal as refusal:
            return Response(409, _json({"error": refusal.name, "term": refusal.term}))
        except SqlFailure as failure:
            detail = {"code": failure.code, "index": failure.index, "message": failure.message}
            return Response(400, _json({"error": "sql", **detail}))
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
            return Response(400, _json({"error": "bad-request", "message": repr(error)}))

    async def close(self) -> None:
        self._rollback()
        if self._reader is not None:
            self._reader.close()
        if self._counted:
            self._server.connections.record_closed()

    async def _admit(self, request: Request) -> None:
        """Admit or refuse the connection at its first request.

        The decision follows the opening delay, because until their first request, new replication
        and inspection connections also count against the limit.
        """
        if request.path.startswith(UNCOUNTED_PREFIXES):
            self._counted = False
            self._server.connections.record_closed()
            self._admitted = True
            return
        await trio.sleep_until(self._opened_at + self._state.delays.open_s)
        self._admitted = self._server.connections.admit()
        if not self._admitted:
            self._counted = False
            self._server.connections.record_closed()

    async def _dispatch(self, request: Request) -> Any:
        match request.method, request.path:
            case "POST", "/execute":
                return await self._execute(msgspec.json.decode(request.body))
            case "POST", "/rollback":
                self._rollback()
                return {}
            case "GET", "/status":
                return await self._status(request.query)
            case "GET", "/log":
                return await self._log(request.query)
            case "POST", "/fence":
                self._state.fence(int(msgspec.json.decode(request.body)["term"]))
            case "POST", "/promote":
                self._state.promote(int(msgspec.json.decode(request.body)["term"]))
            case "POST", "/follow":
                return await self._follow(msgspec.json.decode(request.body))
            case "GET", "/debug/executions":
                return self._executions(int(request.query.get("after", "0")))
            case "GET", "/debug/connections":
                counts = self._server.connections
                return {"open": counts.open, "peak": counts.peak, "refused": counts.refused}
            case _:
                raise ValueError(f"unknown endpoint: {request.method} {request.path}")
        return _encode_status(self._state.status())

    async def _execute(self, body: Mapping[str, Any]) -> dict[str, Any]:
        term = int(body["term"])
        statements = [decode_statement(item) for item in body["statements"]]
        try:
            self._state.check_term(term)
            if body["begin"]:
                await self._begin(term, write=not body["read_only"])
            async with self._server.slots:
                began = time.monotonic()
                # A fence can end the transaction during this delay; _run() checks for it.
                await trio.sleep(self._state.delays.statement_s * len(statements))
                return self._run(term, statements, began, commit=body["commit"])
        except (Refusal, SqlFailure):
            self._rollback()
            raise

    async def _begin(self, term: int, *, write: bool) -> None:
        if self._transaction is not None and self._transaction.valid:
            raise SqlFailure(
                "transaction", "a transaction was already open and has been rolled back"
            )
        self._rollback()
        if not write:
            self._transaction = Transaction(self._server, self._open_reader(), None)
            return
        self._state.check_primary()
        lock = self._server.write_lock()
        with trio.move_on_after(WRITE_LOCK_TIMEOUT_S) as scope:
            await lock.acquire()
        if scope.cancelled_caught:
            raise SqlFailure("busy", "another transaction holds the write lock")
        try:
            self._state.check_term(term)
            self._state.check_primary()
        except Refusal:
            lock.release()
            raise
        self._transaction = Transaction(self._server, self._state.store.writer, lock)

    def _run(
        self, term: int, statements: list[Statement], began: float, *, commit: bool
    ) -> dict[str, Any]:
        self._state.check_term(term)
        transaction = self._transaction
        if transaction is None or not transaction.valid:
            raise SqlFailure("transaction", "no transaction is open")
        results = [
            transaction.run(statement, index, began) for index, statement in enumerate(statements)
        ]
        last_entry = transaction.snapshot
        if commit:
            self._transaction = None
            last_entry = transaction.commit()
        return {
            "term": self._state.term,
            "position": last_entry.position,
            "entry_term": last_entry.term,
            "applied": self._state.applied,
            "results": results,
        }

    def _rollback(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            transaction.rollback()

    def _open_reader(self) -> SqlConnection:
        store = self._state.store
        if self._reader is None or self._reader_generation != store.generation:
            if self._reader is not None:
                self._reader.close()
            self._reader = store.open_reader()
            self._reader_generation = store.generation
        return self._reader

    async def _status(self, query: Mapping[str, str]) -> dict[str, Any]:
        """Long-poll until `term`, `held` or, if given, `applied` differs from the query."""
        state = self._state
        known_state = (int(query.get("term", "-1")), int(query.get("held", "-1")))
        applied = int(query["applied"]) if "applied" in query else None

        def unchanged() -> bool:
            term_and_held_unchanged = known_state == (state.term, state.held)
            return term_and_held_unchanged and (applied is None or applied == state.applied)

        await self._wait_while(unchanged, query)
        return _encode_status(state.status())

    async def _log(self, query: Mapping[str, str]) -> dict[str, Any]:
        state = self._state
        after, last_term = int(query["after"]), int(query["last_term"])
        state.check_primary()
        term = state.term
        position = {"term": term, "held": state.held}
        if after > state.held or state.entry_id(after).term != last_term:
            return {"error": "diverged", **position, "term_starts": state.term_starts}
        await self._wait_while(lambda: state.term == term and state.held <= after, query)
        if state.term != term:
            raise Refusal("not-primary", state.term)
        entries = state.entries_after(after, MAX_ENTRIES_PER_PULL)
        return {"term": term, "held": state.held, "entries": encode_entries(entries)}

    async def _follow(self, body: Mapping[str, Any]) -> dict[str, Any]:
        term, primary = int(body["term"]), str(body["primary"])
        state = self._state
        state.follow(term, primary)
        await self._wait_while(
            lambda: state.term == term and state.synced_term < term, {"wait": "1000"}
        )
        return _encode_status(state.status()) | {"discarded": state.discarded}

    async def _wait_while(self, condition: Callable[[], bool], query: Mapping[str, str]) -> None:
        wait_s = min(int(query.get("wait", "0")) / 1000, MAX_WAIT_S)
        if wait_s <= 0 or not condition():
            return
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = trio.current_time() + wait_s
            nursery.start_soon(self._cancel_when_closed, nursery.cancel_scope)
            while condition():
                await self._state.wait_change()
            nursery.cancel_scope.cancel()

    async def _cancel_when_closed(self, scope: trio.CancelScope) -> None:
        """Cancel a wait when its client disconnects, so its connection stops counting at once."""
        if isinstance(self._stream, trio.SocketStream):
            connection = self._stream.socket
            with contextlib.suppress(OSError):
                await trio.lowlevel.wait_readable(connection)
                if not await connection.recv(1, socket.MSG_PEEK):
                    scope.cancel()

    def _executions(self, after: int) -> dict[str, Any]:
        recent = (entry for entry in self._server.executions if entry.number > after)
        return {"executions": [entry._asdict() for entry in recent]}


def _json(value: Any) -> bytes:
    return msgspec.json.encode(value)


def _encode_status(status: InstanceStatus) -> dict[str, Any]:
    return status._asdict()


async def serve_database(
    options: DatabaseOptions,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run one instance until cancelled; report its address once it accepts connections."""
    server = SharedState(options)
    try:
        listeners = await trio.open_tcp_listeners(options.listen.port, host=options.listen.host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(replicate, server.state, options.peers)
            await nursery.start(
                serve_http, listeners, lambda stream: _DatabaseHandler(server, stream), HTTP_LIMITS
            )
            task_status.started(Address(*listeners[0].socket.getsockname()[:2]))
    finally:
        server.state.store.close()
