"""A caller's session: its values, prepared statements and transaction, and their execution."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import trio

from .attempts import Attempts, urgency_of
from .confirmed_state import ConfirmedState
from .decision_log import DecisionLog
from .entry_id import EntryId
from .errors import ConnectionLostError, OverloadedError, TooManyConnectionsError
from .front_metrics import FrontMetrics
from .instance_directory import Group, Instance, InstanceDirectory
from .instance_load import ReadingFault, even_load_enabled
from .instance_pool import (
    INTERNAL_STATEMENT_ID,
    InstanceRefusedError,
    InstanceStatement,
    InstanceWithdrawnError,
    PooledConnection,
    slot_request,
)
from .own_writes import OwnWrites
from .placement import Candidate, assess_candidates, choose_candidate, choose_evenly
from .primary_use import expected_wait_s, primary_obstacle
from .primary_writes import PrimaryWrite
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
    Route,
    RouteKind,
    SetValue,
    TransactionState,
    Urgency,
    Verbatim,
    Write,
    boottime_s,
)
from .session_record import AuthorisedCaller, RefusedError, SessionRecorder
from .statement_placement import read_candidates, required_entry

__all__ = ["CallerSession", "SessionServices"]

# An instance at its connection limit frees a connection when a statement ends, after about this
# time.
RETRY_PAUSE_S = 0.01
# A rollback takes no slot, so a longer silence means that the connection is lost.
ROLLBACK_TIMEOUT_S = 0.5


class SessionServices(NamedTuple):
    """Services that the sessions of one VM share."""

    confirmed_state: ConfirmedState
    directory: InstanceDirectory
    rates: RateShares
    log: DecisionLog
    metrics: FrontMetrics
    # Whether the callers compete for the instances' slots.
    urgency_order: bool = False
    rng: random.Random = random.Random()


@dataclass(slots=True)
class _Transaction:
    """An open transaction; its first statement assigns an instance and a connection to it."""

    read_only: bool
    caller: AuthorisedCaller
    instance: Instance | None = None
    connection: PooledConnection | None = None
    wrote: bool = False
    failed: bool = False


class _Placement(NamedTuple):
    """A connection to an instance and the log entry that the instance must have applied."""

    instance: Instance
    connection: PooledConnection
    after: EntryId | None


class CallerSession:
    """One caller's session, from its connection to its end."""

    def __init__(
        self,
        services: SessionServices,
        connect: Connect,
        caller_left: Callable[[], bool] = lambda: False,
    ) -> None:
        self._services = services
        self._connect = connect
        self._caller_left = caller_left
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[bool, str]] = {}
        self._transaction: _Transaction | None = None
        self._own_writes = OwnWrites()
        self._recorder = SessionRecorder(
            services.confirmed_state, services.log, services.metrics, connect
        )
        self._authorise()

    @property
    def state(self) -> TransactionState:
        """Return the transaction's state, as reported to the caller."""
        if self._transaction is None:
            return TransactionState.IDLE
        return TransactionState.FAILED if self._transaction.failed else TransactionState.OPEN

    @property
    def idle_limit_s(self) -> float | None:
        """Return the longest allowed pause before the next statement, None without a limit."""
        if self._transaction is None:
            return None
        limit_s = self._transaction.caller.configuration.transaction_idle_s
        instance = self._transaction.instance
        if instance is None or instance.evacuation is None:
            return limit_s
        return min(limit_s, max(0.0, instance.evacuation.transactions_until - boottime_s()))

    async def execute(self, query: Query) -> Reply:
        """Run one statement and return its reply; failures and refusals are replies too."""
        try:
            reply = await self._dispatch(query)
        except RefusedError as error:
            reply = self._recorder.record_refusal(query, error)
        except Exception as error:  # an internal error must not leave the caller unanswered
            self._recorder.record_failure(query, error)
            # The statement may have been sent, so its outcome is unknown.
            refusal = RefusedError(FailureCode.IN_DOUBT, "internal error")
            reply = self._recorder.record_refusal(query, refusal)
        if self._transaction is not None and reply.failure is not None:
            await self._fail_transaction()
        return reply._replace(state=self.state)

    async def expire_transaction(self) -> None:
        """Roll back a transaction that was idle for longer than `idle_limit_s`."""
        self._services.log.decision(
            "transaction_expired", database=self._connect.database, limit_s=self.idle_limit_s
        )
        await self._fail_transaction()

    async def close(self) -> None:
        """End the session and roll back its open transaction."""
        await self._fail_transaction()
        self._transaction = None

    # Authorisation and admission

    def _authorise(self) -> AuthorisedCaller:
        """Check the caller's key and route in the configuration in force; raises RefusedError."""
        confirmed_state = self._services.confirmed_state
        configuration = confirmed_state.configuration
        if configuration is None:
            raise RefusedError(
                FailureCode.OVERLOADED, "this VM has not received a configuration yet"
            )
        route = configuration.routes.get(self._connect.database)
        if route is None:
            raise RefusedError(
                FailureCode.UNKNOWN_DATABASE, "no route is configured for this database name"
            )
        if self._is_too_late(route):
            raise RefusedError(FailureCode.OVERLOADED, "this VM is stopping")
        if route.anonymous:
            return AuthorisedCaller(configuration, route, None)
        if not confirmed_state.keys_confirmed:
            raise RefusedError(
                FailureCode.OVERLOADED, "this VM cannot confirm that its API keys are current"
            )
        name = configuration.organisation_of_key.get(self._connect.key)
        if name is None:
            raise RefusedError(FailureCode.DENIED, "the API key is unknown or was revoked")
        return AuthorisedCaller(configuration, route, configuration.organisations[name])

    def _is_too_late(self, route: Route) -> bool:
        """Return whether this VM may stop before a statement that begins now has ended."""
        shutdown = self._services.confirmed_state.shutdown
        return shutdown is not None and not shutdown.accepts(
            trio.current_time(), route.statement_timeout_s
        )

    async def _admit(self, caller: AuthorisedCaller) -> None:
        """Acquire a token of the organisation's token bucket; raises RefusedError."""
        if caller.organisation is None:
            return
        if not self._services.confirmed_state.lease_valid:
            raise RefusedError(
                FailureCode.OVERLOADED, "this VM has no valid lease, so it has no rate share"
            )
        if not await self._services.rates.try_acquire(caller.organisation.name):
            raise RefusedError(
                FailureCode.OVERLOADED,
                "the organisation's rate limit is exceeded",
                **caller.organisation._asdict(),
                holders=self._services.rates.lenders(caller.organisation.name),
            )

    # Statements

    async def _dispatch(self, query: Query) -> Reply:
        transaction = self._transaction
        if transaction is not None and transaction.failed:
            return await self._execute_in_failed_transaction(query)
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
            return await self._execute_in_transaction(query, transaction)
        return await self._execute_single(query)

    async def _execute_in_failed_transaction(self, query: Query) -> Reply:
        match query.statement:
            case Rollback():
                self._transaction = None
                return Reply()
            case Commit():
                self._transaction = None
                raise RefusedError(FailureCode.ABORTED, "the transaction was rolled back")
        raise RefusedError(
            FailureCode.MALFORMED, "the transaction has failed; only COMMIT or ROLLBACK is possible"
        )

    def _writes(self, query: Query) -> bool:
        match query.statement:
            case Write():
                return True
            case Execute(name, _):
                return self._prepared[name][0]
        return False

    async def _begin(self, read_only: bool) -> Reply:
        if self._transaction is not None:
            raise RefusedError(FailureCode.MALFORMED, "a transaction is already open")
        caller = self._authorise()
        await self._admit(caller)
        self._transaction = _Transaction(read_only, caller)
        return Reply()

    async def _execute_single(self, query: Query) -> Reply:
        """Run a statement outside a transaction, retrying it where that is safe."""
        caller = self._authorise()
        await self._admit(caller)
        writes = self._writes(query)
        attempts = Attempts(caller.route, query.received_at)
        while True:
            try:
                statement = self._instance_statement(
                    query, attempts.statement_urgency(writes=writes)
                )
                placement = await self._acquire_connection(caller, writes, attempts, statement)
            except RefusedError:
                if caller.organisation is not None and not attempts.sent:
                    self._services.rates.refund(caller.organisation.name)
                raise
            reply = await self._attempt_single(query, caller, writes, placement, attempts)
            if reply is not None:
                return reply

    async def _attempt_single(
        self,
        query: Query,
        caller: AuthorisedCaller,
        writes: bool,
        placement: _Placement,
        attempts: Attempts,
    ) -> Reply | None:
        """Run a statement on a connection; return None if it may be retried."""
        instance, connection, after = placement
        attempts.sent = True
        group = self._services.directory.group(caller.route.group)
        write = group.writes.begin() if writes else None
        try:
            if writes:
                self._require_caller(FailureCode.OVERLOADED)
            deadline = attempts.deadline if writes else attempts.read_attempt_deadline()
            _require_time(deadline, FailureCode.TIMEOUT)
            statement = self._instance_statement(query, attempts.statement_urgency(writes=writes))
            reply = await self._send(
                statement._replace(after=after), connection, instance, deadline
            )
        except OverloadedError as error:
            if not writes and attempts.start_next(instance.registration.id):
                return None
            raise RefusedError(FailureCode.OVERLOADED, str(error)) from error
        except ConnectionLostError as error:
            self._recorder.record_lost_answer(query, instance, error)
            if not writes and attempts.start_next(instance.registration.id):
                return None
            if trio.current_time() >= attempts.deadline:
                raise RefusedError(FailureCode.TIMEOUT, str(error)) from error
            code = FailureCode.IN_DOUBT if writes else FailureCode.FAILED
            raise RefusedError(code, str(error)) from error
        finally:
            if write is not None:
                group.writes.end(write)
            await instance.pool.release(connection)
        if reply.failure is None:
            if write is not None:
                self._require_valid_write(query, instance, write)
                self._own_writes.record(caller.route.group, reply.reached)
            self._recorder.record_served(query, caller, instance, reply)
            return reply
        if reply.failure.code in NOT_EXECUTED_CODES:
            self._recorder.record_not_run(query, instance, reply.failure)
            if _is_refused_by_home(reply):
                attempts.overloaded_instances.add(instance.registration.id)
            if writes and reply.failure.code is FailureCode.OVERLOADED:
                # Only the primary can execute it; retries would add to its load.
                return reply
            if attempts.start_next(None if writes else instance.registration.id):
                return None
            return reply
        failed_read = reply.failure.code is FailureCode.FAILED and not writes
        if failed_read and attempts.start_next(instance.registration.id):
            return None
        return reply

    async def _execute_in_transaction(self, query: Query, transaction: _Transaction) -> Reply:
        transaction.wrote = transaction.wrote or self._writes(query)
        # If the connection is lost, the instance rolls back, because nothing was committed.
        reply, instance, _ = await self._run_in_transaction(query, transaction, FailureCode.ABORTED)
        if reply.failure is None:
            self._recorder.record_served(query, transaction.caller, instance, reply)
        return reply

    async def _run_in_transaction(
        self, query: Query, transaction: _Transaction, code_if_lost: FailureCode
    ) -> tuple[Reply, Instance, PooledConnection]:
        """Run a statement on the transaction's connection; raises RefusedError.

        `code_if_lost` is the code of the refusal if the connection is lost before the reply.
        """
        if transaction.connection is None:
            await self._begin_at_instance(query, transaction)
        instance, connection = transaction.instance, transaction.connection
        assert instance is not None and connection is not None
        self._check_transaction(transaction)
        urgency = urgency_of(transaction.caller.route, query.received_at, in_transaction=True)
        group = self._services.directory.group(transaction.caller.route.group)
        commits = transaction.wrote and isinstance(query.statement, Commit)
        write = group.writes.begin() if commits else None
        try:
            if commits:
                self._require_caller(FailureCode.ABORTED)
            _require_time(urgency.deadline, FailureCode.ABORTED)
            reply = await self._send(
                self._instance_statement(query, urgency), connection, instance, urgency.deadline
            )
        except OverloadedError as error:
            raise RefusedError(FailureCode.ABORTED, str(error)) from error
        except ConnectionLostError as error:
            self._recorder.record_lost_answer(query, instance, error)
            raise RefusedError(code_if_lost, str(error)) from error
        finally:
            if write is not None:
                group.writes.end(write)
        if write is not None and reply.failure is None:
            self._require_valid_write(query, instance, write)
        return reply, instance, connection

    def _require_caller(self, code: FailureCode) -> None:
        """Raise RefusedError with a code before a write is sent whose caller has left.

        It may have waited in a VM that was frozen, and its caller may have written again elsewhere.
        """
        if self._caller_left():
            raise RefusedError(code, "the caller left before its write was sent")

    def _require_valid_write(self, query: Query, instance: Instance, write: PrimaryWrite) -> None:
        """Raise RefusedError if a write may have succeeded after another instance was promoted."""
        valid = (
            self._services.confirmed_state.excludes_promotion and boottime_s() < write.valid_until
        )
        if write.sent_before_failover or not valid:
            self._recorder.record_late_write(query, instance, valid=valid)
        if not valid:
            raise RefusedError(
                FailureCode.IN_DOUBT,
                "the primary may have been replaced before it executed the write",
            )

    def _check_transaction(self, transaction: _Transaction) -> None:
        """Raise RefusedError if the transaction may not continue."""
        caller = self._authorise()
        if caller.organisation_name != transaction.caller.organisation_name:
            raise RefusedError(
                FailureCode.ABORTED, "the API key now belongs to another organisation"
            )
        instance = transaction.instance
        if (
            instance is not None
            and instance.evacuation is not None
            and instance.evacuation.transactions_ended(boottime_s())
        ):
            raise RefusedError(
                FailureCode.ABORTED, "the transaction's instance was taken out of service"
            )
        if transaction.read_only and not transaction.wrote:
            return
        group = self._services.directory.group(transaction.caller.route.group)
        if self._usable_primary(group) is not transaction.instance:
            # A commit acknowledged by a primary that is being replaced might be lost.
            raise RefusedError(
                FailureCode.ABORTED,
                "the transaction's instance is no longer a primary that this VM may use",
            )

    async def _begin_at_instance(self, query: Query, transaction: _Transaction) -> None:
        """Choose an instance and begin the transaction there; raises RefusedError."""
        caller = transaction.caller
        attempts = Attempts(caller.route, query.received_at)
        while True:
            begin = InstanceStatement(
                INTERNAL_STATEMENT_ID,
                Begin(transaction.read_only),
                urgency=attempts.statement_urgency(writes=not transaction.read_only),
            )
            placement = await self._acquire_connection(
                caller, not transaction.read_only, attempts, begin
            )
            instance, connection, after = placement
            connection.in_transaction = True
            begin = begin._replace(after=after)
            statements = [*connection.value_statements(self._values), begin]
            failure: Failure | None
            try:
                replies = await self._run(instance, connection, statements, attempts.deadline)
                failure = replies[-1].failure
                if _is_refused_by_home(replies[-1]):
                    attempts.overloaded_instances.add(instance.registration.id)
            except OverloadedError as error:
                failure = Failure(FailureCode.OVERLOADED, str(error))
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
            if not attempts.start_next(
                None if not transaction.read_only else instance.registration.id
            ):
                raise RefusedError(
                    FailureCode.ABORTED, f"cannot begin the transaction: {failure.text}"
                )

    async def _commit(self, query: Query, transaction: _Transaction) -> Reply:
        code_if_lost = FailureCode.IN_DOUBT if transaction.wrote else FailureCode.ABORTED
        reply, instance, connection = await self._run_in_transaction(
            query, transaction, code_if_lost
        )
        if reply.failure is not None:
            return reply
        self._transaction = None
        connection.in_transaction = False
        await instance.pool.release(connection)
        if transaction.wrote:
            self._own_writes.record(transaction.caller.route.group, reply.reached)
        self._recorder.record_served(query, transaction.caller, instance, reply)
        return reply

    async def _fail_transaction(self) -> None:
        """Roll back the open transaction and release its connection."""
        transaction = self._transaction
        if transaction is None:
            return
        transaction.failed = True
        instance, connection = transaction.instance, transaction.connection
        transaction.instance = transaction.connection = None
        if instance is None or connection is None:
            return
        with trio.CancelScope(shield=True):
            # The instance rolls back by itself when the pool closes the connection.
            out_of_service = instance.evacuation is not None and (
                instance.evacuation.primary_ended(boottime_s())
            )
            if connection.reusable_after_rollback and not out_of_service:
                rollback = InstanceStatement(INTERNAL_STATEMENT_ID, Rollback())
                deadline = trio.current_time() + ROLLBACK_TIMEOUT_S
                try:
                    await self._run(instance, connection, [rollback], deadline)
                    connection.in_transaction = False
                except ConnectionLostError as error:
                    # The pool closes the connection, and the instance then rolls back.
                    self._services.log.failure(
                        "rollback_lost", instance=instance.registration.id, error=str(error)
                    )
            await instance.pool.release(connection)

    # Choice of the instance

    def _required_entry(
        self, caller: AuthorisedCaller, group: Group, received_boottime_s: float
    ) -> EntryId:
        """Return the entry that a replica must have applied for a read.

        Raises LookupError if the read has to go to the primary.
        """
        session_entry = None
        if caller.route.kind is RouteKind.READ_YOUR_WRITES:
            session_entry = self._own_writes.required_entry(group.name)
        return required_entry(caller.route, group, received_boottime_s, session_entry)

    def _usable_primary(self, group: Group) -> Instance | None:
        """Return the group's primary, None if there is none that this VM may use now."""
        obstacle = primary_obstacle(group, self._services.confirmed_state, boottime_s())
        return group.primary if obstacle is None else None

    async def _acquire_connection(
        self,
        caller: AuthorisedCaller,
        at_primary: bool,
        attempts: Attempts,
        statement: InstanceStatement,
    ) -> _Placement:
        """Choose an instance and acquire a connection for a statement; raises RefusedError."""
        directory = self._services.directory
        while True:
            group = directory.group(caller.route.group)
            instance, after = self._choose(caller, group, at_primary, attempts)
            if instance is None:
                await self._wait_for_change(group, attempts)
                continue
            if instance.registration.id in attempts.overloaded_instances:
                raise RefusedError(
                    FailureCode.OVERLOADED, "every instance that may execute it is overloaded"
                )
            try:
                connection = await instance.pool.acquire(
                    caller.organisation_name,
                    attempts.urgency,
                    attempts.wait_deadline,
                    slot_request(caller.organisation_name, statement),
                )
            except InstanceWithdrawnError:
                continue
            except OverloadedError as error:
                raise RefusedError(FailureCode.OVERLOADED, str(error)) from error
            except TooManyConnectionsError as error:
                self._services.log.failure(
                    "connection_limit", instance=instance.registration.id, error=str(error)
                )
                if not attempts.start_next(None if at_primary else instance.registration.id):
                    raise RefusedError(FailureCode.OVERLOADED, str(error)) from error
                await trio.sleep(RETRY_PAUSE_S)
                continue
            except (ConnectionLostError, InstanceRefusedError) as error:
                self._recorder.record_unreachable(instance, error)
                if not attempts.start_next(instance.registration.id):
                    raise RefusedError(FailureCode.OVERLOADED, str(error)) from error
                continue
            withdrawn = instance.evacuation is not None or at_primary
            if withdrawn and self._usable_primary(group) is not instance:
                # The primary changed, or the instance was taken out of service, while the statement
                # waited for the connection.
                await instance.pool.release(connection)
                continue
            return _Placement(instance, connection, after)

    def _choose(
        self, caller: AuthorisedCaller, group: Group, at_primary: bool, attempts: Attempts
    ) -> tuple[Instance | None, EntryId | None]:
        """Return the instance for a statement, if any, and the entry that it must have applied."""
        primary = self._usable_primary(group)
        if at_primary or caller.route.kind is RouteKind.PRIMARY:
            return primary, None
        try:
            after = self._required_entry(caller, group, attempts.received_boottime_s)
        except LookupError:
            return primary, None
        directory = self._services.directory
        even_load = even_load_enabled(
            caller.configuration,
            urgency_order=self._services.urgency_order,
            relayed=directory.relayed,
        )
        candidates = read_candidates(
            directory, group, primary, caller.organisation_name, with_load=even_load
        )
        if even_load:
            chosen = self._choose_evenly(candidates, after, attempts)
        else:
            chosen = choose_candidate(candidates, after, boottime_s(), attempts.tried_instances)
        if chosen is None:
            return primary, None
        instance = group.instances[chosen.id]
        return instance, None if instance is primary else after

    def _choose_evenly(
        self, candidates: list[Candidate], after: EntryId | None, attempts: Attempts
    ) -> Candidate | None:
        """Choose by the load that homes report, and count the reason."""
        assessments = assess_candidates(candidates, after, boottime_s(), attempts.tried_instances)
        chosen = choose_evenly(assessments, self._services.rng)
        if chosen is None:
            return None
        self._services.metrics.count(
            "reads_placed", instance=chosen.candidate.id, reason=chosen.reason.value
        )
        return chosen.candidate

    async def _wait_for_change(self, group: Group, attempts: Attempts) -> None:
        """Wait for a change of the group; raises RefusedError at the wait deadline.

        A statement that is not expected to be executed before its deadline is refused at once.
        """
        limits = self._services.confirmed_state.limits
        expected_s = expected_wait_s(group, limits, boottime_s())
        if trio.current_time() + expected_s < attempts.deadline:
            with trio.move_on_at(attempts.wait_deadline):
                await group.changed.wait()
                return
        obstacle = primary_obstacle(group, self._services.confirmed_state, boottime_s())
        raise RefusedError(
            FailureCode.OVERLOADED,
            "the group has no primary that this VM can use at the moment",
            group=group.name,
            primary=group.primary.registration.id if group.primary else None,
            obstacle=obstacle.value if obstacle else None,
            expected_wait_s=round(expected_s, 3),
        )

    # Execution

    @staticmethod
    def _instance_statement(query: Query, urgency: Urgency) -> InstanceStatement:
        match query.statement:
            case Execute() as execute:
                return InstanceStatement(query.id, execute, urgency=urgency)
        return InstanceStatement(query.id, Verbatim(query.text), urgency=urgency)

    async def _send(
        self,
        statement: InstanceStatement,
        connection: PooledConnection,
        instance: Instance,
        deadline: float,
    ) -> Reply:
        """Run a caller's statement after those that set up the session; see `_run` for errors."""
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
        """Run statements, and record the instance's response time and position.

        Raises ConnectionLostError, or OverloadedError if none of the statements was sent.
        """
        group = self._services.directory.group(instance.registration.group)
        is_primary = self._usable_primary(group) is instance
        requested_at, started_at = boottime_s(), trio.current_time()
        instance.known_load.record_sent()
        try:
            with trio.move_on_at(deadline) as scope:
                replies = await connection.run(statements)
            if scope.cancelled_caught:
                raise ConnectionLostError("the instance did not answer in time")
        except ConnectionLostError:
            instance.known_load.record_failed(boottime_s())
            raise
        last_reply = replies[-1]
        is_internal = statements[-1].id == INTERNAL_STATEMENT_ID
        response_s = None if is_internal else trio.current_time() - started_at
        self._record_load(instance, last_reply, response_s)
        if instance.record_reply(last_reply, response_s):
            group.notify()
        if is_primary and last_reply.reached is not None and group.primary is instance:
            group.samples.add(requested_at, last_reply.reached)
        return replies

    def _record_load(self, instance: Instance, reply: Reply, response_s: float | None) -> None:
        """Record what a reply tells about the load of an instance."""
        fault = instance.known_load.record_reply(
            reply, response_s, instance.registration.slots, boottime_s()
        )
        if fault is not None:
            self._services.metrics.count("load_readings_dropped", reason=fault.value)
        if fault is ReadingFault.IMPLAUSIBLE:
            self._services.log.failure(
                "load_reading_dropped", instance=instance.registration.id, load=reply.load
            )


def _require_time(deadline: float, code: FailureCode) -> None:
    """Raise RefusedError with a code if a statement's deadline has passed before it is sent.

    A cancel scope whose deadline has passed lets the first bytes through.
    """
    if trio.current_time() >= deadline:
        raise RefusedError(code, "the deadline passed before the statement was sent")


def _is_refused_by_home(reply: Reply) -> bool:
    """Return whether the queue of an instance's home refused a statement, not the instance itself.

    Only the instance knows a position of its log.
    """
    failure = reply.failure
    return failure is not None and failure.code is FailureCode.OVERLOADED and reply.reached is None
