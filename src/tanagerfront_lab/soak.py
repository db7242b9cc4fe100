"""Fault injection soak test of the session interface, which runs VMs as processes."""

from __future__ import annotations

import contextlib
import functools
import itertools
import os
import random
import signal
import subprocess
import sys
import tempfile
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import trio

from tanagerfront.errors import ConnectionLostError
from tanagerfront.http_client import Address
from tanagerfront.platform.documents import PROMOTER_KEY
from tanagerfront.platform.line_stream import LineStream
from tanagerfront_standin.line_group import Commit, InstanceOptions, LineGroup, LineInstance
from tanagerfront_standin.link import Direction, TcpLink
from tanagerfront_standin.loopback import ReservedHost
from tanagerfront_standin.platform_store import ModelCopy, PlatformStore, StoreFaults

from .soak_history import Attempt, Origin, SoakHistory

__all__ = [
    "ClientSession",
    "Soak",
    "SoakOptions",
    "SoakResult",
    "check_histories",
    "open_soak",
    "run_soak",
]

GROUPS = ("orders", "stock", "bookings", "readings")
FAILURE_DOMAINS = ("suame", "adum", "ayeduase")
# Error codes which guarantee that the refused operation has no effect.
NOT_APPLIED_CODES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "CONNLIMIT"})
STARTUP_TIMEOUT_S = 15.0
REPLY_TIMEOUT_S = 4.0
REVOCATION_LIMIT_S = 5.0
# Bound of the settings for the last statement in an evacuated failure domain.
EVACUATION_LIMIT_S = 5.0
# An evacuation lasts longer than its bound, so that its end is checked.
EVACUATION_S = 8.0
HEARTBEAT_INTERVAL_S = 0.4
# A draining instance serves for this long.
DRAIN_LIMIT_S = 7.0
# VMs treat an instance as gone this long after its entry was removed.
INSTANCE_GRACE_S = 2.0
# More than the decoders allow.
ODD_NESTING = 5_000
# Time after the last fault within which callers must be served again.
RECOVERY_LIMIT_S = 12.0
MAX_STALENESS_S = 1.5
# How long an old primary goes on after it can reach the new one, where promoters are killed.
TAKEOVER_S = 1.0
# The oldest copy from which the store is restored is 8 s old.
COPY_INTERVAL_S = 0.5
MAX_COPIES = 16
ORGANISATION = {"name": "foremen", "priority": 1, "rate_per_s": 4000, "burst": 4000}


class SoakOptions(NamedTuple):
    """Parameters of a soak run; `seconds` is the time during which faults are injected.

    The store is restored from a copy `restores` times, beside the random faults.
    """

    seed: int
    seconds: float = 20.0
    vms: int = 4
    clients: int = 10
    restores: int = 0
    # Failure domains that are taken out of service and given back, beside the random faults.
    evacuations: int = 0
    # The group acknowledges commits once a replica has received them. Replicas miss commits and
    # instances are replaced, beside the random faults.
    synchronous: bool = False
    # Entries of instances by another writer, which can't be read or used.
    odd_entries: int = 0
    # At most as many as GROUPS; each has its own instances.
    groups: int = 1
    # How often primaries of several groups are replaced while the promoter is killed or stopped.
    # Old primaries may be slow, or refuse control statements, and go on until they notice.
    promoter_kills: int = 0
    # How often a promoter is cut off from the platform while its order is on the way. It may be
    # killed or stopped meanwhile.
    order_cuts: int = 0
    timeout_ms: int = 900
    random_faults: bool = True


class SoakResult(NamedTuple):
    """Operation counts, injected faults and violations of a soak run."""

    seed: int
    served: int
    refused: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]


