"""Measure how memory, CPU time, traffic and calls grow with size, for CAPACITY.md."""

from __future__ import annotations

import gc
import resource
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple

import msgspec
import trio

from tanagerfront._limits_bucket import BucketPart
from tanagerfront._role_locks_order import LockHolder, claim_order
from tanagerfront.configuration import Configuration
from tanagerfront.http_client import Address
from tanagerfront.membership import LiveVm
from tanagerfront.role_locks import PREFIX, RoleLocks

from .bench import cpu_seconds, resident_kb
from .deployments import KUMASI, TEAM, Deployment, OrganisationLimits, document
from .processes import Cluster, ClusterOptions, request_once

__all__ = ["Slope", "measure_slopes"]

IDLE_S = 10.0
# By then the role locks are held and the idle streams are established.
SETTLE_S = 14.0
FLEET_SIZES = (3, 6, 9, 12)
GROUP_SIZES = (1, 2, 4, 6)
CONNECTION_SIZES = (500, 1000, 1500, 2000)
ORGANISATION_SIZES = (100, 400, 1000, 2000)
LIVE_SIZES = (4, 8, 16, 32)
ROLE_LOCK_COUNTS = (300, 1500, 3000, 6000)
GRANT_SIZES = (1000, 4000, 8000, 16000)


class Slope(NamedTuple):
    """A linear fit of a quantity in `unit` against a size counted in `per`."""

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    max_residual: float


