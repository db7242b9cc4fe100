"""Stand-in for a group of databases that speak the line protocol of the session interface."""

from __future__ import annotations

import contextlib
import itertools
from typing import NamedTuple

import trio

from tanagerfront.entry_id import EntryId
from tanagerfront.errors import ConnectionLostError, TooLargeError
from tanagerfront.http_client import Address
from tanagerfront.platform.line_stream import LineStream

from .loopback import ReservedHost

__all__ = [
    "Arrival",
    "Commit",
    "InstanceOptions",
    "LineGroup",
    "LineInstance",
    "Promotion",
    "ReadRun",
]


class InstanceOptions(NamedTuple):
    """Simulated delays in seconds, and limits per instance."""

    connect_s: float = 0.003
    statement_s: float = 0.004
    lag_s: float = 0.03
    promote_s: float = 0.2
    slots: int = 2
    connections: int = 16
    # Whether a commit is acknowledged only once a replica has received it.
    synchronous: bool = False
    # How long an old primary goes on after it can reach the new one.
    takeover_s: float = 0.0
    # Control statements wait for a slot, and are refused if as many others wait as there are slots.
    controls_need_slot: bool = False


class Commit(NamedTuple):
    """One commit: its log entry, the writes (item, data, id of the statement), where and when."""

    entry: EntryId
    writes: tuple[tuple[str, str, str], ...]
    instance: str = ""
    at: float = 0.0


class Arrival(NamedTuple):
    """A statement of a caller and the time at which an instance received it."""

    query_id: str
    at: float


class Promotion(NamedTuple):
    """A promotion that took effect at a time: the instance leads the term."""

    instance: str
    term: int
    at: float


class ReadRun(NamedTuple):
    """A read that ran at an instance whose log ended with `position`."""

    query_id: str
    instance: str
    position: EntryId
    at: float


class _StatementRefused(Exception):  # noqa: N818
    """Fail a statement with an error code and its detail."""


