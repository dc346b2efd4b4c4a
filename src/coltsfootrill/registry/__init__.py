"""Upstreams known to an entry instance, their announcements and leases."""

from __future__ import annotations
