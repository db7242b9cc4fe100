"""Command line interface of tanagerfront."""

from __future__ import annotations

import importlib
import importlib.util
import sys
from pathlib import Path

import cyclopts
import trio

from . import __version__
from .errors import TanagerfrontError

__all__ = ["app", "main"]

USAGE_EXIT_CODE = 2
_CONFIG_MODULE = "tanagerfront.cli_config"

app = cyclopts.App(
    name="tanagerfront", help="Database proxy with session consistency.", version=__version__
)


@app.command
def version() -> None:
    """Print the version."""
    print(__version__)


@app.command
def serve(*, settings: Path) -> None:
    """Run one VM until SIGTERM or SIGINT.

    Parameters
    ----------
    settings
        INI file with the addresses, failure domain and limits of this process.
    """
    from .logs import configure_logging
    from .settings import load_settings

    loaded = load_settings(settings)
    configure_logging(loaded.log)
    # Imported here because the modules of a VM are slow to import and other commands need none.
    trio.run(importlib.import_module("tanagerfront.vm").run_vm, loaded)


@app.command
def front() -> None:
    """Run one VM of the session interface on the users' platform, until SIGTERM.

    The environment variable TANAGERFRONT_BOOT names the settings file.
    """
    importlib.import_module("tanagerfront.platform").main()


@app.command
def status(*, server: str, json: bool = False, timeout: float = 5.0) -> None:
    """Print the status of a running VM.

    Parameters
    ----------
    server
        HOST:PORT of the VM's administration port.
    json
        Print the JSON document in place of tables.
    timeout
        Seconds to wait for the answer.
    """
    from .status_view import fetch_status, render_status

    document = trio.run(fetch_status, server, timeout)
    print(document.decode() if json else render_status(document))


@app.command
def explain(
    *,
    server: str,
    database: str,
    organisation: str,
    write: bool = False,
    after: str = "",
    json: bool = False,
    timeout: float = 5.0,
) -> None:
    """Print where a VM of the session interface would send a statement now, without sending it.

    Parameters
    ----------
    server
        HOST:PORT of the VM's readiness probe.
    database
        Name of the database that callers connect to.
    organisation
        Name of the organisation that would send the statement.
    write
        Ask for a write in place of a read.
    after
        Last write of the caller's session as TERM.NUMBER, on routes that read their own writes.
    json
        Print the JSON document in place of tables.
    timeout
        Seconds to wait for the answer.
    """
    from .explain_view import fetch_report
    from .status_view import render_status

    async def fetch() -> bytes:
        return await fetch_report(
            server, database, organisation, writes=write, after=after, timeout_s=timeout
        )

    document = trio.run(fetch)
    print(document.decode() if json else render_status(document))


def _register_config_commands() -> None:
    """Register the `config` commands, whose modules are imported on first use."""
    if importlib.util.find_spec(_CONFIG_MODULE) is not None:
        app.command(
            f"{_CONFIG_MODULE}:app", name="config", help="Read and edit the configuration document."
        )


_register_config_commands()


def main() -> None:
    """Run the command line; on an error, exit with the exit code of its class."""
    try:
        app(exit_on_error=False)
    except cyclopts.CycloptsError:
        sys.exit(USAGE_EXIT_CODE)
    except TanagerfrontError as error:
        print(f"tanagerfront: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
    except BrokenPipeError:
        # The reader of the output, such as head, has closed the pipe.
        sys.stderr.close()


if __name__ == "__main__":
    main()
