"""Traces, fake upstreams and the replay of traces against real entry processes."""

from __future__ import annotations
