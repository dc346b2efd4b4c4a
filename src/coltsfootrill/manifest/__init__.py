"""The operators' manifest: its types, its validation and the routing table built from it."""

from __future__ import annotations
