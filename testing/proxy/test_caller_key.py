"""The pattern: callers spell their key, or headers of the program, in ways that fool others."""

from __future__ import annotations

import pytest

from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.platform.dialect import coltsfootrill_dialect
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import load_plugins
from coltsfootrill.proxy.attempt_head import encode_attempt_head
from coltsfootrill.proxy.block_buffer import BlockBuffer
from coltsfootrill.proxy.caller_key import KeyCheck
from coltsfootrill.proxy.caller_key import identify_caller
from coltsfootrill.proxy.dialect import NATIVE_DIALECT
from coltsfootrill.proxy.dialect import Dialect
from coltsfootrill.proxy.outcome import UnauthorizedError
from coltsfootrill.proxy.outcome import make_error_answer
from coltsfootrill.proxy.request import ProxyRequest
from coltsfootrill.proxy.request import RequestTimes
from testing.proxy.instance import make_manifest
from testing.proxy.keyed import BAD_KEY
from testing.proxy.keyed import KEY
from testing.proxy.keyed import OTHER_KEY
from testing.proxy.keyed import PUBLIC_KIND
from testing.proxy.keyed import make_keyed_manifest
from testing.proxy.keyed import parse_request

PLATFORM = coltsfootrill_dialect()
GOOD = f"Authorization: Bearer {KEY}"


class _AlwaysThere:
    """A caller that stays connected."""

    def should_stop_waiting(self) -> bool:
        return False


def _make_manifests(raw: bytes | None = None) -> ManifestHolder:
    manifests = ManifestHolder(collect_schemes(load_plugins()))
    manifests.adopt(raw or make_keyed_manifest(1))
    return manifests


def _get_table(manifests: ManifestHolder) -> RoutingTable:
    assert manifests.current is not None
    return manifests.current


def _find_kind(table: RoutingTable, kind_id: str) -> Kind:
    (kind,) = (kind for kind in table.manifest.services[0].kinds if kind.id == kind_id)
    return kind


def _make_request(table: RoutingTable, *header_lines: str, kind_id: str = "x") -> ProxyRequest:
    headers = parse_request(*header_lines).headers
    return ProxyRequest(
        method="GET",
        target="/x",
        headers=headers,
        body=BlockBuffer(),
        times=RequestTimes(arrived_ms=0, deadline_ms=1_000),
        depth=0,
        is_retried=False,
        monitor=_AlwaysThere(),  # type: ignore[arg-type]
        organisation=identify_caller(table, _find_kind(table, kind_id), headers),
        withheld_headers=frozenset() if table.keys is None else PLATFORM.withheld_headers,
    )


def _encode_head(request: ProxyRequest, dialect: Dialect = PLATFORM) -> list[str]:
    """Return the header lines of an attempt."""
    head = encode_attempt_head(request, dialect, upstream_id="u1", left_ms=500, is_retried=False)
    return head.decode("latin-1").split("\r\n")[1:]


