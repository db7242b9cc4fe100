"""Relaying of statements through the VMs that hold an instance's connections.

Part of the session interface. When the fleet has more VMs than an instance has connections to
share, a few VMs are the instance's homes: they hold its connections, and the other VMs send their
statements through them, in the protocol that instances use. Statements of all VMs then wait in
one queue, and connections stay with the organisations that use them.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Protocol

import trio

from .decision_log import DecisionLog
from .errors import ConnectionLostError, OverloadedError, TanagerfrontError, TooManyConnectionsError
from .fleet_store import RegisteredVm
from .instance_directory import HOMES_PER_INSTANCE, MIN_VMS_FOR_RELAY
from .instance_pool import (
    Connection,
    InstancePool,
    InstanceRefusedError,
    InstanceStatement,
    InstanceWithdrawnError,
    Opener,
    PooledConnection,
    SingleUseConnection,
    slot_request,
)
from .rendezvous import rendezvous_score
from .session_model import (
    Begin,
    Execute,
    Failure,
    FailureCode,
    InstanceLoad,
    InstanceRegistration,
    Prepare,
    Reply,
    ResetSession,
    Rollback,
    SetValue,
    TransactionState,
    Verbatim,
)
from .slot_admission import UrgencyOrder
from .slot_queue import waiting_limit

__all__ = ["RelayOpener", "RelaySession", "RoutingOpener", "homes"]

# A home that could not be reached is not tried again for this long.
FAILED_HOME_BACKOFF_S = 1.0
# A home that stops, or doesn't know the instance yet, refuses its sessions. It is not asked again
# for this long, in which a heartbeat would tell it of a registration.
REFUSED_HOME_BACKOFF_S = 0.3
# Direct connections to an instance of a VM that reaches no home. A large fleet has more VMs than
# an instance has slots, and about as many as it has connections.
MAX_DIRECT_WITHOUT_HOME = 1
# A statement at a home waits at most this long for a connection. The VM that sent it gives up
# earlier if its caller's deadline passes.
MAX_CONNECTION_WAIT_S = 0.4
TRANSACTION_ENDS = (Rollback(), Verbatim("COMMIT"))


def homes(
    registration: InstanceRegistration, vms: Sequence[RegisteredVm]
) -> tuple[RegisteredVm, ...]:
    """Return the VMs that hold an instance's connections, the preferred one first.

    VMs in the instance's failure domain are preferred, then those with the most processor cores.
    """

    def suitability(vm: RegisteredVm) -> tuple[bool, float]:
        return vm.failure_domain != registration.failure_domain, -vm.cores

    def rank(vm: RegisteredVm) -> tuple[tuple[bool, float], int]:
        return suitability(vm), rendezvous_score("home", registration.id, vm.name)

    if len(vms) > HOMES_PER_INSTANCE:
        # Only VMs that are as suitable as the last home need a score.
        last = heapq.nsmallest(HOMES_PER_INSTANCE, map(suitability, vms))[-1]
        vms = [vm for vm in vms if suitability(vm) <= last]
    return tuple(sorted(vms, key=rank)[:HOMES_PER_INSTANCE])


class RelayOpener(Protocol):
    """Opens connections to an instance through another VM."""

    async def __call__(
        self, home: RegisteredVm, registration: InstanceRegistration, organisation: str
    ) -> Connection:
        """Open a connection; raises InstanceRefusedError or ConnectionLostError."""


class RoutingOpener:
    """Opens connections through a home, or directly if the fleet is small or this VM is a home."""

    def __init__(
        self,
        own_vm: str,
        direct: Opener,
        relay: RelayOpener,
        vms: Callable[[], tuple[RegisteredVm, ...]],
        log: DecisionLog,
    ) -> None:
        self._log = log
        self._own_vm = own_vm
        self._direct = direct
        self._relay = relay
        self._vms = vms
        self._skipped_until: dict[str, float] = {}
        # The last refusal by a home of an instance, and until when it counts.
        self._refusals: dict[tuple[str, str], tuple[float, InstanceRefusedError]] = {}
        # Direct connections of a VM that is no home, by id of the instance.
        self._direct_open: Counter[str] = Counter()
        # Cold instances get statements only through their homes, which count them.
        self.is_cold: Callable[[InstanceRegistration], bool] = lambda registration: False
        # Homes by id and failure domain of the instance, for one state of the registered VMs.
        self._homes: dict[tuple[str, str], tuple[RegisteredVm, ...]] = {}
        self._homes_vms: tuple[RegisteredVm, ...] = ()

    def uses_relay(self, registration: InstanceRegistration) -> bool:
        """Return whether statements for an instance go through another VM."""
        return bool(self._relay_homes(registration))

    def home_rank(self, registration: InstanceRegistration) -> int:
        """Return this VM's rank among an instance's homes.

        0 is the home that the other VMs prefer, or a VM that is no home.
        """
        names = [home.name for home in self._instance_homes(registration)]
        return names.index(self._own_vm) if self._own_vm in names else 0

    def _relay_homes(self, registration: InstanceRegistration) -> tuple[RegisteredVm, ...]:
        """Return the homes to relay through, or none if this VM connects directly."""
        if len(self._vms()) < MIN_VMS_FOR_RELAY:
            return ()
        instance_homes = self._instance_homes(registration)
        is_home = any(home.name == self._own_vm for home in instance_homes)
        return () if is_home else instance_homes

    def _instance_homes(self, registration: InstanceRegistration) -> tuple[RegisteredVm, ...]:
        """Return an instance's homes, computed once for each state of the registered VMs."""
        vms = self._vms()
        if vms is not self._homes_vms:
            self._homes_vms, self._homes = vms, {}
            self._refusals.clear()
        key = registration.id, registration.failure_domain
        if key not in self._homes:
            self._homes[key] = homes(registration, vms)
        return self._homes[key]

    async def __call__(self, registration: InstanceRegistration, organisation: str) -> Connection:
        """Open a connection; raises what the direct opener raises.

        The connection is opened directly if no home can be reached, but only one at a time and for
        one use, because direct connections of all VMs would exceed the instance's limit. For the
        same reason a refusal by a home is raised instead.
        """
        refusal: InstanceRefusedError | None = None
        relay_homes = self._relay_homes(registration)
        for home in relay_homes:
            if trio.current_time() < self._skipped_until.get(home.name, float("-inf")):
                continue
            until, known_refusal = self._refusals.get((home.name, registration.id), (0.0, None))
            if known_refusal is not None and trio.current_time() < until:
                refusal = known_refusal
                continue
            try:
                return await self._relay(home, registration, organisation)
            except TanagerfrontError as error:
                self._log.failure(
                    "home_failed", home=home.name, instance=registration.id, error=str(error)
                )
                if isinstance(error, InstanceRefusedError):
                    refusal = error
                    until = trio.current_time() + REFUSED_HOME_BACKOFF_S
                    self._refusals[home.name, registration.id] = until, error
                else:
                    self._skipped_until[home.name] = trio.current_time() + FAILED_HOME_BACKOFF_S
        if refusal is not None:
            raise refusal
        if not relay_homes:
            return await self._direct(registration, organisation)
        if self.is_cold(registration):
            failure = Failure(FailureCode.OVERLOADED, "no home of the cold instance answers")
            raise InstanceRefusedError(failure)
        return await self._open_without_home(registration, organisation)

    async def _open_without_home(
        self, registration: InstanceRegistration, organisation: str
    ) -> Connection:
        instance = registration.id
        if self._direct_open[instance] >= MAX_DIRECT_WITHOUT_HOME:
            raise TooManyConnectionsError(
                "no home can be reached, and the direct connection is in use", executed="no"
            )

        def count_closed() -> None:
            self._direct_open[instance] -= 1

        self._direct_open[instance] += 1
        try:
            connection = await self._direct(registration, organisation)
        except BaseException:
            count_closed()
            raise
        return SingleUseConnection(connection, count_closed)


