"""Central dispatch: one instance per service chooses upstreams for the whole fleet."""

from __future__ import annotations
