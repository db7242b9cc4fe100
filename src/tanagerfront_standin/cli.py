"""Command line of the stand-ins."""

from __future__ import annotations

import cyclopts

__all__ = ["app", "main"]

app = cyclopts.App(name="tanagerfront-standin", help="Stand-ins for tests and the demonstration.")


def main() -> None:
    """Run the command line."""
    app()
