"""ONE: an order of a promoter that lost its lock arrives after that of the next one."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import Caller, Deployment, Record, run_case  # noqa: E402

VMS = 3
PARTITION_S = 5.5
OBSERVED_S = 12.0


async def write(deployment: Deployment, record: Record) -> None:
    """Let a caller at each VM write every 0.2 s."""
    number = 0
    while True:
        for vm in deployment.vms:
            number += 1
            caller = Caller(vm, record, f"caller{number}")
            try:
                if await caller.connect("tickets", "key-tenant0") is None:
                    await caller.query(f"w{number}", f"WRITE 1a d{number}", 1.2)
                caller.close()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
        await asyncio.sleep(0.2)


async def case(record: Record, trouble: bool) -> bool:
    async with Deployment(record, VMS) as deployment:
        await deployment.wait_ready()
        load = asyncio.create_task(write(deployment, record))
        await asyncio.sleep(3)
        loop = asyncio.get_running_loop()
        partitioned: list[str] = []

        def watch(name: str, data: bytes) -> None:
            """Partition the first VM that orders a promotion, while its order is on the way."""
            if not data.startswith(b"POST /promote") or partitioned or not trouble:
                return
            partitioned.append(name)
            record.add(f"{name}: is partitioned from the platform for {PARTITION_S} s")
            for link in (deployment.store_links[name], deployment.cloud_links[name]):
                link.cut()
                loop.call_later(PARTITION_S, link.heal)

        for vm in deployment.vms:
            link = deployment.cloud_links[vm.name]
            link.on_bytes = lambda data, name=vm.name: watch(name, data)
        await deployment.group.crash(deployment.group.instances[0])
        await asyncio.sleep(OBSERVED_S)
        load.cancel()
        broken, highest = False, 0
        for at, holder, token, instance in deployment.platform.orders:
            if token < highest:
                broken = True
                record.add(
                    f"broken: at {at:.3f} {holder} orders {instance} with token {token},"
                    f" after one with token {highest}"
                )
            highest = max(highest, token)
        print(partitioned, deployment.platform.orders)
        if trouble and not partitioned:
            raise RuntimeError("no promotion was ordered")
        return broken


sys.exit(run_case(FOLDER, case))
