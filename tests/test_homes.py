"""Tests of the directory of homes, of the shutdown of local homes and of failure confirmation."""

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


def live_vm(vm: str, *, draining: bool = False) -> LiveVm:
    return LiveVm(vm, "i", f"domain-of-{vm}", Address("127.0.0.1", 1), draining, 1)


def make_homes(members: list[LiveVm], network: Any = None, service_age_s: float = 0.0) -> Homes:
    membership = mock.Mock(vm_id="vm-0", **{"live.return_value": tuple(members)})
    role_locks = mock.Mock(**{"holders.return_value": {0: "vm-1", 1: "vm-2"}})
    store = SimpleNamespace(last_answer_age_s=service_age_s)
    services: Any = SimpleNamespace(failure_domain="domain-of-vm-0", store=store)
    return Homes(services, network or mock.Mock(), membership, role_locks, mock.Mock())


class FakePeerNetwork:
    """A peer network on which each home sends a fixed reply to a primary report, or none."""

    def __init__(self, **replies: PrimaryReply) -> None:
        self._replies = {name.replace("_", "-"): reply for name, reply in replies.items()}

    def register(self, _message_type: type, _handler: object) -> None:
        pass

    async def call(self, vm: str, _message: object, _timeout_s: float) -> PrimaryReply:
        if vm not in self._replies:
            raise PeerUnreachableError(f"{vm} is unreachable")
        return self._replies[vm]


class HomesTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_draining_home_is_used_only_if_there_is_no_other(self) -> None:
        # Guards against requests to a home that is shutting down: their outcome becomes unknown.
        homes = make_homes([live_vm("vm-1", draining=True), live_vm("vm-2"), live_vm("vm-3")])
        self.assertEqual([HomeVm("vm-2", "domain-of-vm-2")], homes.homes("g"))
        only_draining = make_homes([live_vm("vm-1", draining=True)])
        self.assertEqual([HomeVm("vm-1", "domain-of-vm-1")], only_draining.homes("g"))

    @trio_test(mock_clock=True)
    async def test_shutdown_waits_for_requests_of_peers(self) -> None:
        # Guards against a home lock that is released while a peer's request is in progress.
        homes = make_homes([live_vm("vm-0")])
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


class PrimaryFailureTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_promotion_needs_confirmation_from_another_failure_domain(self) -> None:
        # Guards against a promotion by a single partitioned VM, and against a home in the same
        # partition as the primary that blocks every promotion.
        failed, reached = PrimaryReply(False, 1, "elsewhere"), PrimaryReply(True, 1, "elsewhere")
        earlier, later = PrimaryReply(False, 0, "elsewhere"), PrimaryReply(True, 2, "elsewhere")
        same_domain = PrimaryReply(False, 1, "domain-of-vm-0")
        for network, service_age_s, confirmed in (
            (FakePeerNetwork(vm_1=failed, vm_2=reached), 0.0, True),
            (FakePeerNetwork(vm_1=reached, vm_2=reached), 0.0, False),
            (FakePeerNetwork(vm_1=same_domain, vm_2=reached), 0.0, False),
            (FakePeerNetwork(vm_1=reached), 0.0, False),
            # Guards against a promotion that a home confirms because it does not reach an earlier
            # primary, and against one for a term that was already followed by another.
            (FakePeerNetwork(vm_1=earlier, vm_2=reached), 0.0, False),
            (FakePeerNetwork(vm_1=failed, vm_2=later), 0.0, False),
            (FakePeerNetwork(), 1.0, True),
            (FakePeerNetwork(), 60.0, False),
        ):
            homes = make_homes([live_vm("vm-0")], network, service_age_s)
            self.assertEqual(confirmed, await homes._confirm_primary_failure("g", 1, "a"))

    @trio_test(mock_clock=True)
    async def test_primary_without_replicas_is_reported_as_unreachable(self) -> None:
        # Guards against a failed primary that stays in place because it still replies to probes.
        homes = make_homes([live_vm("vm-0")])
        home = mock.Mock(**{"promoter.reaches_primary.return_value": False, "snapshot.term": 3})
        homes._homes["g"] = (home, trio.CancelScope())
        reply = await homes._answer_primary_report("vm-1", PrimaryReport("g", 3, "a"))
        self.assertEqual(PrimaryReply(False, 3, "domain-of-vm-0"), reply)
