"""Database instances that speak the line protocol: one primary and two replicas a service."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from typing import Any, NamedTuple

# Delay until a replica has a commit.
LAG_S = 0.01


class Run(NamedTuple):
    """One statement of a client that ran, with the session state of the instance's connection."""

    at: float
    instance: str
    connection: int
    query_id: str
    text: str
    values: dict[str, str]
    shape: str
    transaction: int


class RefusedError(Exception):
    """A statement is answered with ERROR; it did not run."""


class Instance:
    """One instance of a service."""

    def __init__(self, name: str, service: Service, zone: str) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.is_primary = False
        self.address = ""
        self.born = 0.0
        self.connections = 0
        # Part of the requests that the instance refuses without running them.
        self.refused_share = 0.0
        self.refused: list[tuple[float, str, str]] = []
        self._server: asyncio.AbstractServer | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.rng = random.Random(name)
        self.slots = asyncio.Semaphore(service.slots)
        self._signatures = itertools.count(1)

    @property
    def position(self) -> str:
        """Return the position of the log."""
        return f"{self.service.term}.{self.service.length_at(self)}"

    def signature(self) -> str:
        """Return a unique signature of this instance."""
        return f"{self.name}.{next(self._signatures):x}"

    async def start(self) -> None:
        """Listen on a free port, or after a crash on the same one."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.born = time.time()

    def crash(self) -> None:
        """Accept no connections any more, and reset the open ones; the log stays."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def entry(self) -> dict[str, Any]:
        """Return the entry that the instance writes to the store."""
        return {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.service.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "db_role": "primary" if self.is_primary else "replica",
            "sequence": 4,
            "born": int(self.born * 1000),
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await _Connection(self, reader, writer).serve()
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()


class _Connection:
    """One connection to an instance: session values, prepared statements and transaction."""

    _numbers = itertools.count(1)
    _transactions = itertools.count(1)

    def __init__(
        self, instance: Instance, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._instance = instance
        self._reader = reader
        self._writer = writer
        self._number = next(self._numbers)
        self._state = "I"
        self._transaction = 0
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[str, str]] = {}
        self._writes: list[tuple[str, str, str]] = []

    async def serve(self) -> None:
        instance = self._instance
        words = (await self._read_line()).split(" ")
        if words[1] != instance.service.name or words[3:4] not in ([], [instance.name]):
            self._writer.write(f"ERROR MOVED {instance.name}\r\n".encode())
            await self._writer.drain()
            return
        if instance.connections > instance.service.max_connections:
            self._writer.write(f"ERROR CONNLIMIT {instance.name}\r\n".encode())
            await self._writer.drain()
            return
        async with instance.slots:
            await asyncio.sleep(instance.service.connect_s)
        await self._answer([])
        while True:
            word, _, rest = (await self._read_line()).partition(" ")
            if word != "QUERY":
                return
            query_id, _, text = rest.partition(" ")
            try:
                rows, signature = await self._run(query_id, text)
            except RefusedError as error:
                if self._state == "T":
                    self._state = "E"
                await self._answer([f"ERROR {error}"])
            else:
                await self._answer([*(f"ROW {row}" for row in rows), f"COMPLETE {signature}"])

    async def _read_line(self) -> str:
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode()

    async def _answer(self, lines: list[str]) -> None:
        lines = [*lines, f"READY {self._state} {self._instance.position}"]
        self._writer.write("".join(f"{line}\r\n" for line in lines).encode())
        await self._writer.drain()

    async def _run(self, query_id: str, text: str) -> tuple[list[str], str]:
        instance = self._instance
        if instance.rng.random() < instance.refused_share:
            instance.refused.append((time.monotonic(), query_id, text))
            raise RefusedError(f"BUSY {instance.name}")
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            wanted = tuple(int(part) for part in position.split("."))
            if tuple(int(part) for part in instance.position.split(".")) < wanted:
                raise RefusedError(f"LAGGING {instance.name}")
        verb, *rest = text.split(" ")
        if self._state == "E" and verb not in ("ROLLBACK", "COMMIT"):
            raise RefusedError("MALFORMED the transaction has failed")
        match verb:
            case "BEGIN":
                if not rest and not instance.is_primary:
                    raise RefusedError(f"READONLY {instance.name}")
                self._state, self._writes = "T", []
                self._transaction = next(self._transactions)
                return [], "-"
            case "ROLLBACK":
                self._state, self._writes, self._transaction = "I", [], 0
                return [], "-"
            case "COMMIT":
                return await self._commit()
            case "SET":
                self._values[rest[0]] = " ".join(rest[1:])
                return [], "-"
            case "RESET":
                self._values, self._prepared = {}, {}
                return [], "-"
            case "PREPARE":
                self._prepared[rest[0]] = (rest[1], " ".join(rest[2:]))
                return [], "-"
            case "DEALLOC":
                self._prepared.pop(rest[0], None)
                return [], "-"
            case "EXECUTE":
                if rest[0] not in self._prepared:
                    raise RefusedError(f"NOSTMT {rest[0]}")
                kind, shape = self._prepared[rest[0]]
                return await self._access(query_id, text, kind, rest[1:], shape)
            case "READ" | "WRITE":
                return await self._access(query_id, text, verb, rest, "")
            case "STATUS" | "PAUSE" | "STEPDOWN":
                role = "primary" if instance.is_primary else "replica"
                term = instance.service.term
                row = f"{role} {term} {instance.position} {term} 0 0 {instance.connections}"
                return [row], "-"
        raise RefusedError(f"MALFORMED {verb}")

    async def _access(
        self, query_id: str, text: str, kind: str, rest: list[str], shape: str
    ) -> tuple[list[str], str]:
        instance = self._instance
        if kind == "WRITE" and not instance.is_primary:
            raise RefusedError(f"READONLY {instance.name}")
        async with instance.slots:
            await asyncio.sleep(instance.service.work_s)
        instance.service.runs.append(
            Run(
                time.monotonic(),
                instance.name,
                self._number,
                query_id,
                text,
                dict(self._values),
                shape,
                self._transaction,
            )
        )
        if kind == "READ":
            own = [data for item, data, _ in self._writes if item == rest[0]]
            return [own[-1] if own else instance.service.value(rest[0])], instance.signature()
        write = (rest[0], " ".join(rest[1:]), query_id)
        if self._state == "T":
            self._writes.append(write)
        else:
            instance.service.commit([write])
        return [], instance.signature()

    async def _commit(self) -> tuple[list[str], str]:
        failed, writes = self._state == "E", self._writes
        async with self._instance.slots:
            await asyncio.sleep(self._instance.service.work_s)
        self._state, self._writes, self._transaction = "I", [], 0
        if failed:
            raise RefusedError("ABORTED the transaction had failed")
        if writes:
            self._instance.service.commit(writes)
        return [], self._instance.signature()


class Service:
    """Three instances with one log; replicas have it LAG_S later."""

    def __init__(
        self,
        name: str,
        zones: list[str],
        *,
        slots: int = 2,
        max_connections: int = 16,
        connect_s: float = 0.012,
        work_s: float = 0.0045,
    ) -> None:
        self.name = name
        self.slots = slots
        self.max_connections = max_connections
        self.connect_s = connect_s
        self.work_s = work_s
        self.term = 1
        self.runs: list[Run] = []
        self.log: list[tuple[float, list[tuple[str, str, str]]]] = []
        self.instances = [
            Instance(f"i-{name}-{number}", self, zones[number % len(zones)]) for number in range(3)
        ]
        self.instances[0].is_primary = True

    @property
    def primary(self) -> Instance:
        """Return the primary."""
        return next(instance for instance in self.instances if instance.is_primary)

    def length_at(self, instance: Instance) -> int:
        """Return how many commits an instance has."""
        if instance.is_primary:
            return len(self.log)
        now = time.monotonic()
        behind = sum(1 for at, _ in self.log[-50:] if at > now - LAG_S)
        return len(self.log) - behind

    def value(self, item: str) -> str:
        """Return the last committed data of an item, a dash if there is none."""
        for _, writes in reversed(self.log):
            for name, data, _ in reversed(writes):
                if name == item:
                    return data
        return "-"

    def commit(self, writes: list[tuple[str, str, str]]) -> None:
        """Commit writes."""
        self.log.append((time.monotonic(), writes))

    async def promote(self, name: str) -> bool:
        """Answer a promotion call: the present primary stays, others are not running."""
        return name == self.primary.name
