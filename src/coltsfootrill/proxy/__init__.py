"""The request path: caller connections, forwarding and upstream connections."""

from __future__ import annotations
