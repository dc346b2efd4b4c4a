"""Traces, fake upstreams, and the replay of traces against running entry instances."""

from __future__ import annotations
