from __future__ import annotations

import json
from typing import Any

from coltsfootrill.manifest.codec import SIZE_MAX_BYTES
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.organisations.key_index import KeyIndex
from testing.proxy.instance import make_manifest

ORGANISATION_COUNT = 1_000
KEYS_EACH_COUNT = 10
KEY_CHARS = 32


def test_a_key_names_the_organisation_that_holds_it() -> None:
    first = Organisation(name="first", keys=["a", "b"])
    second = Organisation(name="second", keys=["c"])
    index = KeyIndex.from_organisations([first, second])
    assert [index.find(key) for key in "abcd"] == [first, first, second, None]


def test_a_key_is_known_only_as_it_is() -> None:
    index = KeyIndex.from_organisations([Organisation(name="first", keys=["s3cret"])])
    assert [index.find(key) for key in ("S3CRET", "s3cre", "s3crett", "", "s3cret ")] == [None] * 5


def test_an_organisation_without_keys_has_no_callers() -> None:
    assert KeyIndex.from_organisations([Organisation(name="first", keys=[])]).find("") is None


def test_a_thousand_organisations_with_ten_keys_each_fit_a_manifest(schemes: Any) -> None:
    organisations = [
        {
            "name": f"organisation-{number}",
            "keys": [f"{number}-{key}".ljust(KEY_CHARS, "x") for key in range(KEYS_EACH_COUNT)],
        }
        for number in range(ORGANISATION_COUNT)
    ]
    raw = json.dumps(json.loads(make_manifest(1)) | {"organisations": organisations}).encode()
    assert len(raw) < SIZE_MAX_BYTES
    holder = ManifestHolder(schemes)
    holder.adopt(raw)
    assert holder.current is not None
    assert holder.current.keys is not None
    for organisation in organisations:
        for key in organisation["keys"]:
            found = holder.current.keys.find(str(key))
            assert found is not None
            assert found.name == organisation["name"]


def test_a_manifest_without_organisations_has_no_index(schemes: Any) -> None:
    holder = ManifestHolder(schemes)
    holder.adopt(make_manifest(1))
    assert holder.current is not None
    assert holder.current.keys is None