class RelaySession:
    """A session of another VM at a home.

    It holds a connection only during a statement or a transaction.
    """

    def __init__(
        self,
        pool: InstancePool,
        organisation: str,
        peer_waiting: Callable[[], bool] = lambda: True,
        refuses_work: Callable[[], bool] = lambda: False,
    ) -> None:
        self._pool = pool
        self._peer_waiting = peer_waiting
        # Whether the instance is out of service for new statements.
        self._refuses_work = refuses_work
        self._organisation = organisation
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[bool, str]] = {}
        self._transaction_connection: PooledConnection | None = None

    @property
    def in_transaction(self) -> bool:
        """Return whether the session holds a connection for a transaction."""
        return self._transaction_connection is not None

    @property
    def load(self) -> InstanceLoad | None:
        """Return the present load of the instance, None if this VM does not measure it."""
        return self._pool.load

    async def run(self, statement: InstanceStatement) -> Reply:
        """Run one statement; raises ConnectionLostError if its outcome is unknown."""
        match statement.statement:
            case SetValue(name, value):
                self._values[name] = value
                return self._local_reply()
            case Prepare(name, writes, shape):
                self._prepared[name] = (writes, shape)
                return self._local_reply()
            case ResetSession():
                self._values = {}
                self._prepared = {}
        try:
            if self._transaction_connection is None and self._refuses_work():
                raise InstanceWithdrawnError
            connection = await self._acquire_connection(statement)
        except (ConnectionLostError, InstanceWithdrawnError) as error:
            return self._local_reply(Failure(FailureCode.MOVED, str(error)))
        except TanagerfrontError as error:
            return self._local_reply(Failure(FailureCode.OVERLOADED, str(error)))
        try:
            return await self._run_on(connection, statement)
        except OverloadedError as error:
            return self._local_reply(Failure(FailureCode.OVERLOADED, str(error)))

    async def close(self) -> None:
        """Close the session; the instance rolls back an open transaction."""
        connection, self._transaction_connection = self._transaction_connection, None
        if connection is None:
            return
        with trio.CancelScope(shield=True):
            # The pool closes a connection in a transaction, upon which the instance rolls back.
            await self._pool.release(connection)

    def _local_reply(self, failure: Failure | None = None) -> Reply:
        # The reply carries no position, because only the instance knows the end of its log.
        state = (
            TransactionState.IDLE if self._transaction_connection is None else TransactionState.OPEN
        )
        return Reply(failure=failure, state=state)

    async def _acquire_connection(self, statement: InstanceStatement) -> PooledConnection:
        if self._transaction_connection is not None:
            return self._transaction_connection
        now = trio.current_time()
        deadline = now + MAX_CONNECTION_WAIT_S
        match self._pool.slot_order:
            case UrgencyOrder() if statement.urgency is not None:
                deadline = waiting_limit(statement.urgency, now)
        request = slot_request(self._organisation, statement)
        connection = await self._pool.acquire(self._organisation, now, deadline, request)
        if self._refuses_work():
            await self._pool.release(connection)
            raise InstanceWithdrawnError
        return connection

    async def _run_on(self, connection: PooledConnection, statement: InstanceStatement) -> Reply:
        begins = isinstance(statement.statement, Begin)
        ends = statement.statement in TRANSACTION_ENDS
        if begins:
            connection.in_transaction = True
            self._transaction_connection = connection
        try:
            reply = await self._send(connection, statement)
        except BaseException:
            if self._transaction_connection is None:
                with trio.CancelScope(shield=True):
                    await self._pool.release(connection)
            raise
        if (ends or begins) and reply.state is TransactionState.IDLE:
            connection.in_transaction = False
            self._transaction_connection = None
        if self._transaction_connection is None:
            await self._pool.release(connection)
        return reply

    async def _send(self, connection: PooledConnection, statement: InstanceStatement) -> Reply:
        if not self._peer_waiting():
            # The VM that sent the statement has given up, so its result would be discarded.
            raise OverloadedError("the peer closed the session while its statement waited")
        match statement.statement:
            case Execute(name, _) if name not in self._prepared:
                return self._local_reply(Failure(FailureCode.UNKNOWN_STATEMENT, name))
        statements = connection.session_statements(self._values, self._prepared, statement)
        replies = await connection.run(statements)
        return replies[-1]
