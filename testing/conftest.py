from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from typing import Any

import hypothesis
import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.naming.scheme import NamingScheme
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import load_plugins
from coltsfootrill.registry.announcement import Announcement

# Generate the same examples on every run, so that results are reproducible.
hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None)
hypothesis.settings.load_profile("fixed")

MakeAnnouncement = Callable[..., Announcement]
EncodeManifest = Callable[..., bytes]


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(1_000.0)


@pytest.fixture
def random() -> Random:
    return Random(7)


@pytest.fixture(scope="session")
def schemes() -> dict[str, NamingScheme]:
    return collect_schemes(load_plugins())


@pytest.fixture
def make_announcement() -> MakeAnnouncement:
    def make(upstream_id: str = "blazon-1", **changes: Any) -> Announcement:
        fields: dict[str, Any] = {
            "id": upstream_id,
            "incarnation": 1,
            "sequence": 1,
            "address": "127.0.0.1:9001",
            "zone": "zone-1",
            "services": ["blazon"],
            "slots": 3,
            "state": "serving",
        }
        return Announcement(**(fields | changes))

    return make


@pytest.fixture
def encode_manifest() -> EncodeManifest:
    def encode(version: int = 1, **kind_changes: Any) -> bytes:
        kind: dict[str, Any] = {
            "id": "lookup",
            "names": ["path:/blazon"],
            "idempotent": True,
            "deadline_ms": 1_000,
            "retries": 2,
        }
        kind |= kind_changes
        service = {"id": "blazon", "upstreams": ["blazon-*"], "kinds": [kind]}
        return json.dumps({"schema": 1, "version": version, "services": [service]}).encode()

    return encode
