"""Measure the cost of a peer call between two processes at several levels of concurrency."""

from __future__ import annotations

import argparse
import resource
import subprocess
import sys
import time

import trio

from tanagerfront.http_client import Address, parse_address
from tanagerfront.messages import Message, ServiceProbe, ServiceProbeReply
from tanagerfront.peers import PeerNetwork

IN_FLIGHT = (1, 16, 64)
LOOPBACK = Address("127.0.0.1", 0)


async def reply_to_probe(vm: str, probe: ServiceProbe) -> Message:
    return ServiceProbeReply(0.0)


async def serve(seconds: float) -> None:
    network = PeerNetwork("server", LOOPBACK)
    network.register(ServiceProbe, reply_to_probe)
    async with trio.open_nursery() as nursery:
        await nursery.start(network.run)
        print(network.listen_address, flush=True)
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()


def cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def measure(network: PeerNetwork, in_flight: int, seconds: float) -> str:
    latencies: list[float] = []
    end = time.perf_counter() + seconds

    async def caller() -> None:
        while (started := time.perf_counter()) < end:
            await network.call("server", ServiceProbe("bench"), 5)
            latencies.append(time.perf_counter() - started)

    cpu_before = cpu_s()
    async with trio.open_nursery() as nursery:
        for _ in range(in_flight):
            nursery.start_soon(caller)
    cpu_us = (cpu_s() - cpu_before) / len(latencies) * 1e6
    latencies.sort()
    median_us = latencies[len(latencies) // 2] * 1e6
    rate = len(latencies) / seconds
    return f"{in_flight} in flight: {rate:.0f}/s, median {median_us:.0f} us, caller {cpu_us:.0f} us"


async def run_client(address: Address, seconds: float) -> None:
    network = PeerNetwork("client", LOOPBACK)
    async with trio.open_nursery() as nursery:
        await nursery.start(network.run)
        network.set_peers({"server": address})
        await measure(network, 16, 0.5)
        for in_flight in IN_FLIGHT:
            print(await measure(network, in_flight, seconds))
        nursery.cancel_scope.cancel()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--serve", action="store_true")
    arguments = parser.parse_args()
    total_s = (len(IN_FLIGHT) + 1) * arguments.seconds + 2
    if arguments.serve:
        trio.run(serve, total_s)
        return
    command = [sys.executable, __file__, "--serve", "--seconds", str(arguments.seconds)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as server:
        assert server.stdout is not None
        trio.run(run_client, parse_address(server.stdout.readline()), arguments.seconds)
        server.terminate()


if __name__ == "__main__":
    main()
