"""Stand-ins for the platform, the instances and the clients, and the start of the VMs.

Standard library only. Everything listens on loopback addresses. The VMs are the project's own
processes, started with the command of deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
FIRST_NET = 20
KEY = "u6wsjnbanfqasnmgkcuy"


class Record:
    """Write what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._started = time.monotonic()

    def __call__(self, who: str, what: str) -> None:
        self._file.write(f"{self.now():8.3f} {who}: {what}\n")
        self._file.flush()

    def now(self) -> float:
        return time.monotonic() - self._started


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of a host that are free now."""
    sockets = []
    for _ in range(count):
        opened = socket.socket()
        opened.bind((host, 0))
        sockets.append(opened)
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


# HTTP


async def read_http(reader: asyncio.StreamReader):
    """Return method, path, query, headers and body of the next request, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    return method, parts.path, dict(parse_qsl(parts.query)), headers, body


def http_response(status: int, body: dict | None = None) -> bytes:
    data = json.dumps(body or {}).encode()
    return (
        f"HTTP/1.1 {status} S\r\ncontent-type: application/json\r\n"
        f"content-length: {len(data)}\r\n\r\n"
    ).encode() + data


class Store:
    """The platform's store: items, leases and watches (PROTOCOL.md)."""

    ANSWER_S = 0.004

    def __init__(self, record: Record) -> None:
        self.record = record
        self.items: dict[str, dict] = {}
        self.revision = 10
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(77001)
        self._changed = asyncio.Event()
        # Called with the body of a write under a condition; it may return a delay in seconds after
        # which the write is done, with no answer to the caller.
        self.late_write = lambda body: None

    async def start(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, host, port)
        self._tasks = [asyncio.ensure_future(self._run_leases())]

    def put(self, key: str, value: dict, lease: int = 0) -> int:
        """Write as the operator or an instance does; returns the revision."""
        return self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), lease)

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def value(self, key: str) -> dict | None:
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def _put(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        before = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def _note(self, event: dict) -> None:
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _run_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, (until, _) in self.leases.items() if until < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.record("store", f"the lease of {key} has ended")
            self.delete(key)

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_http(reader)) is not None:
                response = await self._answer(*request)
                if response is None:
                    # The answer is lost, and so is all that would follow on this connection.
                    await reader.read()
                    break
                writer.write(response)
                await writer.drain()
        writer.close()

    async def _answer(self, method, path, query, headers, body) -> bytes | None:
        await asyncio.sleep(self.ANSWER_S)
        match method, path.strip("/").split("/"):
            case "GET", ["v1", "kv-key"]:
                item = self.items.get(query["key"])
                if item is None:
                    return http_response(404)
                return http_response(200, item | {"at_revision": self.revision})
            case "GET", ["v1", "kv-range"]:
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                return http_response(
                    200,
                    {
                        "items": [self.items[key] for key in keys],
                        "has_more": False,
                        "at_revision": self.revision,
                    },
                )
            case "GET", ["v1", "kv-watch"]:
                return await self._watch(query)
            case "POST", ["v1", "kv-txn"]:
                return await self._txn(json.loads(body))
            case "POST", ["v1", "kv-lease"]:
                ttl_ms = json.loads(body)["ttl_ms"]
                lease = next(self._lease_ids)
                self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms / 1000)
                return http_response(200, {"lease": lease, "ttl_ms": ttl_ms})
            case "POST", ["v1", "kv-keep", lease]:
                if int(lease) not in self.leases:
                    return http_response(404)
                ttl_s = self.leases[int(lease)][1]
                self.leases[int(lease)] = (time.monotonic() + ttl_s, ttl_s)
                return http_response(200, {"ttl_ms": round(ttl_s * 1000)})
            case "DELETE", ["v1", "kv-lease-end", lease]:
                if int(lease) not in self.leases:
                    return http_response(404)
                self._end_lease(int(lease))
                return http_response(200)
        return http_response(404)

    async def _watch(self, query) -> bytes:
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + min(30.0, int(query["wait_ms"]) / 1000)
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return http_response(200, {"events": events, "at_revision": self.revision})
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    async def _txn(self, body) -> bytes | None:
        delay = self.late_write(body)
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, self._do_txn, body)
            return None
        return self._do_txn(body)

    def _do_txn(self, body) -> bytes:
        current = {
            row["key"]: self.items[row["key"]]["revision"] if row["key"] in self.items else 0
            for row in body.get("expected_revision", ())
        }
        if any(current[row["key"]] != row["revision"] for row in body["expected_revision"]):
            found = [self.items[key] for key in current if key in self.items]
            return http_response(412, {"items": found})
        for put in body.get("puts", ()):
            if put.get("lease") and put["lease"] not in self.leases:
                return http_response(404)
        for put in body.get("puts", ()):
            self._put(put["key"], put["value"], put.get("lease") or 0)
            if "leaders/" in put["key"] or put["key"].endswith("/promoter"):
                self.record("store", f"{put['key']} = {base64.b64decode(put['value']).decode()}")
        for key in body.get("deletes", ()):
            self.delete(key)
        return http_response(200, {"revision": self.revision})


