"""The path of one request: caller side, forwarding and upstream connections."""

from __future__ import annotations
