"""Start the stand-in services and the entry VMs of a deployment as local processes."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import uuid
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec
import trio

from tanagerfront.errors import TanagerfrontError, TooManyConnectionsError
from tanagerfront.http_client import Address, HttpConnection, HttpReply
from tanagerfront_standin.loopback import ReservedHost

from .deployments import SCHEMA_SQL, TEAM, Deployment, digest, document, owner_key

__all__ = [
    "Cluster",
    "ClusterOptions",
    "DatabaseProcess",
    "VmProcess",
    "request_once",
]

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


class ClusterOptions(NamedTuple):
    """Options for starting a deployment; `_ms` values in milliseconds, `_s` values in seconds."""

    vms: int = 7
    groups: int = 3
    statement_ms: float = 2.0
    receive_delay_ms: float = 1.0
    apply_delay_ms: float = 20.0
    acknowledge: str = "replicated"
    homes: int = 3
    vm_list_lag_s: float = 1.0
    log_level: str = "info"
    settings: Mapping[str, Mapping[str, str]] = {}


class VmProcess(NamedTuple):
    """Name, failure domain and listen addresses of an entry VM."""

    name: str
    failure_domain: str
    callers: Address
    admin: Address
    peers: Address


class DatabaseProcess(NamedTuple):
    """Name, group, failure domain and listen address of a stand-in database."""

    name: str
    group: str
    failure_domain: str
    address: Address


async def request_once(
    address: Address,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    headers: Sequence[tuple[str, str]] = (),
    timeout_s: float = 5.0,
) -> HttpReply:
    """Send one request over a new connection; raises ConnectionLostError."""
    connection = await HttpConnection.open(address, timeout_s=timeout_s)
    try:
        return await connection.request(method, path, body, headers=headers, timeout_s=timeout_s)
    finally:
        await connection.close()


class Cluster:
    """The processes of a deployment, as an async context manager that starts and kills them."""

    def __init__(self, deployment: Deployment, options: ClusterOptions) -> None:
        self._deployment = deployment
        self._options = options
        self._folder = Path(tempfile.mkdtemp(prefix="tanagerfront-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        # The processes bind their ports at each start, so that no other cluster may share them.
        self._host = ReservedHost()
        self._platform = self._host.next_address()
        self._vm_list = self._host.next_address()
        self._databases = tuple(self._plan_databases())
        self._vms = tuple(self._plan_vms())

    @property
    def deployment(self) -> Deployment:
        """Return the sizes of the deployment."""
        return self._deployment

    @property
    def groups(self) -> tuple[str, ...]:
        """Return the names of the groups whose databases are started."""
        return self._deployment.groups[: self._options.groups]

    @property
    def databases(self) -> tuple[DatabaseProcess, ...]:
        """Return the databases of all groups."""
        return self._databases

    @property
    def vms(self) -> tuple[VmProcess, ...]:
        """Return all entry VMs."""
        return self._vms

    @property
    def platform(self) -> Address:
        """Return the address of the stand-in key-value service."""
        return self._platform

    @property
    def vm_list(self) -> Address:
        """Return the address of the platform's VM list."""
        return self._vm_list

    @property
    def folder(self) -> Path:
        """Return the directory of the settings and log files."""
        return self._folder

    def _plan_databases(self) -> Iterator[DatabaseProcess]:
        for group_index, group in enumerate(self.groups):
            for index in range(self._deployment.instances):
                domain = self._deployment.instance_domain(group_index, index)
                name = f"{group}-{index + 1}"
                yield DatabaseProcess(name, group, domain, self._host.next_address())

    def _plan_vms(self) -> Iterator[VmProcess]:
        for index in range(self._options.vms):
            domain = self._deployment.vm_domain(index)
            callers, admin, peers = (self._host.next_address() for _ in range(3))
            yield VmProcess(f"vm-{index + 1}", domain, callers, admin, peers)

    def group_databases(self, group: str) -> tuple[DatabaseProcess, ...]:
        """Return the databases of one group."""
        return tuple(item for item in self._databases if item.group == group)

    def instance_names(self) -> Mapping[str, Sequence[str]]:
        """Return the instances of each group as DOMAIN@HOST:PORT."""
        return {
            group: [f"{db.failure_domain}@{db.address}" for db in self.group_databases(group)]
            for group in self.groups
        }

    def configuration(self) -> str:
        """Return the configuration document of the started groups."""
        deployment = self._deployment._replace(groups=self.groups)
        return document(
            deployment,
            self.instance_names(),
            acknowledge=self._options.acknowledge,
            homes=self._options.homes,
        )

    def _database_command(self, database: DatabaseProcess) -> list[str]:
        options = self._options
        group = self.group_databases(database.group)
        others = [f"{db.address}={db.address}" for db in group if db is not database]
        command = [
            *(sys.executable, "-m", "tanagerfront_standin", "database"),
            # The configuration document and a database's status name an instance by its address.
            *("--name", str(database.address)),
            *("--listen", str(database.address)),
            *("--peers", ",".join(others)),
            *("--connections", str(self._deployment.connections)),
            *("--slots", str(self._deployment.slots)),
            *("--open-delay-ms", str(self._deployment.open_delay_ms)),
            *("--receive-delay-ms", str(options.receive_delay_ms)),
            *("--apply-delay-ms", str(options.apply_delay_ms)),
            *("--statement-ms", str(options.statement_ms)),
            *("--seed-sql", SCHEMA_SQL),
        ]
        return [*command, "--primary"] if database is group[0] else command

    def _platform_command(self) -> list[str]:
        return [
            *(sys.executable, "-m", "tanagerfront_standin", "platform"),
            *("--listen", str(self._platform)),
            *("--vm-list-listen", str(self._vm_list)),
            *("--vm-list-lag-s", str(self._options.vm_list_lag_s)),
        ]

    def _vm_settings(self, vm: VmProcess) -> str:
        sections: dict[str, dict[str, str]] = {
            "vm": {"id": vm.name, "failure_domain": vm.failure_domain},
            "listen": {
                "callers": str(vm.callers),
                "admin": str(vm.admin),
                "peers": str(vm.peers),
            },
            "platform": {"key_value": str(self._platform), "vm_list": str(self._vm_list)},
            "log": {"format": "json", "level": self._options.log_level},
            "admin": {"bootstrap_key": digest(owner_key())},
        }
        for section, values in self._options.settings.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines += [f"[{section}]", *(f"{key} = {value}" for key, value in values.items()), ""]
        return "\n".join(lines)

    def _vm_command(self, vm: VmProcess) -> list[str]:
        path = self._folder / f"{vm.name}.ini"
        path.write_text(self._vm_settings(vm), encoding="utf-8")
        return [sys.executable, "-m", "tanagerfront", "serve", "--settings", str(path)]

    def _start(self, name: str, command: list[str]) -> None:
        log = (self._folder / f"{name}.log").open("ab")
        environment = dict(os.environ, PYTHONUNBUFFERED="1")
        with log:
            process = subprocess.Popen(command, stdout=log, stderr=log, env=environment)
        self._commands[name] = command
        self._processes[name] = process

    async def __aenter__(self) -> Cluster:
        try:
            await self._start_all()
        except BaseException:
            self.stop_all()
            raise
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self.stop_all()

    async def _start_all(self) -> None:
        self._start("platform", self._platform_command())
        for database in self._databases:
            self._start(database.name, self._database_command(database))
        await self._wait_listening(self._platform, "platform")
        await self._wait_listening(self._vm_list, "platform")
        for vm in self._vms:
            await self.register_vm(vm)
            self._start(vm.name, self._vm_command(vm))
        for vm in self._vms:
            await self._wait_listening(vm.admin, vm.name)
        await self.apply_configuration(self.configuration())
        for vm in self._vms:
            await self.wait_ready(vm)

    async def register_vm(self, vm: VmProcess, state: str = "live") -> None:
        """Add a VM to the platform's VM list or update its state."""
        entry = {"address": str(vm.peers), "failure_domain": vm.failure_domain, "state": state}
        await request_once(
            self._vm_list, "PUT", f"/vms/{vm.name}", msgspec.json.encode(entry), timeout_s=5
        )

    async def unregister_vm(self, vm: VmProcess) -> None:
        """Remove a VM from the platform's VM list."""
        await request_once(self._vm_list, "DELETE", f"/vms/{vm.name}", timeout_s=5)

    async def _wait_listening(self, address: Address, name: str) -> None:
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                self._check_running(name)
                with contextlib.suppress(TanagerfrontError):
                    connection = await HttpConnection.open(address)
                    await connection.close()
                    return
                await trio.sleep(POLL_INTERVAL_S)

    def _check_running(self, name: str) -> None:
        code = self._processes[name].poll()
        if code is not None:
            log = (self._folder / f"{name}.log").read_text(errors="replace")
            raise RuntimeError(f"{name} exited with status {code}: {log[-2000:]}")

    async def apply_configuration(self, text: str, *, version: int = 0, vm: int = 0) -> int:
        """Upload the team's section through one VM and return its new version.

        Raises RuntimeError if the VM rejects it.
        """
        headers = [
            ("authorization", f"Bearer {owner_key()}"),
            ("if-match", str(version)),
            ("edit-id", uuid.uuid4().hex),
        ]
        path = f"/v1/config/sections/{TEAM}"
        reply = await request_once(
            self._vms[vm].admin, "PUT", path, text.encode(), headers=headers, timeout_s=10
        )
        if reply.status not in (200, 201):
            raise RuntimeError(f"configuration rejected with status {reply.status}: {reply.body!r}")
        return int(msgspec.json.decode(reply.body)["version"])

    async def wait_ready(self, vm: VmProcess) -> None:
        """Wait until a VM reports ready; raises trio.TooSlowError or RuntimeError if it exited."""
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                self._check_running(vm.name)
                with contextlib.suppress(TanagerfrontError):
                    reply = await request_once(vm.callers, "GET", "/readyz")
                    if reply.status == 200:
                        return
                await trio.sleep(POLL_INTERVAL_S)

    def pid(self, name: str) -> int:
        """Return the process id of a VM, database or the platform."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self._processes[name].kill()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Request a graceful shutdown with SIGTERM."""
        self._processes[name].terminate()

    async def wait_exited(self, name: str) -> int:
        """Wait for a terminated process and return its exit status."""
        process = self._processes[name]
        return await trio.to_thread.run_sync(process.wait, STOP_TIMEOUT_S)

    def restart(self, name: str, *extra: str, without: Sequence[str] = ()) -> None:
        """Restart a process with its previous command, minus `without`, plus `extra`."""
        command = [word for word in self._commands[name] if word not in without]
        self._start(name, [*command, *extra])

    def stop_all(self) -> None:
        """Kill all processes, including suspended ones, wait for them and release their host."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._host.close()

    async def database_status(self, database: DatabaseProcess) -> dict[str, object]:
        """Return a database's status; raises TooManyConnectionsError on an error reply."""
        reply = await request_once(database.address, "GET", "/status", timeout_s=2)
        if reply.status != 200:
            raise TooManyConnectionsError(
                f"{database.name}: status request failed with {reply.status}"
            )
        status: dict[str, object] = msgspec.json.decode(reply.body)
        return status

    async def primary(self, group: str) -> DatabaseProcess:
        """Return the primary with the highest term; raises RuntimeError if there is none."""
        found: list[tuple[int, DatabaseProcess]] = []
        for database in self.group_databases(group):
            with contextlib.suppress(TanagerfrontError):
                status = await self.database_status(database)
                if status["role"] == "primary":
                    found.append((int(str(status["term"])), database))
        if not found:
            raise RuntimeError(f"{group} has no primary")
        return max(found, key=lambda item: item[0])[1]
