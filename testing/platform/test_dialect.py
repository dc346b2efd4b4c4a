from __future__ import annotations

import pytest

from coltsfootrill.platform.dialect import parse_platform_load


class TestLoad:
    def test_the_first_three_figures_are_running_waiting_and_slots(self) -> None:
        report = parse_platform_load("2,1,3")
        assert report is not None
        assert (report.in_flight, report.slots, report.pace) == (3, 3, None)

    def test_the_fourth_figure_is_the_pace_in_hundredths(self) -> None:
        report = parse_platform_load("0,0,3,700")
        assert report is not None
        assert report.pace == 7.0

    @pytest.mark.parametrize("text", [None, "", "1,2", "a,b,c", "-1,0,3", "1,0,0", "1e9,0,3"])
    def test_malformed_load_is_ignored(self, text: str | None) -> None:
        assert parse_platform_load(text) is None
