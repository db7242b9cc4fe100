"""Run a small cluster of real processes and check the results of its callers' requests."""

from __future__ import annotations

import base64
import functools
import random
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any, NamedTuple

import msgspec
import trio

from tanagerfront.admin_client import AdminClient
from tanagerfront.errors import TanagerfrontError
from tanagerfront.http_client import Address, HttpConnection, HttpReply
from tanagerfront_lab.checker import Violation, check_history
from tanagerfront_lab.deployments import KUMASI, TEAM, caller_key, owner_key
from tanagerfront_lab.experiments import read_rows
from tanagerfront_lab.history import History, Operation
from tanagerfront_lab.load import LoadPlan, Recorder, VmBalancer, run_load
from tanagerfront_lab.measures import failover_gaps
from tanagerfront_lab.processes import (
    Cluster,
    ClusterOptions,
    DatabaseProcess,
    VmProcess,
    request_once,
)
from tanagerfront_standin.link import TcpLink

GROUP = KUMASI.groups[0]
ORGANISATION = "foremen"
OTHER_ORGANISATION = "carvers"
ADD = "INSERT INTO records (ref, session, seq) VALUES (?, ?, ?)"
# Targets of docs/design.md, section 1, in seconds.
IN_EFFECT_S = 3.0
FAILOVER_S = 7.0
READY_S = 10.0
SETTLE_S = 1.0
POLL_S = 0.05
SEED = 1

Fault = Callable[[Cluster, VmBalancer], Awaitable[None]]


class LoadResult(NamedTuple):
    """The calls of a load run and the final rows; `started_s` is the start, on the calls' clock."""

    history: History
    started_s: float

    @property
    def operations(self) -> Sequence[Operation]:
        return self.history.operations

    @property
    def violations(self) -> list[Violation]:
        return check_history(self.history)

    @property
    def acknowledged_writes(self) -> int:
        return sum(1 for op in self.operations if op.kind == "write" and op.acknowledged)

    @property
    def write_gap_s(self) -> float:
        return max(failover_gaps(self.operations, self.started_s).values(), default=float("inf"))


class SmallCluster(Cluster):
    """A few VMs and one group of three databases; startup waits until every organisation is served.

    A VM reports ready before it knows the owners of the rate limit buckets, and refuses requests
    until then.
    """

    def __init__(self, vms: int = 3, slots: int = KUMASI.slots) -> None:
        options = ClusterOptions(vms=vms, groups=1)
        super().__init__(KUMASI._replace(slots=slots), options)

    async def _start_all(self) -> None:
        await super()._start_all()
        for tenant in KUMASI.organisations:
            await wait_until(functools.partial(self._served, tenant.name), READY_S)

    async def _served(self, organisation: str) -> bool:
        for vm in self.vms:
            caller = await Caller.connect(vm, organisation)
            path, body = f"/v1/routes/{GROUP}-list", {"params": {"session": ""}}
            if (await caller.post(path, body)).status != 200:
                return False
        return True


def plan(organisation: str, rate: float, seconds: float, **changes: Any) -> LoadPlan:
    """Return a load plan for one organisation in which half of the calls are writes."""
    load = LoadPlan(organisation, rate, seconds, read_share=0.5, groups=(GROUP,))
    return load._replace(**changes)


async def run_observed_load(
    cluster: Cluster, plans: Sequence[LoadPlan], fault: Fault | None = None, *, after_s: float = 2.0
) -> LoadResult:
    """Run load, inject the fault after `after_s` seconds and read the rows at the end."""
    recorder = Recorder()
    balancer = VmBalancer(cluster.vms, random.Random(SEED))
    started_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        if fault is not None:
            nursery.start_soon(_inject, cluster, balancer, fault, after_s)
        await run_load(plans, balancer, recorder, seed=SEED)
    await trio.sleep(SETTLE_S)
    await balancer.close()
    rows = await read_rows(cluster, GROUP)
    return LoadResult(History(recorder.operations, tuple(rows)), started_s)


async def _inject(cluster: Cluster, balancer: VmBalancer, fault: Fault, after_s: float) -> None:
    await trio.sleep(after_s)
    await fault(cluster, balancer)


class Caller:
    """A caller's HTTP connection to one VM."""

    def __init__(self, connection: HttpConnection, organisation: str) -> None:
        self._connection = connection
        self._headers = [("authorization", f"Bearer {caller_key(organisation)}")]

    @classmethod
    async def connect(cls, vm: VmProcess, organisation: str = ORGANISATION) -> Caller:
        return cls(await HttpConnection.open(vm.callers), organisation)

    async def post(self, path: str, body: Any = None, *, timeout_s: float = 5.0) -> HttpReply:
        """Send one request and return its reply; raises ConnectionLostError."""
        headers = [*self._headers, ("request-timeout", f"{timeout_s:g}")]
        content = b"" if body is None else msgspec.json.encode(body)
        return await self._connection.request(
            "POST", path, content, headers=headers, timeout_s=timeout_s + 1
        )

    async def add(self, ref: str, **options: Any) -> HttpReply:
        """Insert one row through the group's add route."""
        params = {"ref": ref, "session": ref, "seq": 1}
        return await self.post(f"/v1/routes/{GROUP}-add", {"params": params}, **options)

    async def list(self, session: str) -> list[list[Any]]:
        """Return the rows of a session, read from the primary."""
        reply = await self.post(f"/v1/routes/{GROUP}-list", {"params": {"session": session}})
        return rows_of(reply)

    async def begin(self) -> HttpReply:
        return await self.post(f"/v1/groups/{GROUP}/transaction")

    async def execute(self, sql: str, *params: Any) -> HttpReply:
        """Execute one statement in the open transaction."""
        return await self.post(
            "/v1/transaction/execute", {"statements": [{"sql": sql, "params": params}]}
        )

    async def add_in_transaction(self, ref: str) -> HttpReply:
        return await self.execute(ADD, ref, ref, 1)

    async def commit(self) -> HttpReply:
        return await self.post("/v1/transaction/commit")

    async def rollback(self) -> HttpReply:
        return await self.post("/v1/transaction/rollback")

    async def close(self) -> None:
        await self._connection.close()


