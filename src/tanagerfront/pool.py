"""Connection pool of the HTTP interface: one VM's sessions to one database instance."""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

import trio

from .databases import ExecuteResult, Statement
from .errors import (
    ConnectionLostError,
    DatabaseError,
    DeadlineExceededError,
    OverloadedError,
    TanagerfrontError,
    TooManyConnectionsError,
    UnavailableError,
)

__all__ = ["ConnectionPool", "PoolSettings", "PooledSession", "Session", "SessionFactory"]

CHECK_STATEMENTS = (Statement("SELECT 1"),)
# The instance either answers the check or rejects it for its outdated term, before the check needs
# one of the instance's slots. Both replies show that the connection works.
CHECK_TERM = 0
CLOSE_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.1


class Session(Protocol):
    """One open database session."""

    async def execute(
        self,
        statements: Sequence[Statement],
        *,
        term: int,
        begin: bool,
        commit: bool,
        read_only: bool,
        timeout_s: float,
    ) -> ExecuteResult:
        """Run statements; raises DatabaseError if rejected, else ConnectionLostError."""

    async def rollback(self, *, timeout_s: float) -> None:
        """Roll the open transaction back; raises ConnectionLostError."""

    async def close(self) -> None:
        """Close the connection."""


SessionFactory = Callable[[float], Awaitable[Session]]
"""Opens a session within the given number of seconds."""


class PoolSettings(NamedTuple):
    """Settings of one pool; times in seconds."""

    # Sessions idle for longer are checked before reuse.
    check_after_idle_s: float = 5.0
    check_timeout_s: float = 0.25
    open_timeout_s: float = 1.0
    # Minimum number of open sessions; opening one on demand takes about 12 ms.
    warm_sessions: int = 2


class PooledSession:
    """A database session of a pool that tracks whether it can be reused."""

    def __init__(self, session: Session, opened_at: float) -> None:
        self._session = session
        self._in_doubt = False
        self._closed_by_instance = False
        self._in_transaction = False
        self.last_used_at = opened_at
        self.suspect = False

    @property
    def reusable(self) -> bool:
        """Return whether every response was read and no transaction is open."""
        return not (self._in_doubt or self._closed_by_instance or self._in_transaction)

    @property
    def in_doubt(self) -> bool:
        """Return whether an exchange ended without a complete response."""
        return self._in_doubt

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction may be open."""
        return self._in_transaction

    async def execute(
        self,
        statements: Sequence[Statement],
        *,
        term: int,
        begin: bool,
        commit: bool,
        read_only: bool,
        timeout_s: float,
    ) -> ExecuteResult:
        """Run statements; raises DatabaseError, DeadlineExceededError or ConnectionLostError."""
        if self._in_doubt:
            raise ConnectionLostError(
                "a previous exchange on the session is incomplete", executed="no"
            )
        if timeout_s <= 0:
            raise DeadlineExceededError("the deadline expired before the statement was sent")
        self._in_doubt = True
        self._in_transaction = self._in_transaction or begin
        try:
            result = await self._session.execute(
                statements,
                term=term,
                begin=begin,
                commit=commit,
                read_only=read_only,
                timeout_s=timeout_s,
            )
        except TooManyConnectionsError:
            # The instance closes connections above its limit.
            self._in_doubt, self._closed_by_instance = False, True
            raise
        except DatabaseError as error:
            # An error reply is a complete response. The database rolls back an atomic batch; in
            # all other cases the caller must roll back.
            self._in_doubt = error.executed != "no"
            if begin and commit:
                self._in_transaction = False
            raise
        self._in_doubt = False
        if commit:
            self._in_transaction = False
        return result

    async def rollback(self, *, timeout_s: float) -> None:
        """Roll the open transaction back; raises ConnectionLostError."""
        if self._in_doubt:
            raise ConnectionLostError(
                "a previous exchange on the session is incomplete", executed="no"
            )
        self._in_doubt = True
        await self._session.rollback(timeout_s=timeout_s)
        self._in_doubt = False
        self._in_transaction = False

    async def close(self) -> None:
        """Close the connection within CLOSE_TIMEOUT_S, also when the caller is cancelled."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + CLOSE_TIMEOUT_S):
            await self._session.close()