class _Vm:
    """One VM process, which reaches the store through its own link."""

    def __init__(self, host: str, number: int, directory: Path) -> None:
        self.name = f"vm-{number}"
        self.host = host
        self.front_port, self.ready_port, self.internal_port = 7101, 7102, 7103
        self.settings_path = directory / f"{self.name}.toml"
        self.log_path = directory / f"{self.name}.log"
        self.failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, store: Address) -> None:
        """Write the settings file that the platform provides on a VM."""
        self.settings_path.write_text(
            f'node_name = "{self.name}"\nip = "{self.host}"\nzone = "{self.failure_domain}"\n'
            f"internal_ports = [{self.internal_port}, {self.internal_port + 5}]\n"
            f'[listen]\nfront = "{self.host}:{self.front_port}"\n'
            f'ready = "{self.host}:{self.ready_port}"\n'
            f'[platform]\naddress = "{store}"\n[cloud]\naddress = "{store}"\n'
            "[bounds]\ndrain_ms = 7000\ngrace_s = 6\nrevoke_ms = 5000\nevacuate_ms = 5000\n",
            encoding="utf-8",
        )

    def start(self) -> None:
        """Start the process; restarts append to its log."""
        code = "from tanagerfront.platform import main; main()"
        environment = dict(os.environ, TANAGERFRONT_BOOT=str(self.settings_path))
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-c", code], env=environment, stdout=log, stderr=log
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    async def wait_stopped(self) -> None:
        """Wait until the process has exited."""
        if self.process is not None:
            await trio.to_thread.run_sync(self.process.wait)


