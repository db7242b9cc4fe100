"""A large configuration reaches VMs with small links, over real sockets."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import Any

import trio

from front_fakes import RecordingLog, vm
from support import TestCase, trio_test
from tanagerfront.change_history import ChangeHistory
from tanagerfront.confirmed_state import ConfirmedState, StalenessLimits
from tanagerfront.errors import ConnectionLostError
from tanagerfront.fleet_store import RegisteredVm
from tanagerfront.fleet_sync import FleetSync
from tanagerfront.http_client import Address
from tanagerfront.http_server import serve_http
from tanagerfront.instance_directory import InstanceDirectory
from tanagerfront.platform.changes_wire import ChangesHandler
from tanagerfront.platform.fleet_store import PlatformFleetStore
from tanagerfront.platform.main import STORE_TIMEOUT_S
from tanagerfront.platform.store import StoreClient
from tanagerfront.rate_shares import UNKNOWN_LENDER, RateShares, TokenLoanRequest
from tanagerfront.session_model import InstanceRegistration, boottime_s
from tanagerfront_standin.platform_store import PlatformStore

# Links of small VMs, and of the few with more processor time, which are coordinators.
SMALL_LINK_BYTES_PER_S = 5_000_000 / 8
LARGE_LINK_BYTES_PER_S = 100_000_000 / 8
LINK_CHUNK_BYTES = 8192
HEARTBEAT_INTERVAL_S = 0.3
# The bound is 5 s; what is left is for statements that share the link.
IN_FORCE_WITHIN_S = 3.0
KEYS_S = 4.5
LARGE_VMS = 4
VMS = 16
ROUTES = 1900


async def _no_opener(_registration: InstanceRegistration, _organisation: str) -> object:
    raise ConnectionLostError("not used", executed="no")


async def _no_loan(_request: TokenLoanRequest, _lender: str) -> int:
    return UNKNOWN_LENDER


async def _no_promotion(_group: str, _instance: str, _holder: str, _token: int) -> bool:
    return False


class Link:
    """A VM's link: replies that it receives from the store and sends to VMs share its rate."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self.bytes: Counter[str] = Counter()

    async def listen(self, nursery: trio.Nursery, target: Address, kind: str) -> int:
        """Forward connections to a target; return the port."""
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        forward = partial(self._forward, target=target, kind=kind)
        nursery.start_soon(trio.serve_listeners, forward, [listener])
        return int(listener.socket.getsockname()[1])

    async def _forward(self, stream: trio.SocketStream, target: Address, kind: str) -> None:
        server = await trio.open_tcp_stream(target.host, target.port)
        async with stream, server, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, stream, server, "requests")
            await self._copy(server, stream, kind)
            nursery.cancel_scope.cancel()

    async def _copy(self, source: trio.SocketStream, sink: trio.SocketStream, kind: str) -> None:
        try:
            while data := await source.receive_some(LINK_CHUNK_BYTES):
                self.bytes[kind] += len(data)
                now = trio.current_time()
                self._free_at = max(now, self._free_at) + len(data) / self._bytes_per_s
                await trio.sleep(self._free_at - now)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


