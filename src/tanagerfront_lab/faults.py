"""Faults that experiments inject."""

from __future__ import annotations

import msgspec
import trio

from .load import VmBalancer
from .processes import Cluster, request_once

__all__ = [
    "freeze_primary",
    "freeze_vm",
    "kill_primary",
    "kill_vm",
    "replace_vm",
    "service_outage",
]

FREEZE_S = 3.0
OUTAGE_S = 5.0
BALANCER_DELAY_S = 1.0


async def kill_primary(cluster: Cluster, _balancer: VmBalancer) -> None:
    """Kill the primary of the first group."""
    cluster.kill((await cluster.primary(cluster.groups[0])).name)


async def freeze_primary(cluster: Cluster, _balancer: VmBalancer) -> None:
    """Freeze the primary of the first group and resume it after the failover."""
    primary = await cluster.primary(cluster.groups[0])
    cluster.freeze(primary.name)
    await trio.sleep(FREEZE_S)
    cluster.resume(primary.name)


async def kill_vm(cluster: Cluster, balancer: VmBalancer) -> None:
    """Kill a VM; the load balancer removes it after a delay."""
    vm = cluster.vms[-1]
    cluster.kill(vm.name)
    await trio.sleep(BALANCER_DELAY_S)
    balancer.remove(vm)
    await cluster.unregister_vm(vm)


async def freeze_vm(cluster: Cluster, balancer: VmBalancer) -> None:
    """Freeze a VM and resume it; the load balancer removes it until it is ready again."""
    vm = cluster.vms[0]
    cluster.freeze(vm.name)
    await trio.sleep(BALANCER_DELAY_S)
    balancer.remove(vm)
    await trio.sleep(FREEZE_S)
    cluster.resume(vm.name)
    await cluster.wait_ready(vm)
    balancer.add(vm)


async def replace_vm(cluster: Cluster, balancer: VmBalancer) -> None:
    """Shut a VM down for maintenance and start it again."""
    vm = cluster.vms[1]
    await cluster.register_vm(vm, "leaving")
    cluster.terminate(vm.name)
    await trio.sleep(BALANCER_DELAY_S)
    balancer.remove(vm)
    code = await cluster.wait_exited(vm.name)
    if code:
        raise RuntimeError(f"{vm.name} exited with status {code} instead of 0")
    cluster.restart(vm.name)
    await cluster.register_vm(vm)
    await cluster.wait_ready(vm)
    balancer.add(vm)


async def service_outage(cluster: Cluster, _balancer: VmBalancer) -> None:
    """Make the key-value service unreachable for OUTAGE_S seconds."""
    for down in (True, False):
        body = msgspec.json.encode({"down": down})
        await request_once(cluster.platform, "POST", "/debug/faults", body)
        if down:
            await trio.sleep(OUTAGE_S)