class Soak:
    """State of one soak run: the groups, the store, the VMs and the recorded history."""

    def __init__(
        self, options: SoakOptions, directory: Path, hosts: Sequence[ReservedHost]
    ) -> None:
        self.options = options
        self.rng = random.Random(options.seed)
        instance_options = InstanceOptions(
            synchronous=options.synchronous,
            takeover_s=TAKEOVER_S if options.promoter_kills else 0.0,
            controls_need_slot=bool(options.promoter_kills),
        )
        self.groups = [
            LineGroup(name, hosts[-1], instance_options) for name in GROUPS[: options.groups]
        ]
        self.draining: set[str] = set()
        self.store = PlatformStore(self._promote)
        self.vms = [_Vm(hosts[number].name, number, directory) for number in range(options.vms)]
        self.store_links: dict[str, TcpLink] = {}
        # Links to the instances, and their addresses, by the addresses of the instances' own.
        self.instance_links: dict[Address, TcpLink] = {}
        self.addresses: dict[Address, Address] = {}
        self.unregistered: set[str] = set()
        self.history = SoakHistory()
        self.faults: list[str] = []
        self.version = 0
        self.registered: dict[str, Any] = {}
        # Copies of the store, the newest last, one for each COPY_INTERVAL_S.
        self.copies: deque[ModelCopy] = deque(maxlen=MAX_COPIES)
        self.api_keys = ["key-a", "key-b"]
        self.evacuated_domain: str | None = None
        self._session_numbers = itertools.count(1)
        # The callers go on until the recovery after the last fault has been checked.
        self.callers_end = False

    async def _promote(self, group: str, name: str, holder: str, token: int) -> bool:
        if any(
            token == used_token and holder != used_by
            for _, _, used_by, used_token in self.store.promotions
        ):
            self.history.record_violation(f"fencing token {token} was used by two holders")
        if any(token < used_token for _, _, _, used_token in self.store.promotions):
            self.history.record_violation(f"fencing token {token} is lower than an earlier one")
        return await next(one for one in self.groups if one.name == group).promote(name)

    @property
    def instances(self) -> list[LineInstance]:
        """Return the instances of all groups."""
        return [instance for group in self.groups for instance in group.instances]

    def _choose_group(self) -> LineGroup:
        # Without a choice, none is drawn: runs with one group keep their faults.
        return self.rng.choice(self.groups) if len(self.groups) > 1 else self.groups[0]

    def configure(self) -> None:
        """Store a new version of the operator's configuration."""
        self.version += 1
        self._put_configuration()

    def _put_configuration(self) -> None:
        routes = [
            {
                "name": f"r-{_database(group.name, consistency)}",
                "database": _database(group.name, consistency),
                "type": consistency,
                "service": group.name,
                "timeout_ms": self.options.timeout_ms,
                "target_latency_ms": 200,
                "max_staleness_ms": int(MAX_STALENESS_S * 1000),
            }
            for group in self.groups
            for consistency in ("primary", "bounded", "read_your_writes")
        ]
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": routes,
                "services": [
                    {
                        "name": group.name,
                        "max_connections": group.options.connections,
                        "sync_replicas": int(group.options.synchronous),
                    }
                    for group in self.groups
                ],
                "limits": {"tx_idle_ms": 2000},
                "tenants": [{**ORGANISATION, "api_keys": self.api_keys}],
            },
        )

    async def run_registration(self) -> None:
        """Update the registrations of the instances in the store whenever their state changes."""
        while True:
            for number, instance in enumerate(self.instances):
                entry = {
                    "service": instance.group.name,
                    "address": str(self.addresses[instance.address]),
                    "zone": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                    "slots": instance.group.options.slots,
                    "state": "draining" if instance.name in self.draining else "ready",
                    "db_role": "primary" if instance.is_primary else "replica",
                    "born": 1,
                }
                registration = (
                    entry if instance.running and instance.name not in self.unregistered else None
                )
                store_unavailable = self.store.faults.unavailable or self.store.faults.unresponsive
                if registration != self.registered.get(instance.name) and not store_unavailable:
                    self.registered[instance.name] = registration
                    key = f"servers/{instance.name}"
                    if registration:
                        self.store.put(key, registration)
                    else:
                        self.store.delete(key)
            await trio.sleep(HEARTBEAT_INTERVAL_S / 4)

    async def run_copies(self) -> None:
        """Copy the store periodically."""
        while True:
            self.copies.append(self.store.copy())
            await trio.sleep(COPY_INTERVAL_S)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the group, the store and the VMs; wait until every VM accepts sessions."""
        for group in self.groups:
            await nursery.start(group.run)
        store = await nursery.start(self.store.run, Address("127.0.0.1", 0))
        for instance in self.instances:
            link = self.instance_links[instance.address] = TcpLink(instance.address)
            self.addresses[instance.address] = await nursery.start(link.run)
        self.configure()
        nursery.start_soon(self.run_registration)
        nursery.start_soon(self.run_copies)
        for vm in self.vms:
            link = self.store_links[vm.name] = TcpLink(store)
            vm.write_settings(await nursery.start(link.run))
            vm.start()
        with trio.fail_after(STARTUP_TIMEOUT_S):
            for vm in self.vms:
                while not await self._is_ready(vm):  # noqa: ASYNC110, the VM is another process
                    await trio.sleep(0.05)
        # The VMs divide the organisation's rate among themselves once all have registered.
        await trio.sleep(2.0)

    async def _is_ready(self, vm: _Vm) -> bool:
        try:
            lines = await self.connect(vm, GROUPS[0], "primary")
        except (OSError, ConnectionLostError):
            return False
        await lines.close()
        return True

    async def connect(self, vm: _Vm, group: str, consistency: str) -> LineStream:
        """Open a session with a key that stays valid; raises OSError or ConnectionLostError."""
        return await _connect(vm, _database(group, consistency), self.api_keys[0])

    # Fault methods: their names, without underscores at the ends, are printed.

    async def run_faults(self, until: float) -> None:
        """Inject random faults, which may overlap, until the given time."""
        fault_methods: list[Callable[[float], Awaitable[None]]] = [
            self._kill_vm,
            self._stop_vm,
            self._pause_vm,
            self._cut_store,
            self._silence,
            self._store_fault,
            self._restore_store,
            self._crash_instance,
            self._crash_primary,
            self._cut_instance,
            self._revoke,
            self._change,
        ]
        if self.options.synchronous:
            fault_methods += [self._miss_commits, self._miss_commits, self._replace_instance]
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                fault = self.rng.choice(fault_methods)
                seconds = self.rng.uniform(0.3, 4.0)
                self.faults.append(f"{fault.__name__.strip('_')} {seconds:.1f}")
                nursery.start_soon(fault, seconds)
                await trio.sleep(self.rng.uniform(0.2, 2.0))

    async def _kill_vm(self, seconds: float) -> None:
        vm = self.rng.choice(self.vms)
        vm.send_signal(signal.SIGKILL)
        await vm.wait_stopped()
        await trio.sleep(seconds / 4)
        if vm.process is not None and vm.process.poll() is not None:
            vm.start()

    async def _stop_vm(self, seconds: float) -> None:
        vm = self.rng.choice(self.vms)
        vm.send_signal(signal.SIGTERM)
        await vm.wait_stopped()
        if vm.process is not None and vm.process.poll() is not None:
            vm.start()

    async def _pause_vm(self, seconds: float) -> None:
        vm = self.rng.choice(self.vms)
        paused_at = trio.current_time()
        vm.send_signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        vm.send_signal(signal.SIGCONT)
        self.history.disruptions.append((vm.name, paused_at, trio.current_time()))

    async def _cut_store(self, seconds: float) -> None:
        link = self.store_links[self.rng.choice(self.vms).name]
        link.cut_directions(*self.rng.choice([list(Direction), [Direction.TO_CLIENT]]))
        await trio.sleep(seconds)
        link.restore()

    async def _silence(self, seconds: float) -> None:
        links = [*self.store_links.values(), *self.instance_links.values()]
        link = self.rng.choice(links)
        now = trio.current_time()
        self.history.disruptions += [
            (instance.name, now, now + self.options.timeout_ms / 1000)
            for instance in self.instances
            if self.instance_links[instance.address] is link
        ]
        if self.rng.random() < 0.5:
            link.silence_existing()
        else:
            await link.reset_existing()

    async def _store_fault(self, seconds: float) -> None:
        faults = [
            StoreFaults(unavailable=True),
            StoreFaults(unresponsive=True, leases_expire=self.rng.random() < 0.5),
            StoreFaults(slow_s=0.2),
            StoreFaults(response_loss_interval=3),
        ]
        self.store.faults = self.rng.choice(faults)
        await trio.sleep(seconds)
        self.store.faults = StoreFaults()
        if self.rng.random() < 0.3:
            self.store.compact()

    async def run_restores(self) -> None:
        """Restore the store at regular intervals."""
        for _ in range(self.options.restores):
            await trio.sleep(self.options.seconds / (self.options.restores + 1))
            await self._restore_store(self.rng.uniform(0.3, 3.0))

    async def run_evacuations(self) -> None:
        """Take a failure domain out of service and give it back, one after the other."""
        rng = random.Random(f"{self.options.seed}/evacuations")
        for _ in range(self.options.evacuations):
            await trio.sleep(rng.uniform(0.2, 2.0))
            domain = rng.choice(FAILURE_DOMAINS)
            self.faults.append(f"evacuate {domain}")
            self.store.put(f"op/evacuate/{domain}", {})
            self.evacuated_domain, ordered_at = domain, trio.current_time()
            await trio.sleep(EVACUATION_S)
            self.evacuated_domain = None
            self.store.delete(f"op/evacuate/{domain}")
            self.history.evacuations.append((domain, ordered_at, trio.current_time()))

    async def run_odd_entries(self) -> None:
        """Write entries of instances that can't be read or used, as another writer might."""
        rng = random.Random(f"{self.options.seed}/odd-entries")
        nested = msgspec.Raw(b"[" * ODD_NESTING + b"]" * ODD_NESTING)
        odd_members: list[dict[str, Any]] = [
            {"slots": 10**30},
            {"address": "127.0.0.1:70000"},
            {"odd": nested},
            {"state": 3},
        ]
        for number in range(self.options.odd_entries):
            await trio.sleep(rng.uniform(0.2, 2.0))
            entry = {"service": GROUPS[0], "address": "127.0.0.1:9", "zone": FAILURE_DOMAINS[0]}
            entry |= {"state": "ready", "db_role": "primary"} | rng.choice(odd_members)
            self.faults.append(f"odd_entry {number}")
            self.store.put(f"servers/odd-{number}", entry)

    async def _restore_store(self, seconds: float) -> None:
        """Lose what was written since a copy; the operator and the instances write theirs again."""
        self.store.faults = StoreFaults(unavailable=True)
        await trio.sleep(seconds / 2)
        self.store.restore(self.rng.choice(self.copies))
        self._put_configuration()
        for domain in FAILURE_DOMAINS if self.options.evacuations else ():
            # Also repeats an order that has been removed: VMs may know it as lost.
            self.store.put(f"op/evacuate/{domain}", {})
            if domain != self.evacuated_domain:
                self.store.delete(f"op/evacuate/{domain}")
        # Differs from every registration, so that each is written, or deleted, again.
        self.registered = {instance.name: "restored" for instance in self.instances}
        self.store.faults = StoreFaults()

    async def _crash(self, instance: LineInstance, seconds: float) -> None:
        if not all(other.running for other in instance.group.instances):
            return
        instance.crash()
        await trio.sleep(seconds)
        await instance.group.restart(instance)

    async def _crash_instance(self, seconds: float) -> None:
        await self._crash(self.rng.choice(self._choose_group().instances), seconds)

    async def _crash_primary(self, seconds: float) -> None:
        primary = self._choose_group().primary
        if primary is not None:
            await self._crash(primary, seconds)

    async def _cut_instance(self, seconds: float) -> None:
        instance = self.rng.choice(self._choose_group().instances)
        cut_at = trio.current_time()
        self.instance_links[instance.address].cut()
        if self.rng.random() < 0.3:
            self.unregistered.add(instance.name)
        await trio.sleep(seconds)
        self.unregistered.discard(instance.name)
        self.instance_links[instance.address].restore()
        self.history.disruptions.append((instance.name, cut_at, trio.current_time()))

    async def run_promoter_kills(self) -> None:
        """Replace primaries and end the promoter's process, again and again."""
        rng = random.Random(f"{self.options.seed}/promoter-kills")
        interval_s = self.options.seconds / (self.options.promoter_kills + 1)
        async with trio.open_nursery() as nursery:
            for _ in range(self.options.promoter_kills):
                for group in rng.sample(self.groups, rng.randint(1, len(self.groups))):
                    nursery.start_soon(self._replace_primary, group, rng)
                nursery.start_soon(self._end_promoter, rng)
                await trio.sleep(interval_s)

    async def _end_promoter(self, rng: random.Random) -> None:
        """Kill or stop the VM that holds the promoter lock, and start it again."""
        await trio.sleep(rng.uniform(0.0, 2.0))
        lock = self.store.get(PROMOTER_KEY)
        vm = next((vm for vm in self.vms if lock is not None and vm.name == lock["vm"]), None)
        if vm is None:
            return
        signal_number = rng.choice([signal.SIGKILL, signal.SIGKILL, signal.SIGTERM])
        self.faults.append(f"end_promoter {vm.name} {signal_number.name}")
        vm.send_signal(signal_number)
        await vm.wait_stopped()
        await trio.sleep(rng.uniform(0.0, 0.5))
        if vm.process is not None and vm.process.poll() is not None:
            vm.start()

    async def _replace_primary(self, group: LineGroup, rng: random.Random) -> None:
        """Let a primary that is slow at the time crash, leave, or lose its new connections."""
        primary = group.primary
        if primary is None or not all(instance.running for instance in group.instances):
            return
        if any(instance.isolated or instance.name in self.draining for instance in group.instances):
            return
        fault = rng.choice([self._crash, self._release, self._isolate])
        self.faults.append(f"{fault.__name__.strip('_')} {primary.name}")
        primary.slow_s = rng.uniform(0.0, 0.9) * self.options.timeout_ms / 1000
        await trio.sleep(rng.uniform(0.0, 0.5))
        await fault(primary, rng.uniform(0.5, 3.0))
        primary.slow_s = 0.0

    async def run_order_cuts(self) -> None:
        """Cut promoters off from the platform while an order of theirs is on the way."""
        rng = random.Random(f"{self.options.seed}/order-cuts")
        interval_s = self.options.seconds / max(1, self.options.order_cuts)
        async with trio.open_nursery() as nursery:
            for number in range(self.options.order_cuts):
                group = self.groups[number % len(self.groups)]
                with trio.move_on_after(interval_s) as scope:
                    while not all(  # noqa: ASYNC110, instances signal no restart
                        instance.running for instance in group.instances
                    ):
                        await trio.sleep(0.1)
                    if group.primary is not None:
                        nursery.start_soon(self._crash, group.primary, rng.uniform(1.0, 4.0))
                    vm = await self._cut_next_order()
                    nursery.start_soon(self._end_while_cut_off, vm, rng)
                    await trio.sleep_until(scope.deadline)

    async def _cut_next_order(self) -> _Vm:
        """Cut off the VM that orders the next promotion, before the order arrives."""
        ordered = trio.Event()
        ordering: list[_Vm] = []

        def cut(vm: _Vm, data: bytes) -> None:
            if data.startswith(b"POST /promote") and not ordering:
                ordering.append(vm)
                self.store_links[vm.name].cut()
                ordered.set()

        for vm in self.vms:
            self.store_links[vm.name].on_data = functools.partial(cut, vm)
        try:
            await ordered.wait()
        finally:
            for link in self.store_links.values():
                link.on_data = lambda data: None
        return ordering[0]

    async def _end_while_cut_off(self, vm: _Vm, rng: random.Random) -> None:
        """Kill or stop a VM that was cut off, or leave it to itself, then restore its link."""
        restored_at = trio.current_time() + rng.uniform(3.0, 8.0)
        signal_number = rng.choice([None, None, signal.SIGKILL, signal.SIGTERM])
        self.faults.append(f"cut_order {vm.name} {signal_number.name if signal_number else ''}")
        process = None
        if signal_number is not None:
            await trio.sleep(rng.uniform(0.0, 1.5))
            process = vm.process
            vm.send_signal(signal_number)
        await trio.sleep_until(restored_at)
        self.store_links[vm.name].restore()
        if process is not None:
            await trio.to_thread.run_sync(process.wait)
            # Another fault may have started the VM again.
            if vm.process is process:
                vm.start()

    async def _release(self, instance: LineInstance, seconds: float) -> None:
        """Let an instance drain and end; another one takes over its address and log."""
        old_name = instance.name
        self.draining.add(old_name)
        await trio.sleep(DRAIN_LIMIT_S)
        await self._crash(instance, seconds / 4)
        self.draining.discard(old_name)
        instance.name = f"{old_name}+"
        self.registered.pop(old_name, None)
        self.store.delete(f"servers/{old_name}")

    async def _isolate(self, instance: LineInstance, seconds: float) -> None:
        """Cut an instance off from the others and from new connections, perhaps from the store."""
        instance.isolated = True
        self.instance_links[instance.address].hold_new()
        if seconds > 2.0:
            self.unregistered.add(instance.name)
        await trio.sleep(INSTANCE_GRACE_S + seconds)
        self.unregistered.discard(instance.name)
        self.instance_links[instance.address].restore()
        instance.isolated = False

    async def _miss_commits(self, seconds: float) -> None:
        """Let one replica receive nothing for a while; another one goes on receiving."""
        group = self._choose_group()
        if any(instance.replication_paused for instance in group.instances):
            return
        replica = self.rng.choice([one for one in group.instances if not one.is_primary])
        replica.replication_paused = True
        await trio.sleep(seconds)
        group.resume_replication(replica)

    async def _replace_instance(self, seconds: float) -> None:
        """Let an instance drain and end; another process takes over its address and log."""
        instance = self.rng.choice(self._choose_group().instances)
        if self.draining:
            return
        name = instance.name
        self.draining.add(name)
        await trio.sleep(DRAIN_LIMIT_S)
        await self._crash(instance, seconds / 4)
        self.draining.discard(name)

    async def _revoke(self, seconds: float) -> None:
        key = f"key-{self.rng.randrange(1000)}"
        self.api_keys.append(key)
        self.configure()
        await trio.sleep(seconds)
        self.api_keys.remove(key)
        self.configure()
        self.history.revoked_at[key] = trio.current_time()

    async def _change(self, seconds: float) -> None:
        self.configure()

    # Callers

    async def run_client(self, number: int) -> None:
        """Run operations on items that only this client uses, over sessions that stay open."""
        rng = random.Random(f"{self.options.seed}/{number}")
        while not self.callers_end:
            vm, consistency, key = (
                rng.choice(self.vms),
                rng.choice(_CONSISTENCIES),
                rng.choice(self.api_keys),
            )
            group = rng.choice(self.groups).name if len(self.groups) > 1 else GROUPS[0]
            try:
                lines = await _connect(vm, _database(group, consistency), key)
            except (OSError, ConnectionLostError):
                await trio.sleep(0.05)
                continue
            try:
                origin = Origin(group, vm.name, next(self._session_numbers))
                session = ClientSession(self, lines, consistency, key, f"c{number}", origin, rng)
                while await session.operate() and not self.callers_end:  # noqa: ASYNC110
                    await trio.sleep(rng.uniform(0.0, 0.05))
            except ConnectionLostError:
                pass
            finally:
                await lines.close()


