"""A randomized soak of real nodes: faults from outside, promises checked from what callers see."""

from __future__ import annotations