class Cloud:
    """The platform's call that promotes an instance."""

    def __init__(self, record: Record, groups: dict[str, Group]) -> None:
        self.record = record
        self._groups = groups
        # Seconds from the receipt of a call until it is done and answered.
        self.delay_s = 0.005
        self.calls: list[tuple[str, str, str, int]] = []

    async def start(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer) -> None:
        pending = []
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_http(reader)) is not None:
                _, path, _, headers, body = request
                order = json.loads(body)
                holder, token = headers["x-lease-holder"], int(headers["x-fencing-token"])
                self.calls.append((order["service"], order["id"], holder, token))
                self.record("cloud", f"receives promote {order['id']} from {holder}, token {token}")
                # An order that was received is done, also if its sender has stopped waiting.
                pending.append(asyncio.ensure_future(self._promote(order, writer)))
        for task in pending:
            await task
        writer.close()

    async def _promote(self, order, writer) -> None:
        await asyncio.sleep(self.delay_s)
        done = self._groups[order["service"]].promote(order["id"])
        self.record("cloud", f"does promote {order['id']}: {'200' if done else '409'}")
        with contextlib.suppress(ConnectionError):
            writer.write(http_response(200 if done else 409))
            await writer.drain()


# Instances


class Commit:
    """One commit: its place in the log and its writes (item, data, id of the statement)."""

    def __init__(self, entry: tuple[int, int], writes: tuple) -> None:
        self.entry = entry
        self.writes = writes


class Refused(Exception):
    """A statement fails with a code."""


