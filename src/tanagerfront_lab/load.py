"""Open-loop load generator; the calls of a session go to random VMs over the HTTP interface."""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Literal, NamedTuple

import msgspec
import trio

from tanagerfront.errors import ConnectionLostError
from tanagerfront.http_client import Address, HttpConnection, HttpReply

from .deployments import caller_key
from .history import Operation
from .processes import VmProcess

__all__ = ["LoadPlan", "Recorder", "VmBalancer", "run_load"]

REQUEST_TIMEOUT_S = 8.0
CALLS_PER_SESSION = 40


class LoadPlan(NamedTuple):
    """Load of one organisation; `rate` is in requests per second, `sessions` is per group."""

    organisation: str
    rate: float
    duration_s: float
    read_share: float = 0.8
    max_staleness_s: float | None = 2.0
    idempotency_keys: bool = True
    retry_unknown: bool = True
    sessions: int = 8
    groups: tuple[str, ...] = ()


class VmBalancer:
    """Stand-in for the platform's load balancer: picks random VMs and reuses connections."""

    def __init__(self, vms: Sequence[VmProcess], randomness: random.Random) -> None:
        self._vms = list(vms)
        self._random = randomness
        self._idle: dict[Address, list[HttpConnection]] = {}

    def remove(self, vm: VmProcess) -> None:
        """Take a VM out of rotation; calls in progress continue."""
        self._vms = [item for item in self._vms if item.name != vm.name]

    def add(self, vm: VmProcess) -> None:
        """Put a VM back into rotation."""
        self.remove(vm)
        self._vms.append(vm)

    def choose_vm(self) -> VmProcess:
        """Return a random VM in rotation."""
        return self._random.choice(self._vms)

    async def call(
        self, vm: VmProcess, path: str, body: bytes, headers: Sequence[tuple[str, str]]
    ) -> HttpReply:
        """Send one request over an idle or new connection; raises ConnectionLostError."""
        idle = self._idle.setdefault(vm.callers, [])
        connection = idle.pop() if idle else await HttpConnection.open(vm.callers, timeout_s=2)
        reply = await connection.request(
            "POST", path, body, headers=headers, timeout_s=REQUEST_TIMEOUT_S + 1
        )
        if connection.usable:
            idle.append(connection)
        return reply

    async def close(self) -> None:
        """Close all idle connections."""
        for connection in (item for idle in self._idle.values() for item in idle):
            await connection.close()


class Recorder:
    """Collects operations in the order in which they end."""

    def __init__(self) -> None:
        self._operations: list[Operation] = []

    @property
    def operations(self) -> tuple[Operation, ...]:
        """Return the recorded operations."""
        return tuple(self._operations)

    def add(self, operation: Operation) -> None:
        """Record one operation."""
        self._operations.append(operation)


