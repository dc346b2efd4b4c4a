"""Entry point of the program, which handles signals before it loads the command line."""

from __future__ import annotations

import importlib
import sys

from coltsfootrill.early_signals import handle_early_signals

# The commands that run until they are stopped.
ROLES = ("control", "entry", "node")


def main() -> None:
    """Run the command line and exit with its exit code."""
    if any(argument in ROLES for argument in sys.argv[1:2]):
        handle_early_signals()
    # Loading the command line takes most of the time of a start.
    importlib.import_module("coltsfootrill.cli").main()
