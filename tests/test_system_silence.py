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
from tanagerfront_lab.processes import VmProcess

# A silent connection may cost one request its deadline; a working one answers far sooner.
DEADLINE_S = 2.0
SLOW_S = 1.0
CALLS = 15
WARM_UP_CALLS = 8
CALLERS_PER_VM = 3


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

    async def _run(self, *, concurrent: bool) -> None:
        self._not_run: set[str] = set()
        self._acknowledged: set[str] = set()
        self._seconds: list[float] = []
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
