"""Output of commands: tables for people, JSON for scripts, errors on standard error."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any


def print_error(message: str) -> None:
    """Print an error message to standard error."""
    print(f"coltsfootrill: {message}", file=sys.stderr)


def print_json(value: Any) -> None:
    """Print ``value`` as an indented JSON document."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_problems(problems: Sequence[str], *, as_json: bool) -> None:
    """Print the problems of an invalid manifest."""
    if as_json:
        print_json({"result": "invalid", "problems": list(problems)})
        return
    for problem in problems:
        print_error(problem)


def print_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows as left-aligned columns, each as wide as its widest cell."""
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print("  ".join(padded).rstrip())
