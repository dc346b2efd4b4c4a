"""Decisions on choice, admission, retries and ejection; no sockets, threads or wall clock."""

from __future__ import annotations
