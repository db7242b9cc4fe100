"""Stand-in for a group of instances that speak the platform's line protocol."""

from __future__ import annotations

import contextlib
import itertools
from typing import NamedTuple

import trio

from tanagerfront.entry_id import EntryId
from tanagerfront.errors import ConnectionLostError, TooLargeError
from tanagerfront.http_client import Address
from tanagerfront.platform.line_stream import LineStream

__all__ = ["Commit", "InstanceOptions", "LineGroup", "LineInstance"]


class InstanceOptions(NamedTuple):
    """Times in seconds, and limits of one instance."""

    connect_s: float = 0.003
    statement_s: float = 0.004
    lag_s: float = 0.03
    promote_s: float = 0.2
    slots: int = 2
    connections: int = 16


class Commit(NamedTuple):
    """One commit: its log entry and the writes (item, data, id of the statement)."""

    entry: EntryId
    writes: tuple[tuple[str, str, str], ...]


class _Refused(Exception):  # noqa: N818
    """A statement is answered with an error code."""


class LineInstance:
    """One instance; replicas receive the primary's commits after a lag."""

    def __init__(self, name: str, group: LineGroup) -> None:
        self.name = name
        self.group = group
        self.log: list[Commit] = []
        self.is_primary = False
        self.term = 1
        self.paused_term = 0
        self.replication_paused = False
        self.connections = 0
        self.address = Address("127.0.0.1", 0)
        self.violations: list[str] = []
        self._slots = trio.CapacityLimiter(group.options.slots)
        self._scope: trio.CancelScope | None = None
        self._signatures = itertools.count(1)

    @property
    def position(self) -> EntryId:
        """Return the last entry of the log."""
        return self.log[-1].entry if self.log else EntryId(1, 0)

    @property
    def running(self) -> bool:
        """Tell whether the instance accepts connections."""
        return self._scope is not None

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Accept connections until crashed."""
        listeners = await trio.open_tcp_listeners(self.address.port, host="127.0.0.1")
        self.address = Address(*listeners[0].socket.getsockname()[:2])
        with trio.CancelScope() as self._scope:
            task_status.started()
            await trio.serve_listeners(self._serve, listeners)
        self._scope = None

    def crash(self) -> None:
        """End all connections and accept no others."""
        if self._scope is not None:
            self._scope.cancel()

    def value(self, item: str) -> str:
        """Return the newest data of an item."""
        for commit in reversed(self.log):
            for name, data, _ in commit.writes:
                if name == item:
                    return data
        return "-"

    async def _serve(self, stream: trio.SocketStream) -> None:
        lines = LineStream(stream)
        self.connections += 1
        try:
            with contextlib.suppress(ConnectionLostError, TooLargeError):
                await _Session(self, lines).serve()
        finally:
            self.connections -= 1
            with trio.CancelScope(shield=True):
                await lines.close()

    async def hold_slot(self) -> None:
        """Hold a slot for the time of one statement."""
        async with self._slots:
            await trio.sleep(self.group.options.statement_s)

    def next_signature(self) -> str:
        """Return a proof that this instance ran a statement."""
        return f"{self.name}.{next(self._signatures)}"


class _Session:
    """One connection at an instance."""

    def __init__(self, instance: LineInstance, lines: LineStream) -> None:
        self._instance = instance
        self._lines = lines
        self._state = "I"
        self._plain = False
        self._writes: list[tuple[str, str, str]] = []
        self._prepared: dict[str, tuple[str, str]] = {}

    async def serve(self) -> None:
        """Answer until the connection ends."""
        instance = self._instance
        _, group, _, *expected = (await self._lines.read_line()).decode().split(" ")
        if group != instance.group.name or expected not in ([], [instance.name]):
            await self._lines.send(b"ERROR MOVED elsewhere\r\n")
            return
        if instance.connections > instance.group.options.connections:
            await self._lines.send(f"ERROR CONNLIMIT {instance.name}\r\n".encode())
            return
        await trio.sleep(instance.group.options.connect_s)
        await self._ready([])
        while True:
            _, query_id, text = (await self._lines.read_line()).decode().split(" ", 2)
            try:
                rows, done = await self._run(query_id, text)
            except _Refused as error:
                self._state = "E" if self._state == "T" else self._state
                await self._ready([f"ERROR {error}"])
            else:
                await self._ready([*(f"ROW {row}" for row in rows), f"COMPLETE {done}"])

    async def _ready(self, lines: list[str]) -> None:
        term, number = self._instance.position
        lines = [*lines, f"READY {self._state} {term}.{number}"]
        await self._lines.send("".join(f"{line}\r\n" for line in lines).encode())

    async def _run(self, query_id: str, text: str) -> tuple[list[str], str]:
        instance = self._instance
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            if instance.position < EntryId(int(term), int(number)):
                raise _Refused(f"LAGGING {instance.name}")
        verb, *rest = text.split(" ")
        match verb:
            case "BEGIN":
                self._plain = not rest
                if self._plain and not instance.is_primary:
                    raise _Refused(f"READONLY {instance.name}")
                self._state, self._writes = "T", []
                return [], "-"
            case "ROLLBACK":
                self._state, self._writes = "I", []
                return [], "-"
            case "COMMIT":
                return await self._commit()
            case "RESET":
                self._prepared = {}
                return [], "-"
            case "SET" | "DEALLOC":
                return [], "-"
            case "PREPARE":
                self._prepared[rest[0]] = (rest[1], rest[2])
                return [], "-"
            case "EXECUTE":
                if rest[0] not in self._prepared:
                    raise _Refused(f"NOSTMT {rest[0]}")
                return await self._data(query_id, self._prepared[rest[0]][0], rest[1:])
            case "READ" | "WRITE":
                return await self._data(query_id, verb, rest)
            case "STATUS" | "PAUSE" | "STEPDOWN":
                return [self._control(verb, rest)], "-"
        instance.violations.append(f"unexpected statement {text!r}")
        raise _Refused("MALFORMED what")

    async def _data(self, query_id: str, verb: str, rest: list[str]) -> tuple[list[str], str]:
        instance = self._instance
        if self._state == "E":
            raise _Refused("MALFORMED failed")
        if (verb == "WRITE" or (self._state == "T" and self._plain)) and not instance.is_primary:
            raise _Refused(f"READONLY {instance.name}")
        if query_id == "-":
            instance.violations.append("a statement of nobody ran")
        await instance.hold_slot()
        if verb == "READ":
            pending = [data for item, data, _ in self._writes if item == rest[0]]
            return [pending[-1] if pending else instance.value(rest[0])], instance.next_signature()
        if not instance.is_primary:
            raise _Refused(f"READONLY {instance.name}")
        write = (rest[0], " ".join(rest[1:]), query_id)
        if self._state == "T":
            self._writes.append(write)
        else:
            instance.group.commit(instance, (write,))
        return [], instance.next_signature()

    async def _commit(self) -> tuple[list[str], str]:
        instance, writes = self._instance, tuple(self._writes)
        await instance.hold_slot()
        if writes and not instance.is_primary:
            raise _Refused(f"READONLY {instance.name}")
        self._state, self._writes = "I", []
        if writes:
            instance.group.commit(instance, writes)
        return [], instance.next_signature()

    def _control(self, verb: str, rest: list[str]) -> str:
        instance = self._instance
        if verb == "STEPDOWN" and int(rest[0]) > instance.term:
            instance.is_primary = False
        if verb == "PAUSE":
            instance.paused_term = int(rest[0])
        role = "primary" if instance.is_primary else "replica"
        term, number = instance.position
        return f"{role} {instance.term} {term}.{number} {term} 0 0 {instance.connections}"


class LineGroup:
    """Three instances with one primary; `discarded` are commits that a promotion rolled back."""

    def __init__(self, name: str, options: InstanceOptions | None = None) -> None:
        self.name = name
        self.options = options or InstanceOptions()
        self.instances = [LineInstance(f"{name}-{number}", self) for number in range(3)]
        self.instances[0].is_primary = True
        self.discarded: list[Commit] = []
        self._nursery: trio.Nursery | None = None

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Run all instances until cancelled."""
        async with trio.open_nursery() as self._nursery:
            for instance in self.instances:
                await self._nursery.start(instance.run)
            task_status.started()
            await trio.sleep_forever()

    async def restart(self, instance: LineInstance) -> None:
        """Start a crashed instance again, with its log."""
        assert self._nursery is not None
        if any(other.is_primary and other.term > instance.term for other in self.instances):
            instance.is_primary = False
            leader = next(each for each in self.instances if each.is_primary)
            self._follow(instance, leader)
        await self._nursery.start(instance.run)

    def commit(self, primary: LineInstance, writes: tuple[tuple[str, str, str], ...]) -> None:
        """Append to the primary's log and send it to the replicas."""
        assert self._nursery is not None
        entry = EntryId(primary.term, primary.position.position + 1)
        commit = Commit(entry, writes)
        primary.log.append(commit)
        for replica in self.instances:
            if replica is not primary:
                self._nursery.start_soon(self._replicate, primary, replica)

    async def _replicate(self, primary: LineInstance, replica: LineInstance) -> None:
        await trio.sleep(self.options.lag_s)
        if (
            replica.replication_paused
            or replica.is_primary
            or not primary.running
            or not replica.running
        ):
            return
        if primary.term >= max(replica.term, replica.paused_term):
            self._follow(replica, primary)

    def _follow(self, replica: LineInstance, primary: LineInstance) -> None:
        """Give a replica the primary's log; what the primary does not have is rolled back."""
        for commit in replica.log:
            if commit not in primary.log[: len(replica.log)]:
                self.discarded.append(commit)
        replica.log = list(primary.log)
        replica.term = primary.term

    async def promote(self, name: str) -> bool:
        """Make an instance lead the next term; return whether it runs."""
        chosen = next((each for each in self.instances if each.name == name), None)
        if chosen is None or not chosen.running:
            return False
        if chosen.is_primary:
            return True
        await trio.sleep(self.options.promote_s)
        chosen.term = max(each.term for each in self.instances) + 1
        chosen.is_primary = True
        for other in self.instances:
            if other is not chosen and other.running:
                # An old primary follows once it reaches the new one.
                other.is_primary = False
                self._follow(other, chosen)
        return True
