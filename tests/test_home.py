"""One group of databases at a home: its connections without any request."""

from __future__ import annotations

import trio

from memory_store import MemoryStore
from standin_group import StandinGroup
from support import TestCase, trio_test
from tanagerfront.home import GroupHome, HomeServices
from tanagerfront.pool import PoolSettings

ATTEMPTS = 250
INTERVAL_S = 0.02


async def _confirm(_term: int, _primary: str | None) -> bool:
    return False


class GroupHomeTest(TestCase):
    """Run a home in front of stand-in databases."""

    @trio_test
    async def test_warm_sessions_without_requests(self) -> None:
        """Guards against pools that are not maintained: nothing opens or checks their sessions."""
        databases = StandinGroup()
        services = HomeServices("vm-1", "1", "a", MemoryStore(), lambda _organisation: 1.0)
        async with trio.open_nursery() as nursery:
            await databases.start(nursery)
            group = databases.group()
            home = GroupHome(group, 1, services, _confirm, lambda: 0)
            await nursery.start(home.run)
            wanted = PoolSettings().warm_sessions * len(group.instances)
            for _attempt in range(ATTEMPTS):
                if home.connections >= wanted:
                    break
                await trio.sleep(INTERVAL_S)
            self.assertEqual(wanted, home.connections)
            nursery.cancel_scope.cancel()
