"""Exchange of announcements and liveness between entry instances."""

from __future__ import annotations