class Instance:
    """One instance of a service; `log` is what it has received, `held` how much is applied."""

    def __init__(self, group: Group, name: str, zone: str) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.log: list[Commit] = []
        self.applied = 0
        self.primary = False
        self.term = 1
        self.paused_term = 0
        # Whether the replica receives commits from the primary.
        self.receives = True
        self.apply_lag_s = group.lag_s
        self.state = "ready"
        self.running = False
        # False while the instance is cut off from all others.
        self.reachable = True
        self.connections = 0
        # Seconds that a read, a write or a commit takes in its slot.
        self.work_s = group.work_s
        self.busy_status = False
        self.heartbeats = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._slots = asyncio.Semaphore(group.slots)
        self._writers: set = set()
        self._signatures = itertools.count(1)

    @property
    def held(self) -> tuple[int, int]:
        return self.log[self.applied - 1].entry if self.applied else (1, 0)

    @property
    def received(self) -> tuple[int, int]:
        return self.log[-1].entry if self.log else (1, 0)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.running = True

    def cut_off(self) -> None:
        """Cut the instance off: it runs on, but nobody reaches it and it reaches nobody."""
        self.reachable = False
        self.heartbeats = False
        self.server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def reconnect(self) -> None:
        """End the cut."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.reachable = True
        self.heartbeats = True
        self.group.report(self)
        self.group.meet()

    def crash(self) -> None:
        """End the process: connections are reset, nothing more is said."""
        self.running = False
        self.server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self) -> None:
        """Start again with the log, as a replica if another instance was promoted meanwhile."""
        newest = max(i.term for i in self.group.instances.values())
        self.primary = self.primary and self.term == newest
        self.sequence, self.born = 0, int(time.time() * 1000)
        await self.start()
        self.group.record(self.name, f"starts again as {'primary' if self.primary else 'replica'}")
        self.group.report(self)
        self.group.meet()

    def entry(self) -> dict:
        self.sequence += 1
        return {
            "service": self.group.name,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.group.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "db_role": "primary" if self.primary else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError
            ):
                await Session(self, reader, writer).serve()
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def hold_slot(self, seconds: float) -> None:
        async with self._slots:
            await asyncio.sleep(seconds)

    def signature(self) -> str:
        return f"{self.name}.{next(self._signatures)}"

    def value(self, item: str) -> str:
        for commit in reversed(self.log[: self.applied]):
            for name, data, _ in commit.writes:
                if name == item:
                    return data
        return "-"


class Session:
    """One connection to an instance."""

    def __init__(self, instance: Instance, reader, writer) -> None:
        self.instance = instance
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self.plain = False
        self.writes: list[tuple[str, str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}

    async def line(self) -> str:
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def serve(self) -> None:
        instance = self.instance
        words = (await self.line()).split(" ")
        expected = words[3] if len(words) > 3 else instance.name
        if words[:2] != ["CONNECT", instance.group.name] or expected != instance.name:
            self.writer.write(f"ERROR MOVED {instance.name}\r\n".encode())
            return
        if instance.connections > instance.group.max_connections:
            self.writer.write(f"ERROR CONNLIMIT {instance.name}\r\n".encode())
            return
        self.tenant = words[2]
        await instance.hold_slot(instance.group.connect_s)
        await self._ready([])
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "BYE":
                return
            query_id, _, text = rest.partition(" ")
            try:
                lines = await self._run(query_id, text)
            except Refused as error:
                if self.state == "T":
                    self.state = "E"
                lines = [f"ERROR {error}"]
            await self._ready(lines)

    async def _ready(self, lines: list[str]) -> None:
        term, number = self.instance.held
        lines = [*lines, f"READY {self.state} {term}.{number}"]
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())
        await self.writer.drain()

    async def _run(self, query_id: str, text: str) -> list[str]:
        instance = self.instance
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
            term, number = after.split(".")
            if instance.held < (int(term), int(number)):
                raise Refused(f"LAGGING {instance.name}")
        verb, *rest = text.split(" ")
        if self.state == "E" and verb not in ("ROLLBACK", "COMMIT"):
            raise Refused("MALFORMED the transaction has failed")
        lost_lead = self.state == "T" and self.plain and not instance.primary
        if lost_lead and verb != "ROLLBACK" and not (verb == "COMMIT" and not self.writes):
            raise Refused(f"READONLY {instance.name}")
        match verb:
            case "BEGIN":
                if not rest and not instance.primary:
                    raise Refused(f"READONLY {instance.name}")
                self.state, self.plain, self.writes = "T", not rest, []
                return ["COMPLETE -"]
            case "ROLLBACK":
                self.state, self.writes = "I", []
                return ["COMPLETE -"]
            case "COMMIT":
                return await self._commit(query_id)
            case "RESET":
                self.values, self.prepared = {}, {}
                return ["COMPLETE -"]
            case "SET":
                self.values[rest[0]] = " ".join(rest[1:])
                return ["COMPLETE -"]
            case "PREPARE":
                self.prepared[rest[0]] = (rest[1], " ".join(rest[2:]))
                return ["COMPLETE -"]
            case "DEALLOC":
                self.prepared.pop(rest[0], None)
                return ["COMPLETE -"]
            case "EXECUTE":
                if rest[0] not in self.prepared:
                    raise Refused(f"NOSTMT {rest[0]}")
                return await self._access(query_id, self.prepared[rest[0]][0], rest[1:], text)
            case "READ" | "WRITE":
                return await self._access(query_id, verb, rest, text)
            case "STATUS" | "PAUSE" | "STEPDOWN":
                return await self._control(verb, rest)
        raise Refused("MALFORMED what")

    async def _control(self, verb: str, rest: list[str]) -> list[str]:
        instance = self.instance
        if verb == "STATUS":
            if instance.busy_status:
                raise Refused(f"BUSY {instance.name}")
            await instance.hold_slot(0.001)
        if verb == "PAUSE" and not instance.primary and int(rest[0]) > instance.term:
            instance.paused_term = int(rest[0])
            instance.group.record(instance.name, f"is paused below term {rest[0]}")
        if verb == "STEPDOWN" and instance.primary and int(rest[0]) > instance.term:
            instance.primary = False
            instance.group.record(instance.name, f"steps down for term {rest[0]}")
            instance.group.report(instance)
        role = "primary" if instance.primary else "replica"
        received = instance.received
        row = (
            f"{role} {instance.term} {received[0]}.{received[1]} {instance.paused_term} 0 0"
            f" {instance.connections}"
        )
        return [f"ROW {row}", "COMPLETE -"]

    async def _access(self, query_id: str, verb: str, rest: list[str], text: str) -> list[str]:
        instance, record = self.instance, self.instance.group.record
        if verb == "WRITE" and not instance.primary:
            raise Refused(f"READONLY {instance.name}")
        instance.group.arrivals.append((query_id, instance.name, time.monotonic()))
        if verb == "READ":
            # A read sees what the instance holds when it begins.
            held, value = instance.held, instance.value(rest[0])
            await instance.hold_slot(instance.work_s)
            pending = [data for item, data, _ in self.writes if item == rest[0]]
            value = pending[-1] if pending else value
            record(instance.name, f"runs {query_id} {text} on {held}: {value}")
            instance.group.reads.append((query_id, instance.name, held))
            return [f"ROW {value}", f"COMPLETE {instance.signature()}"]
        await instance.hold_slot(instance.work_s)
        if not instance.primary:
            raise Refused(f"READONLY {instance.name}")
        self.writes.append((rest[0], " ".join(rest[1:]), query_id))
        record(instance.name, f"runs {query_id} {text}")
        if self.state == "I":
            writes, self.writes = tuple(self.writes), []
            await instance.group.commit(instance, writes, query_id)
        return [f"COMPLETE {instance.signature()}"]

    async def _commit(self, query_id: str) -> list[str]:
        instance, writes = self.instance, tuple(self.writes)
        if self.state == "E":
            self.state, self.writes = "I", []
            raise Refused("ABORTED the transaction has failed")
        await instance.hold_slot(instance.work_s)
        if writes and not instance.primary:
            raise Refused(f"READONLY {instance.name}")
        self.state, self.writes = "I", []
        if writes:
            await instance.group.commit(instance, writes, query_id)
        return [f"COMPLETE {instance.signature()}"]


class Group:
    """A service: one primary and its replicas (PROTOCOL.md, Instances)."""

    HEARTBEAT_S = 1.2

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        *,
        net: int,
        sync: int = 0,
        lag_s: float = 0.06,
        slots: int = 2,
        max_connections: int = 16,
    ) -> None:
        self.name = name
        self.store = store
        self.record = record
        self.sync = sync
        self.lag_s = lag_s
        self.work_s = 0.014
        self.slots = slots
        self.connect_s = 0.012
        self.promote_s = 0.3
        self.max_connections = max_connections
        self.net = net
        self.instances: dict[str, Instance] = {}
        # (time, statement, entry, instance) of each commit; (time, instance) of each new lead.
        self.commits: list[tuple[float, str, tuple[int, int], str]] = []
        self.leads: list[tuple[float, str, int]] = []
        # The log with which each new lead began.
        self.leader_logs: dict[float, list[Commit]] = {}
        self.reads: list[tuple[str, str, tuple[int, int]]] = []
        # (statement, instance, time) of each read and write that an instance began.
        self.arrivals: list[tuple[str, str, float]] = []
        self._received = asyncio.Event()
        self.tasks: list = []

    async def run_heartbeats(self, instance: Instance) -> None:
        missed = 0
        while True:
            if instance.running and instance.heartbeats:
                self.report(instance)
                missed = 0
            else:
                missed += 1
                if missed == 3:
                    self.record("store", f"the entry of {instance.name} is removed")
                    self.store.delete(f"servers/{instance.name}")
            await asyncio.sleep(self.HEARTBEAT_S)

    def report(self, instance: Instance) -> None:
        """Write the instance's entry if more than its sequence has changed."""
        key, entry = f"servers/{instance.name}", instance.entry()
        known = self.store.value(key)
        if known is None or known | {"sequence": 0} != entry | {"sequence": 0}:
            self.store.put(key, entry)

    async def commit(self, primary: Instance, writes: tuple, query_id: str) -> None:
        """Commit, send to the replicas, and return when it may be acknowledged."""
        entry = (primary.term, primary.received[1] + 1)
        commit = Commit(entry, writes)
        primary.log.append(commit)
        primary.applied = len(primary.log)
        now = time.monotonic()
        self.commits.append((now, query_id, entry, primary.name))
        self.record(primary.name, f"commits {query_id} as {entry[0]}.{entry[1]}")
        for replica in self.instances.values():
            if replica is not primary:
                asyncio.get_running_loop().call_later(0.002, self._send, primary, replica)
        if self.sync:
            while not any(
                commit in replica.log
                for replica in self.instances.values()
                if replica is not primary
            ):
                await self._received.wait()

    def _send(self, primary: Instance, replica: Instance) -> None:
        """Let a replica receive all that it lacks; it applies that later."""
        if not (replica.running and replica.receives and primary.running) or replica.primary:
            return
        if not (replica.reachable and primary.reachable):
            return
        if primary.term < max(replica.term, replica.paused_term):
            return
        missing = primary.log[len(replica.log) :]
        if missing:
            replica.log += missing
            replica.term = primary.term
            count = len(replica.log)
            asyncio.get_running_loop().call_later(
                replica.apply_lag_s, self._apply, replica, replica.log, count
            )
        received, self._received = self._received, asyncio.Event()
        received.set()

    @staticmethod
    def _apply(replica: Instance, log: list, count: int) -> None:
        if replica.log is log:
            replica.applied = max(replica.applied, count)

    def late_commits(self, acknowledged: set[str]) -> list[str]:
        """Return the acknowledged writes that were committed after a newer lead began."""
        found = []
        for at, query, entry, instance in self.commits:
            newer = [name for since, name, term in self.leads if since < at and term > entry[0]]
            if newer and query in acknowledged:
                found.append(f"{query} at {instance} in term {entry[0]} though {newer[-1]} leads")
        return found

    def lost_commits(self, acknowledged: list[str]) -> list[str]:
        """Return the leads that began without writes that were acknowledged before."""
        found = []
        for at, name, _ in self.leads:
            before = {query for since, query, _, _ in self.commits if since < at}
            held = {query for commit in self.leader_logs[at] for _, _, query in commit.writes}
            missing = [query for query in acknowledged if query in before - held]
            if missing:
                count = len(missing)
                found.append(f"{name} was promoted without {count} acknowledged writes: {missing[:5]}")
        return found

    def promote(self, name: str) -> bool:
        """Order a promotion; return whether the instance is running."""
        target = self.instances.get(name)
        if target is None or not target.running or not target.reachable:
            return False
        if not self._is_present(target):
            asyncio.get_running_loop().call_later(self.promote_s, self._lead, target)
        return True

    def _is_present(self, instance: Instance) -> bool:
        """Return whether an instance leads the newest term."""
        newest = max(other.term for other in self.instances.values() if other.running)
        return instance.primary and instance.term == newest

    def _lead(self, target: Instance) -> None:
        if self._is_present(target) or not target.running:
            return
        old = [i for i in self.instances.values() if i.primary and i is not target]
        target.term = max(instance.term for instance in self.instances.values()) + 1
        target.primary = True
        target.paused_term = 0
        target.applied = len(target.log)
        self.leads.append((time.monotonic(), target.name, target.term))
        self.leader_logs[self.leads[-1][0]] = list(target.log)
        self.record(target.name, f"leads term {target.term} with {target.received}")
        self.report(target)
        for other in self.instances.values():
            if other is target or not other.running:
                continue
            # A primary that was replaced goes on until a second after it reaches the new one.
            delay = 1.0 if other in old else 0.02
            asyncio.get_running_loop().call_later(delay, self._follow, other, target)

    def meet(self) -> None:
        """Let a primary that was replaced hear of the new one within a second, if that runs."""
        leaders = [i for i in self.instances.values() if i.primary and i.running and i.reachable]
        newest = max(leaders, key=lambda instance: instance.term, default=None)
        for other in self.instances.values():
            if newest is not None and other is not newest:
                asyncio.get_running_loop().call_later(1.0, self._follow, other, newest)

    def _follow(self, other: Instance, leader: Instance) -> None:
        if not leader.primary or other.term >= leader.term or not other.running:
            return
        if not (leader.running and leader.reachable and other.reachable and other.receives):
            return
        if other.primary:
            other.primary = False
            self.record(other.name, f"becomes a replica of {leader.name}")
        lost = [commit.entry for commit in other.log if commit not in leader.log]
        if lost:
            self.record(other.name, f"rolls back {lost}")
        other.log = list(leader.log)
        other.applied = len(other.log)
        other.term = leader.term
        other.paused_term = 0
        self.report(other)


