"""Silent database connections delay few requests as long as new connections work."""

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
    committed_refs,
    homes,
    open_connections,
)
from tanagerfront.errors import ConnectionLostError
from tanagerfront.http_client import HttpReply
from tanagerfront_lab.experiments import read_rows
from tanagerfront_lab.processes import VmProcess
from tanagerfront_standin.link import Direction

# One request may time out on a silent connection; working connections answer far sooner.
DEADLINE_S = 2.0
SLOW_S = 1.0
CALLS = 15
WARM_UP_CALLS = 8
CALLERS_PER_VM = 3
# Too short to start a failover, which requires 0.6 s of suspicion.
CUT_AFTER_S = 0.1
CUT_S = 0.2


class SystemSilenceTest(TestCase):
    """Make the open connections between the VMs and the primary go silent."""

    @trio_test
    async def test_sequential_calls(self) -> None:
        """Guards against a pool that hands out silent connections one after another."""
        await self._run(concurrent=False)

    @trio_test
    async def test_concurrent_calls(self) -> None:
        """Guards against requests that time out waiting behind one on a silent connection."""
        await self._run(concurrent=True)

    @trio_test
    async def test_answers_lost_after_the_write(self) -> None:
        """Guards against a write with a lost answer being repeated or reported as not run."""
        self._reset_results()
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
        # The test proves nothing unless such a write occurred.
        self.assertNotEqual(set(), present - self._acknowledged)

    def _reset_results(self) -> None:
        self._not_run: set[str] = set()
        self._acknowledged: set[str] = set()
        self._durations_s: list[float] = []

    async def _run(self, *, concurrent: bool) -> None:
        self._reset_results()
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
        # Each home also has one connection for its status polls.
        silenced = await open_connections(primary) - len(await homes(cluster))
        cluster.link(primary).silence_existing()
        self._durations_s.clear()
        await self._call_all(vms, "after", CALLS)
        slow = [duration for duration in self._durations_s if duration > SLOW_S]
        self.assertLessEqual(len(slow), silenced, str(self._durations_s))
        # Until they are reset, silent connections count towards the limit of the database and
        # leave none for reading the rows.
        await cluster.link(primary).reset_existing()
        present = await committed_refs(cluster)
        self.assertEqual(set(), self._not_run & present)
        self.assertEqual(set(), self._acknowledged - present)

    async def _call_all(self, vms: Sequence[VmProcess], name: str, calls: int) -> None:
        """Make sequential calls on each VM, all VMs concurrently."""
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
                self._record_reply(name, reply)
            self._durations_s.append(trio.current_time() - started)

    def _record_reply(self, name: str, reply: HttpReply) -> None:
        if reply.status == 200:
            self._acknowledged.add(name)
        elif msgspec.json.decode(reply.body)["executed"] == "no":
            self._not_run.add(name)