class TestSpellings:
    @pytest.mark.parametrize(
        "line",
        [
            GOOD,
            f"authorization: bearer {KEY}",
            f"AUTHORIZATION:BEARER   {KEY}",
            f"Authorization: \t Bearer \t {KEY} \t ",
            f"Authorization: Bearer\r\n {KEY}",
            f"Authorization:\r\n\tBearer\r\n\t{KEY}",
        ],
    )
    def test_a_known_key_names_its_organisation(self, line: str) -> None:
        table = _get_table(_make_manifests())
        organisation = identify_caller(table, _find_kind(table, "x"), parse_request(line).headers)
        assert organisation is not None
        assert organisation.name == "acme"

    @pytest.mark.parametrize(
        ("lines", "reason"),
        [
            ([], "no-key"),
            ([f"X-Authorization: Bearer {KEY}"], "no-key"),
            ([f"Proxy-Authorization: Bearer {KEY}"], "no-key"),
            (["X-Tenant: acme"], "no-key"),
            (["Authorization:"], "malformed-key"),
            (["Authorization: Bearer"], "malformed-key"),
            ([f"Authorization: {KEY}"], "malformed-key"),
            ([f"Authorization: Basic {KEY}"], "malformed-key"),
            ([f"Authorization: Bearer{KEY}"], "malformed-key"),
            ([f"Authorization: Bearer {KEY} {KEY}"], "malformed-key"),
            ([f"Authorization: Bearer {KEY[:4]}\r\n {KEY[4:]}"], "malformed-key"),
            ([GOOD, GOOD], "malformed-key"),
            ([GOOD, "Authorization:"], "malformed-key"),
            (["Authorization:", GOOD], "malformed-key"),
            ([GOOD, f"authorization: Bearer {BAD_KEY}"], "malformed-key"),
            ([f"{GOOD}\xe9"], "malformed-key"),
            ([f"{GOOD}\xa0"], "malformed-key"),
            ([f"Authorization: Bearer {'k' * 257}"], "malformed-key"),
            ([f"Authorization: Bearer {BAD_KEY}"], "unknown-key"),
            ([f"Authorization: Bearer {KEY.upper()}"], "unknown-key"),
            ([f"{GOOD},"], "unknown-key"),
            (["Authorization: Bearer acme"], "unknown-key"),
        ],
    )
    def test_a_request_without_one_known_key_is_refused(
        self, lines: list[str], reason: str
    ) -> None:
        table = _get_table(_make_manifests())
        with pytest.raises(UnauthorizedError) as caught:
            identify_caller(table, _find_kind(table, "x"), parse_request(*lines).headers)
        assert caught.value.reason == reason
        answer = make_error_answer(caught.value)
        assert ("WWW-Authenticate", "Bearer") in answer.headers
        assert (answer.status, answer.outcome) == ("401 Unauthorized", "not-run")
        assert b"s3cret" not in answer.body

    def test_a_name_with_an_underscore_is_no_header(self) -> None:
        assert "X_TENANT" not in parse_request("X_Tenant: acme").headers

    @pytest.mark.parametrize(
        "line",
        [f"Authorization: Bearer {KEY}\nX-Tenant: acme", f"Authorization : Bearer {KEY}"],
    )
    def test_a_line_that_is_no_header_is_refused_without_showing_it(self, line: str) -> None:
        error = parse_request(line).error
        assert error.code == 400
        assert "s3cret" not in error.body


class TestWhatUpstreamsGet:
    @pytest.mark.parametrize(
        "lines",
        [
            [GOOD],
            [GOOD, "X-Tenant: other"],
            ["x-tenant: other", "X-TENANT: acme", GOOD],
            [GOOD, "X_Tenant: other"],
            [GOOD, "Connection: authorization"],
            [GOOD, "Connection: x-tenant, Authorization, close"],
            [GOOD, "X-Tenant:\r\n other"],
        ],
    )
    def test_the_organisation_in_place_of_the_key(self, lines: list[str]) -> None:
        request = _make_request(_get_table(_make_manifests()), *lines)
        head = _encode_head(request)
        named = [line for line in head if line.lower().replace("_", "-").startswith("x-tenant:")]
        assert named == ["X-Tenant: acme"]
        assert not [line for line in head if "s3cret" in line or "other" in line]
        assert not [line for line in head if line.lower().startswith("authorization")]

    def test_a_public_kind_gets_nothing_of_what_the_caller_states(self) -> None:
        table = _get_table(_make_manifests())
        lines = (f"Authorization: Bearer {BAD_KEY}", "X-Tenant: acme")
        head = _encode_head(_make_request(table, *lines, kind_id=PUBLIC_KIND))
        assert not [line for line in head if line.lower().startswith(("x-tenant", "authoriz"))]

    def test_a_public_kind_gets_the_organisation_of_a_known_key(self) -> None:
        table = _get_table(_make_manifests())
        head = _encode_head(_make_request(table, GOOD, kind_id=PUBLIC_KIND))
        assert "X-Tenant: acme" in head

    def test_all_that_callers_state_without_organisations(self) -> None:
        table = _get_table(_make_manifests(make_manifest(1)))
        request = _make_request(table, GOOD, "X-Tenant: other")
        assert request.organisation is None
        head = _encode_head(request)
        assert f"authorization: Bearer {KEY}" in head
        assert "x-tenant: other" in head

    def test_the_native_dialect_names_the_organisation_too(self) -> None:
        request = _make_request(
            _get_table(_make_manifests()), GOOD, "Coltsfootrill-Organisation: other"
        )
        head = _encode_head(request, NATIVE_DIALECT)
        named = [line for line in head if line.lower().startswith("coltsfootrill-org")]
        assert named == ["Coltsfootrill-Organisation: acme"]


