from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.roles.test_node import Fleet


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    started = Fleet(tmp_path)
    yield started
    started.close()