class _Session:
    """A caller's session on one group; its calls must not overlap."""

    def __init__(self, plan: LoadPlan, group: str, balancer: VmBalancer, recorder: Recorder):
        self._plan = plan
        self._group = group
        self._balancer = balancer
        self._recorder = recorder
        self._reset()

    def _reset(self) -> None:
        self._name = uuid.uuid4().hex
        self._token: str | None = None
        self._seq = 0
        self._calls = 0

    def _headers(self, key: str | None, *, read: bool) -> list[tuple[str, str]]:
        headers = [
            ("authorization", f"Bearer {caller_key(self._plan.organisation)}"),
            ("request-timeout", f"{REQUEST_TIMEOUT_S:g}"),
        ]
        if self._token:
            headers.append(("session-token", self._token))
        if key:
            headers.append(("idempotency-key", key))
        if read and self._plan.max_staleness_s is not None:
            headers.append(("max-staleness", f"{self._plan.max_staleness_s:g}"))
        return headers

    async def run(self, kind: Literal["write", "read"]) -> None:
        """Make one call; retries a write of unknown outcome once if `retry_unknown` is set."""
        self._calls += 1
        if self._calls > CALLS_PER_SESSION:
            self._reset()
        if kind == "read":
            await self._read()
            return
        operation = await self._write(self._next_ref())
        if operation.executed == "unknown" and self._plan.retry_unknown:
            if self._plan.idempotency_keys:
                await self._write(operation.ref)
            else:
                # The service can't relate this call to the first one and may execute both. With a
                # reference of its own, a row that the service doubles still shows.
                await self._write(self._next_ref(), repeats=operation.ref)

    def _next_ref(self) -> str:
        self._seq += 1
        return f"{self._name}-{self._seq}"

    async def _write(self, ref: str, *, repeats: str = "") -> Operation:
        key = ref if self._plan.idempotency_keys else None
        params = {"ref": ref, "session": self._name, "seq": self._seq}
        return await self._call(
            "write", "add", params, key, ref=ref, seq=self._seq, repeats=repeats
        )

    async def _read(self) -> Operation:
        return await self._call("read", "list", {"session": self._name}, None)

    async def _call(
        self,
        kind: Literal["write", "read"],
        route: str,
        params: dict[str, Any],
        key: str | None,
        **fields: Any,
    ) -> Operation:
        vm = self._balancer.choose_vm()
        body = msgspec.json.encode({"params": params})
        headers = self._headers(key, read=kind == "read")
        started = trio.current_time()
        pending = Operation(
            kind=kind,
            group=self._group,
            organisation=self._plan.organisation,
            session=self._name,
            vm=vm.name,
            started=started,
            ended=started,
            status=0,
            executed="unknown",
            eligible=kind == "read" and self._plan.max_staleness_s is not None,
            **fields,
        )
        try:
            reply = await self._balancer.call(
                vm, f"/v1/routes/{self._group}-{route}", body, headers
            )
        except ConnectionLostError as error:
            operation = pending._replace(executed=error.executed, problem=error.problem_type)
        else:
            operation = self._with_reply(pending, reply)
        operation = operation._replace(ended=trio.current_time())
        self._recorder.add(operation)
        return operation

    def _with_reply(self, pending: Operation, reply: HttpReply) -> Operation:
        self._token = reply.headers.get("session-token", self._token)
        content: dict[str, Any] = msgspec.json.decode(reply.body)
        if reply.status != 200:
            return pending._replace(
                status=reply.status,
                executed=content.get("executed", "unknown"),
                problem=str(content.get("type", "")),
            )
        seen = (
            tuple(row[0] for row in content["results"][0]["rows"]) if pending.kind == "read" else ()
        )
        by_replica = reply.headers.get("served-by") == "replica"
        return pending._replace(status=200, executed="yes", seen=seen, by_replica=by_replica)


def _arrivals(plan: LoadPlan, randomness: random.Random) -> Iterator[float]:
    """Yield the arrival times of a Poisson process, in seconds from the start."""
    arrival_s = randomness.expovariate(plan.rate)
    while arrival_s < plan.duration_s:
        yield arrival_s
        arrival_s += randomness.expovariate(plan.rate)


async def run_load(
    plans: Sequence[LoadPlan],
    balancer: VmBalancer,
    recorder: Recorder,
    *,
    seed: int,
    started: Callable[[], None] | None = None,
) -> None:
    """Run all plans concurrently to their end; arrivals do not wait for replies.

    Calls `started` once all plans are scheduled.
    """
    async with trio.open_nursery() as nursery:
        for number, plan in enumerate(plans):
            nursery.start_soon(_run_plan, plan, balancer, recorder, random.Random(seed + number))
        if started:
            started()


async def _run_plan(
    plan: LoadPlan, balancer: VmBalancer, recorder: Recorder, randomness: random.Random
) -> None:
    start = trio.current_time()
    idle_sessions = [
        _Session(plan, group, balancer, recorder)
        for group in plan.groups
        for _ in range(plan.sessions)
    ]
    async with trio.open_nursery() as nursery:
        for arrival_s in _arrivals(plan, randomness):
            await trio.sleep_until(start + arrival_s)
            if idle_sessions:
                session = idle_sessions.pop(randomness.randrange(len(idle_sessions)))
            else:
                # Open loop: a slow reply must not delay the next arrival, so add a session.
                group = randomness.choice(plan.groups)
                session = _Session(plan, group, balancer, recorder)
            kind: Literal["write", "read"] = (
                "read" if randomness.random() < plan.read_share else "write"
            )
            nursery.start_soon(_run_call, session, kind, idle_sessions)


async def _run_call(
    session: _Session, kind: Literal["write", "read"], idle_sessions: list[_Session]
) -> None:
    await session.run(kind)
    idle_sessions.append(session)
