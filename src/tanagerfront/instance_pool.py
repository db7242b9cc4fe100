"""Connections of one VM to one instance, each opened for one organisation."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from typing import NamedTuple, Protocol

import trio

from .entry_id import EntryId
from .errors import DatabaseError, OverloadedError, TooManyConnectionsError
from .session_model import (
    Begin,
    Execute,
    Failure,
    FailureCode,
    InstanceRegistration,
    PauseReplication,
    Prepare,
    Reply,
    ReportStatus,
    ResetSession,
    Rollback,
    SetValue,
    StepDown,
    Verbatim,
)
from .slot_gate import SlotGate

__all__ = [
    "Connection",
    "InstancePool",
    "InstanceRefusedError",
    "InstanceStatement",
    "NO_ORGANISATION",
    "OWN_STATEMENT_ID",
    "Opener",
    "PoolLimits",
    "PooledConnection",
]

# Statements that no caller sent carry this id.
OWN_STATEMENT_ID = "-"
# Name under which instances know connections that serve no organisation.
NO_ORGANISATION = "-"
# A waiter of the organisation that a free connection belongs to may pass others that are at most
# this much more urgent, because it saves a new connection of 12 ms in one of the few slots.
SAME_ORGANISATION_BONUS_S = 0.03
IDLE_ABOVE_KEPT_S = 0.5
# After an instance refused a connection for its limit, no further one is tried for this long.
FULL_PAUSE_S = 0.1


class InstanceRefusedError(DatabaseError):
    """The instance refused a connection; nothing ran."""

    problem_type = "instance-refused"
    status = 503

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.code.value} {failure.text}", executed="no")
        self._failure = failure

    @property
    def failure(self) -> Failure:
        """Return the instance's refusal."""
        return self._failure


OwnStatement = (
    Verbatim
    | Execute
    | Prepare
    | SetValue
    | Begin
    | Rollback
    | ResetSession
    | ReportStatus
    | PauseReplication
    | StepDown
)


class PoolLimits(NamedTuple):
    """Connections of one VM to one instance."""

    open: int
    # Idle connections above this are closed soon; with none, each is closed after its use.
    kept: int
    # Whether this VM holds most of the instance's connections and so decides what it works on.
    gated: bool = False


class InstanceStatement(NamedTuple):
    """A statement for an instance, which refuses it if its log lacks the entry `after`."""

    id: str
    statement: OwnStatement
    after: EntryId | None = None


