"""Fault injection soak test of the session interface, which runs VMs as processes."""

from __future__ import annotations

import contextlib
import os
import random
import signal
import subprocess
import sys
import tempfile
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import trio

from tanagerfront.errors import ConnectionLostError
from tanagerfront.http_client import Address
from tanagerfront.platform.line_stream import LineStream
from tanagerfront_standin.line_group import Commit, InstanceOptions, LineGroup, LineInstance
from tanagerfront_standin.link import Direction, TcpLink
from tanagerfront_standin.loopback import ReservedHost
from tanagerfront_standin.platform_store import ModelCopy, PlatformStore, StoreFaults

from .soak_history import Attempt, SoakHistory

__all__ = ["SoakOptions", "SoakResult", "run_soak"]

GROUP = "orders"
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
# More than the decoders allow.
ODD_NESTING = 5_000
# Time after the last fault within which callers must be served again.
RECOVERY_LIMIT_S = 12.0
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


class _Soak:
    """State of one soak run: the group, the store, the VMs and the recorded history."""

    def __init__(
        self, options: SoakOptions, directory: Path, hosts: Sequence[ReservedHost]
    ) -> None:
        self.options = options
        self.rng = random.Random(options.seed)
        self.group = LineGroup(GROUP, hosts[-1], InstanceOptions(synchronous=options.synchronous))
        self.draining: set[str] = set()
        self.store = PlatformStore(self._promote)
        self.vms = [_Vm(hosts[number].name, number, directory) for number in range(options.vms)]
        self.store_links: dict[str, TcpLink] = {}
        self.instance_links: dict[str, TcpLink] = {}
        self.addresses: dict[str, Address] = {}
        self.unregistered: set[str] = set()
        self.history = SoakHistory()
        self.faults: list[str] = []
        self.version = 0
        self.registered: dict[str, Any] = {}
        # Copies of the store, the newest last, one for each COPY_INTERVAL_S.
        self.copies: deque[ModelCopy] = deque(maxlen=MAX_COPIES)
        self.api_keys = ["key-a", "key-b"]
        self.evacuated_domain: str | None = None
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
        return await self.group.promote(name)

    def configure(self) -> None:
        """Store a new version of the operator's configuration."""
        self.version += 1
        self._put_configuration()

    def _put_configuration(self) -> None:
        routes = [
            {
                "name": f"r-{consistency}",
                "database": consistency,
                "type": consistency,
                "service": GROUP,
                "timeout_ms": 900,
                "target_latency_ms": 200,
                "max_staleness_ms": 1500,
            }
            for consistency in ("primary", "bounded", "read_your_writes")
        ]
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": routes,
                "services": [
                    {
                        "name": GROUP,
                        "max_connections": self.group.options.connections,
                        "sync_replicas": int(self.group.options.synchronous),
                    }
                ],
                "limits": {"tx_idle_ms": 2000},
                "tenants": [{**ORGANISATION, "api_keys": self.api_keys}],
            },
        )

    async def run_registration(self) -> None:
        """Update the registrations of the instances in the store whenever their state changes."""
        while True:
            for number, instance in enumerate(self.group.instances):
                entry = {
                    "service": GROUP,
                    "address": str(self.addresses[instance.name]),
                    "zone": FAILURE_DOMAINS[number],
                    "slots": self.group.options.slots,
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
        await nursery.start(self.group.run)
        store = await nursery.start(self.store.run, Address("127.0.0.1", 0))
        for instance in self.group.instances:
            link = self.instance_links[instance.name] = TcpLink(instance.address)
            self.addresses[instance.name] = await nursery.start(link.run)
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
            lines = await _connect(vm, "primary", self.api_keys[0])
        except (OSError, ConnectionLostError):
            return False
        await lines.close()
        return True

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
        vm.send_signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        vm.send_signal(signal.SIGCONT)

    async def _cut_store(self, seconds: float) -> None:
        link = self.store_links[self.rng.choice(self.vms).name]
        link.cut_directions(*self.rng.choice([list(Direction), [Direction.TO_CLIENT]]))
        await trio.sleep(seconds)
        link.restore()

    async def _silence(self, seconds: float) -> None:
        links = [*self.store_links.values(), *self.instance_links.values()]
        link = self.rng.choice(links)
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
            entry = {"service": GROUP, "address": "127.0.0.1:9", "zone": FAILURE_DOMAINS[0]}
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
        self.registered = {instance.name: "restored" for instance in self.group.instances}
        self.store.faults = StoreFaults()

    async def _crash(self, instance: LineInstance, seconds: float) -> None:
        if not all(instance.running for instance in self.group.instances):
            return
        instance.crash()
        await trio.sleep(seconds)
        await self.group.restart(instance)

    async def _crash_instance(self, seconds: float) -> None:
        await self._crash(self.rng.choice(self.group.instances), seconds)

    async def _crash_primary(self, seconds: float) -> None:
        primary = next((instance for instance in self.group.instances if instance.is_primary), None)
        if primary is not None:
            await self._crash(primary, seconds)

    async def _cut_instance(self, seconds: float) -> None:
        instance = self.rng.choice(self.group.instances)
        self.instance_links[instance.name].cut()
        if self.rng.random() < 0.3:
            self.unregistered.add(instance.name)
        await trio.sleep(seconds)
        self.unregistered.discard(instance.name)
        self.instance_links[instance.name].restore()

    async def _miss_commits(self, seconds: float) -> None:
        """Let one replica receive nothing for a while; another one goes on receiving."""
        if any(instance.replication_paused for instance in self.group.instances):
            return
        replica = self.rng.choice([one for one in self.group.instances if not one.is_primary])
        replica.replication_paused = True
        await trio.sleep(seconds)
        self.group.resume_replication(replica)

    async def _replace_instance(self, seconds: float) -> None:
        """Let an instance drain and end; another process takes over its address and log."""
        instance = self.rng.choice(self.group.instances)
        if self.draining:
            return
        self.draining.add(instance.name)
        await trio.sleep(DRAIN_LIMIT_S)
        await self._crash(instance, seconds / 4)
        self.draining.discard(instance.name)

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
            try:
                lines = await _connect(vm, consistency, key)
            except (OSError, ConnectionLostError):
                await trio.sleep(0.05)
                continue
            try:
                session = _ClientSession(self, lines, consistency, key, f"c{number}", rng)
                while await session.operate() and not self.callers_end:  # noqa: ASYNC110
                    await trio.sleep(rng.uniform(0.0, 0.05))
            except ConnectionLostError:
                pass
            finally:
                await lines.close()


_CONSISTENCIES = ("primary", "read_your_writes", "bounded")


async def _connect(vm: _Vm, consistency: str, key: str) -> LineStream:
    """Open a session; raises OSError or ConnectionLostError."""
    with trio.move_on_after(2.0):
        stream = await trio.open_tcp_stream(vm.host, vm.front_port)
        lines = LineStream(stream)
        await lines.send(f"CONNECT {consistency} {key}\r\n".encode())
        if (await lines.read_line()).startswith(b"READY I"):
            return lines
        await lines.close()
    raise ConnectionLostError("VM did not open a session", executed="no")


class _ClientSession:
    """A client's session, which records the outcome of its operations."""

    def __init__(
        self,
        soak: _Soak,
        lines: LineStream,
        consistency: str,
        key: str,
        owner: str,
        rng: random.Random,
    ) -> None:
        self._soak = soak
        self._lines = lines
        self._consistency = consistency
        self._key = key
        self._owner = owner
        self._rng = rng

    async def operate(self) -> bool:
        """Run one operation; return whether the session can be used again."""
        history = self._soak.history
        item = f"{self._owner}-{self._rng.randrange(3)}"
        is_write = self._consistency != "bounded" and self._rng.random() < 0.4
        transaction = self._rng.random() < 0.3
        attempt = history.start_attempt(
            item, self._consistency, self._key, is_write, trio.current_time()
        )
        texts = [f"WRITE {item} {attempt.data}" if is_write else f"READ {item}"]
        if transaction:
            texts = ["BEGIN" if is_write else "BEGIN READ", *texts, "COMMIT"]
        rows: list[str] = []
        for text in texts:
            code, found_rows, state = await self._send(attempt, text)
            rows += found_rows
            if code is not None:
                history.record_rejection(attempt, not_applied=code in NOT_APPLIED_CODES)
                return code not in ("DENIED", "TIMEOUT") and (
                    state == "I" or (await self._send(attempt, "ROLLBACK"))[2] == "I"
                )
        history.record_success(attempt, rows, trio.current_time())
        return True

    async def _send(self, attempt: Attempt, text: str) -> tuple[str | None, list[str], str]:
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


async def _run(options: SoakOptions, directory: Path) -> SoakResult:
    with contextlib.ExitStack() as stack:
        # One host for each VM and one for the instances. A VM or an instance that restarts binds
        # its ports again, so that runs at the same time, with any seeds, must not share them.
        hosts = [stack.enter_context(ReservedHost()) for _ in range(options.vms + 1)]
        return await _run_on(options, directory, hosts)


async def _run_on(
    options: SoakOptions, directory: Path, hosts: Sequence[ReservedHost]
) -> SoakResult:
    soak = _Soak(options, directory, hosts)
    history = soak.history
    try:
        async with trio.open_nursery() as nursery:
            await soak.start(nursery)
            faults_end = trio.current_time() + options.seconds
            async with trio.open_nursery() as clients:
                for number in range(options.clients):
                    clients.start_soon(soak.run_client, number)
                clients.start_soon(soak.run_restores)
                clients.start_soon(soak.run_evacuations)
                clients.start_soon(soak.run_odd_entries)
                await soak.run_faults(faults_end)
                await trio.sleep(RECOVERY_LIMIT_S)
                before = history.outcome_counts()
                await trio.sleep(3.0)
                history.check_recovery(before, history.outcome_counts())
                soak.callers_end = True
            # A synchronous group loses no acknowledged commit.
            discarded = () if options.synchronous else soak.group.discarded
            history.check_log(_primary_log(soak.group), discarded, REVOCATION_LIMIT_S)
            for number, instance in enumerate(soak.group.instances):
                history.violations += instance.violations
                history.check_evacuations(
                    FAILURE_DOMAINS[number], instance.query_ids, EVACUATION_LIMIT_S
                )
            nursery.cancel_scope.cancel()
    finally:
        for vm in soak.vms:
            vm.send_signal(signal.SIGCONT)
            vm.send_signal(signal.SIGKILL)
            if vm.process is not None:
                vm.process.wait()
    served, refused = history.outcome_counts()
    return SoakResult(options.seed, served, refused, tuple(soak.faults), tuple(history.violations))


def run_soak(options: SoakOptions, output_directory: Path | None = None) -> SoakResult:
    """Run a soak test; logs and settings are kept in `output_directory`, if given."""
    if output_directory is not None:
        output_directory.mkdir(parents=True, exist_ok=True)
        return trio.run(_run, options, output_directory)
    with tempfile.TemporaryDirectory() as directory:
        return trio.run(_run, options, Path(directory))
