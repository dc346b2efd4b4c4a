"""A randomized soak test: it injects faults into real nodes and checks what callers see."""

from __future__ import annotations
