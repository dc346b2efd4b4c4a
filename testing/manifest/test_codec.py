from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootrill.manifest.codec import SIZE_MAX_BYTES
from coltsfootrill.manifest.codec import InvalidManifestError
from coltsfootrill.manifest.codec import decode_manifest


def _list_problems(raw: bytes) -> list[str]:
    with pytest.raises(InvalidManifestError) as caught:
        decode_manifest(raw)
    return [str(problem) for problem in caught.value.exceptions]


class TestDecoding:
    def test_a_valid_manifest_is_decoded(self, encode_manifest: Any) -> None:
        manifest = decode_manifest(encode_manifest(version=3))
        assert manifest.version == 3
        assert manifest.services[0].kinds[0].idempotent

    # Guards against a large manifest that keeps requests from the interpreter for a second.
    def test_the_fields_of_a_type_are_looked_up_once(
        self, encode_manifest: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        looked_up: list[type[msgspec.Struct]] = []
        look_up = msgspec.structs.fields

        def count(struct: type[msgspec.Struct]) -> tuple[msgspec.structs.FieldInfo, ...]:
            looked_up.append(struct)
            return look_up(struct)

        monkeypatch.setattr(msgspec.structs, "fields", count)
        manifest = json.loads(encode_manifest())
        kind = manifest["services"][0]["kinds"][0]
        manifest["services"][0]["kinds"] = [
            kind | {"id": f"k{number}", "names": [f"path:/k{number}"]} for number in range(100)
        ]
        decode_manifest(json.dumps(manifest).encode())
        assert len(looked_up) == len(set(looked_up))

    def test_all_problems_are_reported_at_once(self, encode_manifest: Any) -> None:
        raw = encode_manifest(deadline_ms=-1, priority="urgent", surprise=1, names=[])
        problems = _list_problems(raw)
        paths = {problem.partition(":")[0] for problem in problems}
        prefix = "$.services[0].kinds[0]."
        assert paths == {prefix + key for key in ("deadline_ms", "priority", "surprise", "names")}

    def test_a_missing_field_is_reported_by_path(self) -> None:
        problems = _list_problems(b'{"schema": 1, "version": 1}')
        assert problems == ["$.services: missing"]

    def test_a_duplicate_key_is_refused(self, encode_manifest: Any) -> None:
        raw = encode_manifest().replace(b'"schema": 1', b'"schema": 1, "schema": 1')
        assert "twice" in _list_problems(raw)[0]

    @pytest.mark.parametrize("number", ["NaN", "Infinity", "1e999", "99999999999999999999", "0"])
    def test_invalid_versions_are_refused(self, encode_manifest: Any, number: str) -> None:
        raw = encode_manifest().replace(b'"version": 1', f'"version": {number}'.encode())
        assert _list_problems(raw)

    def test_an_oversized_manifest_is_refused_without_parsing(self) -> None:
        assert "larger" in _list_problems(b" " * (SIZE_MAX_BYTES + 1))[0]

    @pytest.mark.parametrize("raw", [b"", b"[]", b"null", b"\xff", b"[" * 100_000, b'{"a":'])
    def test_bytes_that_are_not_a_manifest_are_refused(self, raw: bytes) -> None:
        assert _list_problems(raw)

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: st.lists(inner)
            | st.dictionaries(
                st.sampled_from(["schema", "version", "services", "measuring", "kinds", "id"]),
                inner,
            ),
        )
    )
    def test_any_json_is_either_decoded_or_refused(self, tree: Any) -> None:
        try:
            decode_manifest(json.dumps(tree).encode())
        except InvalidManifestError as error:
            assert error.exceptions

    @given(st.binary())
    def test_arbitrary_bytes_are_refused(self, raw: bytes) -> None:
        with pytest.raises(InvalidManifestError):
            decode_manifest(raw)
