from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from coltsfootrill.manifest.difference import list_differences
from coltsfootrill.manifest.findings import list_findings
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Manifest
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.manifest.model import Service
from coltsfootrill.manifest.model import SplitPart
from coltsfootrill.manifest.model import WarmUp
from coltsfootrill.operators.exit_codes import ExitCode
from coltsfootrill.operators.manifest_check import check_manifest

ORGANISATION = Organisation(name="a", keys=["s3cret"], rate_per_s=5, burst=5)


def make_manifest(*, version: int = 7, **changes: Any) -> Manifest:
    """Return a manifest of two services; ``changes`` are those of its first kind."""
    kind = Kind(id="k", names=["web:a.example/x/"], idempotent=True, deadline_ms=1_000)
    other = Kind(id="o", names=["web:a.example/y/"], idempotent=True, deadline_ms=1_000)
    return Manifest(
        schema=1,
        version=version,
        services=[
            Service(id="desk", upstreams=["*"], kinds=[msgspec.structs.replace(kind, **changes)]),
            Service(id="stock", upstreams=["*"], kinds=[other]),
        ],
    )


def with_organisations(*organisations: Organisation, version: int = 7) -> Manifest:
    return msgspec.structs.replace(
        make_manifest(version=version), organisations=list(organisations)
    )


class TestFindings:
    def test_a_sound_manifest_has_none(self) -> None:
        assert list_findings(with_organisations(ORGANISATION)) == []

    @pytest.mark.parametrize(
        ("changes", "text"),
        [
            ({"target_ms": 2_000}, "target"),
            ({"retries": 2, "attempts_max": 2}, "attempts"),
            ({"hedge_quantile": 0.9, "attempts_max": 1}, "hedged"),
            ({"split": [SplitPart(service="stock", weight=1)]}, "no request can reach"),
            (
                {
                    "split": [
                        SplitPart(service="desk", weight=1),
                        SplitPart(service="stock", weight=0),
                    ]
                },
                "weight of 0",
            ),
        ],
    )
    def test_kinds(self, changes: dict[str, Any], text: str) -> None:
        (finding,) = list_findings(make_manifest(**changes))
        assert text in str(finding)

    @pytest.mark.parametrize(
        "changes", [{"keys": []}, {"rate_per_s": 0}, {"burst": 0}, {"keys": ["s3cret", "s3cret"]}]
    )
    def test_organisations(self, changes: dict[str, Any]) -> None:
        organisation = msgspec.structs.replace(ORGANISATION, **changes)
        (finding,) = list_findings(with_organisations(organisation))
        assert "s3cret" not in str(finding)

    def test_nobody_may_call_without_an_organisation(self) -> None:
        assert list_findings(with_organisations())

    def test_a_warm_up_without_time(self) -> None:
        warm_up = WarmUp(duration_ms=0, requests_per_second=5)
        manifest = make_manifest()
        services = [msgspec.structs.replace(manifest.services[0], warm_up=warm_up)]
        (finding,) = list_findings(msgspec.structs.replace(manifest, services=services))
        assert "warm-up" in str(finding)


class TestDifferences:
    def test_the_same_content_under_a_later_version_differs_in_nothing(self) -> None:
        assert list_differences(make_manifest(), make_manifest(version=8)) == []

    def test_a_version_that_is_not_above_the_one_in_force(self) -> None:
        assert list_differences(make_manifest(), make_manifest())

    def test_a_kind_that_moves(self) -> None:
        after = make_manifest(version=8, split=[SplitPart(service="stock", weight=1)])
        assert list_differences(make_manifest(), after) == [
            "kind k: goes to stock (weight 1) instead of desk"
        ]

    def test_a_limit_that_changes(self) -> None:
        after = make_manifest(version=8, deadline_ms=500)
        assert list_differences(make_manifest(), after) == ["kind k: deadline_ms 1000 -> 500"]

    def test_keys_are_shown_by_digest_and_a_lower_quota_is_named(self) -> None:
        after = msgspec.structs.replace(ORGANISATION, keys=["0ther"], rate_per_s=2)
        lines = list_differences(
            with_organisations(ORGANISATION), with_organisations(after, version=8)
        )
        assert [line.split()[2] for line in lines] == ["key", "key", "quota", "rate_per_s"]
        assert not any("s3cret" in line or "0ther" in line for line in lines)

    def test_organisations_that_come_and_go(self) -> None:
        other = msgspec.structs.replace(ORGANISATION, name="b", keys=["0ther"])
        lines = list_differences(
            with_organisations(ORGANISATION), with_organisations(other, version=8)
        )
        assert lines == ["organisation a: removed", "organisation b: added"]


class TestCommand:
    def test_exit_codes_and_json(
        self,
        tmp_path: Path,
        encode_manifest: Callable[..., bytes],
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        path = tmp_path / "m.json"
        path.write_bytes(encode_manifest())

        def check(**options: Any) -> int:
            arguments: dict[str, Any] = {
                "against": None,
                "format_name": "native",
                "as_json": True,
            }
            return check_manifest(path, **(arguments | options))

        assert check() == ExitCode.DONE
        assert check(against=path) == ExitCode.DONE
        assert (
            "is not above"
            in json.loads(capsys.readouterr().out.split("\n}\n")[1] + "}")["differences"][0]
        )
        path.write_bytes(encode_manifest(target_ms=10**6))
        assert check() == ExitCode.QUESTIONABLE
        path.write_bytes(b"{")
        assert check() == ExitCode.REFUSED
