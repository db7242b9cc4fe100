"""Command line of the stand-ins."""

from __future__ import annotations

import cyclopts

__all__ = ["app", "main"]

app = cyclopts.App(name="tanagerfront-standin", help="Stand-ins for tests and the demonstration.")


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
    import trio

    from tanagerfront.http_client import parse_address

    from .key_value import KeyValueOptions
    from .platform import serve_platform

    options = KeyValueOptions(writes_per_s, reads_per_s)
    addresses = parse_address(listen), parse_address(vm_list_listen)
    trio.run(serve_platform, *addresses, options, vm_list_lag_s)


def main() -> None:
    """Run the command line."""
    app()
