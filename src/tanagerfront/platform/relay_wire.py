"""Relayed sessions of other VMs at the instances whose home this VM is (session interface)."""

from __future__ import annotations

import trio

from ..decision_log import DecisionLog
from ..errors import BadRequestError, ConnectionLostError, TooLargeError
from ..http_client import enable_keepalive
from ..instance_directory import InstanceDirectory
from ..instance_pool import InstanceStatement
from ..relay import RelaySession
from ..session_model import Failure, FailureCode, Reply, boottime_s
from ..shutdown import Shutdown
from .instance_wire import USER_TIMEOUT_MS
from .line_stream import LineStream
from .lines import (
    Bye,
    InstanceConnect,
    decode_relay_line,
    encode_failure,
    encode_ready,
    encode_reply,
)

__all__ = ["RelayConnections"]

FIRST_MESSAGE_TIMEOUT_S = 5.0
# Assumed for statements of VMs that don't send how long theirs may take.
STATEMENT_TIMEOUT_S = 1.0


class RelayConnections:
    """Accept relayed sessions from other VMs."""

    def __init__(self, directory: InstanceDirectory, log: DecisionLog) -> None:
        self._directory = directory
        self._log = log
        self._sessions_by_wait_scope: dict[trio.CancelScope, RelaySession | None] = {}
        self._shutdown: Shutdown | None = None
        self._open_sessions = 0

    @property
    def count(self) -> int:
        """Return the number of open sessions."""
        return self._open_sessions

    def stop(self, shutdown: Shutdown) -> None:
        """Reject new sessions and close those without a statement or transaction in progress."""
        self._shutdown = shutdown
        for scope, session in list(self._sessions_by_wait_scope.items()):
            if session is None or not session.in_transaction:
                scope.cancel()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self._open_sessions += 1
        try:
            await self._serve(stream)
        except Exception as error:  # a defect in one session must not end the others
            self._log.failure("relay_failed", error=repr(error))
        finally:
            self._open_sessions -= 1

    async def _serve(self, stream: trio.SocketStream) -> None:
        enable_keepalive(stream, user_timeout_ms=USER_TIMEOUT_MS, idle_s=1, interval_s=1)
        lines = LineStream(stream)
        session: RelaySession | None = None
        try:
            session, version = await self._open(lines)
            while session is not None:
                message = await self._next_message(lines, session)
                if not isinstance(message, InstanceStatement):
                    break
                too_late = self._is_too_late(message)
                if too_late:
                    reply = Reply(failure=Failure(FailureCode.OVERLOADED, "the home is stopping"))
                else:
                    reply = await _run_until_abandoned(lines, session, message)
                if version > 1:
                    reply = reply._replace(load=session.load)
                await lines.send(encode_reply(reply))
                if too_late or (self._shutdown is not None and not session.in_transaction):
                    break
        except ConnectionLostError as error:
            # The other VM takes the closed connection as an unknown outcome of its statement.
            self._log.decision("relay_ended", error=str(error))
        except (BadRequestError, TooLargeError) as error:
            self._log.failure("relay_refused", error=str(error))
        finally:
            with trio.CancelScope(shield=True):
                if session is not None:
                    await session.close()
                await lines.close()

    def _is_too_late(self, statement: InstanceStatement) -> bool:
        """Return whether this VM may stop before the statement has ended."""
        if self._shutdown is None:
            return False
        now, urgency = trio.current_time(), statement.urgency
        timeout_s = STATEMENT_TIMEOUT_S if urgency is None else urgency.deadline - now
        return not self._shutdown.accepts(now, timeout_s)

    async def _open(self, lines: LineStream) -> tuple[RelaySession | None, int]:
        """Open the session that the other VM asks for; return it and its protocol version."""
        message: InstanceConnect | InstanceStatement | Bye = Bye()
        with trio.move_on_after(FIRST_MESSAGE_TIMEOUT_S):
            message = await self._next_message(lines, None)
        if not isinstance(message, InstanceConnect):
            return None, 0
        instance = self._directory.find(message.instance)
        if (
            self._shutdown is not None
            or instance is None
            or instance.registration.group != message.group
        ):
            await lines.send(encode_failure(Failure(FailureCode.MOVED, message.instance)))
            return None, 0
        await lines.send(encode_ready(Reply()))
        group = self._directory.group(message.group)
        session = RelaySession(
            instance.pool,
            message.organisation,
            lambda: not lines.closed_by_peer,
            lambda: group.refuses_work(instance, boottime_s()),
        )
        return session, message.relay_version

    async def _next_message(
        self, lines: LineStream, session: RelaySession | None
    ) -> InstanceConnect | InstanceStatement | Bye:
        """Return the next message, or Bye if the wait for it was cancelled."""
        with trio.CancelScope() as scope:
            self._sessions_by_wait_scope[scope] = session
            try:
                return decode_relay_line(await lines.read_line())
            finally:
                del self._sessions_by_wait_scope[scope]
        return Bye()


async def _run_until_abandoned(
    lines: LineStream, session: RelaySession, statement: InstanceStatement
) -> Reply:
    """Run a statement and cancel it if the other VM closes the connection.

    Raises ConnectionLostError.
    """
    reply: Reply | None = None
    failure: ConnectionLostError | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lines.read_ahead, nursery.cancel_scope)
        try:
            reply = await session.run(statement)
        except ConnectionLostError as error:
            failure = error
        nursery.cancel_scope.cancel()
    if reply is not None:
        return reply
    raise failure or ConnectionLostError("the other VM closed the connection before the reply")
