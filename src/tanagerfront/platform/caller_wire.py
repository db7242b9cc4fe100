"""Callers' connections over the line protocol, one task each (session interface)."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..caller_session import CallerSession, SessionServices
from ..errors import BadRequestError, ConnectionLostError, TooLargeError
from ..session_model import Connect, Failure, FailureCode, Query, Reply, TransactionState
from ..session_record import RefusedError
from .line_stream import LineStream
from .lines import Bye, decode_caller_line, encode_failure, encode_ready, encode_reply

__all__ = ["CallerConnections"]

# A silent connection holds a file descriptor; callers stop waiting for READY after 2 s.
FIRST_MESSAGE_TIMEOUT_S = 5.0
# A VM that has just started loads the configuration within this time; callers wait 2 s for READY.
FIRST_CONFIRMATION_TIMEOUT_S = 1.2
# A reply that the caller does not read occupies memory.
SEND_TIMEOUT_S = 10.0


class _CloseConnectionError(Exception):
    """The connection is to be closed, after the failure, if any, has been sent."""

    def __init__(self, failure: Failure | None = None) -> None:
        super().__init__()
        self.failure = failure


class _CallerConnection:
    """One caller's connection."""

    def __init__(self, stream: LineStream, services: SessionServices) -> None:
        self._stream = stream
        self._services = services
        self._session: CallerSession | None = None
        # Scope of the wait for a message, None while there is none; cancelled to close.
        self.wait_scope: trio.CancelScope | None = None

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._session is not None and self._session.state is not TransactionState.IDLE

    async def serve(self) -> None:
        """Serve until the caller disconnects or the VM stops."""
        try:
            session = self._session = await self._open()
            await self._send(encode_ready(Reply()))
            while True:
                query = await self._next_query(session)
                if query is not None:
                    await self._send(encode_reply(await session.execute(query)))
        except _CloseConnectionError as error:
            if error.failure is not None:
                await self._send(encode_failure(error.failure))
        except ConnectionLostError as error:
            # The connection ended without BYE; an open transaction is rolled back below.
            self._services.metrics.count("callers_left")
            self._services.log.decision("caller_left", error=str(error))
        finally:
            with trio.CancelScope(shield=True):
                if self._session is not None:
                    await self._session.close()
                with trio.move_on_after(1):
                    await self._stream.close_gracefully()

    async def _open(self) -> CallerSession:
        with trio.move_on_after(FIRST_MESSAGE_TIMEOUT_S) as self.wait_scope:
            line = await self._read_line()
        if self.wait_scope.cancelled_caught:
            raise _CloseConnectionError
        self.wait_scope = None
        try:
            message = decode_caller_line(line, trio.current_time())
        except BadRequestError as error:
            raise _CloseConnectionError(Failure(FailureCode.MALFORMED, str(error))) from error
        if not isinstance(message, Connect):
            raise _CloseConnectionError(
                Failure(FailureCode.MALFORMED, "the first message must be CONNECT")
            )
        with trio.move_on_after(FIRST_CONFIRMATION_TIMEOUT_S):
            await self._services.confirmed_state.first_confirmation.wait()
        try:
            return CallerSession(self._services, message)
        except RefusedError as error:
            self._services.log.decision(
                "connection_refused",
                database=message.database,
                code=error.failure.code.value,
                reason=error.failure.text,
                confirmed_s=round(self._services.confirmed_state.confirmation_age_s, 3),
            )
            raise _CloseConnectionError(error.failure) from error

    async def _next_query(self, session: CallerSession) -> Query | None:
        """Return the next statement, None after an expired transaction or a malformed message."""
        limit_s = session.idle_limit_s
        with trio.CancelScope() as self.wait_scope:
            if limit_s is not None:
                self.wait_scope.deadline = trio.current_time() + limit_s
            line = await self._read_line()
        expired, self.wait_scope = self.wait_scope.cancelled_caught, None
        if expired:
            # Without an idle limit only the stop of the VM ends the wait.
            rolled_back = session.state is TransactionState.FAILED
            if self._services.confirmed_state.stopping and (limit_s is None or rolled_back):
                raise _CloseConnectionError
            await session.expire_transaction()
            return None
        try:
            message = decode_caller_line(line, trio.current_time())
        except BadRequestError as error:
            failure = Failure(FailureCode.MALFORMED, str(error))
            await self._send(encode_reply(Reply(failure=failure, state=session.state)))
            return None
        match message:
            case Query():
                return message
            case Bye():
                raise _CloseConnectionError
        raise _CloseConnectionError(Failure(FailureCode.MALFORMED, "the session is already open"))

    async def _read_line(self) -> bytes:
        try:
            return await self._stream.read_line()
        except TooLargeError as error:
            raise _CloseConnectionError(Failure(FailureCode.TOO_LARGE, str(error))) from error

    async def _send(self, data: bytes) -> None:
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            await self._stream.send(data)
        if scope.cancelled_caught:
            raise ConnectionLostError("caller did not read its reply in time")


class CallerConnections:
    """The callers' connections of this VM."""

    def __init__(self, services: SessionServices) -> None:
        self._services = services
        self._connections: set[_CallerConnection] = set()

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        connection = _CallerConnection(LineStream(stream), self._services)
        self._connections.add(connection)
        try:
            await connection.serve()
        except Exception as error:  # a defect in one session must not end the others
            self._services.log.failure("session_failed", error=repr(error))
        finally:
            self._connections.discard(connection)

    def close_idle(self) -> None:
        """Close the connections that wait for a statement and have no open transaction."""
        self._cancel_waits(lambda connection: not connection.in_transaction)

    def close_waiting(self) -> None:
        """Close all connections that wait for a statement; roll open transactions back."""
        self._cancel_waits(lambda _connection: True)

    def _cancel_waits(self, should_close: Callable[[_CallerConnection], bool]) -> None:
        for connection in list(self._connections):
            if connection.wait_scope is not None and should_close(connection):
                connection.wait_scope.cancel()
