"""Loads of upstreams, for tests of the decisions that depend on them."""

from __future__ import annotations

from coltsfootrill.balancer.load import UpstreamLoad


def make_load(upstream_id: str = "u1", zone: str = "z1") -> UpstreamLoad:
    """Return the load of an idle upstream with three slots, long after its slow start."""
    load = UpstreamLoad(
        id=upstream_id, incarnation=1, address="127.0.0.1:1", zone=zone, slots=3, now_ms=0
    )
    load.ramp_from_ms = -1e6
    return load
