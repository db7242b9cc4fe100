"""Interactive transactions of the HTTP interface at a group's home.

Each transaction holds a database session and a slot from its begin step until it ends.
"""

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
    """Limits of one transaction, in seconds; the home rolls it back when one is exceeded."""

    # An idle transaction occupies one of the instance's two or three slots, and may hold locks
    # that block other organisations.
    idle_limit_s: float = 2.0
    total_limit_s: float = 10.0


class _State(enum.Enum):
    IDLE = enum.auto()
    RUNNING = enum.auto()
    COMMITTING = enum.auto()
    ENDED = enum.auto()


class _Owner(NamedTuple):
    """Entry VM, organisation and key that began a transaction; its steps must match all three."""

    peer_vm: str
    organisation: str
    key_digest: str


_OwnerPredicate = Callable[[_Owner], bool]


class _Transaction:
    """State of one open transaction; times are on trio's clock."""

    def __init__(self, transaction_id: str, owner: _Owner, limits: HomeTransactionLimits) -> None:
        now = trio.current_time()
        self.transaction_id = transaction_id
        self.owner = owner
        self.acquired: AcquiredInstance | None = None
        self.state = _State.RUNNING
        self.step_scope = trio.CancelScope()
        self.limits_scope = trio.CancelScope()
        self.ended = trio.Event()
        self.abort_reason = ""
        # BEGIN is sent with the first statements, so that no lock is held before them.
        self.begin_sent = False
        self._idle_limit_s = limits.idle_limit_s
        self._idle_since = now
        self._total_deadline = now + limits.total_limit_s

    def start_step(self, state: _State) -> trio.CancelScope:
        """Record that a step is running; return the scope whose cancellation aborts it."""
        self.state = state
        self.step_scope = trio.CancelScope()
        return self.step_scope

    def finish_step(self) -> None:
        """Record that the transaction is idle until its caller's next step."""
        self.state = _State.IDLE
        self._idle_since = trio.current_time()

    def next_expiry(self) -> tuple[float, str]:
        """Return the time of the limit that the transaction reaches first, and the reason text."""
        since = self._idle_since if self.state is _State.IDLE else trio.current_time()
        idle_deadline = since + self._idle_limit_s
        if idle_deadline < self._total_deadline:
            return idle_deadline, f"it was idle for {self._idle_limit_s:g} s"
        return self._total_deadline, "it exceeded its total time limit"


