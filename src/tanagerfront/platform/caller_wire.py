"""Callers' connections over the line protocol, one task each (session interface)."""

from __future__ import annotations

import trio

from ..caller_session import CallerSession, SessionServices
from ..errors import BadRequestError, ConnectionLostError, TooLargeError
from ..session_model import Connect, Failure, FailureCode, Query, Reply, TransactionState
from ..session_record import RefusedError
from ..shutdown import Shutdown
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


def _stopping_failure() -> Failure:
    return Failure(FailureCode.OVERLOADED, "this VM is stopping")


class _CallerConnection:
    """One caller's connection."""

    def __init__(self, stream: LineStream, services: SessionServices) -> None:
        self._stream = stream
        self._services = services
        self._session: CallerSession | None = None
        # Covers all work but the last reply; one for each statement would be expensive.
        self._scope = trio.CancelScope()
        self._waiting = False
        self._waiting_since = trio.current_time()
        self._executing = False
        # Whether the connection is closed after the next reply.
        self._closing = False

    def close_waiting(self, shutdown: Shutdown, now: float) -> None:
        """Close the connection if it waits for a message and the shutdown doesn't wait for one."""
        if not self._waiting or not self._stream.idle:
            return
        in_transaction = (
            self._session is not None and self._session.state is not TransactionState.IDLE
        )
        if shutdown.may_close(now, self._waiting_since, in_transaction=in_transaction):
            self._closing = True
            self._scope.cancel()

    def interrupt(self) -> bool:
        """Answer the statement in progress now and close; return whether there was one."""
        self._closing = True
        # A reply that is being sent is not cut off.
        if self._waiting or self._executing:
            self._scope.cancel()
        return self._executing

    async def serve(self) -> None:
        """Serve until the caller disconnects or the VM stops."""
        try:
            reply = None
            with self._scope:
                reply = await self._serve_messages()
            if self._executing:
                self._executing = False
                reply = self._reply_in_doubt()
            if reply is not None:
                await self._send(encode_reply(reply))
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

    async def _serve_messages(self) -> Reply | None:
        """Reply to messages until the connection is to be closed; return the last reply, if any."""
        session = self._session = await self._open()
        await self._send(encode_ready(Reply()))
        while not self._closing:
            reply = await self._next_reply(session)
            if self._closing:
                # The scope may be cancelled, so the reply is sent after leaving it.
                return reply
            if reply is not None:
                await self._send(encode_reply(reply))
        return None

    async def _execute(self, session: CallerSession, query: Query) -> Reply:
        if self._closing:
            return Reply(failure=_stopping_failure(), state=session.state)
        self._executing = True
        reply = await session.execute(query)
        self._executing = False
        refused = reply.failure is not None and reply.state is TransactionState.IDLE
        if refused and self._services.confirmed_state.stopping:
            # The caller has to retry at another VM.
            self._closing = True
        return reply

    def _reply_in_doubt(self) -> Reply:
        assert self._session is not None
        failure = Failure(FailureCode.IN_DOUBT, "this VM stops before the statement has ended")
        return Reply(failure=failure, state=self._session.state)

    async def _open(self) -> CallerSession:
        line = await self._wait_for_line(FIRST_MESSAGE_TIMEOUT_S)
        if line is None:
            raise _CloseConnectionError
        if self._closing:
            raise _CloseConnectionError(_stopping_failure())
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
            return CallerSession(
                self._services, message, caller_left=lambda: self._stream.closed_by_peer
            )
        except RefusedError as error:
            self._services.log.decision(
                "connection_refused",
                database=message.database,
                code=error.failure.code.value,
                reason=error.failure.text,
                confirmed_s=round(self._services.confirmed_state.confirmation_age_s, 3),
            )
            raise _CloseConnectionError(error.failure) from error

    async def _next_reply(self, session: CallerSession) -> Reply | None:
        """Return the reply to the next message, None after an expired transaction."""
        line = await self._wait_for_line(session.idle_limit_s)
        if line is None:
            await session.expire_transaction()
            return None
        try:
            message = decode_caller_line(line, trio.current_time())
        except BadRequestError as error:
            failure = Failure(FailureCode.MALFORMED, str(error))
            return Reply(failure=failure, state=session.state)
        match message:
            case Query():
                return await self._execute(session, message)
            case Bye():
                raise _CloseConnectionError
        raise _CloseConnectionError(Failure(FailureCode.MALFORMED, "the session is already open"))

    async def _wait_for_line(self, limit_s: float | None) -> bytes | None:
        """Return the next line, None if it hasn't come within the time limit."""
        self._waiting_since = trio.current_time()
        self._waiting = True
        try:
            if limit_s is None:
                return await self._read_line()
            with trio.move_on_at(self._waiting_since + limit_s):
                return await self._read_line()
        finally:
            self._waiting = False
        return None

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
        self._changed = trio.Event()

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
            changed, self._changed = self._changed, trio.Event()
            changed.set()

    def close_waiting(self, shutdown: Shutdown) -> None:
        """Close the connections that wait for a message for which a shutdown does not wait."""
        now = trio.current_time()
        for connection in list(self._connections):
            connection.close_waiting(shutdown, now)

    def interrupt(self) -> int:
        """Answer the statements in progress now, close all connections, and count the former."""
        return sum([connection.interrupt() for connection in self._connections])

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        while self._connections:
            await self._changed.wait()
