from __future__ import annotations

import json
from typing import Any

import pytest

from coltsfootrill.manifest.codec import InvalidManifestError
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.naming.scheme import RequestName
from coltsfootrill.platform.desired_state import decode_desired_state

ROUTE_COLUMNS = [
    "name",
    "host",
    "pathPrefix",
    "kind",
    "timeoutMs",
    "targetLatencyMs",
    "priority",
    "service",
    "maxAttempts",
    "trafficSplit",
]
SERVICE_COLUMNS = ["name", "healthCheckPath", "maxConnections", "protocol", "tls"]


def encode_state(*routes: list[Any], version: str = "00000007", **changes: Any) -> bytes:
    state: dict[str, Any] = {
        "version": version,
        "routes": {"columns": ROUTE_COLUMNS, "rows": list(routes)},
        "services": {
            "columns": SERVICE_COLUMNS,
            "rows": [["desk", "/health", 260, "h1", False], ["stock", "/health", 260, "h1", False]],
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return json.dumps(state | changes).encode()


def route(**changes: Any) -> list[Any]:
    fields: dict[str, Any] = {
        "name": "r-1",
        "host": "a.example",
        "pathPrefix": "/x/",
        "kind": "unsafe",
        "timeoutMs": 1000,
        "targetLatencyMs": 250.0,
        "priority": 1,
        "service": "desk",
        "maxAttempts": 2,
        "trafficSplit": None,
    }
    return [(fields | changes)[column] for column in ROUTE_COLUMNS]


class TestDecoding:
    def test_a_route_is_decoded_as_a_kind_of_its_service(self) -> None:
        manifest = decode_desired_state(encode_state(route()))
        kind = manifest.services[0].kinds[0]
        assert manifest.version == 7
        assert (kind.names, kind.idempotent) == (["web:a.example/x/"], False)
        assert (kind.deadline_ms, kind.target_ms, kind.rank, kind.retries) == (1000, 250, 1, 1)
        assert manifest.limits.idle_timeout_ms == 15_000
        assert manifest.services[0].health_path == "/health"

    def test_a_traffic_split_shares_requests_by_weight(self, schemes: Any) -> None:
        split = [{"service": "desk", "weight": 90}, {"service": "stock", "weight": 10}]
        raw = encode_state(route(service=None, trafficSplit=split))
        table = RoutingTable.from_manifest(decode_desired_state(raw), "d", schemes)
        resolved = table.resolve(RequestName(host="a.example", path="/x/1", urn=""))
        assert [(t.service.id, t.share) for t in resolved.targets] == [
            ("desk", 0.9),
            ("stock", 0.1),
        ]

    def test_an_unknown_field_is_ignored(self) -> None:
        assert decode_desired_state(encode_state(route(), colour="red")).version == 7


class TestRefusals:
    @pytest.mark.parametrize(
        "changes",
        [
            {"service": "nowhere"},
            {"timeoutMs": 0},
            {"timeoutMs": 600_001},
            {"service": None, "trafficSplit": [{"service": "desk", "weight": 0}]},
            {
                "service": None,
                "trafficSplit": [
                    {"service": "desk", "weight": 5},
                    {"service": "stock", "weight": -1},
                ],
            },
            {"service": None, "trafficSplit": [{"service": "nowhere", "weight": 1}]},
            {"host": 7},
        ],
        ids=str,
    )
    def test_an_invalid_route_refuses_the_whole_state(self, changes: dict[str, Any]) -> None:
        with pytest.raises(InvalidManifestError):
            decode_desired_state(encode_state(route(**changes)))

    def test_two_routes_with_the_same_host_and_prefix_refuse_the_whole_state(
        self, schemes: Any
    ) -> None:
        raw = encode_state(route(), route(name="r-2", service="stock"))
        with pytest.raises(InvalidManifestError):
            RoutingTable.from_manifest(decode_desired_state(raw), "d", schemes)

    @pytest.mark.parametrize("length", [0, 1, 40, -1])
    def test_a_truncated_state_is_refused(self, length: int) -> None:
        with pytest.raises(InvalidManifestError):
            decode_desired_state(encode_state(route())[:length])

    def test_a_version_that_is_not_eight_digits_is_refused(self) -> None:
        with pytest.raises(InvalidManifestError):
            decode_desired_state(encode_state(route(), version="7"))

    def test_tenants_with_one_key_refuse_the_whole_state_without_showing_it(
        self, schemes: Any
    ) -> None:
        tenants = {"columns": ["name", "apiKeys"], "rows": [["a", ["s3cret"]], ["b", ["s3cret"]]]}
        manifest = decode_desired_state(encode_state(route(), tenants=tenants))
        with pytest.raises(InvalidManifestError) as caught:
            RoutingTable.from_manifest(manifest, "d", schemes)
        assert "s3cret" not in str(caught.value.exceptions)

    @pytest.mark.parametrize(
        ("column", "value"),
        [("name", ""), ("apiKeys", [""]), ("ratePerS", -1), ("burst", -1), ("ratePerS", "fast")],
    )
    def test_an_invalid_tenant_refuses_the_whole_state(self, column: str, value: Any) -> None:
        fields: dict[str, Any] = {"name": "a", "apiKeys": ["k"], "ratePerS": 1, "burst": 2}
        fields[column] = value
        tenants = {"columns": list(fields), "rows": [list(fields.values())]}
        with pytest.raises(InvalidManifestError):
            decode_desired_state(encode_state(route(), tenants=tenants))

    @pytest.mark.parametrize(
        "changes",
        [
            {"apiKeys": "s3cret"},
            {"apiKeys": ["s3cret", "s3cret key"]},
            {"apiKeys": [["s3cret"]]},
            {"apiKeys": ["s3cret" * 100]},
            {"apiKeys": {"s3cret": 1}},
            {"name": ["s3cret"]},
            {"ratePerS": "s3cret"},
            {"priority": "s3cret"},
        ],
    )
    def test_no_refusal_shows_what_may_be_a_key(self, changes: dict[str, Any]) -> None:
        fields: dict[str, Any] = {"name": "a", "apiKeys": ["s3cret"], "ratePerS": 1} | changes
        tenants = {"columns": list(fields), "rows": [list(fields.values())]}
        with pytest.raises(InvalidManifestError) as caught:
            decode_desired_state(encode_state(route(), tenants=tenants))
        assert "s3cret" not in str(caught.value.exceptions)


def test_no_text_of_a_manifest_shows_a_key() -> None:
    tenants = {"columns": ["name", "apiKeys"], "rows": [["acme", ["s3cret"]]]}
    manifest = decode_desired_state(encode_state(route(), tenants=tenants))
    assert manifest.organisations is not None
    assert manifest.organisations[0].keys == ["s3cret"]
    assert "s3cret" not in repr(manifest)
    assert "acme" in repr(manifest)


def test_a_state_without_tenants_needs_no_keys() -> None:
    assert decode_desired_state(encode_state(route())).organisations is None
