"""Naming schemes, which map a request to a service and a request kind."""

from __future__ import annotations
