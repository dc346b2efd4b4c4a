from __future__ import annotations

import json
from typing import Any

import pytest

from coltsfootrill.manifest.codec import InvalidManifestError
from coltsfootrill.manifest.codec import decode_manifest
from coltsfootrill.operators import commands
from coltsfootrill.operators.client import CallReply
from testing.proxy.instance import make_manifest
from testing.proxy.keyed import make_keyed_manifest


class _Client:
    """Returns one manifest."""

    def __init__(self, raw: bytes) -> None:
        self._raw = raw

    def call(self, method: str, path: str, body: bytes = b"") -> CallReply:
        assert (method, path) == ("GET", "/manifest")
        return CallReply(200, json.loads(self._raw))


def _show(raw: bytes, capsys: Any) -> str:
    assert commands.show_manifest(_Client(raw)) == 0  # type: ignore[arg-type]
    return str(capsys.readouterr().out)


class TestManifestShow:
    def test_keys_are_left_out(self, capsys: Any) -> None:
        shown = _show(make_keyed_manifest(1), capsys)
        assert "acme" in shown
        assert "s3cret" not in shown

    def test_what_is_shown_without_keys_is_refused_when_it_is_submitted(self, capsys: Any) -> None:
        shown = _show(make_keyed_manifest(1), capsys)
        with pytest.raises(InvalidManifestError):
            decode_manifest(shown.encode())

    def test_a_manifest_without_organisations_is_shown_whole(self, capsys: Any) -> None:
        raw = make_manifest(1)
        assert json.loads(_show(raw, capsys)) == json.loads(raw)


class TestOrganisations:
    @pytest.mark.parametrize("as_json", [True, False])
    def test_all_but_the_keys_is_listed(self, as_json: bool, capsys: Any) -> None:
        manifest = json.loads(make_keyed_manifest(1))
        manifest["organisations"][0] |= {"rank": 3, "rate_per_s": 12.5, "burst": 40}
        client = _Client(json.dumps(manifest).encode())
        assert commands.list_organisations(client, as_json=as_json) == 0  # type: ignore[arg-type]
        shown = capsys.readouterr().out
        for text in ("acme", "3", "12.5", "40", "other"):
            assert text in shown
        assert "s3cret" not in shown
