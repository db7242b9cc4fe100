"""Interactive transactions, each bound to one caller's connection and one home."""

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
KEY_REVOKED_REASON = "its key is no longer valid"
_log = structlog.get_logger()


class TransactionLimits(NamedTuple):
    """Longest duration of a transaction and longest pause between its steps, in seconds.

    An open transaction occupies a slot of its instance, of which there are two or three.
    """

    total_limit_s: float = 30.0
    idle_limit_s: float = 5.0


class StepOptions(NamedTuple):
    """Time and rate token of one step."""

    timeout_s: float
    token_lifetime_s: float | None = None


class Transaction:
    """One transaction; its steps are called by one task, `expire` by another."""

    def __init__(
        self,
        calls: HomeClient,
        home: HomeVm,
        caller: Caller,
        group: str,
        session: EntryId,
        on_end: Callable[[Transaction], None],
    ) -> None:
        self._calls = calls
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
        self._used_at = self._started_at

    @property
    def caller(self) -> Caller:
        """Return the caller that began the transaction."""
        return self._caller

    @property
    def group(self) -> str:
        """Return the group of databases."""
        return self._group

    @property
    def is_open(self) -> bool:
        """Tell whether further steps are possible."""
        return self._open

    def exceeded_limit(self, limits: TransactionLimits) -> str | None:
        """Return which limit the transaction has exceeded, if any."""
        now = trio.current_time()
        if now - self._started_at > limits.total_limit_s:
            return f"it took longer than {limits.total_limit_s:g} s"
        if self._step_scope is None and now - self._used_at > limits.idle_limit_s:
            return f"it was idle for more than {limits.idle_limit_s:g} s"
        return None

    def require_open(self) -> None:
        """Raise TransactionError, or KeyRequiredError after a revocation, if it has ended."""
        if not self._open:
            raise self._ended_error()

    async def begin(self, options: StepOptions) -> None:
        """Open the transaction at its home; raises TanagerfrontError with executed `no`."""
        try:
            await self._interruptible("begin", options, ())
        except (TransactionError, DatabaseError, ConnectionLostError) as error:
            raise UnavailableError(error.message) from error

    async def execute(
        self, statements: tuple[WireStatement, ...], options: StepOptions
    ) -> TransactionReply:
        """Run statements; a failure rolls back, except one that is a refusal in advance."""
        return await self._interruptible("execute", options, statements)

    async def commit(self, options: StepOptions) -> TransactionReply:
        """Commit; the transaction has ended afterwards, whatever the outcome."""
        self.require_open()
        self._committing = True
        try:
            reply = await self._call("commit", options, ())
        except BaseException:
            await self._roll_back("its commit failed")
            raise
        self._end("it was committed")
        return reply

    async def rollback(self) -> None:
        """Roll back; the home does so itself when it cannot be reached."""
        if self._open:
            await self._roll_back("it was rolled back")

    async def abort(self, reason: str) -> None:
        """Roll back from another task, interrupting a step in progress except a commit."""
        if not self._open or self._committing:
            return
        self._end_reason = reason
        if self._step_scope is not None:
            self._step_scope.cancel()
        else:
            await self._roll_back(reason)

    async def _interruptible(
        self, action: str, options: StepOptions, statements: tuple[WireStatement, ...]
    ) -> TransactionReply:
        self.require_open()
        try:
            with trio.CancelScope() as self._step_scope:
                return await self._call(action, options, statements)
        except (RateLimitedError, BadRequestError) as error:
            if error.executed == "no" and action == "execute":
                raise
            await self._roll_back(error.message)
            raise _ended(error) from error
        except TanagerfrontError as error:
            # A home that was not reached has nothing to roll back.
            unsent = action == "begin" and error.executed == "no"
            await self._roll_back(error.message, notify=not unsent)
            raise _ended(error) from error
        except BaseException:
            await self._roll_back("its connection ended")
            raise
        finally:
            self._step_scope = None
            self._used_at = trio.current_time()
        await self._roll_back(self._end_reason)
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
        reply = await self._calls.transact(self._home, request)
        self._session = max(self._session, reply.reached)
        return reply

    async def _roll_back(self, reason: str, *, notify: bool = True) -> None:
        """End the transaction here, then tell the home, even while the task is cancelled."""
        self._end(reason)
        if not notify:
            return
        with trio.move_on_after(ROLLBACK_TIMEOUT_S, shield=True):
            try:
                await self._call("rollback", StepOptions(ROLLBACK_TIMEOUT_S), ())
            except TanagerfrontError as error:
                _log.info("rollback_not_confirmed", reason=error.message)
            except Exception:
                # This also runs while a connection closes, where an error would end the server.
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


def _ended(error: TanagerfrontError) -> TanagerfrontError:
    """Return the error of a failed step; without a commit no statement has any effect."""
    message = f"{error.message}; the transaction was rolled back"
    if isinstance(error, SqlError):
        return SqlError(message, code=error.code, index=error.index)
    if error.executed == "no" and not isinstance(error, DatabaseError):
        return type(error)(message, retry_after_s=error.retry_after_s)
    return TransactionError(message, executed="no")


class EntryTransactions:
    """The open transactions of this VM's callers."""

    def __init__(
        self,
        directory: HomeDirectory,
        calls: HomeClient,
        choice: HomeSelector,
        key_is_valid: Callable[[str], bool],
        limits: TransactionLimits | None = None,
    ) -> None:
        self._directory = directory
        self._calls = calls
        self._choice = choice
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
        """Begin at one of the group's homes; raises TanagerfrontError with executed `no`."""
        deadline = trio.current_time() + options.timeout_s
        failed: set[str] = set()
        while True:
            homes = self._directory.homes(group)
            if not homes:
                raise UnavailableError(f"group {group} has no home at present")
            home = self._choice.select(homes, failed)
            left = options._replace(timeout_s=deadline - trio.current_time())
            transaction = Transaction(self._calls, home, caller, group, session, self._open.discard)
            self._open.add(transaction)
            try:
                with self._choice.measure_call(home.vm):
                    await transaction.begin(left)
            except UnavailableError:
                failed.add(home.vm)
                if len(failed) >= min(MAX_BEGIN_ATTEMPTS, len(homes)):
                    raise
            else:
                return transaction

    async def run(self) -> None:
        """Roll back transactions at their limits and those whose key was revoked."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            async with trio.open_nursery() as nursery:
                for transaction in list(self._open):
                    reason = self._reason_to_end(transaction)
                    if reason is not None:
                        _log.info("transaction_expired", reason=reason)
                        nursery.start_soon(transaction.abort, reason)

    def _reason_to_end(self, transaction: Transaction) -> str | None:
        if not self._key_is_valid(transaction.caller.key_digest):
            return KEY_REVOKED_REASON
        return transaction.exceeded_limit(self._limits)
