"""HTTP interface for operators, its client, and the commands that use it."""

from __future__ import annotations