class LineInstance:
    """One instance; replicas receive the primary's commits after a replication delay."""

    def __init__(self, name: str, group: LineGroup, address: Address) -> None:
        self.name = name
        self.group = group
        self.log: list[Commit] = []
        self.is_primary = False
        self.term = 1
        self.paused_term = 0
        self.replication_paused = False
        # Neither receives from other instances, nor sends to them, nor learns of a promotion.
        self.isolated = False
        # Time that each statement takes beyond the usual.
        self.slow_s = 0.0
        self.connections = 0
        self.address = address
        self.violations: list[str] = []
        self.arrivals: list[Arrival] = []
        self.reads: list[ReadRun] = []
        self._slots = trio.CapacityLimiter(group.options.slots)
        self._scope: trio.CancelScope | None = None
        self._signatures = itertools.count(1)

    @property
    def position(self) -> EntryId:
        """Return the id of the last log entry, `EntryId(1, 0)` if the log is empty."""
        return self.log[-1].entry if self.log else EntryId(1, 0)

    @property
    def running(self) -> bool:
        """Return whether the instance accepts connections, and is not about to crash."""
        return self._scope is not None and not self._scope.cancel_called

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Accept connections until `crash` is called."""
        listeners = await trio.open_tcp_listeners(self.address.port, host=self.address.host)
        with trio.CancelScope() as self._scope:
            task_status.started()
            await trio.serve_listeners(self._serve, listeners)
        self._scope = None

    def crash(self) -> None:
        """Close all connections and stop accepting new ones."""
        if self._scope is not None:
            self._scope.cancel()

    def value(self, item: str) -> str:
        """Return the last committed data of an item, "-" if it was never written."""
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
                await _Connection(self, lines).serve()
        finally:
            self.connections -= 1
            with trio.CancelScope(shield=True):
                await lines.close()

    @property
    def busy_slots(self) -> int:
        """Return how many slots are in use."""
        return int(self._slots.borrowed_tokens)

    async def hold_slot(self) -> None:
        """Occupy a slot for the duration of one statement."""
        async with self._slots:
            await trio.sleep(self.group.options.statement_s + self.slow_s)

    async def hold_control_slot(self) -> None:
        """Wait for a free slot, if control statements need one; refuse them while many wait."""
        if not self.group.options.controls_need_slot:
            return
        if self._slots.statistics().tasks_waiting >= self.group.options.slots:
            raise _StatementRefused(f"BUSY {self.name}")
        async with self._slots:
            pass

    def next_signature(self) -> str:
        """Return a unique signature, which shows that this instance ran a statement."""
        return f"{self.name}.{next(self._signatures)}"


class _Connection:
    """Protocol state of one connection to an instance."""

    def __init__(self, instance: LineInstance, lines: LineStream) -> None:
        self._instance = instance
        self._lines = lines
        self._state = "I"
        self._read_write = False
        self._writes: list[tuple[str, str, str]] = []
        self._prepared: dict[str, tuple[str, str]] = {}

    async def serve(self) -> None:
        """Check the greeting, then answer statements until the connection ends."""
        instance = self._instance
        _, group, _, *expected_instance = (await self._lines.read_line()).decode().split(" ")
        if group != instance.group.name or expected_instance not in ([], [instance.name]):
            await self._lines.send(b"ERROR MOVED elsewhere\r\n")
            return
        if instance.connections > instance.group.options.connections:
            await self._lines.send(f"ERROR CONNLIMIT {instance.name}\r\n".encode())
            return
        await trio.sleep(instance.group.options.connect_s)
        await self._send_ready([])
        while True:
            _, query_id, text = (await self._lines.read_line()).decode().split(" ", 2)
            try:
                rows, signature = await self._run_statement(query_id, text)
            except _StatementRefused as error:
                self._state = "E" if self._state == "T" else self._state
                await self._send_ready([f"ERROR {error}"])
            else:
                await self._send_ready([*(f"ROW {row}" for row in rows), f"COMPLETE {signature}"])

    async def _send_ready(self, lines: list[str]) -> None:
        term, number = self._instance.position
        lines = [*lines, f"READY {self._state} {term}.{number}"]
        await self._lines.send("".join(f"{line}\r\n" for line in lines).encode())

    async def _run_statement(self, query_id: str, text: str) -> tuple[list[str], str]:
        instance = self._instance
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            if instance.position < EntryId(int(term), int(number)):
                raise _StatementRefused(f"LAGGING {instance.name}")
        verb, *rest = text.split(" ")
        match verb:
            case "BEGIN":
                self._read_write = not rest
                if self._read_write and not instance.is_primary:
                    raise _StatementRefused(f"READONLY {instance.name}")
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
                    raise _StatementRefused(f"NOSTMT {rest[0]}")
                return await self._access_item(query_id, self._prepared[rest[0]][0], rest[1:])
            case "READ" | "WRITE":
                return await self._access_item(query_id, verb, rest)
            case "STATUS" | "PAUSE" | "STEPDOWN":
                await instance.hold_control_slot()
                return [self._run_control(verb, rest)], "-"
        instance.violations.append(f"unexpected statement {text!r}")
        raise _StatementRefused("MALFORMED what")

    async def _access_item(
        self, query_id: str, verb: str, rest: list[str]
    ) -> tuple[list[str], str]:
        instance = self._instance
        if self._state == "E":
            raise _StatementRefused("MALFORMED failed")
        if (
            verb == "WRITE" or (self._state == "T" and self._read_write)
        ) and not instance.is_primary:
            raise _StatementRefused(f"READONLY {instance.name}")
        if query_id == "-":
            instance.violations.append("a statement without a query id ran")
        instance.arrivals.append(Arrival(query_id, trio.current_time()))
        await instance.hold_slot()
        if verb == "READ":
            run = ReadRun(query_id, instance.name, instance.position, trio.current_time())
            instance.reads.append(run)
            pending = [data for item, data, _ in self._writes if item == rest[0]]
            return [pending[-1] if pending else instance.value(rest[0])], instance.next_signature()
        if not instance.is_primary:
            raise _StatementRefused(f"READONLY {instance.name}")
        write = (rest[0], " ".join(rest[1:]), query_id)
        if self._state == "T":
            self._writes.append(write)
        else:
            await instance.group.commit(instance, (write,))
        return [], instance.next_signature()

    async def _commit(self) -> tuple[list[str], str]:
        instance, writes = self._instance, tuple(self._writes)
        await instance.hold_slot()
        if writes and not instance.is_primary:
            raise _StatementRefused(f"READONLY {instance.name}")
        self._state, self._writes = "I", []
        if writes:
            await instance.group.commit(instance, writes)
        return [], instance.next_signature()

    def _run_control(self, verb: str, rest: list[str]) -> str:
        instance = self._instance
        if verb == "STEPDOWN" and int(rest[0]) > instance.term:
            instance.is_primary = False
        if verb == "PAUSE":
            instance.paused_term = int(rest[0])
        role = "primary" if instance.is_primary else "replica"
        term, number = instance.position
        return f"{role} {instance.term} {term}.{number} {term} 0 0 {instance.connections}"


class LineGroup:
    """Three instances, one of them primary; `discarded` holds the commits that were rolled back."""

    def __init__(
        self, name: str, host: ReservedHost, options: InstanceOptions | None = None
    ) -> None:
        self.name = name
        self.options = options or InstanceOptions()
        self.instances = [
            LineInstance(f"{name}-{number}", self, host.next_address()) for number in range(3)
        ]
        self.instances[0].is_primary = True
        self.commits: list[Commit] = []
        self.promotions: list[Promotion] = []
        self.discarded: list[Commit] = []
        self._nursery: trio.Nursery | None = None

    @property
    def primary(self) -> LineInstance | None:
        """Return the primary of the newest term, None without one."""
        primaries = [instance for instance in self.instances if instance.is_primary]
        return max(primaries, key=lambda instance: instance.term, default=None)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Run all instances until cancelled."""
        async with trio.open_nursery() as self._nursery:
            for instance in self.instances:
                await self._nursery.start(instance.run)
            task_status.started()
            await trio.sleep_forever()

    async def restart(self, instance: LineInstance) -> None:
        """Restart a crashed instance with its log, as a replica if a newer primary exists."""
        assert self._nursery is not None
        primary = self.primary
        if primary is not None and primary.term > instance.term:
            instance.is_primary = False
            self._copy_log(instance, primary)
        await self._nursery.start(instance.run)

    async def commit(self, primary: LineInstance, writes: tuple[tuple[str, str, str], ...]) -> None:
        """Append the writes to the primary's log, replicate it, and wait as the options say."""
        assert self._nursery is not None
        entry = EntryId(primary.term, primary.position.position + 1)
        commit = Commit(entry, writes, primary.name, trio.current_time())
        self.commits.append(commit)
        primary.log.append(commit)
        for replica in self.instances:
            if replica is not primary:
                self._nursery.start_soon(self._replicate, primary, replica)
        replicas = [replica for replica in self.instances if replica is not primary]
        while self.options.synchronous and not any(commit in replica.log for replica in replicas):
            if not primary.is_primary:
                # Whether a new primary has the commit is not known here.
                raise _StatementRefused(f"TIMEOUT {primary.name}")
            await trio.sleep(self.options.lag_s)

    def resume_replication(self, replica: LineInstance) -> None:
        """Let a replica receive again what it has missed."""
        assert self._nursery is not None
        replica.replication_paused = False
        for primary in self.instances:
            if primary.is_primary and primary is not replica:
                self._nursery.start_soon(self._replicate, primary, replica)

    async def _replicate(self, primary: LineInstance, replica: LineInstance) -> None:
        await trio.sleep(self.options.lag_s)
        if (
            replica.replication_paused
            or replica.isolated
            or primary.isolated
            or replica.is_primary
            or not primary.running
            or not replica.running
        ):
            return
        if primary.term >= max(replica.term, replica.paused_term):
            self._copy_log(replica, primary)

    def _copy_log(self, replica: LineInstance, primary: LineInstance) -> None:
        """Replace a replica's log and term by the primary's; add lost commits to `discarded`."""
        for commit in replica.log:
            if commit not in primary.log[: len(replica.log)]:
                self.discarded.append(commit)
        replica.log = list(primary.log)
        replica.term = primary.term

    async def promote(self, name: str) -> bool:
        """Make an instance primary of the next term; return False if it isn't running."""
        target = next((instance for instance in self.instances if instance.name == name), None)
        if target is None or not target.running:
            return False
        if target is self.primary:
            return True
        await trio.sleep(self.options.promote_s)
        target.term = max(instance.term for instance in self.instances) + 1
        target.is_primary = True
        self.promotions.append(Promotion(name, target.term, trio.current_time()))
        assert self._nursery is not None
        for other in self.instances:
            if other is target or not other.running:
                # An old primary that is not running becomes a replica when it is restarted.
                continue
            if other.isolated or (other.is_primary and self.options.takeover_s):
                self._nursery.start_soon(self._follow_later, other)
            else:
                self._follow(other)
        return True

    async def _follow_later(self, instance: LineInstance) -> None:
        """Follow the new primary some time after it can be reached."""
        reached_since = trio.current_time()
        while instance.isolated or trio.current_time() < reached_since + self.options.takeover_s:
            await trio.sleep(self.options.lag_s)
            if instance.isolated:
                reached_since = trio.current_time()
        self._follow(instance)

    def _follow(self, instance: LineInstance) -> None:
        """Make an instance a replica of the primary of the newest term."""
        primary = self.primary
        if primary is not None and primary is not instance and instance.running:
            instance.is_primary = False
            self._copy_log(instance, primary)
