"""The root of the error classes; each layer derives its own."""

from __future__ import annotations


class ColtsfootrillError(Exception):
    """Base of every error that the program raises on purpose."""
