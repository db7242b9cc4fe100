"""A VM that is stopped takes work until its last moment and cuts off what it has just taken."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import KEY, Balancer, Client, World, route, run  # noqa: E402

GRACE_S = 6.0
# roll_term: machines are stopped and started in turn, one at a time, one each 1.3 s.
GAP_S = 1.3
# Of a request sent later than this after SIGTERM the rule excuses nothing but its own time.
EXCUSED_S = 3.0
# The rule counts requests until this long after SIGTERM.
COUNTED_S = GRACE_S + 1.0
# Seven tenths of the route's 1.5 s.
OWN_TIME_S = 1.05
# Three sevenths of the load of klw-orders: lookups with a session each, and sessions that are
# mostly idle. A read takes 22 ms.
LOOKUPS_PER_S = 80
LONG_SESSIONS = 65
PAUSE_S = 3.0
WORK_S = 0.022
TRAFFIC_S = 33.0
# All machines are stopped twice.
ROUNDS = 2


class Requests:
    """What became of the requests."""

    def __init__(self, group) -> None:
        self.group = group
        self.answered = 0
        self.cut: list[str] = []

    async def send(self, client: Client, vm, query_id: str) -> bool:
        """Send one read and return whether it was answered."""
        stopped_at, process, sent_at = vm.stopped_at, vm.process, time.monotonic()
        try:
            await client.query(f"READ {int(query_id, 16) % 2000:x}", query_id=query_id)
            self.answered += 1
            return True
        except (TimeoutError, OSError) as error:
            taken_s = time.monotonic() - sent_at
            client.record(client.name, f"{query_id} at {vm.name}: no answer, {error!r}")
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(process.wait(), GRACE_S)
        stopped_at = stopped_at or vm.stopped_at
        since_s = sent_at - stopped_at
        passed_on = query_id in {query for query, _, _ in self.group.arrivals}
        counted = stopped_at and EXCUSED_S < since_s < COUNTED_S
        if passed_on and counted and taken_s < OWN_TIME_S:
            self.cut.append(
                f"{query_id} was sent {since_s:.2f} s after SIGTERM of {vm.name}, reached an"
                f" instance, and its connection ended {taken_s * 1000:.0f} ms later"
            )
        return False


async def case(world: World) -> str:
    world.zones = ["suame"]
    group = await world.add_group("svc-a")
    world.configure([route("catalogue", "bounded", "svc-a")])
    for instance in group.instances.values():
        instance.work_s = WORK_S
    await world.start_vms(3)
    balancer = Balancer(world, "suame")
    requests = Requests(group)
    rng = random.Random(7)
    until = time.monotonic() + TRAFFIC_S

    async def connect(number: int) -> tuple[Client, object] | None:
        """Open a session at the node of the client's hash; retries reach other nodes."""
        for attempt in range(3):
            vm = balancer.choose(number, attempt)
            client = Client(world.record, f"client-{number}")
            try:
                await client.connect(vm, "catalogue", KEY)
                return client, vm
            except (TimeoutError, OSError):
                continue
        return None

    async def look_up(number: int) -> None:
        """Open a session for one read."""
        opened = await connect(number)
        if opened is not None:
            await requests.send(*opened, f"{number:06x}{rng.getrandbits(40):010x}")
            opened[0].close()

    async def stay(number: int) -> None:
        """Keep a session that reads now and then; connect again after a close."""
        while time.monotonic() < until:
            opened = await connect(number)
            while opened is not None and time.monotonic() < until:
                client, vm = opened
                closed = asyncio.ensure_future(client.reader.read(1))
                done, _ = await asyncio.wait([closed], timeout=rng.expovariate(1 / PAUSE_S))
                if done:
                    client.close()
                    break
                closed.cancel()
                await asyncio.wait([closed])
                if not await requests.send(client, vm, f"{number:06x}{rng.getrandbits(40):010x}"):
                    break
            await asyncio.sleep(0.05)

    async def look_ups() -> None:
        running, number = set(), LONG_SESSIONS
        while time.monotonic() < until:
            number += 1
            running.add(asyncio.ensure_future(look_up(number)))
            await asyncio.sleep(rng.expovariate(LOOKUPS_PER_S))
        await asyncio.wait(running, timeout=10)

    clients = [asyncio.ensure_future(stay(number)) for number in range(LONG_SESSIONS)]
    clients.append(asyncio.ensure_future(look_ups()))
    await asyncio.sleep(3.0)
    for _ in range(ROUNDS if world.trouble else 0):
        rolls = []
        for vm in world.vms:
            rolls.append(asyncio.ensure_future(vm.roll(GRACE_S, 1.0)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*rolls)
        # All are in rotation again.
        await asyncio.sleep(4.0)
    await asyncio.wait(clients, timeout=20)
    world.record("script", f"{requests.answered} answered, {len(requests.cut)} cut off")
    return "; ".join(requests.cut)


run(__file__, case)
