"""Plug-ins for the users' platform: they translate its messages and decide nothing."""

from __future__ import annotations
