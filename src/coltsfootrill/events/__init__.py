"""Structured log lines: one for each decision."""

from __future__ import annotations
