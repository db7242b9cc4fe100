"""Port selection for the processes that tests and experiments start."""

from __future__ import annotations

from pathlib import Path

from support import TestCase
from tanagerfront_lab.processes import free_addresses

EPHEMERAL_PORT_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class AddressTest(TestCase):
    def test_chosen_ports_are_below_ephemeral_range(self) -> None:
        # Guards against a process that fails to listen because an outgoing connection of another
        # test got its port first (seen once in CI, in test_system_maintenance under load).
        first_ephemeral_port = (
            int(EPHEMERAL_PORT_RANGE_FILE.read_text().split()[0])
            if EPHEMERAL_PORT_RANGE_FILE.exists()
            else 32768
        )
        addresses = free_addresses("127.0.0.1", 200)
        self.assertEqual(200, len(set(addresses)))
        self.assertLess(max(address.port for address in addresses), first_ephemeral_port)
