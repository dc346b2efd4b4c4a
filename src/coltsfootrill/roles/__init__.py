"""The long-running roles of the program: control, entry and node."""

from __future__ import annotations
