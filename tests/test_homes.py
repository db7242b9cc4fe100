"""Homes of a group as seen from one VM, and the end of this VM's own."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from unittest import mock

import trio
import trio.lowlevel

from support import TestCase, trio_test
from tanagerfront.errors import PeerUnreachableError, UnavailableError
from tanagerfront.home_calls import HomeVm
from tanagerfront.homes import Homes
from tanagerfront.http_client import Address
from tanagerfront.membership import LiveVm
from tanagerfront.messages import PrimaryReply, PrimaryReport


def live(vm: str, *, draining: bool = False) -> LiveVm:
    return LiveVm(vm, "i", f"domain-of-{vm}", Address("127.0.0.1", 1), draining, 1)


def homes_of(members: list[LiveVm], network: Any = None, service_age_s: float = 0.0) -> Homes:
    membership = mock.Mock(vm_id="vm-0", **{"live.return_value": tuple(members)})
    role_locks = mock.Mock(**{"holders.return_value": {0: "vm-1", 1: "vm-2"}})
    store = SimpleNamespace(last_answer_age_s=service_age_s)
    services: Any = SimpleNamespace(failure_domain="domain-of-vm-0", store=store)
    return Homes(services, network or mock.Mock(), membership, role_locks, mock.Mock())


class Answers:
    """A peer network on which each home gives a fixed answer to a suspicion, or none."""

    def __init__(self, **replies: PrimaryReply) -> None:
        self._replies = {name.replace("_", "-"): reply for name, reply in replies.items()}

    def register(self, _message_type: type, _handler: object) -> None:
        pass

    async def call(self, vm: str, _message: object, _timeout_s: float) -> PrimaryReply:
        if vm not in self._replies:
            raise PeerUnreachableError(f"{vm} is gone")
        return self._replies[vm]


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


class SuspicionTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_two_failure_domains_have_to_agree(self) -> None:
        # Guards against a promotion by one VM that is cut off, and against a home that is cut off
        # together with the primary and stops every promotion.
        gone, there = PrimaryReply(False, 1, "elsewhere"), PrimaryReply(True, 1, "elsewhere")
        same_domain = PrimaryReply(False, 1, "domain-of-vm-0")
        for answers, service_age_s, confirmed in (
            (Answers(vm_1=gone, vm_2=there), 0.0, True),
            (Answers(vm_1=there, vm_2=there), 0.0, False),
            (Answers(vm_1=same_domain, vm_2=there), 0.0, False),
            (Answers(vm_1=there), 0.0, False),
            (Answers(), 1.0, True),
            (Answers(), 60.0, False),
        ):
            homes = homes_of([live("vm-0")], answers, service_age_s)
            self.assertEqual(confirmed, await homes._confirm("g", 1, "a"))

    @trio_test(mock_clock=True)
    async def test_primary_without_replicas_is_not_reported_as_reached(self) -> None:
        # Guards against homes that keep a primary because it still answers their probes.
        homes = homes_of([live("vm-0")])
        home = mock.Mock(**{"promoter.reaches_primary.return_value": False, "snapshot.term": 3})
        homes._homes["g"] = (home, trio.CancelScope())
        reply = await homes._answer_primary_report("vm-1", PrimaryReport("g", 3, "a"))
        self.assertEqual(PrimaryReply(False, 3, "domain-of-vm-0"), reply)
