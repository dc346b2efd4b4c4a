"""Organisations of callers: whose key a request carries. No network, no clock."""

from __future__ import annotations
