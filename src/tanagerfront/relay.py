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
from .instance_directory import HOMES, RELAY_VMS
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

__all__ = ["RelayOpener", "RelaySession", "RelayingOpener", "homes"]

# A home that failed is left out for this long.
HOME_PAUSE_S = 1.0
# A statement at a home waits at most this long for a connection; the entry VM gives up earlier
# when its caller's time ends.
WAIT_S = 0.4
ENDS = (Rollback(), Verbatim("COMMIT"))


def homes(entry: InstanceRegistration, vms: Sequence[RegisteredVm]) -> tuple[RegisteredVm, ...]:
    """Return the VMs that hold an instance's connections, the preferred one first.

    They are in the instance's failure domain if possible, and those with the most processor time.
    """

    def rank(vm: RegisteredVm) -> tuple[bool, float, int]:
        score = rendezvous_score("home", entry.id, vm.name)
        return vm.failure_domain != entry.failure_domain, -vm.cores, score

    return tuple(sorted(vms, key=rank)[:HOMES])


class RelayOpener(Protocol):
    """Open a session at an instance through another VM."""

    async def __call__(
        self, home: RegisteredVm, entry: InstanceRegistration, organisation: str
    ) -> Connection:
        """Return the connection; raises InstanceRefusedError or ConnectionLostError."""


class RelayingOpener:
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
        self._paused_until: dict[str, float] = {}

    def uses_relay(self, entry: InstanceRegistration) -> bool:
        """Tell whether statements for an instance go through another VM."""
        return bool(self._relaying_homes(entry))

    def home_rank(self, entry: InstanceRegistration) -> int:
        """Return 0 for the VM that all use, else the place among those that replace it."""
        names = [each.name for each in homes(entry, self._vms())]
        return names.index(self._own) if self._own in names else 0

    def _relaying_homes(self, entry: InstanceRegistration) -> tuple[RegisteredVm, ...]:
        """Return the VMs to go through, none if this VM connects directly."""
        vms = self._vms()
        if len(vms) < RELAY_VMS:
            return ()
        found = homes(entry, vms)
        return () if self._own in {each.name for each in found} else found

    async def __call__(self, entry: InstanceRegistration, organisation: str) -> Connection:
        """Return a connection; raises what the direct opener raises.

        Direct connections replace homes that cannot be reached. They do not replace homes that
        refuse, because then all VMs together would exceed what the instance accepts.
        """
        refusal: InstanceRefusedError | None = None
        for home in self._relaying_homes(entry):
            if trio.current_time() < self._paused_until.get(home.name, float("-inf")):
                continue
            try:
                return await self._relay(home, entry, organisation)
            except TanagerfrontError as error:
                self._log.trouble(
                    "home_failed", home=home.name, instance=entry.id, error=str(error)
                )
                if isinstance(error, InstanceRefusedError):
                    refusal = error
                else:
                    self._paused_until[home.name] = trio.current_time() + HOME_PAUSE_S
        if refusal is not None:
            raise refusal
        return await self._direct(entry, organisation)


class RelaySession:
    """One session of another VM at a home; it holds a connection only while it needs one."""

    def __init__(
        self, pool: InstancePool, organisation: str, wanted: Callable[[], bool] = lambda: True
    ) -> None:
        self._pool = pool
        self._wanted = wanted
        self._organisation = organisation
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[bool, str]] = {}
        self._held: PooledConnection | None = None

    @property
    def in_transaction(self) -> bool:
        """Tell whether the session holds a connection for a transaction."""
        return self._held is not None

    async def run(self, statement: InstanceStatement) -> Reply:
        """Run one statement; raises ConnectionLostError when its outcome is not known."""
        match statement.statement:
            case SetValue(name, value):
                self._values[name] = value
                return self._own_reply()
            case Prepare(name, writes, shape):
                self._prepared[name] = (writes, shape)
                return self._own_reply()
            case ResetSession():
                self._values = {}
                self._prepared = {}
        try:
            connection = await self._connection()
        except ConnectionLostError as error:
            return self._own_reply(Failure(FailureCode.MOVED, str(error)))
        except TanagerfrontError as error:
            return self._own_reply(Failure(FailureCode.OVERLOADED, str(error)))
        try:
            return await self._run_on(connection, statement)
        except OverloadedError as error:
            return self._own_reply(Failure(FailureCode.OVERLOADED, str(error)))

    async def close(self) -> None:
        """Roll an open transaction back and free the connection."""
        connection, self._held = self._held, None
        if connection is None:
            return
        with trio.CancelScope(shield=True):
            # The instance rolls back when the connection closes.
            await self._pool.release(connection)

    def _own_reply(self, failure: Failure | None = None) -> Reply:
        # No position: only the instance knows where its log is now.
        state = TransactionState.IDLE if self._held is None else TransactionState.OPEN
        return Reply(failure=failure, state=state)

    async def _connection(self) -> PooledConnection:
        if self._held is not None:
            return self._held
        now = trio.current_time()
        return await self._pool.acquire(self._organisation, now, now + WAIT_S)

    async def _run_on(self, connection: PooledConnection, statement: InstanceStatement) -> Reply:
        begins = isinstance(statement.statement, Begin)
        ends = statement.statement in ENDS
        if begins:
            connection.in_transaction = True
            self._held = connection
        try:
            reply = await self._send(connection, statement)
        except BaseException:
            if self._held is None:
                with trio.CancelScope(shield=True):
                    await self._pool.release(connection)
            raise
        if (ends or begins) and reply.state is TransactionState.IDLE:
            connection.in_transaction = False
            self._held = None
        if self._held is None:
            await self._pool.release(connection)
        return reply

    async def _send(self, connection: PooledConnection, statement: InstanceStatement) -> Reply:
        if not self._wanted():
            # The other VM has given up; the instance's work would be for nobody.
            raise OverloadedError("the session was closed while its statement waited")
        match statement.statement:
            case Execute(name, _) if name not in self._prepared:
                return self._own_reply(Failure(FailureCode.UNKNOWN_STATEMENT, name))
        statements = connection.session_statements(self._values, self._prepared, statement)
        replies = await connection.run(statements)
        return replies[-1]
