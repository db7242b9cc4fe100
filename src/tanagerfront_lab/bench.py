"""Benchmark of calls through the HTTP interface against direct calls to a stand-in database."""

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
# High enough that the rate limit never applies to the benchmark.
UNLIMITED_RATE = 1_000_000
POINT_READ = "SELECT seq FROM records WHERE session = 'bench'"


class Throughput(NamedTuple):
    """Calls per second, median latency and CPU time of the measured process."""

    per_s: float
    median_ms: float
    cpu_s: float

    @property
    def per_cpu_s(self) -> float:
        """Return the calls per second of CPU time."""
        return self.per_s * DURATION_S / self.cpu_s if self.cpu_s else 0.0


class BenchResult(NamedTuple):
    """Results of a benchmark run; half load is half of the proxied throughput."""

    direct: Throughput
    proxied: Throughput
    half_load_direct_ms: float
    half_load_proxied_ms: float
    idle_vm_mb: float
    idle_connection_kb: float


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def resident_kb(pid: int) -> int:
    """Return the resident set size of a process in KB, or 0 if it is unknown."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


async def _closed_loop(senders: Sequence[_RequestSender], pid: int) -> Throughput:
    latencies: list[float] = []
    started = trio.current_time()
    cpu = cpu_seconds(pid)
    end = started + DURATION_S

    async def send_until_end(sender: _RequestSender) -> None:
        while (call_started := trio.current_time()) < end:
            await sender.send()
            latencies.append(trio.current_time() - call_started)

    async with trio.open_nursery() as nursery:
        for sender in senders:
            nursery.start_soon(send_until_end, sender)
    seconds = trio.current_time() - started
    return Throughput(
        len(latencies) / seconds, statistics.median(latencies) * 1000, cpu_seconds(pid) - cpu
    )


async def _median_latency_ms(senders: Sequence[_RequestSender], rate: float) -> float:
    """Return the median latency in milliseconds at `rate` calls per second."""
    latencies: list[float] = []
    interval = len(senders) / rate
    end = trio.current_time() + DURATION_S

    async def send_until_end(sender: _RequestSender, offset: float) -> None:
        due = trio.current_time() + offset
        while due < end:
            await trio.sleep_until(due)
            call_started = trio.current_time()
            await sender.send()
            latencies.append(trio.current_time() - call_started)
            due += interval

    async with trio.open_nursery() as nursery:
        for number, sender in enumerate(senders):
            nursery.start_soon(send_until_end, sender, interval * number / len(senders))
    return statistics.median(latencies) * 1000


async def _open_direct_senders(database: DatabaseProcess, count: int) -> list[_RequestSender]:
    body = msgspec.json.encode(
        {
            "term": 1,
            "statements": [{"sql": POINT_READ, "params": []}],
            "begin": True,
            "commit": True,
            "read_only": True,
        }
    )
    return await _open_senders(database.address, "/execute", body, [], count)


async def _open_proxied_senders(vm: VmProcess, group: str, count: int) -> list[_RequestSender]:
    body = msgspec.json.encode({"params": {"session": "bench"}})
    headers = [("authorization", f"Bearer {caller_key(KUMASI.organisations[0].name)}")]
    return await _open_senders(vm.callers, f"/v1/routes/{group}-list", body, headers, count)


class _RequestSender:
    """Sends the same request repeatedly over one connection."""

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

    async def send(self) -> None:
        path, body = self._request
        reply = await self._connection.request(
            "POST", path, body, headers=self._headers, timeout_s=10
        )
        if reply.status != 200:
            raise RuntimeError(f"{self._connection.address}: {reply.status}: {reply.body!r}")

    async def close(self) -> None:
        await self._connection.close()


async def _open_senders(
    address: Address,
    path: str,
    body: bytes,
    headers: Sequence[tuple[str, str]],
    count: int,
) -> list[_RequestSender]:
    connections = [await HttpConnection.open(address) for _ in range(count)]
    return [_RequestSender(connection, path, body, headers) for connection in connections]


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
    """Measure a VM and its stand-in database, each called over the same number of connections."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (8192, 8192))
    organisation = KUMASI.organisations[0]._replace(rate=UNLIMITED_RATE, burst=UNLIMITED_RATE)
    deployment = KUMASI._replace(organisations=(organisation,), instances=1, slots=16, vms=1)
    options = ClusterOptions(
        vms=1, groups=1, homes=1, statement_ms=0, receive_delay_ms=0, apply_delay_ms=0
    )
    async with Cluster(deployment, options) as cluster:
        vm = cluster.vms[0]
        idle_vm_mb = resident_kb(cluster.pid(vm.name)) / 1024
        idle_connection_kb = await _idle_memory_kb(cluster, vm)
        primary = await cluster.primary(cluster.groups[0])
        # The proxy uses one connection for probes and reserves one for promotions.
        count = deployment.connections - 2
        proxied_senders = await _open_proxied_senders(vm, cluster.groups[0], count)
        await _median_latency_ms(proxied_senders, 200)
        proxied = await _closed_loop(proxied_senders, cluster.pid(vm.name))
        half_load_proxied_ms = await _median_latency_ms(proxied_senders, proxied.per_s / 2)
        # While the VM runs, it occupies all connections of the instance.
        cluster.terminate(vm.name)
        await cluster.wait_exited(vm.name)
        direct_senders = await _open_direct_senders(primary, count)
        direct = await _closed_loop(direct_senders, cluster.pid(primary.name))
        half_load_direct_ms = await _median_latency_ms(direct_senders, proxied.per_s / 2)
        return BenchResult(
            direct=direct,
            proxied=proxied,
            half_load_direct_ms=half_load_direct_ms,
            half_load_proxied_ms=half_load_proxied_ms,
            idle_vm_mb=idle_vm_mb,
            idle_connection_kb=idle_connection_kb,
        )
