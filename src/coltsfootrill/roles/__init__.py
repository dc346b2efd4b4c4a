"""The long-running roles of the program: entry and control."""

from __future__ import annotations
