"""Control replicas: the durable, replicated manifest register."""

from __future__ import annotations
