"""Connections to a database that go silent cost little while new ones work."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import trio

from support import TestCase, trio_test
from system_support import (
    GROUP,
    ORGANISATION,
    Caller,
    LinkedCluster,
    homes,
    open_connections,
    refs,
)
from tanagerfront.errors import ConnectionLostError
from tanagerfront.http_client import HttpReply
from tanagerfront_lab.experiments import read_rows
from tanagerfront_lab.processes import VmProcess
from tanagerfront_standin.link import Direction

# A silent connection may cost one request its deadline; a working one answers far sooner.
DEADLINE_S = 2.0
SLOW_S = 1.0
CALLS = 15
WARM_UP_CALLS = 8
CALLERS_PER_VM = 3
# Short enough that no promotion begins, which takes 0.6 s of suspicion.
CUT_AFTER_S = 0.1
CUT_S = 0.2


class SystemSilenceTest(TestCase):
    """Silence the open connections between the VMs and the primary."""

    @trio_test
    async def test_calls_one_after_the_other(self) -> None:
        """Guards against a pool that hands out one silent connection after the other."""
        await self._run(concurrent=False)

    @trio_test
    async def test_concurrent_calls(self) -> None:
        """Guards against requests that lose their deadline behind one on a silent connection."""
        await self._run(concurrent=True)

    @trio_test
    async def test_answers_lost_after_the_effect(self) -> None:
        """Guards against a "not run" or a repeat when an answer was lost after the write ran."""
        self._clear()
        cluster = LinkedCluster()
        async with trio.open_nursery() as nursery:
            await cluster.start_links(nursery)
            async with cluster:
                await self._lose_answers(cluster)
            nursery.cancel_scope.cancel()

    async def _lose_answers(self, cluster: LinkedCluster) -> None:
        link = cluster.link(await cluster.primary(GROUP))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._call_all, cluster.vms * CALLERS_PER_VM, "lost", CALLS)
            await trio.sleep(CUT_AFTER_S)
            link.cut_directions(Direction.TO_CLIENT)
            await trio.sleep(CUT_S)
            await link.reset_existing()
            link.restore()
        stored = [row.ref for row in await read_rows(cluster, GROUP)]
        present = set(stored)
        self.assertEqual(len(present), len(stored), "a write ran twice")
        self.assertEqual(set(), self._not_run & present)
        self.assertEqual(set(), self._acknowledged - present)
        # Without such a write nothing was tested.
        self.assertNotEqual(set(), present - self._acknowledged)

    def _clear(self) -> None:
        self._not_run: set[str] = set()
        self._acknowledged: set[str] = set()
        self._seconds: list[float] = []

    async def _run(self, *, concurrent: bool) -> None:
        self._clear()
        cluster = LinkedCluster()
        async with trio.open_nursery() as nursery:
            await cluster.start_links(nursery)
            async with cluster:
                callers = cluster.vms * CALLERS_PER_VM if concurrent else cluster.vms[:1]
                await self._check(cluster, callers)
            nursery.cancel_scope.cancel()

    async def _check(self, cluster: LinkedCluster, vms: Sequence[VmProcess]) -> None:
        await self._call_all(cluster.vms, "before", WARM_UP_CALLS)
        self.assertEqual(len(cluster.vms) * WARM_UP_CALLS, len(self._acknowledged))
        primary = await cluster.primary(GROUP)
        # Each home has one more connection for its status polls.
        silenced = await open_connections(primary) - len(await homes(cluster))
        cluster.link(primary).silence_existing()
        self._seconds.clear()
        await self._call_all(vms, "after", CALLS)
        slow = [each for each in self._seconds if each > SLOW_S]
        self.assertLessEqual(len(slow), silenced, str(self._seconds))
        # The database counts the silent connections until the network drops them, and has none
        # left for the read of the rows.
        await cluster.link(primary).reset_existing()
        present = await refs(cluster)
        self.assertEqual(set(), self._not_run & present)
        self.assertEqual(set(), self._acknowledged - present)

    async def _call_all(self, vms: Sequence[VmProcess], name: str, calls: int) -> None:
        """Make calls one after the other on each VM."""
        async with trio.open_nursery() as nursery:
            for index, vm in enumerate(vms):
                names = [f"{name}-{index}-{number}" for number in range(calls)]
                nursery.start_soon(self._call, vm, names)

    async def _call(self, vm: VmProcess, names: list[str]) -> None:
        caller = await Caller.connect(vm, ORGANISATION)
        for name in names:
            started = trio.current_time()
            try:
                reply = await caller.add(name, timeout_s=DEADLINE_S)
            except ConnectionLostError:
                caller = await Caller.connect(vm, ORGANISATION)
            else:
                self._note(name, reply)
            self._seconds.append(trio.current_time() - started)

    def _note(self, name: str, reply: HttpReply) -> None:
        if reply.status == 200:
            self._acknowledged.add(name)
        elif msgspec.json.decode(reply.body)["executed"] == "no":
            self._not_run.add(name)
