"""Structured log of the decisions of a process, and the explanation of a request from it."""

from __future__ import annotations