# VMs and clients


class Vm:
    """One VM of the project, started as the deploy file says."""

    def __init__(self, world: World, name: str, zone: str, number: int) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.host = f"127.{world.net}.1.{number}"
        self.front, self.ready, peers = free_ports(self.host, 3)
        self.peers = self._peer_ports()
        self.folder = world.folder / name
        self.folder.mkdir()
        self.process = None
        self.stopped_at = 0.0

    def _peer_ports(self) -> tuple[int, int]:
        """Return two ports in a row that are free."""
        while True:
            [first] = free_ports(self.host, 1)
            with contextlib.suppress(OSError), socket.socket() as probe:
                probe.bind((self.host, first + 1))
                return first, first + 1

    def settings(self) -> str:
        world = self.world
        zones = "\n".join(f'{zone} = "region"' for zone in world.zones)
        return f"""node_name = "{self.name}"
role = "front"
machine_class = "front"
serves = ["front"]
ip = "{self.host}"
zone = "{self.zone}"
region = "region"
internal_ports = [{self.peers[0]}, {self.peers[1]}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "sql", "tenants", "quota", "platform"]
[zones]
{zones}
[listen]
front = "{self.host}:{self.front}"
ready = "{self.host}:{self.ready}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4300
link_mbps = 1000.0
[bounds]
contact_ms = 4000
drain_ms = 7000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
revoke_strict = true
revoke_ms = 5000
quota_window_s = 5
recovery_s = 12
enforce_fencing = false
thaw_slack_ms = 300
[platform]
address = "{world.store_address[0]}:{world.store_address[1]}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
[cloud]
address = "{world.cloud_address[0]}:{world.cloud_address[1]}"
duties = ["promotion"]
duty_per_s = 50.0
"""

    async def start(self) -> None:
        (self.folder / "settings.toml").write_text(self.settings(), encoding="utf-8")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["TANAGERFRONT_BOOT"] = str(self.folder / "settings.toml")
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        self.log = open(self.folder / "log.txt", "ab")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-S",
            "target/app/front.py",
            cwd=REPOSITORY,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (TimeoutError, OSError):
            return False

    async def roll(self, grace_s: float, restart_s: float) -> None:
        """Stop the process as the platform does, then start it again."""
        self.stopped_at = time.monotonic()
        self.world.record("platform", f"SIGTERM to {self.name}")
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
            taken = time.monotonic() - self.stopped_at
            self.world.record("platform", f"{self.name} ended {taken:.2f} s after SIGTERM")
        except TimeoutError:
            self.world.record("platform", f"SIGKILL to {self.name}")
            self.signal(signal.SIGKILL)
            await self.process.wait()
        await asyncio.sleep(restart_s)
        await self.start()

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class Answer:
    """Answer to one statement: rows, then a signature or an error code, and READY."""

    def __init__(self, rows: list[str], signature: str | None, error: str | None, ready: str):
        self.rows, self.signature, self.error, self.ready = rows, signature, error, ready

    @property
    def code(self) -> str:
        return "COMPLETE" if self.error is None else self.error.split(" ")[0]


