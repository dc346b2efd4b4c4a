"""Fixtures that several modules of this folder use."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from coltsfootrill.platform.dialect import coltsfootrill_dialect
from testing.proxy.instance import Instance


@pytest.fixture
def instance() -> Iterator[Instance]:
    """Yield an instance with the platform's dialect; some modules have one of their own."""
    made = Instance(dialect=coltsfootrill_dialect())
    yield made
    made.close()
