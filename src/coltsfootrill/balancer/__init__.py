"""Decisions: which upstream, whether, and when. No sockets, threads or wall clock."""

from __future__ import annotations
