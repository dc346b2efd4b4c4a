from __future__ import annotations

import pytest

from coltsfootrill.naming.scheme import InvalidNameError
from coltsfootrill.naming.scheme import NamingScheme
from coltsfootrill.naming.scheme import RequestName

Schemes = dict[str, NamingScheme]


class TestParsing:
    @pytest.mark.parametrize(
        ("prefix", "text", "canonical"),
        [
            ("dotted", "Proofs.Crest.example.", "proofs.crest.example"),
            ("path", "/blazon/lookup/", "/blazon/lookup"),
            ("urn", "Crest:Commission", "crest:Commission"),
        ],
    )
    def test_names_are_parsed_to_their_canonical_form(
        self, schemes: Schemes, prefix: str, text: str, canonical: str
    ) -> None:
        assert schemes[prefix].parse(text) == canonical

    @pytest.mark.parametrize(
        ("prefix", "text"),
        [
            ("dotted", "a..b"),
            ("dotted", "-a.b"),
            ("dotted", "a" * 300),
            ("path", "blazon"),
            ("path", "/a/../b"),
            ("path", "/"),
            ("urn", "x"),
            ("urn", "a b:c"),
        ],
    )
    def test_malformed_names_are_refused(self, schemes: Schemes, prefix: str, text: str) -> None:
        with pytest.raises(InvalidNameError):
            schemes[prefix].parse(text)


class TestCandidates:
    def test_the_most_specific_name_comes_first(self, schemes: Schemes) -> None:
        request = RequestName(host="a.b.example:80", path="/x/y", urn="urn:crest:order:gold")
        assert list(schemes["dotted"].candidates(request)) == [
            "a.b.example",
            "b.example",
            "example",
        ]
        assert list(schemes["path"].candidates(request)) == ["/x/y", "/x"]
        assert list(schemes["urn"].candidates(request)) == ["crest:order:gold", "crest:order"]

    def test_a_malformed_urn_header_has_no_candidates(self, schemes: Schemes) -> None:
        request = RequestName(host="", path="", urn="not a urn")
        assert list(schemes["urn"].candidates(request)) == []