class TestChangeOfKeys:
    """A request waits in a queue while the manifest changes."""

    def _make_check(self, manifests: ManifestHolder, kind_id: str = "x") -> KeyCheck:
        table = _get_table(manifests)
        return KeyCheck(
            manifests,
            checked=table,
            kind=_find_kind(table, kind_id),
            withheld_headers=PLATFORM.withheld_headers,
        )

    def test_a_key_that_was_taken_away_is_refused(self) -> None:
        manifests = _make_manifests()
        request = _make_request(_get_table(manifests), GOOD)
        check = self._make_check(manifests)
        check.check(request)
        manifests.adopt(make_keyed_manifest(2, {"acme": [], "other": [OTHER_KEY]}))
        assert not check.is_passed(request)
        with pytest.raises(UnauthorizedError):
            check.check(request)

    def test_a_key_that_passed_on_names_its_new_organisation(self) -> None:
        manifests = _make_manifests()
        request = _make_request(_get_table(manifests), GOOD)
        check = self._make_check(manifests)
        manifests.adopt(make_keyed_manifest(2, {"acme": [], "other": [KEY, OTHER_KEY]}))
        check.check(request)
        assert "X-Tenant: other" in _encode_head(request)

    def test_a_key_is_withheld_once_the_manifest_has_organisations(self) -> None:
        manifests = _make_manifests(make_manifest(1))
        request = _make_request(_get_table(manifests), GOOD)
        check = self._make_check(manifests)
        manifests.adopt(make_keyed_manifest(2))
        check.check(request)
        head = _encode_head(request)
        assert "X-Tenant: acme" in head
        assert not [line for line in head if KEY in line]

    def test_a_key_stays_withheld_when_organisations_are_no_longer_listed(self) -> None:
        manifests = _make_manifests()
        request = _make_request(_get_table(manifests), GOOD)
        check = self._make_check(manifests)
        manifests.adopt(make_manifest(2))
        check.check(request)
        assert not [line for line in _encode_head(request) if KEY in line or "acme" in line]

    def test_a_public_kind_needs_no_key_after_a_change_either(self) -> None:
        manifests = _make_manifests()
        request = _make_request(_get_table(manifests), GOOD, kind_id=PUBLIC_KIND)
        check = self._make_check(manifests, PUBLIC_KIND)
        manifests.adopt(make_keyed_manifest(2, {"acme": []}))
        assert check.is_passed(request)
        assert request.organisation is None


class TestRequestsThatCrashUpstreams:
    """The guard knows a request by what its caller sends each time."""

    def _get_digests(self, *header_lines: str, raw: bytes | None = None) -> tuple[bytes, bytes]:
        request = _make_request(_get_table(_make_manifests(raw)), *header_lines)
        return request.get_digest(), request.get_variant(PLATFORM.attempt_headers)

    def test_two_keys_of_one_organisation_are_one_caller(self) -> None:
        raw = make_keyed_manifest(1, {"acme": [KEY, "s3cret-2"]})
        first = self._get_digests(GOOD, raw=raw)
        assert first == self._get_digests("Authorization: Bearer s3cret-2", raw=raw)

    def test_two_organisations_are_two_callers(self) -> None:
        first = self._get_digests(GOOD)
        second = self._get_digests(f"Authorization: Bearer {OTHER_KEY}")
        assert first[0] != second[0]
        assert first[1] != second[1]

    def test_what_upstreams_do_not_get_makes_no_difference(self) -> None:
        assert self._get_digests(GOOD) == self._get_digests(GOOD, "X-Tenant: other")

    def test_callers_are_told_apart_by_their_header_without_organisations(self) -> None:
        raw = make_manifest(1)
        second = self._get_digests(f"Authorization: Bearer {OTHER_KEY}", raw=raw)
        assert self._get_digests(GOOD, raw=raw)[0] != second[0]
