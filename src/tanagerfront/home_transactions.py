"""Interactive transactions at a home: each holds a session and a slot from begin to its end."""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from .configuration import RequestClass
from .databases import ExecuteResult
from .entry_id import EntryId
from .errors import (
    BadRequestError,
    ConnectionLostError,
    OutcomeUnknownError,
    TanagerfrontError,
    TransactionError,
)
from .execution_job import check_token, to_statements, to_wire_results, token_expires_at
from .instance_access import AcquiredInstance, InstanceAccess, StatementContext
from .messages import TransactionReply, TransactionRequest

__all__ = ["HomeTransactionLimits", "HomeTransactions"]


class HomeTransactionLimits(NamedTuple):
    """Limits of one transaction, in seconds; it is rolled back when one is exceeded."""

    # An idle transaction occupies a slot of the instance, of which there are two or three, and
    # may hold locks that other organisations wait for.
    idle_limit_s: float = 2.0
    total_limit_s: float = 10.0


class _State(enum.Enum):
    IDLE = enum.auto()
    RUNNING = enum.auto()
    COMMITTING = enum.auto()
    ENDED = enum.auto()


class _Owner(NamedTuple):
    """Who began a transaction; nobody else may use it."""

    peer_vm: str
    organisation: str
    key_digest: str


_OwnerTest = Callable[[_Owner], bool]


class _Transaction:
    """One transaction of a caller; times are in trio's clock."""

    def __init__(self, name: str, owner: _Owner, settings: HomeTransactionLimits) -> None:
        now = trio.current_time()
        self.name = name
        self.owner = owner
        self.lease: AcquiredInstance | None = None
        self.state = _State.RUNNING
        self.step = trio.CancelScope()
        self.guard = trio.CancelScope()
        self.ended = trio.Event()
        self.abort_reason = ""
        # BEGIN goes out with the first statements, so that no lock is held before them.
        self.begun = False
        self._idle_limit_s = settings.idle_limit_s
        self._idle_since = now
        self._total_deadline = now + settings.total_limit_s

    def start_step(self, state: _State) -> trio.CancelScope:
        """Note that a step runs; return the scope that aborts it."""
        self.state = state
        self.step = trio.CancelScope()
        return self.step

    def finish_step(self) -> None:
        """Note that the transaction waits for its caller."""
        self.state = _State.IDLE
        self._idle_since = trio.current_time()

    def expiry(self) -> tuple[float, str]:
        """Return when the transaction ends at the earliest, and why."""
        since = self._idle_since if self.state is _State.IDLE else trio.current_time()
        idle = since + self._idle_limit_s
        if idle < self._total_deadline:
            return idle, f"it was idle for {self._idle_limit_s:g} s"
        return self._total_deadline, "it exceeded its total time"


