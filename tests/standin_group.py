"""Helpers that run stand-in databases in the test process, with TCP links between them."""

from __future__ import annotations

import contextlib
import functools
import subprocess
import sys
from collections.abc import Sequence
from typing import Any

import msgspec
import trio

from tanagerfront.configuration import Acknowledge, Group, Instance
from tanagerfront.databases import DatabaseSession, ExecuteResult, Statement
from tanagerfront.errors import ConnectionLostError
from tanagerfront.http_client import Address, HttpConnection
from tanagerfront_standin.database import DatabaseOptions, serve_database
from tanagerfront_standin.database_state import Delays
from tanagerfront_standin.link import TcpLink
from tanagerfront_standin.loopback import ReservedHost

SEED_SQL = "CREATE TABLE t (k TEXT PRIMARY KEY, v)"
TIMEOUT_S = 3.0
NO_DELAYS = Delays(open_s=0.0)


@functools.cache
def _reserved_host() -> ReservedHost:
    return ReservedHost()


def free_address() -> Address:
    """Return an unused address on a loopback host that only this process uses.

    On a shared host, another test process could bind a free port before the instance listens on
    it, or use it as the local port of a connection.
    """
    return _reserved_host().next_address()


class StandinGroup:
    """A group of instances; each connects to each peer through its own link."""

    def __init__(self, names: Sequence[str] = ("a", "b", "c")) -> None:
        self.addresses = {name: free_address() for name in names}
        # links[x][y] carries the connections from x to y.
        self.links: dict[str, dict[str, TcpLink]] = {name: {} for name in names}

    async def start(
        self, nursery: trio.Nursery, *, delays: Delays = NO_DELAYS, **options: Any
    ) -> None:
        for name, address in self.addresses.items():
            peers = {}
            for other in self.addresses:
                if other != name:
                    link = self.links[name][other] = TcpLink(self.addresses[other])
                    peers[other] = await nursery.start(link.run)
            instance_options = DatabaseOptions(
                name, address, peers, name == "a", delays=delays, seed_sql=SEED_SQL
            )
            await nursery.start(serve_database, instance_options._replace(**options))

    def isolate(self, name: str) -> None:
        for other in self.addresses:
            if other != name:
                self.links[name][other].cut()
                self.links[other][name].cut()

    def restore(self) -> None:
        for links in self.links.values():
            for link in links.values():
                link.restore()

    def group(self, acknowledge: Acknowledge = Acknowledge.REPLICATED) -> Group:
        instances = tuple(
            Instance(name, f"domain-{name}", address) for name, address in self.addresses.items()
        )
        return Group("orders-1", instances, 16, 2, acknowledge)

    async def session(self, name: str) -> DatabaseSession:
        return await DatabaseSession.open(self.addresses[name], TIMEOUT_S)

    async def debug(self, name: str, what: str) -> Any:
        connection = await HttpConnection.open(self.addresses[name])
        reply = await connection.request("GET", f"/debug/{what}", timeout_s=TIMEOUT_S)
        await connection.close()
        return msgspec.json.decode(reply.body)


async def write(
    session: DatabaseSession,
    key: str,
    *,
    term: int = 1,
    begin: bool = True,
    commit: bool = True,
    timeout_s: float = TIMEOUT_S,
) -> ExecuteResult:
    statement = Statement("INSERT INTO t VALUES (?, 1)", (key,))
    return await session.execute(
        [statement], term=term, begin=begin, commit=commit, read_only=False, timeout_s=timeout_s
    )


async def read(session: DatabaseSession, *, term: int = 1) -> set[str]:
    statement = Statement("SELECT k FROM t")
    result = await session.execute(
        [statement], term=term, begin=True, commit=True, read_only=True, timeout_s=TIMEOUT_S
    )
    return {str(row[0]) for row in result.results[0].rows}


async def wait_until_applied(session: DatabaseSession, position: int) -> None:
    """Wait until the instance holds and has applied the entry at a position."""
    status = await session.status()
    while status.held < position or status.applied < position:
        status = await session.status(
            status.term, status.held, 1.0, applied=status.applied, timeout_s=TIMEOUT_S
        )


def start_process(name: str, addresses: dict[str, Address]) -> subprocess.Popen[bytes]:
    command = "from tanagerfront_standin.cli import main; main()"
    peers = ",".join(f"{other}={peer}" for other, peer in addresses.items() if other != name)
    arguments = ["database", "--name", name, "--listen", str(addresses[name]), "--peers", peers]
    arguments += ["--seed-sql", SEED_SQL, *(["--primary"] if name == "a" else [])]
    return subprocess.Popen([sys.executable, "-c", command, *arguments])


async def connect_with_retries(address: Address) -> DatabaseSession:
    """Connect to a process that may still be starting, retrying until it listens."""
    for _attempt in range(400):
        with contextlib.suppress(ConnectionLostError):
            return await DatabaseSession.open(address, 1.0)
        await trio.sleep(0.05)
    raise AssertionError(f"nothing listens on {address}")