class Connection(Protocol):
    """One session at an instance."""

    @property
    def usable(self) -> bool:
        """Tell whether every answer was read whole."""

    @property
    def quiet(self) -> bool:
        """Tell whether the connection is open and the instance has sent nothing unasked."""

    async def run(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        """Send statements and return their replies; raises ConnectionLostError."""

    async def close(self) -> None:
        """Close the connection."""


Opener = Callable[[InstanceRegistration, str], Awaitable[Connection]]


class PooledConnection:
    """A connection and the session state that the instance holds for it."""

    def __init__(
        self,
        connection: Connection,
        organisation: str,
        opened_at: float,
        gate: SlotGate | None = None,
    ) -> None:
        self._connection = connection
        self._gate = gate
        self._values: dict[str, str] = {}
        self._prepared: dict[tuple[bool, str], str] = {}
        self._prepared_count = 0
        # What the session holds is not known after statements that set it were not sent.
        self._session_known = True
        self._admission: _Admission | None = None
        self.organisation = organisation
        self.used_at = opened_at
        self.in_transaction = False

    @property
    def reusable(self) -> bool:
        """Tell whether another caller may use the connection."""
        return self._connection.usable and not self.in_transaction

    @property
    def quiet(self) -> bool:
        """Tell whether the instance has kept the idle connection open."""
        return self._connection.quiet

    @property
    def reusable_after_rollback(self) -> bool:
        """Tell whether every answer was read, so that a rollback can be sent."""
        return self._connection.usable

    def value_statements(self, values: Mapping[str, str]) -> Iterator[InstanceStatement]:
        """Yield the statements that give the connection exactly these session values."""
        if not self._session_known or any(name not in values for name in self._values):
            self._session_known = True
            self._values = {}
            self._prepared = {}
            yield InstanceStatement(OWN_STATEMENT_ID, ResetSession())
        for name, value in values.items():
            if self._values.get(name) != value:
                self._values[name] = value
                yield InstanceStatement(OWN_STATEMENT_ID, SetValue(name, value))

    def prepare_statements(self, writes: bool, shape: str) -> Iterator[InstanceStatement]:
        """Yield the statement that prepares a shape, unless the connection has it."""
        if (writes, shape) not in self._prepared:
            self._prepared_count += 1
            name = f"p{self._prepared_count}"
            self._prepared[writes, shape] = name
            yield InstanceStatement(OWN_STATEMENT_ID, Prepare(name, writes, shape))

    def session_statements(
        self,
        values: Mapping[str, str],
        prepared: Mapping[str, tuple[bool, str]],
        statement: InstanceStatement,
    ) -> list[InstanceStatement]:
        """Return a statement and, before it, what it needs of a session.

        The session's prepared statements go by its own names, with whether they write and shape.
        """
        found = list(self.value_statements(values))
        match statement.statement:
            case Execute(name, arguments):
                writes, shape = prepared[name]
                found += self.prepare_statements(writes, shape)
                renamed = Execute(self._prepared[writes, shape], arguments)
                statement = statement._replace(statement=renamed)
        return [*found, statement]

    async def run(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        """Run statements; raises ConnectionLostError, or OverloadedError if none was sent."""
        replies = await self._run_gated(statements)
        if isinstance(statements[-1].statement, ResetSession):
            self._values = {}
            self._prepared = {}
        failure = replies[-1].failure
        if failure is not None and failure.code is FailureCode.UNKNOWN_STATEMENT:
            # The instance has lost at least one of the shapes; all are prepared anew.
            self._prepared = {}
        return replies

    async def _run_gated(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        takes_slot = any(_takes_slot(each) for each in statements)
        if self._gate is not None and takes_slot and self._admission is None:
            try:
                self._admission = await _Admission.enter(self._gate)
            except BaseException:
                self._session_known = False
                raise
        try:
            return await self._connection.run(statements)
        finally:
            self.leave_gate()

    def hold(self, admission: _Admission) -> None:
        """Run the next statements under an admission that was waited for already."""
        self._admission = admission

    def leave_gate(self) -> None:
        """Give the place among the instance's slots back, if there is one."""
        if self._admission is not None:
            self._admission.leave()
            self._admission = None

    async def close(self) -> None:
        """Close the connection."""
        self.leave_gate()
        with trio.CancelScope(shield=True):
            await self._connection.close()


class _Admission(NamedTuple):
    """A place among an instance's slots and when it was taken, in trio's clock."""

    gate: SlotGate
    entered_at: float

    @classmethod
    async def enter(cls, gate: SlotGate) -> _Admission:
        """Wait for a place; raises OverloadedError."""
        return cls(gate, await gate.enter())

    def leave(self) -> None:
        """Give the place back."""
        self.gate.leave(self.entered_at)


def _takes_slot(statement: InstanceStatement) -> bool:
    match statement.statement:
        case Verbatim() | Execute():
            return True
    return False


class _Waiter:
    """A request that waits for a connection; the lowest `urgency` goes first."""

    __slots__ = ("event", "granted", "organisation", "place", "urgency")

    def __init__(self, organisation: str, urgency: float) -> None:
        self.organisation = organisation
        self.urgency = urgency
        self.event = trio.Event()
        self.granted: PooledConnection | None = None
        self.place: _Place | None = None


class _Place(NamedTuple):
    """Room for a new connection, perhaps after closing one of another organisation."""

    replaced: PooledConnection | None = None


class InstancePool:
    """Connections to one instance within limits; the least recently used idle one is replaced.

    A connection is bound to an organisation, so an idle one of another organisation is closed
    when the budget is used up.
    """

    def __init__(self, entry: InstanceRegistration, opener: Opener, limits: PoolLimits) -> None:
        self._entry = entry
        self._opener = opener
        self._limits = limits
        self._idle: list[PooledConnection] = []
        self._open = 0
        self._closed: list[PooledConnection] = []
        self._waiters: list[_Waiter] = []
        self._full_until = float("-inf")
        self._gate = SlotGate(entry.slots) if limits.gated else None
        self.opened_total = 0

    @property
    def busy(self) -> int:
        """Return the number of connections in use or being opened."""
        return self._open - len(self._idle)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiters)

    @property
    def budget(self) -> int:
        """Return the number of connections allowed."""
        return self._limits.open

    @property
    def open_connections(self) -> int:
        """Return the number of connections, idle or busy."""
        return self._open

    def set_entry(self, entry: InstanceRegistration) -> None:
        """Use a newer registration of the same instance."""
        self._entry = entry

    async def set_limits(self, limits: PoolLimits) -> None:
        """Change the limits; busy connections above them are closed on release."""
        self._limits = limits
        if limits.gated != (self._gate is not None):
            self._gate = SlotGate(self._entry.slots) if limits.gated else None
        while self._idle and self._open > self._limits.open:
            await self._drop(self._idle.pop(0))
        self._serve_waiters()

    async def trim(self) -> None:
        """Close connections above the kept number that have been idle for a while."""
        while self._closed:
            await self._closed.pop().close()
        limit = trio.current_time() - IDLE_ABOVE_KEPT_S
        while self._idle and self._open > self._limits.kept and self._idle[0].used_at < limit:
            await self._drop(self._idle.pop(0))

    def has_idle(self, organisation: str) -> bool:
        """Tell whether a connection of the organisation is idle."""
        return any(each.organisation == organisation for each in self._idle)

    def take_any_idle(self) -> PooledConnection | None:
        """Return the most recently used idle connection of any organisation."""
        self._discard_closed()
        return self._idle.pop() if self._idle else None

    async def acquire(
        self, organisation: str, urgency: float, give_up_at: float
    ) -> PooledConnection:
        """Return a connection of the organisation.

        Raises OverloadedError if the instance has no free slot in time or no connection is free at
        `give_up_at`, or what the opener raises.
        """
        if self._gate is None:
            connection = await self._take_or_open(organisation)
        else:
            connection = await self._take_admitted(self._gate, organisation)
        if connection is not None:
            return connection
        waiter = await self._wait(organisation, urgency, give_up_at)
        if waiter.granted is not None:
            return waiter.granted
        if waiter.place is not None:
            return await self._connect_admitted(organisation, waiter.place)
        raise OverloadedError("no connection to the instance became free in time")

    async def _take_admitted(self, gate: SlotGate, organisation: str) -> PooledConnection | None:
        """Wait for a slot of the instance, then take a connection, so that none is held idle.

        Statements that wait with a connection would keep it from others of the organisation, which
        would open one and close another organisation's for it.
        """
        admission = await _Admission.enter(gate)
        connection = None
        try:
            connection = await self._take_or_open(organisation)
        finally:
            if connection is None:
                admission.leave()
        if connection is not None:
            connection.hold(admission)
        return connection

    async def _take_or_open(self, organisation: str) -> PooledConnection | None:
        """Return a connection at once or after opening one; None if there is no room."""
        self._discard_closed()
        if not self._waiters or self.has_idle(organisation):
            found = self._take_idle(organisation)
            if found is not None:
                return found
        place = self._take_place() if not self._waiters else None
        return await self._connect(organisation, place) if place is not None else None

    async def _connect_admitted(self, organisation: str, place: _Place) -> PooledConnection:
        """Open a connection in a place that was waited for."""
        if self._gate is None:
            return await self._connect(organisation, place)
        try:
            admission = await _Admission.enter(self._gate)
        except BaseException:
            await self._return_place(place)
            raise
        try:
            connection = await self._connect(organisation, place)
        except BaseException:
            admission.leave()
            raise
        connection.hold(admission)
        return connection

    async def _wait(self, organisation: str, urgency: float, give_up_at: float) -> _Waiter:
        """Wait for a connection or for the place of a new one."""
        waiter = _Waiter(organisation, urgency)
        self._waiters.append(waiter)
        try:
            while not waiter.event.is_set() and trio.current_time() < give_up_at:
                full = trio.current_time() < self._full_until
                with trio.move_on_at(min(give_up_at, self._full_until) if full else give_up_at):
                    await waiter.event.wait()
                # Nothing else wakes the waiters when the pause of a full instance ends.
                self._serve_waiters()
        except trio.Cancelled:
            await self._return_grant(waiter)
            raise
        finally:
            if not waiter.event.is_set():
                self._waiters.remove(waiter)
        return waiter

    async def release(self, connection: PooledConnection) -> None:
        """Take a connection back; closes it if its state is not known."""
        connection.leave_gate()
        if not connection.reusable or self._open > self._limits.open:
            await self._drop(connection)
            return
        if not self._limits.kept and not self._waiters:
            await self._drop(connection)
            return
        connection.used_at = trio.current_time()
        self._idle.append(connection)
        self._serve_with_idle()

    async def close(self) -> None:
        """Close the idle connections, and the others on release."""
        await self.set_limits(PoolLimits(0, 0))

    def _discard_closed(self) -> None:
        """Forget idle connections that the instance closed.

        A write sent over one would be in doubt although it can't have run.
        """
        closed = [each for each in self._idle if not each.quiet]
        for each in closed:
            self._idle.remove(each)
            self._open -= 1
            self._closed.append(each)

    def _take_idle(self, organisation: str) -> PooledConnection | None:
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].organisation == organisation:
                return self._idle.pop(index)
        return None

    def _take_place(self) -> _Place | None:
        """Reserve room for a new connection, that of an idle one if there is no other."""
        full = trio.current_time() < self._full_until
        if self._open < self._limits.open and not full:
            self._open += 1
            return _Place()
        if not self._idle or not self._limits.open:
            return None
        return _Place(self._idle.pop(0))

    async def _connect(self, organisation: str, place: _Place) -> PooledConnection:
        """Open a connection in a place."""
        try:
            if place.replaced is not None:
                await place.replaced.close()
            connection = await self._opener(self._entry, organisation)
        except BaseException as error:
            if isinstance(error, TooManyConnectionsError):
                self._full_until = trio.current_time() + FULL_PAUSE_S
            self._open -= 1
            self._serve_waiters()
            raise
        self.opened_total += 1
        return PooledConnection(connection, organisation, trio.current_time(), self._gate)

    async def _return_place(self, place: _Place) -> None:
        """Give back a place that was not used."""
        if place.replaced is None:
            self._open -= 1
            self._serve_waiters()
            return
        with trio.CancelScope(shield=True):
            await self.release(place.replaced)

    async def _drop(self, connection: PooledConnection) -> None:
        self._open -= 1
        await connection.close()
        self._serve_waiters()

    async def _return_grant(self, waiter: _Waiter) -> None:
        """Pass on what a cancelled waiter was given."""
        with trio.CancelScope(shield=True):
            if waiter.granted is not None:
                await self.release(waiter.granted)
            elif waiter.place is not None:
                await self._return_place(waiter.place)

    def _serve_waiters(self) -> None:
        """Let waiters open connections while there is room."""
        if trio.current_time() < self._full_until:
            return
        while self._waiters and self._open < self._limits.open:
            waiter = min(self._waiters, key=lambda each: each.urgency)
            self._waiters.remove(waiter)
            self._open += 1
            waiter.place = _Place()
            waiter.event.set()

    def _serve_with_idle(self) -> None:
        """Give idle connections to waiters, replacing those of other organisations."""
        while self._waiters and self._idle:
            connection = self._idle.pop()

            def rank(each: _Waiter, owner: str = connection.organisation) -> float:
                bonus = SAME_ORGANISATION_BONUS_S if each.organisation == owner else 0.0
                return each.urgency - bonus

            waiter = min(self._waiters, key=rank)
            self._waiters.remove(waiter)
            if waiter.organisation == connection.organisation:
                waiter.granted = connection
            else:
                waiter.place = _Place(connection)
            waiter.event.set()