_CONSISTENCIES = ("primary", "read_your_writes", "bounded")


def _database(group: str, consistency: str) -> str:
    return consistency if group == GROUPS[0] else f"{consistency}-{group}"


async def _connect(vm: _Vm, database: str, key: str) -> LineStream:
    """Open a session; raises OSError or ConnectionLostError."""
    with trio.move_on_after(2.0):
        stream = await trio.open_tcp_stream(vm.host, vm.front_port)
        lines = LineStream(stream)
        await lines.send(f"CONNECT {database} {key}\r\n".encode())
        if (await lines.read_line()).startswith(b"READY I"):
            return lines
        await lines.close()
    raise ConnectionLostError("VM did not open a session", executed="no")


class ClientSession:
    """A client's session, which records the outcome of its operations."""

    def __init__(
        self,
        soak: Soak,
        lines: LineStream,
        consistency: str,
        key: str,
        owner: str,
        origin: Origin,
        rng: random.Random,
    ) -> None:
        self._soak = soak
        self._lines = lines
        self._consistency = consistency
        self._key = key
        self._owner = owner
        self._origin = origin
        self._rng = rng

    async def operate(self) -> bool:
        """Run one operation; return whether the session can be used again."""
        history = self._soak.history
        item = f"{self._origin.group}-{self._owner}-{self._rng.randrange(3)}"
        is_write = self._consistency != "bounded" and self._rng.random() < 0.4
        transaction = self._rng.random() < 0.3
        attempt = history.start_attempt(
            item, self._consistency, self._key, is_write, trio.current_time(), self._origin
        )
        texts = [f"WRITE {item} {attempt.data}" if is_write else f"READ {item}"]
        if transaction:
            texts = ["BEGIN" if is_write else "BEGIN READ", *texts, "COMMIT"]
        try:
            return await self.run(attempt, texts)
        finally:
            attempt.ended_at = trio.current_time()

    async def run(self, attempt: Attempt, texts: Sequence[str]) -> bool:
        """Send queries and record the outcome; return whether the session can be used again."""
        history = self._soak.history
        rows: list[str] = []
        for text in texts:
            code, found_rows, state = await self.send(attempt, text)
            rows += found_rows
            if code is not None:
                history.record_rejection(attempt, not_applied=code in NOT_APPLIED_CODES)
                return code not in ("DENIED", "TIMEOUT") and (
                    state == "I" or (await self.send(attempt, "ROLLBACK"))[2] == "I"
                )
        history.record_success(attempt, rows, trio.current_time())
        return True

    async def send(self, attempt: Attempt, text: str) -> tuple[str | None, list[str], str]:
        """Send a query; return its error code, its rows and the state of the session.

        Raises ConnectionLostError if no complete reply arrives in time.
        """
        await self._lines.send(f"QUERY {attempt.id} {text}\r\n".encode())
        rows: list[str] = []
        code = None
        with trio.move_on_after(REPLY_TIMEOUT_S):
            while True:
                word, _, rest = (await self._lines.read_line()).decode().partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "ERROR":
                    code = rest.partition(" ")[0]
                elif word == "READY":
                    return code, rows, rest[0]
        raise ConnectionLostError("no complete reply in time")


