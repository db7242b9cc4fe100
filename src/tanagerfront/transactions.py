"""Interactive transactions of the HTTP interface at the entry VM.

Each transaction is bound to one caller's connection and one home.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import NamedTuple

import structlog
import trio

from .authentication import Caller
from .configuration import RequestClass
from .entry_id import EntryId
from .errors import (
    BadRequestError,
    ConnectionLostError,
    DatabaseError,
    KeyRequiredError,
    RateLimitedError,
    SqlError,
    TanagerfrontError,
    TransactionError,
    UnavailableError,
)
from .home_calls import HomeClient, HomeDirectory, HomeVm
from .home_choice import HomeSelector
from .messages import TransactionReply, TransactionRequest, WireStatement

__all__ = ["EntryTransactions", "Transaction", "TransactionLimits"]

SWEEP_INTERVAL_S = 0.25
ROLLBACK_TIMEOUT_S = 1.0
MAX_BEGIN_ATTEMPTS = 3
KEY_REVOKED_REASON = "its API key is no longer valid"
_log = structlog.get_logger()


class TransactionLimits(NamedTuple):
    """Limits on a transaction's duration and on the pause between its steps, in seconds.

    An open transaction occupies one of its instance's two or three slots.
    """

    total_limit_s: float = 30.0
    idle_limit_s: float = 5.0


class StepOptions(NamedTuple):
    """Timeout and remaining rate token lifetime of one step, in seconds."""

    timeout_s: float
    token_lifetime_s: float | None = None


class Transaction:
    """One transaction; one task calls its steps, another may call `abort`."""

    def __init__(
        self,
        home_client: HomeClient,
        home: HomeVm,
        caller: Caller,
        group: str,
        session: EntryId,
        on_end: Callable[[Transaction], None],
    ) -> None:
        self._home_client = home_client
        self._home = home
        self._caller = caller
        self._group = group
        self._session = session
        self._on_end = on_end
        self._id = uuid.uuid4().hex
        self._open = True
        self._end_reason = ""
        self._step_scope: trio.CancelScope | None = None
        self._committing = False
        self._started_at = trio.current_time()
        self._last_step_at = self._started_at

    @property
    def caller(self) -> Caller:
        """Return the caller that began the transaction."""
        return self._caller

    @property
    def group(self) -> str:
        """Return the name of the group of databases."""
        return self._group

    @property
    def is_open(self) -> bool:
        """Return whether further steps are possible."""
        return self._open

    def exceeded_limit(self, limits: TransactionLimits) -> str | None:
        """Return a description of the limit that the transaction has exceeded, if any."""
        now = trio.current_time()
        if now - self._started_at > limits.total_limit_s:
            return f"it took longer than {limits.total_limit_s:g} s"
        if self._step_scope is None and now - self._last_step_at > limits.idle_limit_s:
            return f"it was idle for more than {limits.idle_limit_s:g} s"
        return None

    def require_open(self) -> None:
        """Raise TransactionError, or KeyRequiredError after a key revocation, if it has ended."""
        if not self._open:
            raise self._ended_error()

    async def begin(self, options: StepOptions) -> None:
        """Open the transaction at its home; raises TanagerfrontError with executed `no`."""
        try:
            await self._run_step("begin", options, ())
        except (TransactionError, DatabaseError, ConnectionLostError) as error:
            raise UnavailableError(error.message) from error

    async def execute(
        self, statements: tuple[WireStatement, ...], options: StepOptions
    ) -> TransactionReply:
        """Run statements; a failure rolls back, except a rejected rate token or request."""
        return await self._run_step("execute", options, statements)

    async def commit(self, options: StepOptions) -> TransactionReply:
        """Commit; the transaction has ended afterwards, whatever the outcome."""
        self.require_open()
        self._committing = True
        try:
            reply = await self._call("commit", options, ())
        except BaseException:
            await self._end_and_roll_back("its commit failed")
            raise
        self._end("it was committed")
        return reply

    async def rollback(self) -> None:
        """Roll back; if the home is unreachable, it does so itself at its limits."""
        if self._open:
            await self._end_and_roll_back("it was rolled back")

    async def abort(self, reason: str) -> None:
        """Roll back from another task, interrupting a step in progress except a commit."""
        if not self._open or self._committing:
            return
        self._end_reason = reason
        if self._step_scope is not None:
            self._step_scope.cancel()
        else:
            await self._end_and_roll_back(reason)

    async def _run_step(
        self, action: str, options: StepOptions, statements: tuple[WireStatement, ...]
    ) -> TransactionReply:
        self.require_open()
        try:
            with trio.CancelScope() as self._step_scope:
                return await self._call(action, options, statements)
        except (RateLimitedError, BadRequestError) as error:
            if error.executed == "no" and action == "execute":
                raise
            await self._end_and_roll_back(error.message)
            raise _step_error(error) from error
        except TanagerfrontError as error:
            # If the begin step did not run, the home has nothing to roll back.
            never_begun = action == "begin" and error.executed == "no"
            await self._end_and_roll_back(error.message, notify=not never_begun)
            raise _step_error(error) from error
        except BaseException:
            await self._end_and_roll_back("its connection ended")
            raise
        finally:
            self._step_scope = None
            self._last_step_at = trio.current_time()
        await self._end_and_roll_back(self._end_reason)
        raise self._ended_error()

    async def _call(
        self, action: str, options: StepOptions, statements: tuple[WireStatement, ...]
    ) -> TransactionReply:
        request = TransactionRequest(
            transaction=self._id,
            action=action,
            group=self._group,
            organisation=self._caller.organisation.name,
            request_class=RequestClass.STANDARD,
            timeout_s=options.timeout_s,
            session=self._session,
            statements=statements,
            key_digest=self._caller.key_digest,
            token_lifetime_s=options.token_lifetime_s,
        )
        reply = await self._home_client.transact(self._home, request)
        self._session = max(self._session, reply.reached)
        return reply

    async def _end_and_roll_back(self, reason: str, *, notify: bool = True) -> None:
        """End the transaction, then send a rollback to the home, even while cancelled."""
        self._end(reason)
        if not notify:
            return
        with trio.move_on_after(ROLLBACK_TIMEOUT_S, shield=True):
            try:
                await self._call("rollback", StepOptions(ROLLBACK_TIMEOUT_S), ())
            except TanagerfrontError as error:
                _log.info("rollback_not_confirmed", reason=error.message)
            except Exception:
                # An exception here, while a connection closes, would stop the server.
                _log.exception("rollback_failed")

    def _end(self, reason: str) -> None:
        self._end_reason = self._end_reason or reason
        if self._open:
            self._open = False
            self._on_end(self)

    def _ended_error(self) -> TanagerfrontError:
        message = f"the transaction is not open: {self._end_reason}"
        if self._end_reason == KEY_REVOKED_REASON:
            return KeyRequiredError(message)
        return TransactionError(message)


def _step_error(error: TanagerfrontError) -> TanagerfrontError:
    """Return the caller's error for a failed step; without a commit, no statement has effect."""
    message = f"{error.message}; the transaction was rolled back"
    if isinstance(error, SqlError):
        return SqlError(message, code=error.code, index=error.index)
    if error.executed == "no" and not isinstance(error, DatabaseError):
        return type(error)(message, retry_after_s=error.retry_after_s)
    return TransactionError(message, executed="no")


