"""A caller's session: its values, prepared statements and transaction, and where they run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import trio

from .attempts import Attempts
from .confirmed_state import ConfirmedState
from .decision_log import DecisionLog
from .entry_id import EntryId
from .errors import ConnectionLostError, OverloadedError, TooManyConnectionsError
from .front_metrics import FrontMetrics
from .instance_directory import Group, Instance, InstanceDirectory
from .instance_pool import (
    INTERNAL_STATEMENT_ID,
    InstanceRefusedError,
    InstanceStatement,
    PooledConnection,
)
from .placement import choose_candidate
from .rate_shares import RateShares
from .session_model import (
    NOT_EXECUTED_CODES,
    Begin,
    Commit,
    Connect,
    Deallocate,
    Execute,
    Failure,
    FailureCode,
    Prepare,
    Query,
    Reply,
    Rollback,
    RouteKind,
    SetValue,
    TransactionState,
    Verbatim,
    Write,
    boottime_s,
)
from .session_record import AuthorisedCaller, RefusedError, SessionRecorder

__all__ = ["CallerSession", "SessionServices"]

# A position is sampled this much later than the oldest that a read may use.
STALENESS_MARGIN_S = 0.1
# A full instance frees a connection when a statement ends, after about this long.
RETRY_PAUSE_S = 0.01
# A rollback takes no slot, so a longer silence means that the connection is lost.
ROLLBACK_TIMEOUT_S = 0.5


class SessionServices(NamedTuple):
    """What the sessions of one VM share."""

    confirmed_state: ConfirmedState
    directory: InstanceDirectory
    rates: RateShares
    log: DecisionLog
    metrics: FrontMetrics


@dataclass(slots=True)
class _Transaction:
    """An open transaction; it gets a connection with its first statement."""

    read_only: bool
    caller: AuthorisedCaller
    instance: Instance | None = None
    connection: PooledConnection | None = None
    wrote: bool = False
    failed: bool = False


class _Placed(NamedTuple):
    """A connection to an instance and the log entry that the instance must have."""

    instance: Instance
    connection: PooledConnection
    after: EntryId | None


class CallerSession:
    """One caller's session, from its connection to its end."""

    def __init__(self, services: SessionServices, connect: Connect) -> None:
        self._services = services
        self._connect = connect
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[bool, str]] = {}
        self._transaction: _Transaction | None = None
        self._written: EntryId | None = None
        self._written_group = ""
        self._recorder = SessionRecorder(
            services.confirmed_state, services.log, services.metrics, connect
        )
        self._authorise()

    @property
    def state(self) -> TransactionState:
        """Return the state that the caller is told."""
        if self._transaction is None:
            return TransactionState.IDLE
        return TransactionState.FAILED if self._transaction.failed else TransactionState.OPEN

    @property
    def idle_limit_s(self) -> float | None:
        """Return for how long the caller may pause now, None for any time."""
        if self._transaction is None:
            return None
        return self._transaction.caller.configuration.transaction_idle_s

    async def execute(self, query: Query) -> Reply:
        """Run one statement and return its answer."""
        try:
            reply = await self._dispatch(query)
        except RefusedError as error:
            reply = self._recorder.record_refusal(query, error)
        except Exception as error:  # a defect must not leave the caller without an answer
            self._recorder.record_failure(query, error)
            # The statement may have been sent, so nothing is promised.
            refusal = RefusedError(FailureCode.IN_DOUBT, "internal error")
            reply = self._recorder.record_refusal(query, refusal)
        if self._transaction is not None and reply.failure is not None:
            await self._fail_transaction()
        return reply._replace(state=self.state)

    async def expire_transaction(self) -> None:
        """Roll back a transaction whose caller paused for too long."""
        self._services.log.decision(
            "transaction_expired", database=self._connect.database, limit_s=self.idle_limit_s
        )
        await self._fail_transaction()

    async def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        await self._fail_transaction()
        self._transaction = None

    # Who sends the statement

    def _authorise(self) -> AuthorisedCaller:
        """Return the caller as the configuration in force has it; raises RefusedError."""
        confirmed_state = self._services.confirmed_state
        configuration = confirmed_state.configuration
        if configuration is None:
            raise RefusedError(FailureCode.OVERLOADED, "no configuration yet")
        route = configuration.routes.get(self._connect.database)
        if route is None:
            raise RefusedError(FailureCode.UNKNOWN_DATABASE, "no route has this database name")
        if route.anonymous:
            return AuthorisedCaller(configuration, route, None)
        if not confirmed_state.keys_confirmed:
            raise RefusedError(
                FailureCode.OVERLOADED, "the keys in force cannot be confirmed at the moment"
            )
        name = configuration.organisation_of_key.get(self._connect.key)
        if name is None:
            raise RefusedError(FailureCode.DENIED, "the key is unknown or was withdrawn")
        return AuthorisedCaller(configuration, route, configuration.organisations[name])

    async def _admit(self, caller: AuthorisedCaller) -> None:
        """Use a token of the organisation's rate; raises RefusedError."""
        if caller.organisation is None:
            return
        if not self._services.confirmed_state.lease_valid:
            raise RefusedError(FailureCode.OVERLOADED, "this VM's share of the rate has lapsed")
        if not await self._services.rates.try_acquire(caller.organisation.name):
            raise RefusedError(
                FailureCode.OVERLOADED,
                "the organisation's rate is used up",
                **caller.organisation._asdict(),
                holders=self._services.rates.lenders(caller.organisation.name),
            )

    # Statements

    async def _dispatch(self, query: Query) -> Reply:
        transaction = self._transaction
        if transaction is not None and transaction.failed:
            return await self._in_failed_transaction(query)
        match query.statement:
            case SetValue(name, value):
                self._values[name] = value
                return Reply()
            case Prepare(name, writes, shape):
                self._prepared[name] = (writes, shape)
                return Reply()
            case Deallocate(name):
                if self._prepared.pop(name, None) is None:
                    raise RefusedError(FailureCode.UNKNOWN_STATEMENT, "no such prepared statement")
                return Reply()
            case Begin(read_only):
                return await self._begin(read_only)
            case Commit() if transaction is not None:
                return await self._commit(query, transaction)
            case Rollback() if transaction is not None:
                await self._fail_transaction()
                self._transaction = None
                return Reply()
            case Commit() | Rollback():
                raise RefusedError(FailureCode.MALFORMED, "no transaction is open")
            case Execute(name, _) if name not in self._prepared:
                raise RefusedError(FailureCode.UNKNOWN_STATEMENT, "no such prepared statement")
        if transaction is not None:
            return await self._in_transaction(query, transaction)
        return await self._single(query)

    async def _in_failed_transaction(self, query: Query) -> Reply:
        match query.statement:
            case Rollback():
                self._transaction = None
                return Reply()
            case Commit():
                self._transaction = None
                raise RefusedError(FailureCode.ABORTED, "the transaction was rolled back")
        raise RefusedError(FailureCode.MALFORMED, "the transaction has failed")

    def _writes(self, query: Query) -> bool:
        match query.statement:
            case Write():
                return True
            case Execute(name, _):
                return self._prepared[name][0]
        return False

    async def _begin(self, read_only: bool) -> Reply:
        if self._transaction is not None:
            raise RefusedError(FailureCode.MALFORMED, "a transaction is open already")
        caller = self._authorise()
        await self._admit(caller)
        self._transaction = _Transaction(read_only, caller)
        return Reply()

    async def _single(self, query: Query) -> Reply:
        """Run a statement outside a transaction, at another instance if nothing ran."""
        caller = self._authorise()
        await self._admit(caller)
        writes = self._writes(query)
        attempt = Attempts(caller.route, query.received_at)
        while True:
            try:
                placed = await self._place(caller, writes, attempt)
            except RefusedError:
                if caller.organisation is not None and not attempt.sent:
                    self._services.rates.refund(caller.organisation.name)
                raise
            reply = await self._run_single(query, caller, writes, placed, attempt)
            if reply is not None:
                return reply

    async def _run_single(
        self,
        query: Query,
        caller: AuthorisedCaller,
        writes: bool,
        placed: _Placed,
        attempt: Attempts,
    ) -> Reply | None:
        """Run a statement on a connection; return None if it may be tried elsewhere."""
        instance, connection, after = placed
        attempt.sent = True
        try:
            limit = attempt.deadline if writes else attempt.read_attempt_deadline()
            reply = await self._send(query, connection, instance, after, limit)
        except OverloadedError as error:
            if not writes and attempt.start_next(instance.registration.id):
                return None
            raise RefusedError(FailureCode.OVERLOADED, str(error)) from error
        except ConnectionLostError as error:
            self._recorder.record_lost_answer(query, instance, error)
            if not writes and attempt.start_next(instance.registration.id):
                return None
            if trio.current_time() >= attempt.deadline:
                raise RefusedError(FailureCode.TIMEOUT, str(error)) from error
            code = FailureCode.IN_DOUBT if writes else FailureCode.FAILED
            raise RefusedError(code, str(error)) from error
        finally:
            await instance.pool.release(connection)
        if reply.failure is None:
            if writes:
                self._note_written(caller.route.group, reply.reached)
            self._recorder.record_served(query, caller, instance, reply)
            return reply
        if reply.failure.code in NOT_EXECUTED_CODES:
            self._recorder.record_not_run(query, instance, reply.failure)
            if writes and reply.failure.code is FailureCode.OVERLOADED:
                # Only the primary can run it; more attempts would add to its load.
                return reply
            if attempt.start_next(None if writes else instance.registration.id):
                return None
            return reply
        failed_read = reply.failure.code is FailureCode.FAILED and not writes
        if failed_read and attempt.start_next(instance.registration.id):
            return None
        return reply

    async def _in_transaction(self, query: Query, transaction: _Transaction) -> Reply:
        transaction.wrote = transaction.wrote or self._writes(query)
        # Without a commit the instance rolls back, so nothing of the transaction is kept.
        reply, instance, _ = await self._run_pinned(query, transaction, FailureCode.ABORTED)
        if reply.failure is None:
            self._recorder.record_served(query, transaction.caller, instance, reply)
        return reply

    async def _run_pinned(
        self, query: Query, transaction: _Transaction, if_lost: FailureCode
    ) -> tuple[Reply, Instance, PooledConnection]:
        """Run a statement on the transaction's connection; raises RefusedError.

        The refusal has the code `if_lost` when the statement was sent and not answered.
        """
        if transaction.connection is None:
            await self._start(query, transaction)
        instance, connection = transaction.instance, transaction.connection
        assert instance is not None and connection is not None
        self._check_caller(transaction)
        deadline = query.received_at + transaction.caller.route.statement_timeout_s
        try:
            reply = await self._send(query, connection, instance, None, deadline)
        except OverloadedError as error:
            raise RefusedError(FailureCode.ABORTED, str(error)) from error
        except ConnectionLostError as error:
            self._recorder.record_lost_answer(query, instance, error)
            raise RefusedError(if_lost, str(error)) from error
        return reply, instance, connection

    def _check_caller(self, transaction: _Transaction) -> None:
        """Abort a transaction that may not go on; raises RefusedError."""
        caller = self._authorise()
        if caller.organisation_name != transaction.caller.organisation_name:
            raise RefusedError(FailureCode.ABORTED, "the key now belongs to another organisation")
        if transaction.read_only:
            return
        group = self._services.directory.group(transaction.caller.route.group)
        if self._leader(group) is not transaction.instance:
            # A commit at a primary that is being replaced might be lost after its acknowledgement.
            raise RefusedError(FailureCode.ABORTED, "the group's primary is changing")

    async def _start(self, query: Query, transaction: _Transaction) -> None:
        """Begin the transaction at an instance; raises RefusedError."""
        caller = transaction.caller
        attempt = Attempts(caller.route, query.received_at)
        while True:
            placed = await self._place(caller, not transaction.read_only, attempt)
            instance, connection, after = placed
            connection.in_transaction = True
            begin = InstanceStatement(INTERNAL_STATEMENT_ID, Begin(transaction.read_only), after)
            statements = [*connection.value_statements(self._values), begin]
            failure: Failure | None
            try:
                replies = await self._run(instance, connection, statements, attempt.deadline)
                failure = replies[-1].failure
            except ConnectionLostError as error:
                self._recorder.record_lost_answer(query, instance, error)
                failure = Failure(FailureCode.ABORTED, str(error))
            if failure is None:
                transaction.instance, transaction.connection = instance, connection
                return
            if connection.reusable_after_rollback:
                connection.in_transaction = False
                self._recorder.record_not_run(query, instance, failure)
            await instance.pool.release(connection)
            if not attempt.start_next(
                None if not transaction.read_only else instance.registration.id
            ):
                raise RefusedError(FailureCode.ABORTED, f"cannot begin: {failure.text}")

    async def _commit(self, query: Query, transaction: _Transaction) -> Reply:
        if_lost = FailureCode.IN_DOUBT if transaction.wrote else FailureCode.ABORTED
        reply, instance, connection = await self._run_pinned(query, transaction, if_lost)
        if reply.failure is not None:
            return reply
        self._transaction = None
        connection.in_transaction = False
        await instance.pool.release(connection)
        if transaction.wrote:
            self._note_written(transaction.caller.route.group, reply.reached)
        self._recorder.record_served(query, transaction.caller, instance, reply)
        return reply

    async def _fail_transaction(self) -> None:
        """Roll the open transaction back and free its connection."""
        transaction = self._transaction
        if transaction is None:
            return
        transaction.failed = True
        instance, connection = transaction.instance, transaction.connection
        transaction.instance = transaction.connection = None
        if instance is None or connection is None:
            return
        with trio.CancelScope(shield=True):
            if connection.reusable_after_rollback:
                rollback = InstanceStatement(INTERNAL_STATEMENT_ID, Rollback())
                limit = trio.current_time() + ROLLBACK_TIMEOUT_S
                try:
                    await self._run(instance, connection, [rollback], limit)
                    connection.in_transaction = False
                except ConnectionLostError as error:
                    # The pool closes the connection, which also rolls back.
                    self._services.log.failure(
                        "rollback_lost", instance=instance.registration.id, error=str(error)
                    )
            await instance.pool.release(connection)

    # Where statements run

    def _bound(
        self, caller: AuthorisedCaller, group: Group, received_boottime_s: float
    ) -> EntryId | None:
        """Return the entry that a replica must have for a read; raises LookupError if unknown."""
        staleness_s = caller.route.max_staleness_s
        if staleness_s is None:
            raise LookupError("the route accepts no stale data")
        found = group.samples.oldest_since(received_boottime_s - staleness_s + STALENESS_MARGIN_S)
        if found is None:
            raise LookupError("no recent position of the primary is known")
        if caller.route.kind is not RouteKind.READ_YOUR_WRITES or self._written is None:
            return found
        return max(found, self._written) if self._written_group == group.name else found

    def _leader(self, group: Group) -> Instance | None:
        """Return the primary if this VM may use it now."""
        leader = group.primary
        if leader is None or not self._services.confirmed_state.primaries_confirmed:
            return None
        leaving_since = leader.leaving_since
        if leaving_since is not None:
            limit_s = self._services.confirmed_state.limits.leaving_s
            if boottime_s() - leaving_since > limit_s:
                return None
        return leader if leader.unreachable_since is None else None

    async def _place(
        self, caller: AuthorisedCaller, at_primary: bool, attempt: Attempts
    ) -> _Placed:
        """Return a connection for a statement; raises RefusedError."""
        directory = self._services.directory
        while True:
            group = directory.group(caller.route.group)
            instance, after = self._choose(caller, group, at_primary, attempt)
            if instance is None:
                await self._wait_for_change(group, attempt)
                continue
            try:
                connection = await instance.pool.acquire(
                    caller.organisation_name, attempt.urgency, attempt.wait_deadline
                )
            except OverloadedError as error:
                raise RefusedError(FailureCode.OVERLOADED, str(error)) from error
            except TooManyConnectionsError as error:
                self._services.log.failure(
                    "connection_limit", instance=instance.registration.id, error=str(error)
                )
                if not attempt.start_next(None if at_primary else instance.registration.id):
                    raise RefusedError(FailureCode.OVERLOADED, str(error)) from error
                await trio.sleep(RETRY_PAUSE_S)
                continue
            except (ConnectionLostError, InstanceRefusedError) as error:
                self._recorder.record_unreachable(instance, error)
                if not attempt.start_next(instance.registration.id):
                    raise RefusedError(FailureCode.OVERLOADED, str(error)) from error
                continue
            if at_primary and self._leader(group) is not instance:
                # The primary changed while the request waited for the connection.
                await instance.pool.release(connection)
                continue
            return _Placed(instance, connection, after)

    def _choose(
        self, caller: AuthorisedCaller, group: Group, at_primary: bool, attempt: Attempts
    ) -> tuple[Instance | None, EntryId | None]:
        """Return the instance for a statement and the entry that it must have."""
        leader = self._leader(group)
        if at_primary or caller.route.kind is RouteKind.PRIMARY:
            return leader, None
        try:
            after = self._bound(caller, group, attempt.received_boottime_s)
        except LookupError:
            return leader, None
        able = [
            each
            for each in group.instances.values()
            if each is leader
            or (not each.leaving and each.unreachable_since is None and each is not group.primary)
        ]
        directory = self._services.directory
        candidates = [directory.candidate(group, each, caller.organisation_name) for each in able]
        chosen = choose_candidate(candidates, after, boottime_s(), attempt.tried_instances)
        if chosen is None:
            return leader, None
        instance = group.instances[chosen.id]
        return instance, None if instance is leader else after

    async def _wait_for_change(self, group: Group, attempt: Attempts) -> None:
        """Wait for a primary; raises RefusedError if none appears in time."""
        with trio.move_on_at(attempt.wait_deadline):
            await group.changed.wait()
            return
        raise RefusedError(FailureCode.OVERLOADED, "the group has no primary at the moment")

    # Sending

    async def _send(
        self,
        query: Query,
        connection: PooledConnection,
        instance: Instance,
        after: EntryId | None,
        deadline: float,
    ) -> Reply:
        """Run a caller's statement; raises ConnectionLostError."""
        match query.statement:
            case Execute() as own:
                statement = InstanceStatement(query.id, own, after)
            case _:
                statement = InstanceStatement(query.id, Verbatim(query.text), after)
        statements = connection.session_statements(self._values, self._prepared, statement)
        replies = await self._run(instance, connection, statements, deadline)
        return replies[-1]

    async def _run(
        self,
        instance: Instance,
        connection: PooledConnection,
        statements: list[InstanceStatement],
        deadline: float,
    ) -> list[Reply]:
        """Run statements and record what the answers tell; raises ConnectionLostError."""
        group = self._services.directory.group(instance.registration.group)
        is_leader = self._leader(group) is instance
        asked_at, started = boottime_s(), trio.current_time()
        with trio.move_on_at(deadline) as scope:
            replies = await connection.run(statements)
        if scope.cancelled_caught:
            raise ConnectionLostError("the instance did not answer in time")
        last = replies[-1]
        own = statements[-1].id == INTERNAL_STATEMENT_ID
        instance.record_reply(last, None if own else trio.current_time() - started)
        if is_leader and last.reached is not None and group.primary is instance:
            group.samples.add(asked_at, last.reached)
        return replies

    def _note_written(self, group: str, reached: EntryId | None) -> None:
        self._written = reached
        self._written_group = group