def _primary_log(group: LineGroup) -> list[Commit]:
    primary = max(group.instances, key=lambda instance: (instance.is_primary, instance.term))
    return primary.log


@contextlib.asynccontextmanager
async def open_soak(options: SoakOptions, directory: Path) -> AsyncIterator[Soak]:
    """Run the group, the store and the VMs of a soak for the duration of a block."""
    with contextlib.ExitStack() as stack:
        # One host for each VM and one for the instances. A VM or an instance that restarts binds
        # its ports again, so that runs at the same time, with any seeds, must not share them.
        hosts = [stack.enter_context(ReservedHost()) for _ in range(options.vms + 1)]
        soak = Soak(options, directory, hosts)
        try:
            async with trio.open_nursery() as nursery:
                await soak.start(nursery)
                yield soak
                nursery.cancel_scope.cancel()
        finally:
            for vm in soak.vms:
                vm.send_signal(signal.SIGCONT)
                vm.send_signal(signal.SIGKILL)
                if vm.process is not None:
                    vm.process.wait()


def check_histories(soak: Soak) -> None:
    """Compare the operations with what the instances of all groups have seen."""
    history = soak.history
    for group in soak.groups:
        log = _primary_log(group)
        # A synchronous group loses no acknowledged commit.
        discarded = () if soak.options.synchronous else group.discarded
        history.check_log(log, discarded, REVOCATION_LIMIT_S, group.name)
        history.check_promotions(group.commits, group.promotions)
        for number, instance in enumerate(group.instances):
            history.violations += instance.violations
            history.check_late_arrivals(instance.name, instance.arrivals)
            history.check_reads(instance.reads, log, MAX_STALENESS_S)
            history.check_evacuations(
                FAILURE_DOMAINS[number], instance.arrivals, EVACUATION_LIMIT_S
            )