class HomeTransactions:
    """The open transactions of one group at a home; `run` has to be running.

    `access` should have schedulers of its own. A transaction keeps its slot while it waits for its
    caller, and a home's share of an instance may be a single slot: in one queue with other
    requests, each open transaction would stop them all. Slots for single steps would not do, as
    requests that wait for the transaction's locks could hold all of them.
    """

    def __init__(
        self, access: InstanceAccess, settings: HomeTransactionLimits | None = None
    ) -> None:
        self._access = access
        self._settings = settings or HomeTransactionLimits()
        self._open: dict[tuple[str, str], _Transaction] = {}
        self._nursery: trio.Nursery | None = None

    @property
    def open_count(self) -> int:
        """Return the number of transactions that have not ended."""
        return len(self._open)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Enforce the limits until cancelled; then roll back what is open."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                await trio.sleep_forever()
        finally:
            self._nursery = None
            with trio.CancelScope(shield=True):
                await self._abort_where("this VM is stopping", lambda _owner: True)

    async def handle(self, peer_vm: str, request: TransactionRequest) -> TransactionReply:
        """Run one step for a peer; raises TransactionError or an error of the database.

        A failed statement rolls the whole transaction back, as the state that its caller assumes
        no longer holds; a step refused for its rate token was not sent and leaves it open.
        """
        arrived_at = trio.current_time()
        deadline = arrived_at + request.timeout_s
        if request.action == "begin":
            return await self._begin(peer_vm, request, deadline)
        transaction = self._find(peer_vm, request)
        match request.action:
            case "execute":
                check_token(token_expires_at(arrived_at, request.token_lifetime_s))
                return await self._execute(transaction, request, deadline)
            case "commit":
                return await self._commit(transaction, request, deadline)
            case "rollback":
                await self._end(transaction)
                return _reply(request, request.session)
            case _:
                raise BadRequestError(f"unknown transaction step {request.action}")

    async def abort_for_vm(self, peer_vm: str) -> None:
        """Roll back what a VM that went away has begun."""
        await self._abort_where("its entry VM is gone", lambda owner: owner.peer_vm == peer_vm)

    async def abort_for_key(self, key_digest: str) -> None:
        """Roll back what was begun with a key that is no longer valid."""
        await self._abort_where("its key was revoked", lambda owner: owner.key_digest == key_digest)

    async def abort(self, peer_vm: str, name: str) -> None:
        """Roll back one transaction whose caller went away."""
        transaction = self._open.get((peer_vm, name))
        if transaction is not None:
            await self._abort(transaction, "its caller went away")

    async def _begin(
        self, peer_vm: str, request: TransactionRequest, deadline: float
    ) -> TransactionReply:
        if self._nursery is None:
            raise TransactionError("this home takes no transactions now")
        if (peer_vm, request.transaction) in self._open:
            raise TransactionError("the transaction is open already")
        owner = _Owner(peer_vm, request.organisation, request.key_digest)
        transaction = _Transaction(request.transaction, owner, self._settings)
        self._open[peer_vm, request.transaction] = transaction
        self._nursery.start_soon(self._guard, transaction)
        request_class = RequestClass(request.request_class)
        work = StatementContext(request.organisation, request_class, request.session, deadline)
        async with self._step(transaction):
            transaction.lease = await self._access.acquire_primary(work, "write")
        return _reply(request, request.session)

    async def _execute(
        self, transaction: _Transaction, request: TransactionRequest, deadline: float
    ) -> TransactionReply:
        lease = _lease_of(transaction)
        async with self._step(transaction):
            begin, transaction.begun = not transaction.begun, True
            result = await self._access.execute(
                lease,
                to_statements(request.statements),
                begin=begin,
                commit=False,
                timeout_s=deadline - trio.current_time(),
            )
            # The rows may reflect entries of others that a failover could still discard.
            await self._access.wait_acknowledged(result.reached, deadline)
        return TransactionReply(
            request.transaction, to_wire_results(result.results), result.reached
        )

    @asynccontextmanager
    async def _step(self, transaction: _Transaction) -> AsyncIterator[None]:
        """Run one step that may be aborted; any failure ends the transaction."""
        try:
            with transaction.start_step(_State.RUNNING) as scope:
                yield
        except TanagerfrontError as error:
            await self._end(transaction)
            if error.executed == "no":
                raise
            # Without a commit nothing of the transaction stays, whatever became of this step.
            raise _rolled_back(error.message) from error
        except BaseException:
            await self._end(transaction)
            raise
        if scope.cancel_called:
            await self._end(transaction)
            raise _rolled_back(transaction.abort_reason)
        transaction.finish_step()

    async def _commit(
        self, transaction: _Transaction, request: TransactionRequest, deadline: float
    ) -> TransactionReply:
        if not transaction.begun:
            await self._end(transaction)
            return _reply(request, request.session)
        lease = _lease_of(transaction)
        transaction.start_step(_State.COMMITTING)
        try:
            result = await self._send_commit(lease, deadline)
        finally:
            await self._end(transaction)
        await self._access.wait_acknowledged(result.reached, deadline)
        return _reply(request, result.reached)

    async def _send_commit(self, lease: AcquiredInstance, deadline: float) -> ExecuteResult:
        timeout_s = deadline - trio.current_time()
        try:
            return await self._access.execute(
                lease, (), begin=False, commit=True, timeout_s=timeout_s
            )
        except ConnectionLostError as error:
            if error.executed == "no":
                raise _rolled_back(error.message) from error
            raise OutcomeUnknownError("the answer to the commit was lost") from error

    def _find(self, peer_vm: str, request: TransactionRequest) -> _Transaction:
        """Return a transaction that waits for its owner's next step; raises TransactionError."""
        transaction = self._open.get((peer_vm, request.transaction))
        owner = _Owner(peer_vm, request.organisation, request.key_digest)
        if transaction is None or transaction.owner != owner:
            raise TransactionError("the transaction is not open; it may have been rolled back")
        if transaction.state is not _State.IDLE:
            raise TransactionError("another step of the transaction is still running")
        return transaction

    async def _guard(self, transaction: _Transaction) -> None:
        """Roll the transaction back at its idle or total limit."""
        with transaction.guard:
            expires_at, reason = transaction.expiry()
            while trio.current_time() < expires_at:
                await trio.sleep_until(expires_at)
                expires_at, reason = transaction.expiry()
        if not transaction.guard.cancelled_caught:
            await self._abort(transaction, reason)

    async def _abort_where(self, reason: str, matches: _OwnerTest) -> None:
        chosen = [each for each in self._open.values() if matches(each.owner)]
        async with trio.open_nursery() as nursery:
            for transaction in chosen:
                nursery.start_soon(self._abort, transaction, reason)

    async def _abort(self, transaction: _Transaction, reason: str) -> None:
        match transaction.state:
            case _State.IDLE:
                await self._end(transaction)
            case _State.RUNNING:
                transaction.abort_reason = reason
                transaction.step.cancel()
                await transaction.ended.wait()
            case _State.COMMITTING | _State.ENDED:
                # A commit that was sent cannot be taken back; cancelling it would only hide
                # its outcome.
                pass

    async def _end(self, transaction: _Transaction) -> None:
        """Roll back if needed and return the slot and the session, also when cancelled."""
        if transaction.state is _State.ENDED:
            return
        transaction.state = _State.ENDED
        transaction.guard.cancel()
        self._open.pop((transaction.owner.peer_vm, transaction.name), None)
        lease = transaction.lease
        with trio.CancelScope(shield=True):
            if lease is not None:
                if lease.session.in_transaction and not lease.session.in_doubt:
                    await self._access.roll_back(lease)
                await self._access.release(lease, observe_latency=False)
        transaction.ended.set()


def _lease_of(transaction: _Transaction) -> AcquiredInstance:
    if transaction.lease is None:
        raise TransactionError("the transaction has not begun")
    return transaction.lease


def _reply(request: TransactionRequest, reached: EntryId) -> TransactionReply:
    return TransactionReply(request.transaction, (), reached)


def _rolled_back(reason: str) -> TransactionError:
    return TransactionError(f"the transaction was rolled back: {reason}", executed="no")