class EntryTransactions:
    """The open transactions of the callers connected to this VM."""

    def __init__(
        self,
        directory: HomeDirectory,
        home_client: HomeClient,
        home_selector: HomeSelector,
        key_is_valid: Callable[[str], bool],
        limits: TransactionLimits | None = None,
    ) -> None:
        self._directory = directory
        self._home_client = home_client
        self._home_selector = home_selector
        self._key_is_valid = key_is_valid
        self._limits = limits or TransactionLimits()
        self._open: set[Transaction] = set()

    @property
    def open_count(self) -> int:
        """Return the number of open transactions."""
        return len(self._open)

    async def begin(
        self, caller: Caller, group: str, session: EntryId, options: StepOptions
    ) -> Transaction:
        """Begin at a home of the group; raises TanagerfrontError with executed `no`."""
        deadline = trio.current_time() + options.timeout_s
        failed_vms: set[str] = set()
        while True:
            homes = self._directory.homes(group)
            if not homes:
                raise UnavailableError(f"group {group} has no home at present")
            home = self._home_selector.select(homes, failed_vms)
            step_options = options._replace(timeout_s=deadline - trio.current_time())
            transaction = Transaction(
                self._home_client, home, caller, group, session, self._open.discard
            )
            self._open.add(transaction)
            try:
                with self._home_selector.measure_call(home.vm):
                    await transaction.begin(step_options)
            except UnavailableError:
                failed_vms.add(home.vm)
                if len(failed_vms) >= min(MAX_BEGIN_ATTEMPTS, len(homes)):
                    raise
            else:
                return transaction

    async def run(self) -> None:
        """Roll back transactions that exceed a limit or whose API key was revoked."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            async with trio.open_nursery() as nursery:
                for transaction in list(self._open):
                    reason = self._abort_reason(transaction)
                    if reason is not None:
                        _log.info("transaction_expired", reason=reason)
                        nursery.start_soon(transaction.abort, reason)

    def _abort_reason(self, transaction: Transaction) -> str | None:
        if not self._key_is_valid(transaction.caller.key_digest):
            return KEY_REVOKED_REASON
        return transaction.exceeded_limit(self._limits)
