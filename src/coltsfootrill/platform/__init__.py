"""Adapters to the users' platform, which translate its messages and make no decisions."""

from __future__ import annotations
