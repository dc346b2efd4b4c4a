from __future__ import annotations

import json
from typing import Any

import pytest

from coltsfootrill.manifest.codec import InvalidManifestError
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.table import RouteError
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.naming.scheme import RequestName


def _encode(kinds: list[dict[str, Any]]) -> bytes:
    defaults = {"idempotent": True, "deadline_ms": 100}
    service = {
        "id": "blazon",
        "upstreams": ["blazon-*"],
        "kinds": [defaults | kind for kind in kinds],
    }
    return json.dumps({"schema": 1, "version": 1, "services": [service]}).encode()


class TestValidation:
    def test_a_name_used_by_two_kinds_is_refused(self, schemes: Any) -> None:
        raw = _encode([{"id": "a", "names": ["path:/x"]}, {"id": "b", "names": ["path:/x/"]}])
        with pytest.raises(InvalidManifestError) as caught:
            RoutingTable.from_bytes(raw, schemes)
        assert "already names blazon/a" in str(caught.value.exceptions[0])

    def test_an_unknown_naming_scheme_is_refused(self, schemes: Any) -> None:
        raw = _encode([{"id": "a", "names": ["xri:/x"]}])
        with pytest.raises(InvalidManifestError) as caught:
            RoutingTable.from_bytes(raw, schemes)
        assert "dotted:, path:, urn:" in str(caught.value.exceptions[0])

    def test_hedging_a_non_idempotent_kind_is_refused(self, schemes: Any) -> None:
        raw = _encode(
            [{"id": "a", "names": ["path:/x"], "idempotent": False, "hedge_quantile": 0.9}]
        )
        with pytest.raises(InvalidManifestError):
            RoutingTable.from_bytes(raw, schemes)


class TestOrganisations:
    @pytest.mark.parametrize(
        "organisations",
        [
            [{"name": "a", "keys": ["s3cret"]}, {"name": "b", "keys": ["s3cret"]}],
            [{"name": "a", "keys": ["s3cret"]}, {"name": "a", "keys": ["s3cret-2"]}],
            [{"name": "a", "keys": ["s3cret", ""]}],
            [{"name": "a", "keys": ["s3cret key"]}],
            [{"name": "a", "keys": "s3cret"}],
            [{"name": "a", "keys": [["s3cret"]]}],
            [{"name": "a", "keys": ["s3cret"], "rate_per_s": -1}],
            [{"name": "a", "keys": ["s3cret"], "burst": "many"}],
            [{"name": "", "keys": ["s3cret"]}],
            [{"keys": ["s3cret"]}],
            {"name": "a", "keys": ["s3cret"]},
        ],
    )
    def test_an_invalid_organisation_refuses_the_manifest_without_showing_a_key(
        self, organisations: Any, schemes: Any
    ) -> None:
        manifest = json.loads(_encode([{"id": "a", "names": ["path:/x"]}]))
        raw = json.dumps(manifest | {"organisations": organisations}).encode()
        with pytest.raises(InvalidManifestError) as caught:
            RoutingTable.from_bytes(raw, schemes)
        assert "s3cret" not in str(caught.value.exceptions)


class TestResolving:
    def test_a_request_is_resolved_by_each_scheme(self, schemes: Any) -> None:
        names = ["path:/x", "dotted:x.example", "urn:crest:x"]
        table = RoutingTable.from_bytes(_encode([{"id": "a", "names": names}]), schemes)
        for host, path, urn in [
            ("h", "/x/1", ""),
            ("a.x.example", "/", ""),
            ("h", "/", "urn:crest:x"),
        ]:
            assert table.resolve(RequestName(host=host, path=path, urn=urn)).kind.id == "a"

    def test_a_request_that_names_two_kinds_is_refused(self, schemes: Any) -> None:
        kinds = [{"id": "a", "names": ["path:/x"]}, {"id": "b", "names": ["urn:crest:y"]}]
        table = RoutingTable.from_bytes(_encode(kinds), schemes)
        with pytest.raises(RouteError, match="names both"):
            table.resolve(RequestName(host="h", path="/x", urn="urn:crest:y"))

    def test_a_request_that_matches_no_name_is_refused(self, schemes: Any) -> None:
        table = RoutingTable.from_bytes(_encode([{"id": "a", "names": ["path:/x"]}]), schemes)
        with pytest.raises(RouteError, match="no naming scheme"):
            table.resolve(RequestName(host="h", path="/xy", urn=""))


class TestHolder:
    def test_an_older_manifest_never_replaces_a_newer_one(
        self, schemes: Any, encode_manifest: Any
    ) -> None:
        holder = ManifestHolder(schemes)
        assert holder.adopt(encode_manifest(version=2))
        assert not holder.adopt(encode_manifest(version=1))
        assert holder.version == 2

    def test_an_old_table_is_freed_when_its_last_request_ends(
        self, schemes: Any, encode_manifest: Any
    ) -> None:
        holder = ManifestHolder(schemes)
        holder.adopt(encode_manifest(version=1))
        table_of_a_request = holder.current
        holder.adopt(encode_manifest(version=2))
        assert holder.count_live_tables() == 2
        del table_of_a_request
        assert holder.count_live_tables() == 1
