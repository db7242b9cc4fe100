"""Cost of the proxy against direct calls to the stand-in databases, as ratios from one run."""

from __future__ import annotations

import resource
import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec
import trio

from tanagerfront.http_client import Address, HttpConnection

from .deployments import KUMASI, caller_key
from .processes import Cluster, ClusterOptions, DatabaseProcess, VmProcess

__all__ = ["BenchResult", "cpu_seconds", "resident_kb", "run_bench"]

DURATION_S = 5.0
WARM_UP_S = 1.0
IDLE_CONNECTIONS = 2000
# The reads of the bench are not limited by the organisation's rate.
RATE = 1_000_000
POINT_READ = "SELECT seq FROM records WHERE session = 'bench'"


class Throughput(NamedTuple):
    """Calls per second, median latency in milliseconds, and CPU seconds of one process."""

    per_s: float
    median_ms: float
    cpu_s: float

    @property
    def per_cpu_s(self) -> float:
        """Return the calls per second of processor time."""
        return self.per_s * DURATION_S / self.cpu_s if self.cpu_s else 0.0


class BenchResult(NamedTuple):
    """What one run of the bench measured."""

    direct: Throughput
    proxied: Throughput
    half_load_direct_ms: float
    half_load_proxied_ms: float
    idle_vm_mb: float
    idle_connection_kb: float


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def resident_kb(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


async def _closed_loop(calls: Sequence[_Caller], pid: int) -> Throughput:
    latencies: list[float] = []
    started = trio.current_time()
    cpu = cpu_seconds(pid)
    end = started + DURATION_S

    async def repeat(call: _Caller) -> None:
        while (begun := trio.current_time()) < end:
            await call.call()
            latencies.append(trio.current_time() - begun)

    async with trio.open_nursery() as nursery:
        for call in calls:
            nursery.start_soon(repeat, call)
    seconds = trio.current_time() - started
    return Throughput(
        len(latencies) / seconds, statistics.median(latencies) * 1000, cpu_seconds(pid) - cpu
    )


async def _paced(calls: Sequence[_Caller], rate: float) -> float:
    """Return the median latency in milliseconds at `rate` calls per second."""
    latencies: list[float] = []
    interval = len(calls) / rate
    end = trio.current_time() + DURATION_S

    async def repeat(call: _Caller, offset: float) -> None:
        due = trio.current_time() + offset
        while due < end:
            await trio.sleep_until(due)
            begun = trio.current_time()
            await call.call()
            latencies.append(trio.current_time() - begun)
            due += interval

    async with trio.open_nursery() as nursery:
        for number, call in enumerate(calls):
            nursery.start_soon(repeat, call, interval * number / len(calls))
    return statistics.median(latencies) * 1000


async def _direct_calls(database: DatabaseProcess, count: int) -> list[_Caller]:
    body = msgspec.json.encode(
        {
            "term": 1,
            "statements": [{"sql": POINT_READ, "params": []}],
            "begin": True,
            "commit": True,
            "read_only": True,
        }
    )
    return await _open_callers(database.address, "/execute", body, [], count)


async def _proxied_calls(vm: VmProcess, group: str, count: int) -> list[_Caller]:
    body = msgspec.json.encode({"params": {"session": "bench"}})
    headers = [("authorization", f"Bearer {caller_key(KUMASI.organisations[0].name)}")]
    return await _open_callers(vm.callers, f"/v1/routes/{group}-list", body, headers, count)


class _Caller:
    """Repeat one request on one connection."""

    def __init__(
        self,
        connection: HttpConnection,
        path: str,
        body: bytes,
        headers: Sequence[tuple[str, str]],
    ) -> None:
        self._connection = connection
        self._request = (path, body)
        self._headers = headers

    async def call(self) -> None:
        path, body = self._request
        reply = await self._connection.request(
            "POST", path, body, headers=self._headers, timeout_s=10
        )
        if reply.status != 200:
            raise RuntimeError(f"{self._connection.address}: {reply.status}: {reply.body!r}")

    async def close(self) -> None:
        await self._connection.close()


async def _open_callers(
    address: Address,
    path: str,
    body: bytes,
    headers: Sequence[tuple[str, str]],
    count: int,
) -> list[_Caller]:
    connections = [await HttpConnection.open(address) for _ in range(count)]
    return [_Caller(connection, path, body, headers) for connection in connections]


async def _idle_memory_kb(cluster: Cluster, vm: VmProcess) -> float:
    before = resident_kb(cluster.pid(vm.name))
    streams = [await trio.open_tcp_stream(*vm.callers) for _ in range(IDLE_CONNECTIONS)]
    request = b"GET /healthz HTTP/1.1\r\nhost: vm\r\n\r\n"
    for stream in streams:
        await stream.send_all(request)
        await stream.receive_some(4096)
    after = resident_kb(cluster.pid(vm.name))
    for stream in streams:
        await stream.aclose()
    return (after - before) / IDLE_CONNECTIONS


async def run_bench() -> BenchResult:
    """Measure one VM in front of one stand-in database, called over equally many connections."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (8192, 8192))
    tenant = KUMASI.organisations[0]._replace(rate=RATE, burst=RATE)
    deployment = KUMASI._replace(organisations=(tenant,), instances=1, slots=16, vms=1)
    options = ClusterOptions(
        vms=1, groups=1, homes=1, statement_ms=0, receive_delay_ms=0, apply_delay_ms=0
    )
    async with Cluster(deployment, options) as cluster:
        vm = cluster.vms[0]
        idle_vm_mb = resident_kb(cluster.pid(vm.name)) / 1024
        idle_connection_kb = await _idle_memory_kb(cluster, vm)
        primary = await cluster.primary(cluster.groups[0])
        # The proxy keeps one probe connection to the instance and has a reserve for promotions.
        count = deployment.connections - 2
        proxied_calls = await _proxied_calls(vm, cluster.groups[0], count)
        await _paced(proxied_calls, 200)
        proxied = await _closed_loop(proxied_calls, cluster.pid(vm.name))
        half_load_proxied_ms = await _paced(proxied_calls, proxied.per_s / 2)
        # The instance has no connections left for direct calls while the VM runs.
        cluster.terminate(vm.name)
        await cluster.wait_exited(vm.name)
        direct_calls = await _direct_calls(primary, count)
        direct = await _closed_loop(direct_calls, cluster.pid(primary.name))
        half_load_direct_ms = await _paced(direct_calls, proxied.per_s / 2)
        return BenchResult(
            direct=direct,
            proxied=proxied,
            half_load_direct_ms=half_load_direct_ms,
            half_load_proxied_ms=half_load_proxied_ms,
            idle_vm_mb=idle_vm_mb,
            idle_connection_kb=idle_connection_kb,
        )
