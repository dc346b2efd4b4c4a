"""The base class of errors; each package derives its own."""

from __future__ import annotations


class ColtsfootrillError(Exception):
    """Base class of all errors that the program raises deliberately."""