def fit(name: str, unit: str, per: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares fit of the points (size, value)."""
    sizes, values = [size for size, _ in points], [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    residuals = [abs(value - (line.slope * size + line.intercept)) for size, value in points]
    return Slope(name, unit, per, tuple(points), line.slope, line.intercept, max(residuals))


def _loopback_bytes() -> int:
    for line in Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":", 1)[1].split()[0])
    raise RuntimeError("no interface lo in /proc/net/dev")


class _IdleUsage(NamedTuple):
    """Resources that each VM of an idle fleet uses on average."""

    cpu_percent: float
    memory_mb: float
    bytes_per_s: float
    calls_per_s: float


async def _service_calls(address: Address) -> int:
    reply = await request_once(address, "GET", "/debug/calls")
    counted = msgspec.json.decode(reply.body)
    return sum(value for value in counted.values() if isinstance(value, int))


async def _measure_idle_usage(deployment: Deployment, vms: int, groups: int) -> _IdleUsage:
    deployment = deployment._replace(vms=vms)
    async with Cluster(deployment, ClusterOptions(vms=vms, groups=groups)) as cluster:
        await trio.sleep(SETTLE_S)
        pids = [cluster.pid(vm.name) for vm in cluster.vms]
        cpu = [cpu_seconds(pid) for pid in pids]
        sent, calls = _loopback_bytes(), await _service_calls(cluster.platform)
        await trio.sleep(IDLE_S)
        used = [cpu_seconds(pid) - before for pid, before in zip(pids, cpu, strict=True)]
        return _IdleUsage(
            cpu_percent=statistics.mean(used) / IDLE_S * 100,
            memory_mb=statistics.mean(resident_kb(pid) for pid in pids) / 1024,
            bytes_per_s=(_loopback_bytes() - sent) / IDLE_S / vms,
            calls_per_s=(await _service_calls(cluster.platform) - calls) / IDLE_S / vms,
        )


async def _fleet_slopes() -> list[Slope]:
    """Measure an idle VM against the fleet size, with one group so that homes stay constant."""
    idle = [(vms, await _measure_idle_usage(KUMASI, vms, 1)) for vms in FLEET_SIZES]
    return [
        fit("idle VM, processor", "% of a core", "VM", [(n, use.cpu_percent) for n, use in idle]),
        fit("idle VM, memory", "MB", "VM", [(n, use.memory_mb) for n, use in idle]),
        fit(
            "idle fleet, loopback traffic for each VM, databases included",
            "KB/s",
            "VM",
            [(n, use.bytes_per_s / 1000) for n, use in idle],
        ),
        fit("service calls of a VM", "calls/s", "VM", [(n, use.calls_per_s) for n, use in idle]),
    ]


async def _group_slopes() -> list[Slope]:
    """Measure a VM against the number of groups; each of three VMs is a home of every group."""
    names = tuple(f"group-{number}" for number in range(max(GROUP_SIZES)))
    deployment = KUMASI._replace(groups=names)
    idle = [(n, await _measure_idle_usage(deployment, 3, n)) for n in GROUP_SIZES]
    return [
        fit("home, processor", "% of a core", "group", [(n, use.cpu_percent) for n, use in idle]),
        fit("home, memory", "MB", "group", [(n, use.memory_mb) for n, use in idle]),
        fit("home, service calls", "calls/s", "group", [(n, use.calls_per_s) for n, use in idle]),
    ]


async def _connection_slopes() -> list[Slope]:
    """Measure the memory of idle caller connections."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (8192, 8192))
    points: list[tuple[float, float]] = []
    async with Cluster(KUMASI, ClusterOptions(vms=1, groups=1, homes=1)) as cluster:
        vm = cluster.vms[0]
        streams: list[trio.SocketStream] = []
        for size in CONNECTION_SIZES:
            while len(streams) < size:
                stream = await trio.open_tcp_stream(*vm.callers)
                await stream.send_all(b"GET /healthz HTTP/1.1\r\nhost: vm\r\n\r\n")
                await stream.receive_some(4096)
                streams.append(stream)
            points.append((size, resident_kb(cluster.pid(vm.name))))
        for stream in streams:
            await stream.aclose()
    return [fit("caller connections, memory", "KB", "connection", points)]


def _min_run_s(run: Callable[[], object], repeat: int = 3) -> float:
    """Return the duration of the fastest run, which other load on the machine affects least."""
    times = []
    for _ in range(repeat):
        started = time.perf_counter()
        run()
        times.append(time.perf_counter() - started)
    return min(times)


def _document_with_organisations(count: int) -> str:
    organisations = tuple(OrganisationLimits(f"org-{number}", 10, 20, 1) for number in range(count))
    deployment = KUMASI._replace(organisations=organisations, groups=KUMASI.groups[:1])
    instances = {KUMASI.groups[0]: ["suame@127.0.0.1:7101"]}
    return document(deployment, instances)


def _load_document(text: str) -> Configuration:
    return Configuration.from_sections(1, {TEAM: text})


def _configuration_slopes() -> Iterator[Slope]:
    texts = [(size, _document_with_organisations(size)) for size in ORGANISATION_SIZES]
    yield fit(
        "configuration, parse and check",
        "ms",
        "organisation",
        [(size, _min_run_s(lambda text=text: _load_document(text)) * 1000) for size, text in texts],  # type: ignore[misc]
    )
    yield fit(
        "configuration, text", "KB", "organisation", [(n, len(text) / 1000) for n, text in texts]
    )
    memory = []
    for size, text in texts:
        gc.collect()
        tracemalloc.start()
        configuration = _load_document(text)
        memory.append((size, tracemalloc.get_traced_memory()[0] / 1000))
        tracemalloc.stop()
        del configuration
    yield fit("configuration, memory", "KB", "organisation", memory)


def _claim_order_slopes() -> Iterator[Slope]:
    def order(live: Sequence[LiveVm]) -> object:
        return claim_order("home", "group-1", 0, live, (LockHolder("vm-1", "suame"),))

    points = []
    for size in LIVE_SIZES:
        live = [
            LiveVm(f"vm-{n}", "i", f"domain-{n % 7}", Address("127.0.0.1", 1), False, 1)
            for n in range(size)
        ]
        points.append((size, _min_run_s(lambda live=live: order(live)) * 1e6))  # type: ignore[misc]
    yield fit("claim order of one free seat", "µs", "known VM", points)


def _grant_slopes() -> Iterator[Slope]:
    def serve(count: int) -> None:
        part = BucketPart(1e9, 1e9, 0.0)
        for number in range(count):
            now = number * 0.001
            grant = part.grant(4, now + 2.0, now)
            part.record_report(grant.id, 4, 0, now + 0.0005)

    points = [(n, _min_run_s(lambda n=n: serve(n)) * 1000) for n in GRANT_SIZES]  # type: ignore[misc]
    yield fit("token grants and their reports", "ms", "grant", points)


def _populated_role_locks(role_locks: int) -> RoleLocks:
    """Return a registry of role locks, three for each group, all held by other VMs."""
    own = LiveVm("vm-0", "i", "domain-0", Address("127.0.0.1", 1), False, 1)
    live = [own._replace(id=f"vm-{n}", failure_domain=f"domain-{n % 7}") for n in range(16)]
    membership: Any = SimpleNamespace(own=own, vm_id=own.id, live=lambda: tuple(live))
    lease: Any = SimpleNamespace(contact_stable=True, valid=True, lease=1)
    store: Any = None
    registry = RoleLocks(store, lease, membership)
    registry.set_lock_counts({("home", f"group-{n}"): 3 for n in range(role_locks // 3)})
    for number in range(role_locks):
        record = {
            "vm": f"vm-{number % 5200 + 1}",
            "incarnation": "i",
            "failure_domain": f"domain-{number % 7}",
            "lease": number + 2,
        }
        key = f"{PREFIX}home/group-{number // 3}/{number % 3}"
        registry._apply_entry(key, msgspec.json.encode(record), number + 1)
    return registry


async def _role_lock_slopes() -> list[Slope]:
    """Measure the memory and check time of a VM's table of all role locks in the fleet."""
    memory, check = [], []
    for size in ROLE_LOCK_COUNTS:
        gc.collect()
        tracemalloc.start()
        registry = _populated_role_locks(size)
        memory.append((size, tracemalloc.get_traced_memory()[0] / 1000))
        tracemalloc.stop()
        started = time.perf_counter()
        await registry._check_locks()
        check.append((size, (time.perf_counter() - started) * 1000))
    return [
        fit("known seats, memory", "KB", "seat", memory),
        fit("known seats, one check", "ms", "seat", check),
    ]


async def measure_slopes() -> tuple[Slope, ...]:
    """Run all measurements sequentially."""
    slopes = [*_configuration_slopes(), *_claim_order_slopes(), *_grant_slopes()]
    slopes += await _role_lock_slopes()
    slopes += await _connection_slopes()
    slopes += await _fleet_slopes()
    slopes += await _group_slopes()
    return tuple(slopes)
