"""Run tanagerfront from the command line."""

from .cli import main

main()
