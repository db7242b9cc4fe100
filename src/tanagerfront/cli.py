"""Command line of tanagerfront."""

from __future__ import annotations

import sys

import cyclopts

from . import __version__
from .errors import TanagerfrontError

__all__ = ["app", "main"]

app = cyclopts.App(name="tanagerfront", help="Database proxy with session consistency.")


@app.command
def version() -> None:
    """Print the version."""
    print(__version__)


def main() -> None:
    """Run the command line; exit with the error's own exit code."""
    try:
        app()
    except TanagerfrontError as error:
        print(f"tanagerfront: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
