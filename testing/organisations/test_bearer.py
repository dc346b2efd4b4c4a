from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies

from coltsfootrill.organisations.bearer import KEY_MAX_CHARS
from coltsfootrill.organisations.bearer import parse_bearer_key

KEYS = strategies.text(
    strategies.characters(min_codepoint=0x21, max_codepoint=0x7E), min_size=1, max_size=64
)


@pytest.mark.parametrize(
    "value",
    ["Bearer s3cret", "bearer s3cret", "BEARER s3cret", "bEaReR   s3cret", "Bearer \t s3cret"],
)
def test_the_scheme_is_read_in_any_case_with_any_blanks(value: str) -> None:
    assert parse_bearer_key(value) == "s3cret"


@pytest.mark.parametrize(
    "value",
    [
        "",
        "Bearer",
        "Bearer ",
        "s3cret",
        "Bearers3cret",
        "Basic s3cret",
        "Bearer: s3cret",
        "Bearer s3cret s3cret",
        "Bearer s3cret, Bearer s3cret",
        "Bearer s3cret, ",
        ", Bearer s3cret",
        "Bearer s3cret\x0b",
        "Bearer s3cret\n",
        "Bearer s3cr\xe9t",
        "Bearer\xa0s3cret",
        "Bearer " + "k" * (KEY_MAX_CHARS + 1),
    ],
)
def test_anything_but_one_key_is_malformed(value: str) -> None:
    assert parse_bearer_key(value) is None


@given(KEYS)
def test_each_key_is_read_as_it_is(key: str) -> None:
    assert parse_bearer_key(f"Bearer {key}") == key


@given(KEYS, strategies.text(max_size=20))
def test_no_doubled_header_is_read(key: str, other: str) -> None:
    """The parser of requests joins headers of one name with a comma and a blank."""
    assert parse_bearer_key(f"Bearer {key}, {other}") is None
    assert parse_bearer_key(f"{other}, Bearer {key}") is None
