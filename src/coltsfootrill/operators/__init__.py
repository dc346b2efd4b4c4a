"""The operators' HTTP interface and its client."""

from __future__ import annotations
