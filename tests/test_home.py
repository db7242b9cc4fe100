"""Tests of a home's connections to its group."""

from __future__ import annotations

import trio

from memory_store import MemoryStore
from standin_group import StandinGroup
from support import TestCase, trio_test
from tanagerfront.home import GroupHome, HomeServices
from tanagerfront.pool import PoolSettings

MAX_POLLS = 250
POLL_INTERVAL_S = 0.02


async def _confirm(_term: int, _primary: str | None) -> bool:
    return False


class GroupHomeTest(TestCase):
    """Tests that run a home with stand-in databases."""

    @trio_test
    async def test_warm_sessions_are_opened_without_requests(self) -> None:
        """Guards against pools without maintenance: no task opens or checks their sessions."""
        databases = StandinGroup()
        services = HomeServices("vm-1", "1", "a", MemoryStore(), lambda _organisation: 1.0)
        async with trio.open_nursery() as nursery:
            await databases.start(nursery)
            group = databases.group()
            home = GroupHome(group, 1, services, _confirm, lambda: 0)
            await nursery.start(home.run)
            expected = PoolSettings().warm_sessions * len(group.instances)
            for _poll in range(MAX_POLLS):
                if home.connections >= expected:
                    break
                await trio.sleep(POLL_INTERVAL_S)
            self.assertEqual(expected, home.connections)
            nursery.cancel_scope.cancel()