class Client:
    """One session of a client."""

    _ids = itertools.count(1)

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name

    async def connect(self, vm: Vm, database: str, key: str) -> None:
        self.reader, self.writer = await asyncio.open_connection(vm.host, vm.front)
        self.writer.write(f"CONNECT {database} {key}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readline(), 2.0)).decode().strip()
        self.record(self.name, f"CONNECT {database} at {vm.name} -> {line}")
        if not line.startswith("READY"):
            raise ConnectionError(line)

    async def query(self, text: str, *, wait_s: float = 10.0, query_id: str = "") -> Answer:
        query_id = query_id or f"{next(self._ids):016x}"
        self.record(self.name, f"QUERY {query_id} {text}")
        self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
        answer = await asyncio.wait_for(self._answer(), wait_s)
        self.record(
            self.name,
            f"-> {query_id} {answer.rows} {answer.error or answer.signature} | {answer.ready}",
        )
        answer.query_id, answer.at = query_id, time.monotonic()
        return answer

    async def _answer(self) -> Answer:
        rows, signature, error = [], None, None
        while True:
            line = await self.reader.readline()
            if not line:
                raise ConnectionError("the connection ended")
            word, _, rest = line.decode().strip().partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                error = rest
            elif word == "READY":
                return Answer(rows, signature, error, rest)

    def close(self) -> None:
        self.writer.close()


class Balancer:
    """The platform's ingress: which VM gets a client's new connection (PROTOCOL.md, Ingress)."""

    def __init__(self, world: World, zone: str) -> None:
        self.record = world.record
        self.vms = [vm for vm in world.vms if vm.zone == zone]
        self.misses = dict.fromkeys(self.vms, 0)
        self.task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.gather(*(self._probe(vm) for vm in self.vms))
            await asyncio.sleep(1.0)

    async def _probe(self, vm: Vm) -> None:
        before = self.misses[vm]
        self.misses[vm] = 0 if await vm.is_ready() else before + 1
        if (before < 2) != (self.misses[vm] < 2):
            state = "in" if self.misses[vm] < 2 else "out of"
            self.record("balancer", f"{vm.name} is {state} rotation")

    def choose(self, client: int, attempt: int = 0) -> Vm:
        """Return the VM for a client's connection; retries reach other nodes."""
        rotation = [vm for vm in self.vms if self.misses[vm] < 2]
        # With fewer than half of a zone's nodes in rotation, all of them are used.
        nodes = rotation if 2 * len(rotation) >= len(self.vms) else self.vms
        return nodes[(client * 2654435761 // 65536 + attempt) % len(nodes)]


class World:
    """One small deployment: store, cloud, services and VMs."""

    def __init__(self, script: str) -> None:
        self.case = Path(script).resolve().parent
        self.record = Record(self.case)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = FIRST_NET + os.getpid() % 200
        self.zones: list[str] = []
        self.groups: dict[str, Group] = {}
        self.vms: list[Vm] = []
        self.store = Store(self.record)
        self.cloud = Cloud(self.record, self.groups)
        self.version = 0
        self.rate_per_s = 200

    async def start_platform(self) -> None:
        host = f"127.{self.net}.8.1"
        store, cloud = free_ports(host, 2)
        self.store_address, self.cloud_address = (host, store), (host, cloud)
        await self.store.start(host, store)
        await self.cloud.start(host, cloud)

    async def add_group(self, name: str, count: int = 3, **options) -> Group:
        group = Group(name, self.store, self.record, net=self.net, **options)
        self.groups[name] = group
        taken = sum(len(other.instances) for other in self.groups.values())
        for number in range(count):
            zone = self.zones[number % len(self.zones)]
            instance = Instance(group, f"i-{name}-{number + 1}", zone)
            instance.primary = number == 0
            host = f"127.{self.net}.9.{taken + number + 1}"
            instance.address = (host, free_ports(host, 1)[0])
            group.instances[instance.name] = instance
            await instance.start()
            group.tasks.append(asyncio.ensure_future(group.run_heartbeats(instance)))
        return group

    def configure(self, routes: list[dict], **limits) -> int:
        """Write the next version of the configuration; returns the store's revision."""
        self.version += 3
        services = [
            {
                "name": group.name,
                "health_check_path": "/health",
                "max_connections": group.max_connections,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": group.sync,
            }
            for group in self.groups.values()
        ]
        tenants = [
            {
                "name": "nypu920",
                "api_keys": [KEY],
                "priority": 1,
                "rate_per_s": self.rate_per_s,
                "burst": self.rate_per_s,
            }
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"tx_idle_ms": 3000} | limits,
            "tenants": tenants,
        }
        revision = self.store.put("op/config", document)
        shown = [(route["database"], route["type"], route["service"]) for route in routes]
        self.record("operator", f"version {self.version} at {revision}: {shown}")
        return revision

    async def start_vms(self, count: int) -> None:
        for number in range(count):
            zone = self.zones[number % len(self.zones)]
            vm = Vm(self, f"front-{zone}-{number + 1}", zone, number + 1)
            self.vms.append(vm)
            await vm.start()
        until = time.monotonic() + 15
        while not all([await vm.is_ready() for vm in self.vms]):
            if time.monotonic() > until:
                raise RuntimeError("the VMs did not become ready")
            await asyncio.sleep(0.1)
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(2.0)
        self.record("machines", "ready")

    async def stop(self) -> None:
        for vm in self.vms:
            await vm.stop()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(database: str, kind: str, service: str, **options) -> dict:
    """Return one route of the configuration."""
    timeout_ms = 1500 if kind == "bounded" else 800
    found = {
        "name": f"r-{database}",
        "database": database,
        "prefix": "/",
        "type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "allow_anonymous": False,
    }
    if kind == "bounded":
        found["max_staleness_ms"] = 1500
    if kind == "read_your_writes":
        found["max_staleness_ms"] = 2500
    return found | options


def run(script: str, case) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def main() -> int:
        world = World(script)
        try:
            await world.start_platform()
            async with asyncio.timeout(100):
                broken = await case(world)
        except Exception as error:  # noqa: BLE001
            world.record("script", f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await world.stop()
        verdict = f"broken: {broken}" if broken else "held"
        world.record("script", verdict)
        print(verdict)
        return 1 if broken else 0

    status = asyncio.run(main())
    sys.stdout.flush()
    os._exit(status)


class Writers:
    """Clients that write one after the other, one client at each VM."""

    def __init__(self, world: World, database: str, pause_s: float) -> None:
        self.world = world
        self.database = database
        self.pause_s = pause_s
        self.acknowledged: list[str] = []
        self._ended = False
        self._tasks = [asyncio.ensure_future(self._write(vm)) for vm in world.vms]

    async def end(self) -> None:
        self._ended = True
        await asyncio.wait(self._tasks, timeout=5)

    async def _write(self, vm: Vm) -> None:
        client = None
        while not self._ended:
            try:
                if client is None:
                    client = Client(self.world.record, f"client at {vm.name}")
                    await client.connect(vm, self.database, KEY)
                answer = await client.query(f"WRITE {vm.name[-1]} v")
                if answer.error is None:
                    self.acknowledged.append(answer.query_id)
            except (TimeoutError, OSError):
                client = None
            await asyncio.sleep(self.pause_s)
