"""The operators' manifest: types, checks and the routing table made from it."""

from __future__ import annotations
