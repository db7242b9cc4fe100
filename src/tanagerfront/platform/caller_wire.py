"""Callers' connections over the line protocol: one task each."""

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

# A caller that says nothing after it connected holds a descriptor; it gives up READY after 2 s.
FIRST_MESSAGE_S = 5.0
# A VM that has just started knows the configuration within this time; callers wait 2 s for READY.
START_WAIT_S = 1.2
# A caller that does not read its answer holds the memory for it.
SEND_TIMEOUT_S = 10.0


class _EndedError(Exception):
    """The connection ends; the failure, if any, is sent before."""

    def __init__(self, failure: Failure | None = None) -> None:
        super().__init__()
        self.failure = failure


class _CallerConnection:
    """One caller's connection."""

    def __init__(self, stream: LineStream, services: SessionServices) -> None:
        self._stream = stream
        self._services = services
        self._session: CallerSession | None = None
        # Set while the connection waits for a message; cancelled to close it.
        self.waiting: trio.CancelScope | None = None

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open."""
        return self._session is not None and self._session.state is not TransactionState.IDLE

    async def serve(self) -> None:
        """Serve until the caller leaves or the VM stops."""
        try:
            session = self._session = await self._open()
            await self._send(encode_ready(Reply()))
            while True:
                query = await self._next(session)
                if query is not None:
                    await self._send(encode_reply(await session.execute(query)))
        except _EndedError as end:
            if end.failure is not None:
                await self._send(encode_failure(end.failure))
        except ConnectionLostError as error:
            # Callers leave without notice; their transaction is rolled back below.
            self._services.metrics.count("callers_left")
            self._services.log.decision("caller_left", error=str(error))
        finally:
            with trio.CancelScope(shield=True):
                if self._session is not None:
                    await self._session.close()
                with trio.move_on_after(1):
                    await self._stream.close_gracefully()

    async def _open(self) -> CallerSession:
        with trio.move_on_after(FIRST_MESSAGE_S) as self.waiting:
            line = await self._line()
        if self.waiting.cancelled_caught:
            raise _EndedError
        self.waiting = None
        try:
            message = decode_caller_line(line, trio.current_time())
        except BadRequestError as error:
            raise _EndedError(Failure(FailureCode.MALFORMED, str(error))) from error
        if not isinstance(message, Connect):
            raise _EndedError(Failure(FailureCode.MALFORMED, "CONNECT comes first"))
        with trio.move_on_after(START_WAIT_S):
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
            raise _EndedError(error.failure) from error

    async def _next(self, session: CallerSession) -> Query | None:
        """Return the next statement, None if a message was answered here."""
        limit_s = session.idle_limit_s
        with trio.CancelScope() as self.waiting:
            if limit_s is not None:
                self.waiting.deadline = trio.current_time() + limit_s
            line = await self._line()
        expired, self.waiting = self.waiting.cancelled_caught, None
        if expired:
            # Without a limit only a stop of the VM ends the waiting.
            rolled_back = session.state is TransactionState.FAILED
            if self._services.confirmed_state.stopping and (limit_s is None or rolled_back):
                raise _EndedError
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
                raise _EndedError
        raise _EndedError(Failure(FailureCode.MALFORMED, "the session is open already"))

    async def _line(self) -> bytes:
        try:
            return await self._stream.read_line()
        except TooLargeError as error:
            raise _EndedError(Failure(FailureCode.TOO_LARGE, str(error))) from error

    async def _send(self, data: bytes) -> None:
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            await self._stream.send(data)
        if scope.cancelled_caught:
            raise ConnectionLostError("the caller does not read its answer")


class CallerConnections:
    """All callers' connections of this VM."""

    def __init__(self, services: SessionServices) -> None:
        self._services = services
        self._open: set[_CallerConnection] = set()

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        connection = _CallerConnection(LineStream(stream), self._services)
        self._open.add(connection)
        try:
            await connection.serve()
        except Exception as error:  # a defect in one session must not end the others
            self._services.log.failure("session_failed", error=repr(error))
        finally:
            self._open.discard(connection)

    def close_idle(self) -> None:
        """Close the connections that wait for a statement outside a transaction."""
        self._cancel(lambda each: not each.in_transaction)

    def close_waiting(self) -> None:
        """Close all connections that wait for a statement; transactions are rolled back."""
        self._cancel(lambda each: True)

    def _cancel(self, chosen: Callable[[_CallerConnection], bool]) -> None:
        for each in list(self._open):
            if each.waiting is not None and chosen(each):
                each.waiting.cancel()
