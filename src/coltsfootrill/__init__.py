"""A load balancer for servers whose load shifts within milliseconds."""

from __future__ import annotations

__version__ = "0.1.0"
