"""One instance for each service decides where the requests of the whole fleet go."""

from __future__ import annotations
