"""Hosts for the processes that tests and experiments start."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path
from unittest import mock

from support import TestCase
from tanagerfront_standin import loopback
from tanagerfront_standin.loopback import ReservedHost

EPHEMERAL_PORT_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
RESERVE_AND_WAIT = """
import sys
from tanagerfront_standin.loopback import ReservedHost
host = ReservedHost()
print(host.name, flush=True)
sys.stdin.read()
"""


class _Sequence:
    """Replaces the random generator by a sequence of host numbers."""

    def __init__(self, numbers: list[int]) -> None:
        self._numbers = iter(numbers)

    def randint(self, _low: int, _high: int) -> int:
        return next(self._numbers)


def reserve(*numbers: int) -> ReservedHost:
    """Reserve the first free one of the hosts 127.9.9.N."""
    choices = [part for number in numbers for part in (9, 9, number)]
    with mock.patch.object(loopback.random, "SystemRandom", lambda: _Sequence(choices)):
        return ReservedHost()


class ReservedHostTest(TestCase):
    def test_chosen_ports_are_below_ephemeral_range(self) -> None:
        # Guards against a process that fails to listen because an outgoing connection of another
        # test got its port first (seen once in CI, in test_system_maintenance under load).
        first_ephemeral_port = (
            int(EPHEMERAL_PORT_RANGE_FILE.read_text().split()[0])
            if EPHEMERAL_PORT_RANGE_FILE.exists()
            else 32768
        )
        with ReservedHost() as host:
            addresses = [host.next_address() for _ in range(200)]
        self.assertEqual(200, len(set(addresses)))
        self.assertLess(max(address.port for address in addresses), first_ephemeral_port)

    def test_reserved_host_is_not_reserved_again(self) -> None:
        # Guards against two clusters that listen on the same ports: a process of the later one
        # ended with "Address already in use" (seen twice in test_system_silence).
        with reserve(1) as first, reserve(1, 1, 2) as second:
            self.assertEqual(("127.9.9.1", "127.9.9.2"), (first.name, second.name))
        with reserve(1) as again:
            self.assertEqual("127.9.9.1", again.name)

    def test_reservation_of_another_process_holds_until_its_end(self) -> None:
        # Guards against runs of several checkouts that meet on one host, and against hosts that
        # stay reserved after a process was killed.
        with subprocess.Popen(
            [sys.executable, "-c", RESERVE_AND_WAIT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            assert process.stdout is not None
            name = process.stdout.readline().strip()
            with socket.socket() as other, self.assertRaises(OSError):
                other.bind((name, loopback.RESERVATION_PORT))
            process.kill()
            process.wait()
        with socket.socket() as other:
            other.bind((name, loopback.RESERVATION_PORT))

    def test_no_free_host_is_an_error(self) -> None:
        # Guards against an endless search where another program listens on the port of all hosts.
        with reserve(3), mock.patch.object(loopback, "MAX_ATTEMPTS", 2):
            self.assertRaises(OSError, reserve, 3, 3)
