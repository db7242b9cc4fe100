"""Connection pool of one VM for one instance, in the session interface.

Each connection is opened for one organisation.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from functools import partial
from typing import NamedTuple, Protocol

import trio

from .cold_rate import ColdRate
from .entry_id import EntryId
from .errors import DatabaseError, OverloadedError, TooManyConnectionsError
from .idle_connections import IdleConnections
from .session_model import (
    Begin,
    Execute,
    Failure,
    FailureCode,
    InstanceLoad,
    InstanceRegistration,
    PauseReplication,
    Prepare,
    Reply,
    ReportStatus,
    ResetSession,
    Rollback,
    SetValue,
    StepDown,
    Urgency,
    Verbatim,
    boottime_s,
)
from .slot_admission import ArrivalOrder, QueueCounts, SlotAdmission, SlotOrder
from .slot_queue import SlotRequest, kind_of

__all__ = [
    "Connection",
    "INTERNAL_STATEMENT_ID",
    "InstancePool",
    "InstanceRefusedError",
    "InstanceStatement",
    "InstanceWithdrawnError",
    "NO_ORGANISATION",
    "Opener",
    "PoolLimits",
    "PooledConnection",
    "SingleUseConnection",
    "slot_request",
]

# Id of statements that the proxy sends on its own behalf.
INTERNAL_STATEMENT_ID = "-"
# Organisation name of connections that serve no organisation.
NO_ORGANISATION = "-"
# A free connection goes to a waiter of its own organisation unless another waiter is more urgent
# by more than this. Opening a new connection would occupy one of the few slots for 12 ms.
SAME_ORGANISATION_BONUS_S = 0.03
EXCESS_IDLE_TIMEOUT_S = 0.5
# Delay before the next attempt after the instance refused a connection because of its limit.
INSTANCE_FULL_BACKOFF_S = 0.1
# The delay doubles up to this while the pool has connections to serve with: an instance counts
# those of a VM that lost power for 3 s, and ten attempts a second would be refused meanwhile.
MAX_INSTANCE_FULL_BACKOFF_S = 1.0


class InstanceRefusedError(DatabaseError):
    """The instance refused a connection, so no statement was executed."""

    problem_type = "instance-refused"
    status = 503

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.code.value} {failure.text}", executed="no")
        self._failure = failure

    @property
    def failure(self) -> Failure:
        """Return the instance's refusal."""
        return self._failure


class InstanceWithdrawnError(DatabaseError):
    """The instance takes no more statements; the waiting one was not sent."""

    problem_type = "instance-withdrawn"
    status = 503

    def __init__(self) -> None:
        super().__init__("the instance was taken out of service", executed="no")


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
    """Limits of a VM's connections to one instance."""

    max_open: int
    # Idle connections are closed after a short time while more than this many are open. At zero,
    # each connection is closed after use.
    kept_open: int
    # Whether this VM applies admission control, because it holds most of the instance's
    # connections.
    admission_control: bool = False
    # Whether connections lead through a home.
    relayed: bool = False
    # Order in which requests get slots and connections.
    slot_order: SlotOrder = ArrivalOrder()


class InstanceStatement(NamedTuple):
    """A statement for an instance; the instance refuses it unless its log contains `after`.

    `urgency` is for the home that relays the statement; instances never get it.
    """

    id: str
    statement: StatementBody
    after: EntryId | None = None
    urgency: Urgency | None = None


