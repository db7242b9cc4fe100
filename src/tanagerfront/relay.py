"""Sharing of an instance's few connections by a large fleet.

When the fleet has more VMs than an instance has connections to share, a few VMs are the instance's
homes: they hold its connections, and the others send their statements through them, in the same
protocol that instances speak. Statements of all VMs then wait in one queue, and connections stay
with the organisations that use them.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import trio

from .decision_log import DecisionLog
from .errors import ConnectionLostError, OverloadedError, TanagerfrontError
from .fleet_store import RegisteredVm
from .instance_directory import HOMES_PER_INSTANCE, MIN_VMS_FOR_RELAY
from .instance_pool import (
    Connection,
    InstancePool,
    InstanceRefusedError,
    InstanceStatement,
    Opener,
    PooledConnection,
)
from .rendezvous import rendezvous_score
from .session_model import (
    Begin,
    Execute,
    Failure,
    FailureCode,
    InstanceRegistration,
    Prepare,
    Reply,
    ResetSession,
    Rollback,
    SetValue,
    TransactionState,
    Verbatim,
)

__all__ = ["RelayOpener", "RelaySession", "RoutingOpener", "homes"]

# A home that failed is left out for this long.
FAILED_HOME_BACKOFF_S = 1.0
# A statement at a home waits at most this long for a connection; the entry VM gives up earlier
# when its caller's time ends.
MAX_CONNECTION_WAIT_S = 0.4
TRANSACTION_ENDS = (Rollback(), Verbatim("COMMIT"))


def homes(
    registration: InstanceRegistration, vms: Sequence[RegisteredVm]
) -> tuple[RegisteredVm, ...]:
    """Return the VMs that hold an instance's connections, the preferred one first.

    They are in the instance's failure domain if possible, and those with the most processor time.
    """

    def rank(vm: RegisteredVm) -> tuple[bool, float, int]:
        score = rendezvous_score("home", registration.id, vm.name)
        return vm.failure_domain != registration.failure_domain, -vm.cores, score

    return tuple(sorted(vms, key=rank)[:HOMES_PER_INSTANCE])


class RelayOpener(Protocol):
    """Open a session at an instance through another VM."""

    async def __call__(
        self, home: RegisteredVm, registration: InstanceRegistration, organisation: str
    ) -> Connection:
        """Return the connection; raises InstanceRefusedError or ConnectionLostError."""


class RoutingOpener:
    """Open connections directly in a small fleet or at a home, else through a home."""

    def __init__(
        self,
        own: str,
        direct: Opener,
        relay: RelayOpener,
        vms: Callable[[], Sequence[RegisteredVm]],
        log: DecisionLog,
    ) -> None:
        self._log = log
        self._own = own
        self._direct = direct
        self._relay = relay
        self._vms = vms
        self._skipped_until: dict[str, float] = {}

    def uses_relay(self, registration: InstanceRegistration) -> bool:
        """Tell whether statements for an instance go through another VM."""
        return bool(self._relay_homes(registration))

    def home_rank(self, registration: InstanceRegistration) -> int:
        """Return 0 for the VM that all use, else the place among those that replace it."""
        names = [each.name for each in homes(registration, self._vms())]
        return names.index(self._own) if self._own in names else 0

    def _relay_homes(self, registration: InstanceRegistration) -> tuple[RegisteredVm, ...]:
        """Return the VMs to go through, none if this VM connects directly."""
        vms = self._vms()
        if len(vms) < MIN_VMS_FOR_RELAY:
            return ()
        found = homes(registration, vms)
        return () if self._own in {each.name for each in found} else found

    async def __call__(self, registration: InstanceRegistration, organisation: str) -> Connection:
        """Return a connection; raises what the direct opener raises.

        Direct connections replace homes that cannot be reached. They do not replace homes that
        refuse, because then all VMs together would exceed what the instance accepts.
        """
        refusal: InstanceRefusedError | None = None
        for home in self._relay_homes(registration):
            if trio.current_time() < self._skipped_until.get(home.name, float("-inf")):
                continue
            try:
                return await self._relay(home, registration, organisation)
            except TanagerfrontError as error:
                self._log.failure(
                    "home_failed", home=home.name, instance=registration.id, error=str(error)
                )
                if isinstance(error, InstanceRefusedError):
                    refusal = error
                else:
                    self._skipped_until[home.name] = trio.current_time() + FAILED_HOME_BACKOFF_S
        if refusal is not None:
            raise refusal
        return await self._direct(registration, organisation)


class RelaySession:
    """One session of another VM at a home; it holds a connection only while it needs one."""

    def __init__(
        self, pool: InstancePool, organisation: str, peer_waiting: Callable[[], bool] = lambda: True
    ) -> None:
        self._pool = pool
        self._peer_waiting = peer_waiting
        self._organisation = organisation
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[bool, str]] = {}
        self._transaction_connection: PooledConnection | None = None

    @property
    def in_transaction(self) -> bool:
        """Tell whether the session holds a connection for a transaction."""
        return self._transaction_connection is not None

    async def run(self, statement: InstanceStatement) -> Reply:
        """Run one statement; raises ConnectionLostError when its outcome is not known."""
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
            connection = await self._acquire_connection()
        except ConnectionLostError as error:
            return self._local_reply(Failure(FailureCode.MOVED, str(error)))
        except TanagerfrontError as error:
            return self._local_reply(Failure(FailureCode.OVERLOADED, str(error)))
        try:
            return await self._run_on(connection, statement)
        except OverloadedError as error:
            return self._local_reply(Failure(FailureCode.OVERLOADED, str(error)))

    async def close(self) -> None:
        """Roll an open transaction back and free the connection."""
        connection, self._transaction_connection = self._transaction_connection, None
        if connection is None:
            return
        with trio.CancelScope(shield=True):
            # The instance rolls back when the connection closes.
            await self._pool.release(connection)

    def _local_reply(self, failure: Failure | None = None) -> Reply:
        # No position: only the instance knows where its log is now.
        state = (
            TransactionState.IDLE if self._transaction_connection is None else TransactionState.OPEN
        )
        return Reply(failure=failure, state=state)

    async def _acquire_connection(self) -> PooledConnection:
        if self._transaction_connection is not None:
            return self._transaction_connection
        now = trio.current_time()
        return await self._pool.acquire(self._organisation, now, now + MAX_CONNECTION_WAIT_S)

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
            # The other VM has given up; the instance's work would be for nobody.
            raise OverloadedError("the session was closed while its statement waited")
        match statement.statement:
            case Execute(name, _) if name not in self._prepared:
                return self._local_reply(Failure(FailureCode.UNKNOWN_STATEMENT, name))
        statements = connection.session_statements(self._values, self._prepared, statement)
        replies = await connection.run(statements)
        return replies[-1]