class HomeTransactions:
    """The open transactions of one group at a home; `run` must be running.

    `access` needs schedulers that no other requests use. A transaction keeps its slot while it
    waits for its caller, and a home's share of an instance may be a single slot: with a shared
    scheduler, one open transaction could block all other requests. Acquiring a slot per step
    would not work, because requests that wait for the transaction's locks could hold all slots.
    """

    def __init__(self, access: InstanceAccess, limits: HomeTransactionLimits | None = None) -> None:
        self._access = access
        self._limits = limits or HomeTransactionLimits()
        self._open: dict[tuple[str, str], _Transaction] = {}
        self._nursery: trio.Nursery | None = None

    @property
    def open_count(self) -> int:
        """Return the number of open transactions."""
        return len(self._open)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Enforce the limits until cancelled; then roll back all open transactions."""
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
        """Run one step for an entry VM; raises TransactionError or a database error.

        A failed statement rolls back the whole transaction, because the caller's later steps may
        assume its effects. A step rejected for its expired rate token was not sent to the
        database and leaves the transaction open.
        """
        arrived_at = trio.current_time()
        deadline = arrived_at + request.timeout_s
        if request.action == "begin":
            return await self._begin(peer_vm, request, deadline)
        transaction = self._find_idle(peer_vm, request)
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
                raise BadRequestError(f"unknown transaction action {request.action}")

    async def abort_for_vm(self, peer_vm: str) -> None:
        """Roll back the transactions that an unreachable entry VM began."""
        await self._abort_where(
            "its entry VM is unreachable", lambda owner: owner.peer_vm == peer_vm
        )

    async def abort_for_key(self, key_digest: str) -> None:
        """Roll back the transactions that were begun with a revoked API key."""
        await self._abort_where(
            "its API key was revoked", lambda owner: owner.key_digest == key_digest
        )

    async def abort(self, peer_vm: str, transaction_id: str) -> None:
        """Roll back one transaction whose caller disconnected."""
        transaction = self._open.get((peer_vm, transaction_id))
        if transaction is not None:
            await self._abort(transaction, "its caller disconnected")

    async def _begin(
        self, peer_vm: str, request: TransactionRequest, deadline: float
    ) -> TransactionReply:
        if self._nursery is None:
            raise TransactionError("this home is not running, so it accepts no transactions")
        if (peer_vm, request.transaction) in self._open:
            raise TransactionError("the transaction is already open")
        owner = _Owner(peer_vm, request.organisation, request.key_digest)
        transaction = _Transaction(request.transaction, owner, self._limits)
        self._open[peer_vm, request.transaction] = transaction
        self._nursery.start_soon(self._enforce_limits, transaction)
        request_class = RequestClass(request.request_class)
        context = StatementContext(request.organisation, request_class, request.session, deadline)
        async with self._run_step(transaction):
            transaction.acquired = await self._access.acquire_primary(context, "write")
        return _reply(request, request.session)

    async def _execute(
        self, transaction: _Transaction, request: TransactionRequest, deadline: float
    ) -> TransactionReply:
        acquired = _get_acquired(transaction)
        async with self._run_step(transaction):
            begin, transaction.begin_sent = not transaction.begin_sent, True
            result = await self._access.execute(
                acquired,
                to_statements(request.statements),
                begin=begin,
                commit=False,
                timeout_s=deadline - trio.current_time(),
            )
            # The rows may reflect entries of other writers that a failover could still discard.
            await self._access.wait_acknowledged(result.reached, deadline)
        return TransactionReply(
            request.transaction, to_wire_results(result.results), result.reached
        )

    @asynccontextmanager
    async def _run_step(self, transaction: _Transaction) -> AsyncIterator[None]:
        """Run the body as a step that can be aborted; any failure ends the transaction."""
        try:
            with transaction.start_step(_State.RUNNING) as scope:
                yield
        except TanagerfrontError as error:
            await self._end(transaction)
            if error.executed == "no":
                raise
            # Without a commit the transaction has no effect, even if this step did run.
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
        if not transaction.begin_sent:
            await self._end(transaction)
            return _reply(request, request.session)
        acquired = _get_acquired(transaction)
        transaction.start_step(_State.COMMITTING)
        try:
            result = await self._send_commit(acquired, deadline)
        finally:
            await self._end(transaction)
        await self._access.wait_acknowledged(result.reached, deadline)
        return _reply(request, result.reached)

    async def _send_commit(self, acquired: AcquiredInstance, deadline: float) -> ExecuteResult:
        timeout_s = deadline - trio.current_time()
        try:
            return await self._access.execute(
                acquired, (), begin=False, commit=True, timeout_s=timeout_s
            )
        except ConnectionLostError as error:
            if error.executed == "no":
                raise _rolled_back(error.message) from error
            raise OutcomeUnknownError("the reply to the commit was lost") from error

    def _find_idle(self, peer_vm: str, request: TransactionRequest) -> _Transaction:
        """Return the owner's transaction if it is idle; raises TransactionError."""
        transaction = self._open.get((peer_vm, request.transaction))
        owner = _Owner(peer_vm, request.organisation, request.key_digest)
        if transaction is None or transaction.owner != owner:
            raise TransactionError("the transaction is not open; it may have been rolled back")
        if transaction.state is not _State.IDLE:
            raise TransactionError("another step of the transaction is still running")
        return transaction

    async def _enforce_limits(self, transaction: _Transaction) -> None:
        """Roll back the transaction when it reaches its idle or total limit."""
        with transaction.limits_scope:
            expires_at, reason = transaction.next_expiry()
            while trio.current_time() < expires_at:
                await trio.sleep_until(expires_at)
                expires_at, reason = transaction.next_expiry()
        if not transaction.limits_scope.cancelled_caught:
            await self._abort(transaction, reason)

    async def _abort_where(self, reason: str, matches: _OwnerPredicate) -> None:
        transactions = [item for item in self._open.values() if matches(item.owner)]
        async with trio.open_nursery() as nursery:
            for transaction in transactions:
                nursery.start_soon(self._abort, transaction, reason)

    async def _abort(self, transaction: _Transaction, reason: str) -> None:
        match transaction.state:
            case _State.IDLE:
                await self._end(transaction)
            case _State.RUNNING:
                transaction.abort_reason = reason
                transaction.step_scope.cancel()
                await transaction.ended.wait()
            case _State.COMMITTING | _State.ENDED:
                # A commit that was sent cannot be undone; cancelling it would only lose its
                # outcome.
                pass

    async def _end(self, transaction: _Transaction) -> None:
        """Roll back if needed and release the session and the slot, even while cancelled."""
        if transaction.state is _State.ENDED:
            return
        transaction.state = _State.ENDED
        transaction.limits_scope.cancel()
        self._open.pop((transaction.owner.peer_vm, transaction.transaction_id), None)
        acquired = transaction.acquired
        with trio.CancelScope(shield=True):
            if acquired is not None:
                if acquired.session.in_transaction and not acquired.session.in_doubt:
                    await self._access.roll_back(acquired)
                await self._access.release(acquired, observe_latency=False)
        transaction.ended.set()


def _get_acquired(transaction: _Transaction) -> AcquiredInstance:
    if transaction.acquired is None:
        raise TransactionError("the transaction has not begun")
    return transaction.acquired


def _reply(request: TransactionRequest, reached: EntryId) -> TransactionReply:
    return TransactionReply(request.transaction, (), reached)


def _rolled_back(reason: str) -> TransactionError:
    return TransactionError(f"the transaction was rolled back: {reason}", executed="no")