class Connection(Protocol):
    """A connection to an instance, with one session."""

    @property
    def usable(self) -> bool:
        """Return whether every reply was read completely."""

    @property
    def alive(self) -> bool:
        """Return whether the connection is open and no unsolicited data has arrived."""

    async def run(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        """Send statements and return their replies; raises ConnectionLostError."""

    async def close(self) -> None:
        """Close the connection."""


class SingleUseConnection(Connection):
    """A connection that is closed after a statement or transaction instead of being kept."""

    def __init__(self, connection: Connection, on_close: Callable[[], None]) -> None:
        self._connection = connection
        self._on_close: Callable[[], None] | None = on_close

    @property
    def usable(self) -> bool:
        """Return whether every reply was read completely."""
        return self._connection.usable

    @property
    def alive(self) -> bool:
        """Return whether the connection is open and no unsolicited data has arrived."""
        return self._connection.alive

    async def run(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        """Send statements and return their replies; raises ConnectionLostError."""
        return await self._connection.run(statements)

    async def close(self) -> None:
        """Close the connection."""
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            on_close()
        await self._connection.close()


Opener = Callable[[InstanceRegistration, str], Awaitable[Connection]]


class PooledConnection:
    """A connection and the session state that the instance has for it."""

    def __init__(
        self,
        connection: Connection,
        organisation: str,
        opened_at: float,
        admission: SlotAdmission | None = None,
        cold_rate: Callable[[], ColdRate | None] = lambda: None,
        path: int = 0,
    ) -> None:
        self._cold_rate = cold_rate
        self._connection = connection
        self._slot_admission = admission
        self._values: dict[str, str] = {}
        self._prepared: dict[tuple[bool, str], str] = {}
        self._prepared_count = 0
        # False after statements that set session state were generated but not sent.
        self._session_state_known = True
        self._held_slot: _HeldSlot | None = None
        self.organisation = organisation
        self.last_used_at = opened_at
        self.reused = False
        # Number of the pool's path at the time of the opening.
        self.path = path
        self.in_transaction = False

    @property
    def reusable(self) -> bool:
        """Return whether another caller may use the connection."""
        single_use = isinstance(self._connection, SingleUseConnection)
        return self._connection.usable and not self.in_transaction and not single_use

    @property
    def alive(self) -> bool:
        """Return whether the idle connection is open, with no unsolicited data."""
        return self._connection.alive

    @property
    def reusable_after_rollback(self) -> bool:
        """Return whether every reply was read, so that a rollback can be sent."""
        return self._connection.usable

    def value_statements(self, values: Mapping[str, str]) -> Iterator[InstanceStatement]:
        """Yield the statements after which the session has exactly these values."""
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
        """Yield the statement that prepares a shape, unless it is prepared already."""
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
        """Return a statement preceded by those that set up the session state it needs.

        `prepared` maps the caller's names of prepared statements to whether they write and their
        shapes.
        """
        setup = list(self.value_statements(values))
        match statement.statement:
            case Execute(name, arguments):
                writes, shape = prepared[name]
                setup += self.prepare_statements(writes, shape)
                renamed = Execute(self._prepared[writes, shape], arguments)
                statement = statement._replace(statement=renamed)
        return [*setup, statement]

    async def run(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        """Run statements and return their replies.

        Raises ConnectionLostError, or OverloadedError if no statement was sent.
        """
        replies = await self._run_admitted(statements)
        if isinstance(statements[-1].statement, ResetSession):
            self._values = {}
            self._prepared = {}
        failure = replies[-1].failure
        if failure is not None and failure.code is FailureCode.UNKNOWN_STATEMENT:
            # The instance has lost at least one prepared statement; all are prepared again.
            self._prepared = {}
        return replies

    async def _run_admitted(self, statements: Sequence[InstanceStatement]) -> list[Reply]:
        self._take_cold_rate(statements)
        needs_slot = any(_needs_slot(statement) for statement in statements)
        if self._slot_admission is not None and needs_slot and self._held_slot is None:
            try:
                request = slot_request(self.organisation, statements[-1])
                self._held_slot = await _HeldSlot.acquire(self._slot_admission, request)
            except BaseException:
                self._session_state_known = False
                raise
        try:
            return await self._connection.run(statements)
        finally:
            self.release_slot(used=needs_slot)

    def _take_cold_rate(self, statements: Sequence[InstanceStatement]) -> None:
        """Count statements to a cold instance; raise OverloadedError if it gets too many."""
        cold_rate = self._cold_rate()
        if cold_rate is None:
            return
        now, count = boottime_s(), len(statements)
        if isinstance(statements[-1].statement, Rollback):
            # Also ends the work at the instance.
            cold_rate.take(count, now)
            return
        # A connection is marked as in a transaction before its BEGIN is sent.
        begins = not self.in_transaction or isinstance(statements[-1].statement, Begin)
        if not cold_rate.try_take(count, now, begins=begins):
            self._session_state_known = False
            self.release_slot()
            raise OverloadedError("the instance is still cold and takes no more statements")

    def attach_slot(self, held_slot: _HeldSlot) -> None:
        """Run the next statements in a slot that was acquired already."""
        self._held_slot = held_slot

    def release_slot(self, *, used: bool = False) -> None:
        """Release the instance slot, if one is held; `used` if a statement ran in it."""
        if self._held_slot is not None:
            self._held_slot.release(used=used)
            self._held_slot = None

    async def close(self) -> None:
        """Close the connection."""
        self.release_slot()
        with trio.CancelScope(shield=True):
            await self._connection.close()


class _HeldSlot(NamedTuple):
    """A slot of an instance that statements of this VM hold; times are in trio's clock."""

    admission: SlotAdmission
    admitted_at: float
    request: SlotRequest | None

    @classmethod
    async def acquire(cls, admission: SlotAdmission, request: SlotRequest | None) -> _HeldSlot:
        """Wait for a slot; raises OverloadedError."""
        return cls(admission, await admission.acquire(request), request)

    def release(self, *, used: bool = False) -> None:
        """Release the slot; `used` if a statement ran in it."""
        self.admission.release(self.admitted_at, self.request if used else None)


def slot_request(organisation: str, statement: InstanceStatement) -> SlotRequest:
    """Return what a statement of an organisation needs a slot for."""
    kind = kind_of(statement.statement)
    return SlotRequest.of(organisation, statement.urgency, kind, trio.current_time())


def _needs_slot(statement: InstanceStatement) -> bool:
    match statement.statement:
        case Verbatim() | Execute():
            return True
    return False


class _Waiter:
    """A request that waits for a connection; the lowest `urgency` is served first.

    With a `request`, its priority precedes and its latency objective replaces `urgency`.
    """

    __slots__ = (
        "dismissed",
        "event",
        "granted",
        "organisation",
        "priority",
        "reservation",
        "urgency",
    )

    def __init__(self, organisation: str, urgency: float, request: SlotRequest | None) -> None:
        self.organisation = organisation
        self.urgency = urgency if request is None else request.urgency.objective_at
        self.priority = 0 if request is None else request.priority
        self.event = trio.Event()
        self.dismissed = False
        self.granted: PooledConnection | None = None
        self.reservation: _Reservation | None = None

    def order(self, owner: str | None = None) -> tuple[int, float]:
        """Return the order for a connection that was opened for `owner`, the lowest first."""
        bonus = SAME_ORGANISATION_BONUS_S if self.organisation == owner else 0.0
        return self.priority, self.urgency - bonus


class _Reservation(NamedTuple):
    """Permission to open a connection, after closing `replaced` if there is one."""

    replaced: PooledConnection | None = None


class InstancePool:
    """Connections to one instance within limits.

    A connection is bound to an organisation. At the limit, an idle connection of another
    organisation is closed to make room; see `idle_connections` for the choice.
    """

    def __init__(
        self, registration: InstanceRegistration, opener: Opener, limits: PoolLimits
    ) -> None:
        self._registration = registration
        self._opener = opener
        self._limits = limits
        self._idle: IdleConnections[PooledConnection] = IdleConnections()
        self._open = 0
        self._closed: list[PooledConnection] = []
        self._waiters: list[_Waiter] = []
        self._instance_full_until = float("-inf")
        self._instance_full_backoff_s = INSTANCE_FULL_BACKOFF_S
        # Counts the changes between direct and relayed connections.
        self._path = 0
        self._slot_admission = self._new_slot_admission()
        self.opened_total = 0
        # Limits the statements to a cold instance, where this VM connects to it.
        self.cold_rate: ColdRate | None = None

    @property
    def busy_connections(self) -> int:
        """Return the number of connections in use or being opened."""
        return self._open - len(self._idle)

    @property
    def waiting_requests(self) -> int:
        """Return the number of requests that wait for a connection."""
        return len(self._waiters)

    @property
    def connection_limit(self) -> int:
        """Return the number of connections allowed."""
        return self._limits.max_open

    @property
    def open_connections(self) -> int:
        """Return the number of connections, idle or busy."""
        return self._open

    @property
    def load(self) -> InstanceLoad | None:
        """Return the instance's load, None if this VM doesn't admit statements to its slots."""
        return None if self._slot_admission is None else self._slot_admission.load

    @property
    def may_begin_work(self) -> bool:
        """Return whether a cold instance has room for a statement that begins work."""
        if self.cold_rate is None:
            return True
        return self.cold_rate.has_room(1, boottime_s(), begins=True)

    @property
    def slot_order(self) -> SlotOrder:
        """Return the order in which requests get slots and connections."""
        return self._limits.slot_order

    def take_slot_counts(self) -> QueueCounts | None:
        """Return the counts of the slots' queue since the last call, None without a queue."""
        return None if self._slot_admission is None else self._slot_admission.take_counts()

    def set_registration(self, registration: InstanceRegistration) -> None:
        """Set a newer registration of the same instance."""
        self._registration = registration

    async def set_limits(self, limits: PoolLimits) -> None:
        """Change the limits; busy connections above them are closed on release.

        When direct connections give way to relayed ones or the reverse, the former are closed: VMs
        that are homes no longer would hold connections that the new homes need.
        """
        path_changed = limits.relayed != self._limits.relayed
        self._limits = limits
        if path_changed:
            self._path += 1
            while (connection := self._idle.take_oldest()) is not None:
                await self._close_connection(connection)
        if limits.admission_control != (self._slot_admission is not None):
            self._slot_admission = self._new_slot_admission()
        while self._open > self._limits.max_open and (connection := self._idle.take_oldest()):
            await self._close_connection(connection)
        self._grant_reservations()

    def _new_slot_admission(self) -> SlotAdmission | None:
        if not self._limits.admission_control:
            return None
        return SlotAdmission(self._registration.slots, self._limits.slot_order)

    async def trim(self) -> None:
        """Close connections that have been idle too long while more than `kept_open` are open."""
        while self._closed:
            await self._closed.pop().close()
        limit = trio.current_time() - EXCESS_IDLE_TIMEOUT_S
        while (
            self._open > self._limits.kept_open
            and (connection := self._idle.oldest) is not None
            and connection.last_used_at < limit
        ):
            self._idle.remove(connection)
            await self._close_connection(connection)

    def has_idle(self, organisation: str) -> bool:
        """Return whether a connection of the organisation is idle."""
        return self._idle.has(organisation)

    def pop_any_idle(self) -> PooledConnection | None:
        """Remove and return the most recently used idle connection of any organisation."""
        return self._take_alive(self._idle.take_newest)

    async def acquire(
        self,
        organisation: str,
        urgency: float,
        deadline: float,
        request: SlotRequest | None = None,
    ) -> PooledConnection:
        """Return a connection of the organisation.

        `deadline` is in trio's clock. `request` is the statement that it is for; it counts only
        where requests are served in the order of their urgency. Raises OverloadedError if no slot
        of the instance becomes free in time or no connection is free by the deadline, and what
        the opener raises.
        """
        match self._limits.slot_order:
            case ArrivalOrder():
                request = None
        if self._slot_admission is None:
            connection = await self._reuse_or_open(organisation)
        else:
            connection = await self._reuse_or_open_admitted(
                self._slot_admission, organisation, request
            )
        if connection is not None:
            return connection
        waiter = await self._wait_for_grant(_Waiter(organisation, urgency, request), deadline)
        if waiter.granted is not None:
            return waiter.granted
        if waiter.reservation is not None:
            return await self._connect_admitted(organisation, waiter.reservation, request)
        if waiter.dismissed:
            raise InstanceWithdrawnError
        raise OverloadedError("no connection to the instance became free before the deadline")

    async def _reuse_or_open_admitted(
        self, admission: SlotAdmission, organisation: str, request: SlotRequest | None
    ) -> PooledConnection | None:
        """Wait for a slot of the instance, then reuse or open a connection.

        In the other order, a statement that waits for a slot would keep its connection from other
        requests of the organisation. They would open new connections and close those of other
        organisations for them.
        """
        held_slot = await _HeldSlot.acquire(admission, request)
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
        """Return an idle or a new connection, or None if the request has to wait for one."""
        if not self._waiters or self.has_idle(organisation):
            connection = self._pop_idle(organisation)
            if connection is not None:
                return connection
        reservation = self._reserve() if not self._waiters else None
        return await self._connect(organisation, reservation) if reservation is not None else None

    async def _connect_admitted(
        self, organisation: str, reservation: _Reservation, request: SlotRequest | None
    ) -> PooledConnection:
        """Open a connection under a granted reservation, once a slot is free."""
        if self._slot_admission is None:
            return await self._connect(organisation, reservation)
        try:
            held_slot = await _HeldSlot.acquire(self._slot_admission, request)
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

    async def _wait_for_grant(self, waiter: _Waiter, deadline: float) -> _Waiter:
        """Wait until a connection or a reservation is granted, or until the deadline."""
        self._waiters.append(waiter)
        try:
            while not waiter.event.is_set() and trio.current_time() < deadline:
                full = trio.current_time() < self._instance_full_until
                with trio.move_on_at(
                    min(deadline, self._instance_full_until) if full else deadline
                ):
                    await waiter.event.wait()
                # No release wakes the waiters when the backoff after a refusal ends.
                self._grant_reservations()
        except trio.Cancelled:
            await self._pass_on_grant(waiter)
            raise
        finally:
            if not waiter.event.is_set():
                self._waiters.remove(waiter)
        return waiter

    async def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        connection.release_slot()
        outdated = connection.path != self._path
        if not connection.reusable or outdated or self._open > self._limits.max_open:
            await self._close_connection(connection)
            return
        if not self._limits.kept_open and not self._waiters:
            await self._close_connection(connection)
            return
        connection.last_used_at = trio.current_time()
        self._idle.add(connection)
        self._grant_idle()

    def dismiss_waiting(self) -> None:
        """Wake all requests that wait for a connection; they raise InstanceWithdrawnError."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.dismissed = True
            waiter.event.set()

    async def close(self) -> None:
        """Close the idle connections now and busy ones on release."""
        await self.set_limits(PoolLimits(0, 0))

    def _take_alive(self, take: Callable[[], PooledConnection | None]) -> PooledConnection | None:
        """Return an idle connection that the instance has not closed, None if there is none.

        The outcome of a write sent over a closed one would be reported as unknown although it
        can't have run. Only the connection about to be used is checked, with two system calls; if
        the instance has closed it, it may have closed all of them.
        """
        connection = take()
        if connection is None or connection.alive:
            return connection
        self._discard(connection)
        for other in self._idle.connections:
            if not other.alive:
                self._idle.remove(other)
                self._discard(other)
        self._grant_reservations()
        return take()

    def _discard(self, connection: PooledConnection) -> None:
        self._open -= 1
        self._closed.append(connection)

    def _pop_idle(self, organisation: str) -> PooledConnection | None:
        return self._take_alive(partial(self._idle.take, organisation))

    def _reserve(self) -> _Reservation | None:
        """Reserve room for a new connection, if necessary by replacing an idle one."""
        full = trio.current_time() < self._instance_full_until
        if self._open < self._limits.max_open and not full:
            self._open += 1
            return _Reservation()
        if not self._limits.max_open:
            return None
        replaced = self._idle.take_least_valuable(trio.current_time())
        return None if replaced is None else _Reservation(replaced)

    async def _connect(self, organisation: str, reservation: _Reservation) -> PooledConnection:
        """Open a connection under a reservation."""
        path = self._path
        try:
            if reservation.replaced is not None:
                await reservation.replaced.close()
            connection = await self._opener(self._registration, organisation)
        except BaseException as error:
            if isinstance(error, TooManyConnectionsError):
                self._back_off()
            self._open -= 1
            self._grant_reservations()
            raise
        self.opened_total += 1
        if reservation.replaced is None:
            self._instance_full_backoff_s = INSTANCE_FULL_BACKOFF_S
        return PooledConnection(
            connection,
            organisation,
            trio.current_time(),
            self._slot_admission,
            lambda: self.cold_rate,
            path,
        )

    def _back_off(self) -> None:
        """Open no further connection for a while, because the instance has reached its limit."""
        if self._open <= 1:
            # There is only the reservation, so that nothing could be served meanwhile.
            self._instance_full_backoff_s = INSTANCE_FULL_BACKOFF_S
        self._instance_full_until = trio.current_time() + self._instance_full_backoff_s
        self._instance_full_backoff_s = min(
            2 * self._instance_full_backoff_s, MAX_INSTANCE_FULL_BACKOFF_S
        )

    async def _cancel_reservation(self, reservation: _Reservation) -> None:
        """Release a reservation that was not used."""
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
        """Release the connection or reservation granted to a cancelled waiter."""
        with trio.CancelScope(shield=True):
            if waiter.granted is not None:
                await self.release(waiter.granted)
            elif waiter.reservation is not None:
                await self._cancel_reservation(waiter.reservation)

    def _grant_reservations(self) -> None:
        """Grant reservations to waiters while the limit allows new connections."""
        if trio.current_time() < self._instance_full_until:
            return
        while self._waiters and self._open < self._limits.max_open:
            waiter = min(self._waiters, key=_Waiter.order)
            self._waiters.remove(waiter)
            self._open += 1
            waiter.reservation = _Reservation()
            waiter.event.set()

    def _grant_idle(self) -> None:
        """Grant idle connections to waiters, for replacement if the organisations differ."""
        while self._waiters and (connection := self._idle.take_newest()) is not None:
            order = partial(_Waiter.order, owner=connection.organisation)
            waiter = min(self._waiters, key=order)
            self._waiters.remove(waiter)
            if waiter.organisation == connection.organisation:
                connection.reused = True
                waiter.granted = connection
            else:
                waiter.reservation = _Reservation(connection)
            waiter.event.set()
