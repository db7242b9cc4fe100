"""Replication for one stand-in database: pull the primary's log and apply it with delays."""

from __future__ import annotations

import itertools
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
import trio

from tanagerfront.databases import Statement, decode_value, encode_value
from tanagerfront.entry_id import EntryId
from tanagerfront.errors import ConnectionLostError
from tanagerfront.http_client import Address, HttpConnection

from .database_state import InstanceState, LogEntry

__all__ = ["decode_statement", "encode_entries", "replicate"]

PULL_WAIT_MS = 100
PULL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 0.5


def decode_statement(item: Mapping[str, Any]) -> Statement:
    """Decode a statement from its wire form; raises KeyError, TypeError or ValueError."""
    params = item.get("params") or []
    if isinstance(params, dict) and "$bytes" not in params:
        return Statement(item["sql"], {name: decode_value(value) for name, value in params.items()})
    return Statement(item["sql"], tuple(decode_value(value) for value in params))


def _encode_statement(statement: Statement) -> dict[str, Any]:
    params = statement.params
    if isinstance(params, Mapping):
        return {"sql": statement.sql, "params": {key: encode_value(params[key]) for key in params}}
    return {"sql": statement.sql, "params": [encode_value(value) for value in params]}


def encode_entries(entries: Sequence[LogEntry]) -> list[dict[str, Any]]:
    """Encode log entries in their wire form."""
    return [
        {
            "term": entry.id.term,
            "position": entry.id.position,
            "statements": [_encode_statement(statement) for statement in entry.statements],
        }
        for entry in entries
    ]


def _decode_entry(item: Mapping[str, Any]) -> LogEntry:
    statements = tuple(decode_statement(statement) for statement in item["statements"])
    return LogEntry(EntryId(item["term"], item["position"]), statements)


class _Puller:
    """Pull the primary's log over one connection, which is reopened after it fails.

    Pulled entries are queued with their term until the receive delay has passed. Meanwhile,
    further pulls continue after the last queued entry.
    """

    def __init__(self, state: InstanceState, peers: Mapping[str, Address]) -> None:
        self._state = state
        self._peers = peers
        self._peer_cycle = itertools.cycle(sorted(peers))
        self._connection: HttpConnection | None = None
        self._target = ""
        self._term = -1
        self._last_queued = EntryId(0, 0)
        self._queue_send, self._queue_receive = trio.open_memory_channel[
            tuple[float, int, tuple[LogEntry, ...]]
        ](10_000)

    async def run(self) -> None:
        while True:
            if self._state.is_primary:
                await self._state.wait_change()
                continue
            try:
                await self._pull()
            except ConnectionLostError:
                await trio.sleep(RETRY_DELAY_S)

    async def store_queued_entries(self) -> None:
        """Store queued entries once their receive delay has passed."""
        async for due, term, entries in self._queue_receive:
            await trio.sleep_until(due)
            self._state.append_received(term, entries)

    def _choose_target(self) -> str | None:
        """Return the primary, or the next peer to try while the instance has never had a term."""
        if self._state.primary is not None:
            return self._state.primary
        return next(self._peer_cycle, None) if self._state.term == 0 else None

    async def _connect(self, target: str) -> HttpConnection:
        connection = self._connection
        if connection is None or not connection.usable or self._target != target:
            if connection is not None:
                await connection.close()
            connection = await HttpConnection.open(self._peers[target], timeout_s=CONNECT_TIMEOUT_S)
            self._connection, self._target = connection, target
            self._resume_after_stored()
        return connection

    def _resume_after_stored(self) -> None:
        """Resume pulling after the last stored entry; queued entries are pulled again."""
        self._term = self._state.term
        self._last_queued = self._state.entry_id(self._state.held)

    async def _pull(self) -> None:
        target = self._choose_target()
        if target is None or target not in self._peers:
            with trio.move_on_after(RETRY_DELAY_S):
                await self._state.wait_change()
            return
        connection = await self._connect(target)
        if self._term != self._state.term:
            self._resume_after_stored()
        last, asked_term = self._last_queued, self._state.term
        path = f"/log?after={last.position}&last_term={last.term}&wait={PULL_WAIT_MS}"
        reply = await connection.request("GET", path, timeout_s=PULL_TIMEOUT_S)
        body = msgspec.json.decode(reply.body)
        if asked_term != self._state.term:
            return
        if reply.status == 200 or body.get("error") == "diverged":
            await self._process_reply(target, body)
        else:
            await trio.sleep(RETRY_DELAY_S)

    async def _process_reply(self, target: str, body: Mapping[str, Any]) -> None:
        term: int = body["term"]
        if term < self._state.term:
            await trio.sleep(RETRY_DELAY_S)
            return
        if term > self._state.term:
            # A term has one primary and only a primary serves its log, so the replying peer is it.
            self._state.follow(term, target)
            self._resume_after_stored()
        if "error" in body:
            starts = [(start[0], start[1]) for start in body["term_starts"]]
            self._state.discard_divergent(term, starts, body["held"])
            self._resume_after_stored()
            return
        self._state.record_primary_position(term, body["held"])
        entries = tuple(_decode_entry(item) for item in body["entries"])
        if entries:
            due = trio.current_time() + self._state.delays.receive_s
            await self._queue_send.send((due, term, entries))
            self._last_queued = entries[-1].id


async def _apply_forever(state: InstanceState) -> None:
    while True:
        due = state.apply_due()
        with trio.move_on_at(due if due is not None else float("inf")):
            await state.wait_change()


async def replicate(state: InstanceState, peers: Mapping[str, Address]) -> None:
    """Replicate from the current primary until cancelled."""
    puller = _Puller(state, peers)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(puller.run)
        nursery.start_soon(puller.store_queued_entries)
        nursery.start_soon(_apply_forever, state)
