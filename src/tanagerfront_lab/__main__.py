"""Run the lab from the command line."""

from .cli import main

main()
