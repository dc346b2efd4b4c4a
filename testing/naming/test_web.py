from __future__ import annotations

import pytest

from coltsfootrill.naming.scheme import InvalidNameError
from coltsfootrill.naming.scheme import RequestName
from coltsfootrill.naming.web import coltsfootrill_naming_scheme
from coltsfootrill.naming.web import parse_web


def _list_candidates(host: str, path: str) -> list[str]:
    request = RequestName(host=host, path=path, urn="")
    return list(coltsfootrill_naming_scheme().candidates(request))


class TestCandidates:
    def test_the_longest_prefix_comes_first(self) -> None:
        assert _list_candidates("A.example:80", "/x/y/z") == [
            "a.example/x/y/",
            "a.example/x/",
            "a.example/",
        ]

    def test_part_of_a_segment_does_not_match(self) -> None:
        assert "a.example/x/" not in _list_candidates("a.example", "/xy")

    def test_a_path_that_ends_with_a_slash_matches_itself(self) -> None:
        assert _list_candidates("a.example", "/x/")[0] == "a.example/x/"

    def test_the_path_is_not_percent_decoded(self) -> None:
        request = RequestName(host="a", path="/x/y/", urn="", target_path="/x%2Fy/")
        assert next(coltsfootrill_naming_scheme().candidates(request)) == "a/x%2Fy/"


class TestParsing:
    def test_the_host_is_case_insensitive(self) -> None:
        assert parse_web("A.Example/X/") == "a.example/X/"

    @pytest.mark.parametrize("text", ["", "a", "/x/", "a/x"])
    def test_malformed_names_are_refused(self, text: str) -> None:
        with pytest.raises(InvalidNameError):
            parse_web(text)
