"""Writes in progress at a primary that does not step down while another instance is promoted."""

from __future__ import annotations

import contextlib
import random
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from support import TestCase, trio_test
from tanagerfront.errors import ConnectionLostError
from tanagerfront.platform.line_stream import LineStream
from tanagerfront_lab.soak import ClientSession, Soak, SoakOptions, check_histories, open_soak
from tanagerfront_lab.soak_history import Attempt, Origin
from tanagerfront_standin.line_group import LineInstance

TRANSACTIONS = "stock"
OPTIONS = SoakOptions(seed=1, vms=2, groups=2, timeout_ms=2500)
# Shorter than the timeout of the statements, and longer than the failover: one that waits for the
# step-down, or one whose step-down is refused, after which the old primary goes on for TAKEOVER_S.
CUT_OFF_STATEMENT_S, BUSY_STATEMENT_S = 1.8, 1.2
TAKEOVER_S = 1.0
LIMIT_S = 10.0

ReplacePrimary = Callable[[Soak, LineInstance], Awaitable[None]]


async def _cut_off(soak: Soak, primary: LineInstance) -> None:
    """Let no new connection reach a primary that leaves."""
    soak.draining.add(primary.name)
    primary.isolated = True
    soak.instance_links[primary.address].hold_new()


async def _occupy(soak: Soak, primary: LineInstance) -> None:
    """Let as many statements wait at a primary that leaves that it refuses to step down."""
    soak.draining.add(primary.name)
    async with trio.open_nursery() as nursery:
        for _ in range(primary.group.options.slots):
            nursery.start_soon(primary.hold_slot)


class LateCommitTest(TestCase):
    @trio_test
    async def test_a_write_at_a_primary_that_is_cut_off_is_not_acknowledged_after_a_promotion(
        self,
    ) -> None:
        # Guards against acknowledged writes that the new primary does not have.
        await self._check(_cut_off, CUT_OFF_STATEMENT_S)

    @trio_test
    async def test_a_write_at_a_primary_that_is_busy_is_not_acknowledged_after_a_promotion(
        self,
    ) -> None:
        # Guards against acknowledged writes that the new primary does not have.
        await self._check(_occupy, BUSY_STATEMENT_S)

    async def _check(self, replace_primary: ReplacePrimary, statement_s: float) -> None:
        with tempfile.TemporaryDirectory() as directory:
            async with open_soak(OPTIONS, Path(directory)) as soak:
                for group in soak.groups:
                    group.options = group.options._replace(
                        takeover_s=TAKEOVER_S, controls_need_slot=True
                    )
                writers = [
                    await _Writer.open(soak, group.name, number)
                    for group in soak.groups
                    for number in range(len(soak.vms))
                ]
                primaries = [group.instances[0] for group in soak.groups]
                async with trio.open_nursery() as nursery:
                    for primary in primaries:
                        primary.slow_s = statement_s
                    for writer in writers:
                        nursery.start_soon(writer.finish)
                    for primary in primaries:
                        await _wait_until(lambda: primary.busy_slots == len(soak.vms))  # noqa: B023
                        nursery.start_soon(replace_primary, soak, primary)
                await _wait_until(lambda: all(group.promotions for group in soak.groups))
                check_histories(soak)
        self.assertEqual([], soak.history.violations)


async def _wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(LIMIT_S):
        while not condition():  # noqa: ASYNC110, the VMs are other processes
            await trio.sleep(0.01)


class _Writer:
    """A client that writes once; the last query of its session commits."""

    def __init__(self, session: ClientSession, attempt: Attempt, lines: LineStream) -> None:
        self._session = session
        self._attempt = attempt
        self._lines = lines
        self._write = f"WRITE {attempt.item} {attempt.data}"

    @classmethod
    async def open(cls, soak: Soak, group: str, number: int) -> _Writer:
        """Open a session at a VM and, in the group of the transactions, begin and write."""
        key, item, vm = soak.api_keys[0], f"{group}-{number}", soak.vms[number]
        origin = Origin(group, vm.name, number)
        lines = await soak.connect(vm, group, "primary")
        session = ClientSession(soak, lines, "primary", key, item, origin, random.Random(1))
        attempt = soak.history.start_attempt(
            item, "primary", key, True, trio.current_time(), origin
        )
        writer = cls(session, attempt, lines)
        if group == TRANSACTIONS:
            for text in ("BEGIN", writer._write):
                await session.send(attempt, text)
            writer._write = "COMMIT"
        return writer

    async def finish(self) -> None:
        """Send the query that commits, and record its outcome."""
        with contextlib.suppress(ConnectionLostError):
            await self._session.run(self._attempt, [self._write])
        await self._lines.close()
