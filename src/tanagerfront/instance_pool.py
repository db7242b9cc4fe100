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
from .slot_admission import SlotAdmission

__all__ = [
    "Connection",
    "INTERNAL_STATEMENT_ID",
    "InstancePool",
    "InstanceRefusedError",
    "InstanceStatement",
    "NO_ORGANISATION",
    "Opener",
    "PoolLimits",
    "PooledConnection",
]

# Statements that no caller sent carry this id.
INTERNAL_STATEMENT_ID = "-"
# Name under which instances know connections that serve no organisation.
NO_ORGANISATION = "-"
# A waiter of the organisation that a free connection belongs to may pass others that are at most
# this much more urgent, because it saves a new connection of 12 ms in one of the few slots.
SAME_ORGANISATION_BONUS_S = 0.03
EXCESS_IDLE_TIMEOUT_S = 0.5
# After an instance refused a connection for its limit, no further one is tried for this long.
INSTANCE_FULL_BACKOFF_S = 0.1


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


StatementBody = (
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

    max_open: int
    # Idle connections above this are closed soon; with none, each is closed after its use.
    kept_open: int
    # Whether this VM holds most of the instance's connections and so decides what it works on.
    admission_control: bool = False


class InstanceStatement(NamedTuple):
    """A statement for an instance, which refuses it if its log lacks the entry `after`."""

    id: str
    statement: StatementBody
    after: EntryId | None = None


class Connection(Protocol):
    """One session at an instance."""

    @property
    def usable(self) -> bool:
        """Tell whether every answer was read whole."""

    @property
    def alive(self) -> bool:
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
        admission: SlotAdmission | None = None,
    ) -> None:
        self._connection = connection
        self._slot_admission = admission
        self._values: dict[str, str] = {}
        self._prepared: dict[tuple[bool, str], str] = {}
        self._prepared_count = 0
        # What the session holds is not known after statements that set it were not sent.
        self._session_state_known = True
        self._held_slot: _HeldSlot | None = None
        self.organisation = organisation
        self.last_used_at = opened_at
        self.in_transaction = False

    @property
    def reusable(self) -> bool:
        """Tell whether another caller may use the connection."""
        return self._connection.usable and not self.in_transaction

    @property
    def alive(self) -> bool:
        """Tell whether the instance has kept the idle connection open."""
        return self._connection.alive

    @property
    def reusable_after_rollback(self) -> bool:
        """Tell whether every answer was read, so that a rollback can be sent."""
        return self._connection.usable

    def value_statements(self, values: Mapping[str, str]) -> Iterator[InstanceStatement]:
        """Yield the statements that give the connection exactly these session values."""
        if not self._session_state_known or any(name not in values for name in self._values):
            self._session_state_known = True
            self._values = {}
            self._prepared = {}
            yield InstanceStatement(INTERNAL_STATEMENT_ID, ResetSession())
        for name, value in values.items():
            if self._values.get(name) != value:
                self._values[name] = value
                yield InstanceStatement(INTERNAL_STATEMENT_ID, SetValue(name, value))

    def prepare_statements(self, writes: bool, shape: str) -> Iterator[InstanceStatement]:
        """Yield the statement that prepares a shape, unless the connection has it."""
        if (writes, shape) not in self._prepared:
            self._prepared_count += 1
            name = f"p{self._prepared_count}"
            self._prepared[writes, shape] = name
            yield InstanceStatement(INTERNAL_STATEMENT_ID, Prepare(name, writes, shape))

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
        replies = await self._run_admitted(statements)
        if isinstance(statements[-1].statement, ResetSession):
            self._values = {}
            self._prepared = {}
        failure = replies[-1].failure
        if failure is not None and failure.code is FailureCode.UNKNOWN_STATEMENT:
            # The instance has lost at least one of the shapes; all are prepared anew.
            self._prepared = {}
        return replies

    async def _run_admitted(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        needs_slot = any(_needs_slot(each) for each in statements)
        if self._slot_admission is not None and needs_slot and self._held_slot is None:
            try:
                self._held_slot = await _HeldSlot.acquire(self._slot_admission)
            except BaseException:
                self._session_state_known = False
                raise
        try:
            return await self._connection.run(statements)
        finally:
            self.release_slot()

    def attach_slot(self, held_slot: _HeldSlot) -> None:
        """Run the next statements under an admission that was waited for already."""
        self._held_slot = held_slot

    def release_slot(self) -> None:
        """Give the place among the instance's slots back, if there is one."""
        if self._held_slot is not None:
            self._held_slot.release()
            self._held_slot = None

    async def close(self) -> None:
        """Close the connection."""
        self.release_slot()
        with trio.CancelScope(shield=True):
            await self._connection.close()


class _HeldSlot(NamedTuple):
    """A place among an instance's slots and when it was taken, in trio's clock."""

    admission: SlotAdmission
    admitted_at: float

    @classmethod
    async def acquire(cls, admission: SlotAdmission) -> _HeldSlot:
        """Wait for a place; raises OverloadedError."""
        return cls(admission, await admission.acquire())

    def release(self) -> None:
        """Give the place back."""
        self.admission.release(self.admitted_at)


def _needs_slot(statement: InstanceStatement) -> bool:
    match statement.statement:
        case Verbatim() | Execute():
            return True
    return False


class _Waiter:
    """A request that waits for a connection; the lowest `urgency` goes first."""

    __slots__ = ("event", "granted", "organisation", "reservation", "urgency")

    def __init__(self, organisation: str, urgency: float) -> None:
        self.organisation = organisation
        self.urgency = urgency
        self.event = trio.Event()
        self.granted: PooledConnection | None = None
        self.reservation: _Reservation | None = None


class _Reservation(NamedTuple):
    """Room for a new connection, perhaps after closing one of another organisation."""

    replaced: PooledConnection | None = None


class InstancePool:
    """Connections to one instance within limits; the least recently used idle one is replaced.

    A connection is bound to an organisation, so an idle one of another organisation is closed
    when the budget is used up.
    """

    def __init__(
        self, registration: InstanceRegistration, opener: Opener, limits: PoolLimits
    ) -> None:
        self._registration = registration
        self._opener = opener
        self._limits = limits
        self._idle: list[PooledConnection] = []
        self._open = 0
        self._closed: list[PooledConnection] = []
        self._waiters: list[_Waiter] = []
        self._instance_full_until = float("-inf")
        self._slot_admission = (
            SlotAdmission(registration.slots) if limits.admission_control else None
        )
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
        return self._limits.max_open

    @property
    def open_connections(self) -> int:
        """Return the number of connections, idle or busy."""
        return self._open

    def set_registration(self, registration: InstanceRegistration) -> None:
        """Use a newer registration of the same instance."""
        self._registration = registration

    async def set_limits(self, limits: PoolLimits) -> None:
        """Change the limits; busy connections above them are closed on release."""
        self._limits = limits
        if limits.admission_control != (self._slot_admission is not None):
            self._slot_admission = (
                SlotAdmission(self._registration.slots) if limits.admission_control else None
            )
        while self._idle and self._open > self._limits.max_open:
            await self._close_connection(self._idle.pop(0))
        self._grant_reservations()

    async def trim(self) -> None:
        """Close connections above the kept number that have been idle for a while."""
        while self._closed:
            await self._closed.pop().close()
        limit = trio.current_time() - EXCESS_IDLE_TIMEOUT_S
        while (
            self._idle
            and self._open > self._limits.kept_open
            and self._idle[0].last_used_at < limit
        ):
            await self._close_connection(self._idle.pop(0))

    def has_idle(self, organisation: str) -> bool:
        """Tell whether a connection of the organisation is idle."""
        return any(each.organisation == organisation for each in self._idle)

    def pop_any_idle(self) -> PooledConnection | None:
        """Return the most recently used idle connection of any organisation."""
        self._discard_closed_idle()
        return self._idle.pop() if self._idle else None

    async def acquire(self, organisation: str, urgency: float, deadline: float) -> PooledConnection:
        """Return a connection of the organisation.

        Raises OverloadedError if the instance has no free slot in time or no connection is free at
        `give_up_at`, or what the opener raises.
        """
        if self._slot_admission is None:
            connection = await self._reuse_or_open(organisation)
        else:
            connection = await self._reuse_or_open_admitted(self._slot_admission, organisation)
        if connection is not None:
            return connection
        waiter = await self._wait_for_grant(organisation, urgency, deadline)
        if waiter.granted is not None:
            return waiter.granted
        if waiter.reservation is not None:
            return await self._connect_admitted(organisation, waiter.reservation)
        raise OverloadedError("no connection to the instance became free in time")

    async def _reuse_or_open_admitted(
        self, admission: SlotAdmission, organisation: str
    ) -> PooledConnection | None:
        """Wait for a slot of the instance, then take a connection, so that none is held idle.

        Statements that wait with a connection would keep it from others of the organisation, which
        would open one and close another organisation's for it.
        """
        held_slot = await _HeldSlot.acquire(admission)
        connection = None
        try:
            connection = await self._reuse_or_open(organisation)
        finally:
            if connection is None:
                held_slot.release()
        if connection is not None:
            connection.attach_slot(held_slot)
        return connection

    async def _reuse_or_open(self, organisation: str) -> PooledConnection | None:
        """Return a connection at once or after opening one; None if there is no room."""
        self._discard_closed_idle()
        if not self._waiters or self.has_idle(organisation):
            found = self._pop_idle(organisation)
            if found is not None:
                return found
        reservation = self._reserve() if not self._waiters else None
        return await self._connect(organisation, reservation) if reservation is not None else None

    async def _connect_admitted(
        self, organisation: str, reservation: _Reservation
    ) -> PooledConnection:
        """Open a connection in a place that was waited for."""
        if self._slot_admission is None:
            return await self._connect(organisation, reservation)
        try:
            held_slot = await _HeldSlot.acquire(self._slot_admission)
        except BaseException:
            await self._cancel_reservation(reservation)
            raise
        try:
            connection = await self._connect(organisation, reservation)
        except BaseException:
            held_slot.release()
            raise
        connection.attach_slot(held_slot)
        return connection

    async def _wait_for_grant(self, organisation: str, urgency: float, deadline: float) -> _Waiter:
        """Wait for a connection or for the place of a new one."""
        waiter = _Waiter(organisation, urgency)
        self._waiters.append(waiter)
        try:
            while not waiter.event.is_set() and trio.current_time() < deadline:
                full = trio.current_time() < self._instance_full_until
                with trio.move_on_at(
                    min(deadline, self._instance_full_until) if full else deadline
                ):
                    await waiter.event.wait()
                # Nothing else wakes the waiters when the pause of a full instance ends.
                self._grant_reservations()
        except trio.Cancelled:
            await self._pass_on_grant(waiter)
            raise
        finally:
            if not waiter.event.is_set():
                self._waiters.remove(waiter)
        return waiter

    async def release(self, connection: PooledConnection) -> None:
        """Take a connection back; closes it if its state is not known."""
        connection.release_slot()
        if not connection.reusable or self._open > self._limits.max_open:
            await self._close_connection(connection)
            return
        if not self._limits.kept_open and not self._waiters:
            await self._close_connection(connection)
            return
        connection.last_used_at = trio.current_time()
        self._idle.append(connection)
        self._grant_idle()

    async def close(self) -> None:
        """Close the idle connections, and the others on release."""
        await self.set_limits(PoolLimits(0, 0))

    def _discard_closed_idle(self) -> None:
        """Forget idle connections that the instance closed.

        A write sent over one would be in doubt although it can't have run.
        """
        closed = [each for each in self._idle if not each.alive]
        for each in closed:
            self._idle.remove(each)
            self._open -= 1
            self._closed.append(each)

    def _pop_idle(self, organisation: str) -> PooledConnection | None:
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].organisation == organisation:
                return self._idle.pop(index)
        return None

    def _reserve(self) -> _Reservation | None:
        """Reserve room for a new connection, that of an idle one if there is no other."""
        full = trio.current_time() < self._instance_full_until
        if self._open < self._limits.max_open and not full:
            self._open += 1
            return _Reservation()
        if not self._idle or not self._limits.max_open:
            return None
        return _Reservation(self._idle.pop(0))

    async def _connect(self, organisation: str, reservation: _Reservation) -> PooledConnection:
        """Open a connection in a place."""
        try:
            if reservation.replaced is not None:
                await reservation.replaced.close()
            connection = await self._opener(self._registration, organisation)
        except BaseException as error:
            if isinstance(error, TooManyConnectionsError):
                self._instance_full_until = trio.current_time() + INSTANCE_FULL_BACKOFF_S
            self._open -= 1
            self._grant_reservations()
            raise
        self.opened_total += 1
        return PooledConnection(connection, organisation, trio.current_time(), self._slot_admission)

    async def _cancel_reservation(self, reservation: _Reservation) -> None:
        """Give back a place that was not used."""
        if reservation.replaced is None:
            self._open -= 1
            self._grant_reservations()
            return
        with trio.CancelScope(shield=True):
            await self.release(reservation.replaced)

    async def _close_connection(self, connection: PooledConnection) -> None:
        self._open -= 1
        await connection.close()
        self._grant_reservations()

    async def _pass_on_grant(self, waiter: _Waiter) -> None:
        """Pass on what a cancelled waiter was given."""
        with trio.CancelScope(shield=True):
            if waiter.granted is not None:
                await self.release(waiter.granted)
            elif waiter.reservation is not None:
                await self._cancel_reservation(waiter.reservation)

    def _grant_reservations(self) -> None:
        """Let waiters open connections while there is room."""
        if trio.current_time() < self._instance_full_until:
            return
        while self._waiters and self._open < self._limits.max_open:
            waiter = min(self._waiters, key=lambda each: each.urgency)
            self._waiters.remove(waiter)
            self._open += 1
            waiter.reservation = _Reservation()
            waiter.event.set()

    def _grant_idle(self) -> None:
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
                waiter.reservation = _Reservation(connection)
            waiter.event.set()
