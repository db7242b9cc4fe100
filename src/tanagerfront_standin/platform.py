"""Serve the platform's stand-ins in one process."""

from __future__ import annotations

import trio

from tanagerfront.http_client import Address

from .key_value import KeyValueOptions, KeyValueService
from .vm_list import VmListService

__all__ = ["serve_platform"]


async def serve_platform(
    listen: Address, vm_list_listen: Address, options: KeyValueOptions, vm_list_lag_s: float
) -> None:
    """Serve the key-value service and the list of VMs until cancelled."""
    key_value = KeyValueService(options)
    vm_list = VmListService(vm_list_lag_s)
    async with trio.open_nursery() as nursery:
        for service, address in ((key_value, listen), (vm_list, vm_list_listen)):
            listeners = await trio.open_tcp_listeners(address.port, host=address.host)
            await nursery.start(service.serve, listeners)
        print(f"platform stand-in ready on {listen} and {vm_list_listen}", flush=True)
