"""Datagrams between VMs over real sockets, and their encoding."""

from __future__ import annotations

import socket
from collections.abc import Callable
from unittest.mock import patch

import trio
from hypothesis import given
from hypothesis import strategies as st
from msgspec import MsgspecError

from front_fakes import RecordingLog
from standin_group import free_address
from support import TestCase, trio_test
from tanagerfront.fleet_store import RegisteredVm
from tanagerfront.rate_shares import UNKNOWN_LENDER, RateShares, TokenLoanRequest
from tanagerfront.session_model import Organisation
from tanagerfront.session_peer_messages import (
    Echo,
    Heartbeat,
    LoanRequest,
    decode_datagram,
    encode_datagram,
)
from tanagerfront.session_peers import ANNOUNCEMENT_PEERS, VmPeers


def vms_on_free_ports(count: int) -> list[RegisteredVm]:
    addresses = (free_address() for _ in range(count))
    return [
        RegisteredVm(f"vm-{number}", address.host, address.port, "suame", "x")
        for number, address in enumerate(addresses)
    ]


async def _no_loan(_request: TokenLoanRequest, _lender: str) -> int:
    return UNKNOWN_LENDER


async def until(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    """Wait until a condition holds that another task fulfils; raises AssertionError."""
    for _ in range(int(timeout_s / 0.01)):
        if condition():
            return
        await trio.sleep(0.01)
    raise AssertionError(f"the condition didn't hold within {timeout_s} s")


class Fleet:
    def __init__(self) -> None:
        self.vms = vms_on_free_ports(2)
        self.received: list[Heartbeat] = []
        self.logs = [RecordingLog(), RecordingLog()]
        self.peers = [
            VmPeers(
                own,
                vms=lambda: self.vms,
                heartbeat_recipients=lambda: [vm.name for vm in self.vms],
                replies_to_heartbeats=lambda: True,
                heartbeat=lambda own=own: Heartbeat(own.name, 5.0, 3, ["i"], [], {}),  # type: ignore[misc]
                echo=lambda sent_at: Echo(sent_at, 0.5, 9, 11),
                log=log,
            )
            for own, log in zip(self.vms, self.logs, strict=True)
        ]
        self.peers[0].on_heartbeat = self.received.append

    async def start(self, nursery: trio.Nursery) -> None:
        for peer in self.peers:
            await peer.bind()
            nursery.start_soon(peer.run)


class PeersTest(TestCase):
    @trio_test
    async def test_the_reply_to_a_heartbeat_carries_its_time(self) -> None:
        fleet = Fleet()
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await until(lambda: any(heartbeat.echo for heartbeat in fleet.received))
            echo = next(heartbeat.echo for heartbeat in fleet.received if heartbeat.echo)
            self.assertEqual(Echo(5.0, 0.5, 9, 11), echo)
            self.assertEqual(["vm-1"], list(fleet.peers[0].recent_heartbeats()))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_heartbeats_are_received_after_one_that_caused_an_error(self) -> None:
        # Guards against a process that ends, or hears nobody any more, because of one datagram.
        fleet = Fleet()
        received: list[Heartbeat] = []

        def fail_once(heartbeat: Heartbeat) -> None:
            received.append(heartbeat)
            if len(received) == 1:
                raise RuntimeError("unexpected")

        fleet.peers[0].on_heartbeat = fail_once
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await until(lambda: len(received) > 1)
            nursery.cancel_scope.cancel()
        self.assertEqual(1, len(fleet.logs[0].inputs_of("task_restarted")))

    @trio_test
    async def test_a_registered_peer_lends_tokens_and_an_unknown_one_does_not(self) -> None:
        fleet = Fleet()
        rates = RateShares("vm-1", _no_loan, lambda _vm, _organisation: 0)
        limits = {"a": Organisation("a", 1000.0, 1000.0)}
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            rates.configure(limits, ["vm-1", "vm-2", "vm-3"])
            rates.configure(limits, ["vm-1"])
            fleet.peers[1].rates = rates
            await trio.sleep(0.2)
            self.assertEqual(3, await fleet.peers[0].borrow(TokenLoanRequest("a", 3), "vm-1"))
            self.assertEqual(
                UNKNOWN_LENDER, await fleet.peers[0].borrow(TokenLoanRequest("a", 3), "vm-9")
            )
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_a_loan_request_without_an_answer_times_out_soon(self) -> None:
        fleet = Fleet()
        await fleet.peers[0].bind()
        started = trio.current_time()
        self.assertEqual(0, await fleet.peers[0].borrow(TokenLoanRequest("a", 1), "vm-1"))
        self.assertLess(trio.current_time() - started, 0.5)

    @trio_test
    async def test_an_undecodable_datagram_is_logged_and_ignored(self) -> None:
        fleet = Fleet()
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for datagram in (b"\xc1 nonsense", b"\x91" * 50_000):
                    sender.sendto(datagram, (fleet.vms[0].host, fleet.vms[0].port))
            await until(lambda: len(fleet.logs[0].inputs_of("datagram_unreadable")) == 2)
            await until(lambda: bool(fleet.received))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_heartbeats_of_unregistered_vms_are_removed(self) -> None:
        # Guards against memory use that grows with every replaced VM.
        fleet = Fleet()
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await until(lambda: "vm-1" in fleet.peers[0]._received)
            old = fleet.peers[0]._received["vm-1"]._replace(received_boottime_s=0.0)
            fleet.peers[0]._received["gone"] = old
            await until(lambda: "gone" not in fleet.peers[0]._received)
            self.assertIn("vm-1", fleet.peers[0]._received)
            nursery.cancel_scope.cancel()


class AnnouncementTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_only_coordinators_announce_a_record_to_all_vms(self) -> None:
        # Guards against a failover after which every VM sends a datagram to every other one.
        self.assertEqual(59, await self._announced_to(coordinator=True))
        self.assertEqual(3 + ANNOUNCEMENT_PEERS, await self._announced_to(coordinator=False))

    async def _announced_to(self, coordinator: bool) -> int:
        """Return to how many of 60 VMs one sends its first heartbeat after a new record."""
        vms = [RegisteredVm(f"vm-{number}", "127.0.0.1", 9, "suame", "x") for number in range(60)]
        peers = VmPeers(
            vms[0],
            vms=lambda: vms,
            heartbeat_recipients=lambda: ["vm-7", "vm-8", "vm-9"],
            replies_to_heartbeats=lambda: coordinator,
            heartbeat=lambda: Heartbeat("vm-0", 5.0, 3, [], [], {}),
            echo=lambda sent_at: Echo(sent_at, 0.5, 9, 11),
            log=RecordingLog(),
        )
        sent: list[str] = []

        async def record(_self: VmPeers, peer: RegisteredVm, _message: Heartbeat) -> None:
            sent.append(peer.name)

        peers.broadcast_heartbeat()
        with patch.object(VmPeers, "_send", record), trio.move_on_after(0.01):
            await peers._run_heartbeats()
        self.assertLessEqual({"vm-7", "vm-8", "vm-9"}, set(sent))
        return len(set(sent))


class MessageTest(TestCase):
    def test_a_message_is_unchanged_by_encoding_and_decoding(self) -> None:
        for message in (
            Heartbeat("vm", 1.0, 2, ["a"], ["b"], {"o": 3}, Echo(1.0, 0.1, 2, 3)),
            LoanRequest(1, "o", 2),
        ):
            self.assertEqual(message, decode_datagram(encode_datagram(message)))

    @given(st.binary(max_size=100))
    def test_any_bytes_are_decoded_or_raise_msgspec_error(self, data: bytes) -> None:
        try:
            decode_datagram(data)
        except MsgspecError:
            return
