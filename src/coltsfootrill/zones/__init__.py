"""Orders of operators on availability zones, and where requests may be sent because of them."""

from __future__ import annotations
