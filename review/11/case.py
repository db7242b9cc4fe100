"""An instance sheds a part of its requests, among them those that set up a session."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from deployment import (
    Deployment,
    Record,
    Session,
    SessionEndedError,
    Vm,
    run_case,
    succeeded,
)
from instances import Service

ZONES = ["suame", "adum", "ayeduase", "ahinsan"]
VMS = 7
KEY = "u6wsjnbanfqasnmgkcuy"
# The standard day with `srv_grey`, how = "shed", has these on klw-orders-grown: share 0.147 of the
# instances, x 0.359 of the requests, 7.44 s. One of nine instances is a share of 0.111.
SHED_SHARE = 0.35
SHED_S = 6.5
PLAY_S = 12.0
SHED_AT_S = 2.0
SESSIONS_PER_VM = 3


def configuration(services: list[Service]) -> dict[str, Any]:
    """Return the operator's configuration."""
    return {
        "version": 7,
        "routes": [
            {
                "name": f"r-{service.name}",
                "database": f"db-{service.name}",
                "prefix": "/",
                "type": "primary",
                "timeout_ms": 800,
                "target_latency_ms": 120,
                "priority": 1,
                "service": service.name,
                "max_attempts": 2,
                "allow_anonymous": False,
            }
            for service in services
        ],
        "services": [
            {"name": service.name, "max_connections": service.max_connections, "sync_replicas": 0}
            for service in services
        ],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [
            {
                "name": "nypu920",
                "api_keys": [KEY],
                "priority": 1,
                "rate_per_s": 600,
                "burst": 600,
            }
        ],
    }


class Client:
    """A client whose sessions hold values and a prepared statement, and read in a loop."""

    def __init__(self, number: int, vm: Vm, database: str, record: Record, until: float) -> None:
        self._name = f"c{number}"
        self._vm = vm
        self._database = database
        self._record = record
        self._until = until
        self._rng = random.Random(number)
        self._count = 0
        # Acknowledged values and shape of the session, by the id of each query.
        self.acknowledged: dict[str, tuple[dict[str, str], str]] = {}
        self.unknown_names: list[str] = []
        # Each client has a value that the others have too, and every second one has one more.
        self._wanted = {"place": self._name}
        if number % 2:
            self._wanted["mode"] = f"m{number}"
        self._shape = f"shape{number}"

    def _next_id(self) -> str:
        self._count += 1
        return f"{self._name}-{self._count}"

    async def run(self) -> None:
        """Use one session after the other until the end."""
        while time.monotonic() < self._until:
            try:
                session = await Session.open(self._vm, self._database, KEY)
            except SessionEndedError:
                await asyncio.sleep(0.2)
                continue
            try:
                await self._use(session)
            except SessionEndedError as error:
                self._record.write(f"{self._name} session ended: {error}")
            finally:
                session.close()

    async def _use(self, session: Session) -> None:
        for name, value in self._wanted.items():
            if not succeeded(await session.query(self._next_id(), f"SET {name} {value}")):
                return
        if not succeeded(await session.query(self._next_id(), f"PREPARE s1 READ {self._shape}")):
            return
        for _ in range(20):
            if time.monotonic() > self._until:
                return
            in_transaction = self._rng.random() < 0.4
            text = self._rng.choice(["READ 1a4", "EXECUTE s1 1a4"])
            if in_transaction and not await self._ask(session, "BEGIN", prepared=False):
                return
            served = await self._ask(session, text, prepared=text.startswith("EXECUTE"))
            if in_transaction and not await self._ask(
                session, "COMMIT" if served else "ROLLBACK", prepared=False
            ):
                return
            if session.state != "I":
                return
            await asyncio.sleep(self._rng.uniform(0.02, 0.1))

    async def _ask(self, session: Session, text: str, *, prepared: bool) -> bool:
        query_id = self._next_id()
        self.acknowledged[query_id] = (dict(self._wanted), self._shape if prepared else "")
        self._record.write(f"{self._name} sends {query_id} {text}, values {self._wanted}")
        lines = await session.query(query_id, text)
        self._record.write(f"{self._name} answer {query_id} {lines} {session.state}")
        if lines and lines[-1].startswith("ERROR NOSTMT"):
            self.unknown_names.append(query_id)
        return succeeded(lines)


async def play(record: Record, trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    services = [Service(f"svc{number}", ZONES, slots=3, max_connections=57) for number in range(3)]
    shedding = services[0].primary
    async with Deployment(services, configuration, VMS, grown=True).running() as deployment:
        await asyncio.sleep(2.0)
        until = time.monotonic() + PLAY_S
        clients = [
            Client(number, deployment.vms[number % VMS], "db-svc0", record, until)
            for number in range(VMS * SESSIONS_PER_VM)
        ]
        async with asyncio.TaskGroup() as group:
            for client in clients:
                group.create_task(client.run())
            await asyncio.sleep(SHED_AT_S)
            if trouble:
                record.write(f"{shedding.name} sheds {SHED_SHARE} of its requests")
                shedding.refused_share = SHED_SHARE
            await asyncio.sleep(SHED_S)
            shedding.refused_share = 0.0
            record.write(f"{shedding.name} sheds nothing any more")
    for at, query_id, text in shedding.refused:
        record.write(f"{shedding.name} sheds {query_id} {text}", at)
    expected = {}
    for client in clients:
        expected |= client.acknowledged
    verdicts = []
    runs = [run for service in services for run in service.runs]
    for run in runs:
        values, shape = expected[run.query_id]
        record.write(
            f"{run.instance} runs {run.query_id} {run.text} on {run.connection}, "
            f"values {run.values}, shape {run.shape!r}",
            run.at,
        )
        if run.values != values:
            verdicts.append(
                f"{run.query_id} ran with the values {run.values}, acknowledged were {values}"
            )
        if run.shape != shape:
            verdicts.append(f"{run.query_id} ran the shape {run.shape!r}, prepared was {shape!r}")
    unknown = [query_id for client in clients for query_id in client.unknown_names]
    verdicts += [
        f"{query_id}: a name is unknown whose preparing was acknowledged" for query_id in unknown
    ]
    record.write(f"{len(runs)} statements ran, {len(shedding.refused)} requests were shed")
    print(
        f"{len(runs)} statements ran, {len(shedding.refused)} requests were shed, "
        f"{len(unknown)} prepared names were unknown"
    )
    return verdicts


run_case(play)
