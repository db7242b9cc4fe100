"""Homes of a group as seen from one VM, and the end of this VM's own."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from unittest import mock

import trio
import trio.lowlevel

from support import TestCase, trio_test
from tanagerfront.errors import UnavailableError
from tanagerfront.home_calls import HomeVm
from tanagerfront.homes import Homes
from tanagerfront.http_client import Address
from tanagerfront.membership import LiveVm


def live(vm: str, *, draining: bool = False) -> LiveVm:
    return LiveVm(vm, "i", f"domain-of-{vm}", Address("127.0.0.1", 1), draining, 1)


def homes_of(members: list[LiveVm]) -> Homes:
    membership = mock.Mock(vm_id="vm-0", **{"live.return_value": tuple(members)})
    seats = mock.Mock(**{"holders.return_value": {0: "vm-1", 1: "vm-2"}})
    services: Any = SimpleNamespace(failure_domain="domain-of-vm-0")
    return Homes(services, mock.Mock(), membership, seats, mock.Mock())


class HomesTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_draining_home_is_used_only_if_there_is_no_other(self) -> None:
        # Guards against requests that reach a home while it stops and end with unknown outcome.
        both = homes_of([live("vm-1", draining=True), live("vm-2"), live("vm-3")])
        self.assertEqual([HomeVm("vm-2", "domain-of-vm-2")], both.homes("g"))
        last = homes_of([live("vm-1", draining=True)])
        self.assertEqual([HomeVm("vm-1", "domain-of-vm-1")], last.homes("g"))

    @trio_test(mock_clock=True)
    async def test_stop_waits_for_requests_of_peers(self) -> None:
        # Guards against a seat that is released while a peer's request is in progress at the home.
        homes = homes_of([live("vm-0")])
        with self.assertRaises(UnavailableError):
            await homes.execute(mock.Mock(group="g"))

        async def execute(_request: object) -> None:
            await trio.sleep(0.5)

        home = mock.Mock(**{"executor.execute": execute, "transactions.open_count": 0})
        homes._homes["g"] = (home, trio.CancelScope())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(homes.execute, mock.Mock(group="g"))
            await trio.sleep(0.1)
            started = trio.current_time()
            await homes.wait_idle(2.0)
            self.assertGreaterEqual(trio.current_time() - started, 0.4)
