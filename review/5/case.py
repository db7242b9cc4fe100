"""A session that writes through two services loses sight of its write in the first one."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import KEY, Client, World, route, run  # noqa: E402

# replica_lag: replicas apply 60 times as late as the 60 ms of the site.
LAG_S = 60 * 0.06


async def case(world: World) -> str:
    world.zones = ["suame", "adum", "ayeduase"]
    first = await world.add_group("svc-a")
    await world.add_group("svc-b")

    def configure(service: str) -> None:
        world.configure([route("stock", "read_your_writes", service)])

    configure("svc-a")
    await world.start_vms(3)
    # The VM of a zone with a replica of the first service.
    vm = world.vms[1]
    client = Client(world.record, "client")
    await client.connect(vm, "stock", KEY)
    for _ in range(4):
        await client.query("READ k")
        await asyncio.sleep(0.2)
    if world.trouble:
        world.record("trouble", f"replicas of svc-a apply {LAG_S} s late")
        for instance in first.instances.values():
            instance.apply_lag_s = LAG_S
    written = await client.query("WRITE k new")
    if written.error:
        raise RuntimeError("the first write was refused")
    if world.trouble:
        configure("svc-b")
    await asyncio.sleep(0.3)
    await client.query("WRITE other x")
    if world.trouble:
        configure("svc-a")
    await asyncio.sleep(0.3)
    own = next(entry for _, query, entry, _ in first.commits if query == written.query_id)
    stale = []
    for _ in range(5):
        answer = await client.query("READ k")
        ran = [held for query, _, held in first.reads if query == answer.query_id]
        if answer.error is None and ran and ran[-1] < own:
            stale.append(f"{answer.query_id} saw {answer.rows} on {ran[-1]}, its write is {own}")
        await asyncio.sleep(0.05)
    return "; ".join(stale)


run(__file__, case)