async def _run(options: SoakOptions, directory: Path) -> SoakResult:
    async with open_soak(options, directory) as soak:
        history = soak.history
        faults_end = trio.current_time() + options.seconds
        async with trio.open_nursery() as clients:
            for number in range(options.clients):
                clients.start_soon(soak.run_client, number)
            clients.start_soon(soak.run_restores)
            clients.start_soon(soak.run_evacuations)
            clients.start_soon(soak.run_odd_entries)
            async with trio.open_nursery() as faults:
                faults.start_soon(soak.run_promoter_kills)
                faults.start_soon(soak.run_order_cuts)
                if options.random_faults:
                    await soak.run_faults(faults_end)
            await trio.sleep_until(faults_end)
            await trio.sleep(RECOVERY_LIMIT_S)
            before = history.outcome_counts()
            await trio.sleep(3.0)
            history.check_recovery(before, history.outcome_counts())
            soak.callers_end = True
        check_histories(soak)
    served, refused = history.outcome_counts()
    return SoakResult(options.seed, served, refused, tuple(soak.faults), tuple(history.violations))


def run_soak(options: SoakOptions, output_directory: Path | None = None) -> SoakResult:
    """Run a soak test; logs and settings are kept in `output_directory`, if given."""
    if output_directory is not None:
        output_directory.mkdir(parents=True, exist_ok=True)
        return trio.run(_run, options, output_directory)
    with tempfile.TemporaryDirectory() as directory:
        return trio.run(_run, options, Path(directory))