class Vm:
    """One VM with its own link, store clients and change history."""

    def __init__(self, name: str, failure_domain: str, *, large: bool) -> None:
        self.name = name
        self._cores = 2.0 if large else 0.5
        self.link = Link(LARGE_LINK_BYTES_PER_S if large else SMALL_LINK_BYTES_PER_S)
        self.log = RecordingLog()
        self.confirmed_state = ConfirmedState(StalenessLimits(KEYS_S, 3.0, 4.0, 5.5))
        self._failure_domain = failure_domain
        self.sync: FleetSync

    async def start(self, nursery: trio.Nursery, store: Address) -> None:
        """Start the VM; its peers reach it over its link."""
        history = ChangeHistory()
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(serve_http, [listener], lambda stream: ChangesHandler(history))
        changes = Address("127.0.0.1", listener.socket.getsockname()[1])
        port = await self.link.listen(nursery, changes, "peers")
        own: RegisteredVm = vm(self.name)._replace(
            port=port - 1, failure_domain=self._failure_domain, cores=self._cores
        )
        through = Address("127.0.0.1", await self.link.listen(nursery, store, "store"))
        clients = [StoreClient(through, STORE_TIMEOUT_S) for _ in range(3)]
        self.sync = FleetSync(
            PlatformFleetStore(*clients, self.log, history),
            self.confirmed_state,
            InstanceDirectory(_no_opener, self._failure_domain),  # type: ignore[arg-type]
            RateShares(self.name, _no_loan, lambda _vm, _organisation: 0),
            own,
            self.log,
        )
        nursery.start_soon(self.sync.run)

    @property
    def version(self) -> int:
        configuration = self.confirmed_state.configuration
        return configuration.version if configuration is not None else 0


def _configuration(version: int, routes: int) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            {
                "name": f"route-{number * 7919 % 10007}",
                "database": f"database-{number}",
                "service": "orders",
                "type": "bounded",
                "timeout_ms": 1000,
                "target_latency_ms": 500,
                "max_staleness_ms": 2000,
                "allow_anonymous": False,
            }
            for number in range(routes)
        ],
    }


async def _exchange_heartbeats(fleet: list[Vm]) -> None:
    """Let the coordinators reply to the heartbeats of all VMs."""
    by_name = {each.name: each for each in fleet}
    while True:
        await trio.sleep(HEARTBEAT_INTERVAL_S)
        for each in fleet:
            for name in each.sync.coordinators:
                if name != each.name:
                    each.sync.record_echo(name, by_name[name].sync.echo(boottime_s()))


class LinkTest(TestCase):
    @trio_test
    async def test_a_large_configuration_is_in_force_everywhere_within_the_bound(self) -> None:
        # Guards against a fleet that a large configuration takes out of service: reads from the
        # store exceeded the call's timeout and filled the links until no VM had confirmed keys.
        standin = PlatformStore(_no_promotion)
        fleet = [
            Vm(f"vm-{number}", ("north", "south")[number % 2], large=number < LARGE_VMS)
            for number in range(VMS)
        ]
        async with trio.open_nursery() as nursery:
            address = await nursery.start(standin.run, Address("127.0.0.1", 0))
            standin.put("op/config", _configuration(1, 5))
            for each in fleet:
                await each.start(nursery, address)
            await trio.sleep(1.0)
            nursery.start_soon(_exchange_heartbeats, fleet)
            await trio.sleep(2.0)
            self.assertEqual({1}, {each.version for each in fleet})
            before = {each.name: each.link.bytes["store"] for each in fleet}
            standin.put("op/config", _configuration(2, ROUTES))
            with trio.move_on_after(IN_FORCE_WITHIN_S):
                while {each.version for each in fleet} != {2}:
                    self._check_confirmed(fleet)
                    await trio.sleep(0.02)
            behind = {each.name: each.log.events[-5:] for each in fleet if each.version != 2}
            self.assertEqual({}, behind)
            await trio.sleep(3 * HEARTBEAT_INTERVAL_S)
            self._check_confirmed(fleet)
            # Only the coordinators read the value from the store.
            large = {n for n in before if self._read(fleet, n) - before[n] > 100_000}
            events = {each.name: each.log.events[-5:] for each in fleet if each.name in large}
            self.assertLessEqual(large, set(fleet[0].sync.coordinators), events)
            nursery.cancel_scope.cancel()

    def _check_confirmed(self, fleet: list[Vm]) -> None:
        for each in fleet:
            age_s = each.confirmed_state.confirmation_age_s
            self.assertLess(age_s, KEYS_S, (each.name, each.log.events[-5:]))

    def _read(self, fleet: list[Vm], name: str) -> int:
        return next(each.link.bytes["store"] for each in fleet if each.name == name)
