"""A commit that only a draining replica has received is lost when the primary crashes."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import World, Writers, route, run  # noqa: E402

# replica_lag "deaf crash": one replica receives nothing for 6 s, and the primary crashes meanwhile.
DEAF_S = 6.0
# The other replica drains; it serves for 7 s at least.
DRAINS_BEFORE_S = 1.0


async def case(world: World) -> str:
    world.zones = ["suame", "adum", "ayeduase"]
    group = await world.add_group("svc-a", sync=1)
    world.configure([route("orders", "primary", "svc-a")])
    primary, deaf, leaving = group.instances.values()
    await world.start_vms(3)
    writers = Writers(world, "orders", 0.1)
    await asyncio.sleep(1.0)
    if world.trouble:
        world.record("operator", f"release: {leaving.name} is draining")
        leaving.state = "draining"
        group.report(leaving)
        await asyncio.sleep(DRAINS_BEFORE_S)
        world.record("trouble", f"{deaf.name} receives nothing for {DEAF_S} s")
        deaf.receives = False
        asyncio.get_running_loop().call_later(DEAF_S, setattr, deaf, "receives", True)
        await asyncio.sleep(1.0)
        world.record("trouble", f"{primary.name} crashes")
        primary.crash()
        until = time.monotonic() + DEAF_S - 1.0
        while not group.leads and time.monotonic() < until:
            await asyncio.sleep(0.02)
    await asyncio.sleep(1.0)
    await writers.end()
    return "; ".join(group.lost_commits(writers.acknowledged))


run(__file__, case)
