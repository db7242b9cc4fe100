"""Addresses of the processes that tests and experiments start."""

from __future__ import annotations

from pathlib import Path

from support import TestCase
from tanagerfront_lab.processes import free_addresses

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class AddressTest(TestCase):
    def test_no_outgoing_connection_can_take_a_planned_port(self) -> None:
        # Guards against a process that finds its port in use, because a connection of another test
        # was given it meanwhile (test_system_maintenance, once in a CI run beside other work).
        first = int(RANGE.read_text().split()[0]) if RANGE.exists() else 32768
        found = free_addresses("127.0.0.1", 200)
        self.assertEqual(200, len(set(found)))
        self.assertLess(max(each.port for each in found), first)
