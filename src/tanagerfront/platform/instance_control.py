"""Control statements to instances, each over a connection of its own (session interface)."""

from __future__ import annotations

from ..entry_id import EntryId
from ..errors import ConnectionLostError
from ..instance_pool import (
    INTERNAL_STATEMENT_ID,
    NO_ORGANISATION,
    InstanceRefusedError,
    InstanceStatement,
    StatementBody,
)
from ..session_failover import InstanceReport
from ..session_model import (
    InstanceRegistration,
    PauseReplication,
    ReportStatus,
    StepDown,
)
from .documents import INSTANCE_ROLES
from .instance_wire import open_instance
from .lines import parse_entry_id

__all__ = ["LineInstanceControl"]


def _decode_report(row: bytes) -> InstanceReport:
    """Decode the row of a STATUS reply; ignore its further fields."""
    try:
        role, term, received, *_ = row.decode().split(" ")
        position = parse_entry_id(received) or EntryId(0, 0)
        return InstanceReport(INSTANCE_ROLES[role], int(term), position)
    except (KeyError, ValueError) as error:
        raise ConnectionLostError("malformed status from the instance") from error


class LineInstanceControl:
    """Run control statements at instances over the line protocol.

    Calls raise InstanceRefusedError, TooManyConnectionsError or ConnectionLostError.
    """

    async def report(self, registration: InstanceRegistration) -> InstanceReport:
        """Return the role, term and log position of an instance."""
        return await self._run_control_statement(registration, ReportStatus())

    async def pause(self, registration: InstanceRegistration, term: int) -> InstanceReport:
        """Make a replica stop receiving from primaries with a term below `term`."""
        return await self._run_control_statement(registration, PauseReplication(term))

    async def step_down(self, registration: InstanceRegistration, term: int) -> InstanceReport:
        """Demote a primary with a term below `term` to replica."""
        return await self._run_control_statement(registration, StepDown(term))

    async def _run_control_statement(
        self, registration: InstanceRegistration, statement: StatementBody
    ) -> InstanceReport:
        connection = await open_instance(registration, NO_ORGANISATION)
        try:
            [reply] = await connection.run([InstanceStatement(INTERNAL_STATEMENT_ID, statement)])
        finally:
            await connection.close()
        if reply.failure is not None:
            raise InstanceRefusedError(reply.failure)
        if not reply.rows:
            raise ConnectionLostError("the instance replied without a status")
        return _decode_report(reply.rows[0])