def rows_of(reply: HttpReply) -> list[list[Any]]:
    """Return the rows of the first result; raises ValueError unless the status is 200."""
    if reply.status != 200:
        raise ValueError(f"request refused: {reply.body!r}")
    rows: list[list[Any]] = msgspec.json.decode(reply.body)["results"][0]["rows"]
    return rows


async def committed_refs(cluster: Cluster) -> set[str]:
    """Return the refs of the committed rows."""
    return {row.ref for row in await read_rows(cluster, GROUP)}


async def recorded_executions(databases: Iterable[DatabaseProcess]) -> list[dict[str, Any]]:
    """Return the executions that the databases recorded, timed by the host's monotonic clock."""
    found: list[dict[str, Any]] = []
    for database in databases:
        reply = await request_once(database.address, "GET", "/debug/executions")
        found += msgspec.json.decode(reply.body)["executions"]
    return found


async def open_connections(database: DatabaseProcess) -> int:
    """Return the number of connections that a database has open to VMs."""
    reply = await request_once(database.address, "GET", "/debug/connections")
    return int(msgspec.json.decode(reply.body)["open"])


async def set_service_faults(cluster: Cluster, **faults: Any) -> None:
    """Set injected faults of the key-value service."""
    await request_once(cluster.platform, "POST", "/debug/faults", msgspec.json.encode(faults))


async def service_faults(cluster: Cluster) -> dict[str, Any]:
    """Return the faults that the key-value service currently injects."""
    reply = await request_once(cluster.platform, "GET", "/debug/faults")
    faults: dict[str, Any] = msgspec.json.decode(reply.body)
    return faults


async def vm_status(vm: VmProcess) -> dict[str, Any]:
    """Return the status document of a VM's admin interface."""
    reply = await request_once(vm.admin, "GET", "/status")
    status: dict[str, Any] = msgspec.json.decode(reply.body)
    return status


async def homes(cluster: Cluster) -> dict[str, dict[str, Any]]:
    """Return the group status of each VM that reports a term, by VM name."""
    found = {}
    for vm in cluster.vms:
        group = (await vm_status(vm))["groups"][0]
        if "term" in group:
            found[vm.name] = group
    return found


async def role_lock_holders(cluster: Cluster) -> list[str]:
    """Return the values of the role lock keys in the key-value service."""
    prefix = b"tanagerfront/seat/"
    first, end = (base64.b64encode(key).decode() for key in (prefix, prefix[:-1] + b"0"))
    body = msgspec.json.encode({"key": first, "range_end": end})
    reply = await request_once(cluster.platform, "POST", "/v3/kv/range", body)
    entries = msgspec.json.decode(reply.body).get("kvs", [])
    return [base64.b64decode(entry["value"]).decode() for entry in entries]


def admin_client(vm: VmProcess) -> AdminClient:
    """Return an admin client that uses the key of the team that owns the section."""
    return AdminClient(vm.admin, owner_key())


async def edit_section(cluster: Cluster, old: str, new: str, *, vm: int = 0) -> int:
    """Replace text in the team's section through one VM and return the accepted version."""
    section = await admin_client(cluster.vms[vm]).section(TEAM)
    if old not in section.text:
        raise ValueError(f"the configuration section does not contain {old!r}")
    text = section.text.replace(old, new)
    return await cluster.apply_configuration(text, version=section.version, vm=vm)


async def active_version(vm: VmProcess) -> int | None:
    """Return a VM's active configuration version, or None if it does not answer."""
    try:
        reply = await request_once(vm.admin, "GET", "/status", timeout_s=1)
    except TanagerfrontError:
        return None
    return int(msgspec.json.decode(reply.body)["configuration_version"])


async def wait_until(condition: Callable[[], Awaitable[bool]], limit_s: float) -> float:
    """Return the seconds until the condition holds, or infinity after `limit_s` seconds."""
    start = time.monotonic()
    while time.monotonic() - start < limit_s:
        if await condition():
            return time.monotonic() - start
        await trio.sleep(POLL_S)
    return float("inf")


class LinkedCluster(SmallCluster):
    """A small cluster whose VMs connect to the databases through TCP links."""

    def __init__(self) -> None:
        super().__init__()
        self._links: dict[Address, tuple[TcpLink, Address]] = {}

    async def start_links(self, nursery: trio.Nursery) -> None:
        """Start the TCP links; must be called before the processes start."""
        for database in self.databases:
            link = TcpLink(database.address)
            self._links[database.address] = (link, await nursery.start(link.run))

    def link(self, database: DatabaseProcess) -> TcpLink:
        """Return the TCP link to a database."""
        return self._links[database.address][0]

    def _name(self, database: DatabaseProcess) -> str:
        return str(self._links[database.address][1])

    def instance_names(self) -> dict[str, Sequence[str]]:
        names = [f"{db.failure_domain}@{self._name(db)}" for db in self.databases]
        return {GROUP: names}

    def _database_command(self, database: DatabaseProcess) -> list[str]:
        command = super()._database_command(database)
        others = [db for db in self.databases if db is not database]
        command[command.index("--name") + 1] = self._name(database)
        peers = ",".join(f"{self._name(db)}={db.address}" for db in others)
        command[command.index("--peers") + 1] = peers
        return command
