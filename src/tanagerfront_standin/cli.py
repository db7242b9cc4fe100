"""Command line interface of the stand-ins."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable, Mapping
from typing import Annotated

import cyclopts
import trio

from tanagerfront.http_client import Address, parse_address

from .database import DatabaseOptions, serve_database
from .database_state import Delays
from .key_value import KeyValueOptions
from .platform import serve_platform

__all__ = ["app", "main"]

app = cyclopts.App(name="tanagerfront-standin", help="Stand-ins for tests and the demonstration.")


def _parse_peers(text: str) -> Mapping[str, Address]:
    pairs = (item.partition("=") for item in text.split(",") if item.strip())
    return {name.strip(): parse_address(address) for name, _separator, address in pairs}


@app.command
def database(
    *,
    name: str,
    listen: str,
    primary: Annotated[bool, cyclopts.Parameter(negative="")] = False,
    peers: str = "",
    connections: int = 16,
    slots: int = 2,
    open_delay_ms: float = 12.0,
    receive_delay_ms: float = 0.0,
    apply_delay_ms: float = 0.0,
    statement_ms: float = 0.0,
    seed_sql: str = "",
) -> None:
    """Run one database instance until SIGTERM.

    Parameters
    ----------
    name
        Name of the instance.
    listen
        HOST:PORT; port 0 selects a free port, which is printed.
    primary
        Start as primary of term 1; the other instances find it through their peers.
    peers
        The other instances of the group as NAME=HOST:PORT, separated by commas.
    connections
        Maximum number of open connections.
    slots
        Maximum number of statements that run concurrently.
    open_delay_ms
        Time until a new connection gets its first response.
    receive_delay_ms
        Time from the response to a pull until a replica has received its entries.
    apply_delay_ms
        Time from receiving an entry until it is visible to readers.
    statement_ms
        Time that a statement occupies a slot.
    seed_sql
        SQL script that initialises every instance of the group.
    """
    delays = Delays(
        open_delay_ms / 1000, receive_delay_ms / 1000, apply_delay_ms / 1000, statement_ms / 1000
    )
    options = DatabaseOptions(
        name,
        parse_address(listen),
        _parse_peers(peers),
        primary,
        connections,
        slots,
        delays,
        seed_sql,
    )

    trio.run(_run_until_terminated, serve_database, options)


async def _run_until_terminated(serve: Callable[..., Awaitable[None]], options: object) -> None:
    """Run a stand-in until SIGTERM or SIGINT, then cancel it so that it removes temporary files."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve, options)
            print(f"listening {address}", flush=True)
            async for _number in signals:
                nursery.cancel_scope.cancel()


@app.command
def platform(
    *,
    listen: str = "127.0.0.1:2379",
    vm_list_listen: str = "127.0.0.1:2380",
    vm_list_lag_s: float = 0.0,
    writes_per_s: float = 500.0,
    reads_per_s: float = 2000.0,
) -> None:
    """Serve the key-value service and the platform's list of VMs until interrupted."""
    options = KeyValueOptions(writes_per_s, reads_per_s)
    addresses = parse_address(listen), parse_address(vm_list_listen)
    trio.run(serve_platform, *addresses, options, vm_list_lag_s)


def main() -> None:
    """Run the command line."""
    app()
