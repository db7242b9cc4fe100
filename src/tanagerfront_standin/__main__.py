"""Run the stand-ins from the command line."""

from .cli import main

main()