class ConnectionPool:
    """Pool of at most `share` sessions to one instance, including those opening or closing."""

    def __init__(
        self, open_session: SessionFactory, share: int, settings: PoolSettings | None = None
    ) -> None:
        self._open_session = open_session
        self._share = share
        self._settings = settings or PoolSettings()
        self._idle: list[PooledSession] = []
        self._session_count = 0
        self._waiters: deque[trio.Event] = deque()
        self._closed = False

    @property
    def share(self) -> int:
        """Return the maximum number of sessions."""
        return self._share

    @property
    def size(self) -> int:
        """Return the number of sessions, whether idle, in use, opening or closing."""
        return self._session_count

    @property
    def idle_count(self) -> int:
        """Return the number of idle sessions."""
        return len(self._idle)

    async def set_share(self, share: int) -> None:
        """Change the share, closing excess sessions now if idle, otherwise on release."""
        self._share = share
        while self._idle and self._session_count > self._share:
            await self._close(self._idle.pop(0))
        self._wake_next_waiter()

    async def acquire(self, deadline: float) -> PooledSession:
        """Return a session by `deadline`, in trio's clock.

        Raises OverloadedError, UnavailableError, ConnectionLostError or DatabaseError.
        """
        if self._waiters or not self._has_available():
            await self._wait_for_session(deadline)
        while True:
            if self._closed:
                raise UnavailableError("the connection pool is closed")
            if self._idle:
                session = self._idle.pop()
                self._wake_next_waiter()
                if await self._check_if_due(session):
                    return session
                continue
            if self._session_count < self._share:
                return await self._open(deadline)
            await self._wait_for_session(deadline)

    async def release(self, session: PooledSession) -> None:
        """Return a session to the pool; closes it if it is not reusable or above the share."""
        if session.in_doubt:
            self.suspect_idle_sessions()
        if self._closed or not session.reusable or self._session_count > self._share:
            await self._close(session)
            return
        session.last_used_at = trio.current_time()
        self._idle.append(session)
        self._wake_next_waiter()

    async def discard(self, session: PooledSession) -> None:
        """Close a session in use instead of releasing it."""
        if session.in_doubt:
            self.suspect_idle_sessions()
        await self._close(session)

    @contextlib.asynccontextmanager
    async def session(self, deadline: float) -> AsyncIterator[PooledSession]:
        """Acquire a session for a block; it is closed afterwards if it is not reusable."""
        session = await self.acquire(deadline)
        try:
            yield session
        finally:
            await self.release(session)

    def suspect_idle_sessions(self) -> None:
        """Have every idle session checked before reuse, as the network path may be broken."""
        for session in self._idle:
            session.suspect = True

    async def run(self) -> None:
        """Maintain the warm sessions and check idle ones, so that requests need not."""
        while not self._closed:
            # The next iteration retries; requests report their own errors.
            with contextlib.suppress(TanagerfrontError):
                await self._maintain()
            await trio.sleep(self._settings.check_after_idle_s / 2)

    async def close(self) -> None:
        """Close all idle sessions; those in use are closed on release."""
        self._closed = True
        while self._idle:
            await self._close(self._idle.pop())
        while self._waiters:
            self._waiters.popleft().set()

    async def _maintain(self) -> None:
        # Requests reuse the most recently used sessions, so only the others need a check here.
        due = [session for session in self._idle if self._needs_check(session, fraction=0.5)]
        for session in due:
            if session in self._idle:
                self._idle.remove(session)
                if await self._check_if_due(session, fraction=0.5):
                    await self._add_checked_session(session)
        while self._needs_warm_session():
            deadline = trio.current_time() + self._settings.open_timeout_s
            await self.release(await self._open(deadline))

    def _needs_warm_session(self) -> bool:
        minimum = min(self._settings.warm_sessions, self._share)
        return not self._closed and not self._waiters and self._session_count < minimum

    async def _add_checked_session(self, session: PooledSession) -> None:
        """Make a session the last to be reused, or close it if the pool was closed meanwhile."""
        if self._closed:
            await self._close(session)
            return
        self._idle.insert(0, session)
        self._wake_next_waiter()

    def _has_available(self) -> bool:
        return bool(self._idle) or self._session_count < self._share

    def _needs_check(self, session: PooledSession, fraction: float = 1.0) -> bool:
        idle_s = trio.current_time() - session.last_used_at
        return session.suspect or idle_s > self._settings.check_after_idle_s * fraction

    async def _check_if_due(self, session: PooledSession, fraction: float = 1.0) -> bool:
        """Check the session if that is due; closes it and returns False if the check fails."""
        if not self._needs_check(session, fraction):
            return True
        try:
            await session.execute(
                CHECK_STATEMENTS,
                term=CHECK_TERM,
                begin=False,
                commit=False,
                read_only=True,
                timeout_s=self._settings.check_timeout_s,
            )
        except DatabaseError:
            pass
        except ConnectionLostError:
            self.suspect_idle_sessions()
        except BaseException:
            await self._close(session)
            raise
        if not session.reusable:
            await self._close(session)
            return False
        session.suspect = False
        session.last_used_at = trio.current_time()
        return True

    async def _open(self, deadline: float) -> PooledSession:
        self._session_count += 1
        self._wake_next_waiter()
        opened = False
        try:
            remaining_s = deadline - trio.current_time()
            timeout_s = max(0.0, min(remaining_s, self._settings.open_timeout_s))
            session = await self._open_session(timeout_s)
            opened = True
            return PooledSession(session, trio.current_time())
        except ConnectionLostError as error:
            # No statement was sent, so none was executed.
            raise ConnectionLostError(error.message, executed="no") from error
        finally:
            if not opened:
                self._session_count -= 1
                self._wake_next_waiter()

    async def _close(self, session: PooledSession) -> None:
        try:
            await session.close()
        finally:
            self._session_count -= 1
            self._wake_next_waiter()

    def _wake_next_waiter(self) -> None:
        if self._waiters and self._has_available():
            self._waiters.popleft().set()

    async def _wait_for_session(self, deadline: float) -> None:
        event = trio.Event()
        self._waiters.append(event)
        try:
            with trio.move_on_at(deadline) as scope:
                await event.wait()
        except trio.Cancelled:
            self._leave_wait_queue(event)
            raise
        if scope.cancelled_caught:
            self._leave_wait_queue(event)
            raise OverloadedError(
                "no database connection became available before the deadline",
                retry_after_s=RETRY_AFTER_S,
            )

    def _leave_wait_queue(self, event: trio.Event) -> None:
        """Remove a waiter; if it was woken already, wake the next one instead."""
        if event.is_set():
            self._wake_next_waiter()
        else:
            self._waiters.remove(event)
