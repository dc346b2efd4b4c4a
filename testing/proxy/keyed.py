"""A manifest with organisations, and requests as the parser leaves them."""

from __future__ import annotations

import json
from collections.abc import Mapping
from collections.abc import Sequence

from waitress.adjustments import Adjustments

from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.body_budget import BodyReservation
from coltsfootrill.proxy.request_parser import RequestParser
from testing.proxy.instance import make_manifest

KEY = "s3cret-of-acme"
OTHER_KEY = "s3cret-of-other"
BAD_KEY = "s3cret-of-nobody"
PUBLIC_KIND = "later"
KEYS_BY_NAME = {"acme": [KEY], "other": [OTHER_KEY]}


def make_keyed_manifest(
    version: int, keys_by_name: Mapping[str, Sequence[str]] = KEYS_BY_NAME
) -> bytes:
    """Return the manifest of ``make_manifest`` with organisations; ``/later`` is public."""
    manifest = json.loads(make_manifest(version))
    manifest["organisations"] = [
        {"name": name, "keys": list(keys)} for name, keys in keys_by_name.items()
    ]
    for kind in manifest["services"][0]["kinds"]:
        kind["is_public"] = kind["id"] == PUBLIC_KIND
    return json.dumps(manifest).encode()


def encode_request(*header_lines: str, path: str = "/x") -> bytes:
    """Return a request with the header lines as they are."""
    lines = [f"GET {path} HTTP/1.1", "Host: h", *header_lines, "", ""]
    return "\r\n".join(lines).encode("latin-1")


def parse_request(*header_lines: str) -> RequestParser:
    """Return a request with the header lines as the server parses it."""
    parser = RequestParser(Adjustments(), BodyReservation(BodyBudget(1)))
    parser.received(encode_request(*header_lines))
    assert parser.completed
    return parser
