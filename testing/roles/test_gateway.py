from __future__ import annotations

from pathlib import Path

import pytest

from coltsfootrill.roles.gateway import get_stop_limit_ms
from coltsfootrill.settings import Settings
from coltsfootrill.settings_catalog import NODE_SETTINGS

REQUIRED = """
[instance]
id = n1
zone = z1
first_start = true
[metrics]
listen = 127.0.0.1:1
[ready]
listen = 127.0.0.1:2
[interface]
listen = 127.0.0.1:3
name = platform
dialect = platform
manifest = platform
[fleet]
listen = 127.0.0.1:4
seeds = 127.0.0.1:4
[callers]
listen = 127.0.0.1:5
notice_ms = 2600
"""


class TestStopLimit:
    # Guards against requests that are cut though the process may run on.
    @pytest.mark.parametrize(
        ("lines", "limit_ms"),
        [("", 2_800), ("grace_s = 6", 2_800), ("grace_s = 10", 6_800), ("grace_s = 1", 0)],
    )
    def test_requests_have_the_whole_grace_period(
        self, tmp_path: Path, lines: str, limit_ms: float
    ) -> None:
        path = tmp_path / "n.ini"
        path.write_text(REQUIRED + lines)
        assert get_stop_limit_ms(Settings.from_file(path, NODE_SETTINGS)) == limit_ms
