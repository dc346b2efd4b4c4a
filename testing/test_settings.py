from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from coltsfootrill.settings import InvalidSettingsError
from coltsfootrill.settings import Settings
from coltsfootrill.settings_catalog import CONTROL_SETTINGS
from coltsfootrill.settings_catalog import ENTRY_SETTINGS
from coltsfootrill.settings_catalog import NODE_SETTINGS


class TestSettings:
    def test_one_error_reports_all_problems(self, tmp_path: Path) -> None:
        path = tmp_path / "c.ini"
        path.write_text(
            "[instance]\nid = c1\nzone = z\n[operators]\nlisten = localhost:1\n"
            "[control]\nlisten = 127.0.0.1:99999\nreplicas = c1=127.0.0.1:1, c2=127.0.0.1:2\n"
        )
        with pytest.raises(InvalidSettingsError) as caught:
            Settings.from_file(path, CONTROL_SETTINGS)
        keys = {(e.section, e.key) for e in caught.value.exceptions}  # type: ignore[union-attr]
        assert keys == {
            ("operators", "listen"),
            ("tokens", "operator_file"),
            ("control", "listen"),
            ("control", "replicas"),
        }

    def test_fractional_retry_settings_are_accepted(self, tmp_path: Path) -> None:
        path = tmp_path / "n.ini"
        path.write_text("[retries]\nallowance = 22.823529411764707\nwindow_s = 7.5\n")
        with pytest.raises(InvalidSettingsError) as caught:
            Settings.from_file(path, NODE_SETTINGS)
        assert not [e for e in caught.value.exceptions if "retries" in str(e)]

    def test_empty_value_means_default(self, tmp_path: Path) -> None:
        path = tmp_path / "n.ini"
        path.write_text("[retries]\nshare =\nwindow_s =\n[fleet]\nlosses =\nlisten =\n")
        with pytest.raises(InvalidSettingsError) as caught:
            Settings.from_file(path, NODE_SETTINGS)
        problems = " ".join(str(error) for error in caught.value.exceptions)
        assert "retries" not in problems and "losses" not in problems
        assert "[fleet] listen" in problems

    @pytest.mark.parametrize("text", ["-1", "nan", "inf", "x", "0"])
    def test_window_must_be_positive_and_finite(self, tmp_path: Path, text: str) -> None:
        path = tmp_path / "n.ini"
        path.write_text(f"[retries]\nwindow_s = {text}\n")
        with pytest.raises(InvalidSettingsError) as caught:
            Settings.from_file(path, NODE_SETTINGS)
        assert [e for e in caught.value.exceptions if "window_s" in str(e)]

    def test_duplicate_key_is_refused(self, tmp_path: Path) -> None:
        path = tmp_path / "c.ini"
        path.write_text("[instance]\nid = c1\nid = c2\n")
        with pytest.raises(InvalidSettingsError):
            Settings.from_file(path, CONTROL_SETTINGS)

    @hypothesis_settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
    @given(raw=st.binary(max_size=300))
    def test_arbitrary_bytes_are_refused_with_reasons(self, tmp_path: Path, raw: bytes) -> None:
        path = tmp_path / "e.ini"
        path.write_bytes(raw)
        with pytest.raises(InvalidSettingsError) as caught:
            Settings.from_file(path, ENTRY_SETTINGS)
        assert caught.value.exceptions
