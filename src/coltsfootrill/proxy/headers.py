"""Filtering of forwarded headers, and parsing of the load balancer's own headers."""

from __future__ import annotations

import math
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.rate_limit import MS_PER_SECOND
from coltsfootrill.proxy.outcome import Header
from coltsfootrill.registry.announcement import COLD_MAX_MS

DEADLINE_HEADER = "Coltsfootrill-Deadline-Ms"
RETRIED_HEADER = "Coltsfootrill-Retried"
DEPTH_HEADER = "Coltsfootrill-Depth"
ORGANISATION_HEADER = "Coltsfootrill-Organisation"
KEY_HEADER = "Authorization"
LOAD_HEADER = "Upstream-Load"
SHED_HEADER = "Upstream-Shed"
LEAVING_VALUE = "1"
RETRY_AFTER_MAX_MS = 3_600_000.0
DEPTH_MAX = 32

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_INTERNAL_PREFIX = "coltsfootrill-"


def list_request_headers(
    headers: Mapping[str, str], replaced: frozenset[str] = frozenset()
) -> Iterator[Header]:
    """Yield the caller's headers to forward upstream, converted from waitress's upper-case names.

    Hop-by-hop headers, those that ``Connection`` names, internal headers and those in
    ``replaced`` are left out.
    """
    named = _split_tokens(headers.get("CONNECTION", ""))
    for key, value in headers.items():
        name = key.replace("_", "-").lower()
        if name in _HOP_BY_HOP or name in named or name.startswith(_INTERNAL_PREFIX):
            continue
        if name in ("content-length", "expect") or name in replaced:
            continue
        yield name, value


def list_answer_headers(headers: Iterable[Header], load_header: str = LOAD_HEADER) -> list[Header]:
    """Return an upstream's headers to forward to the caller, without its load header."""
    pairs = list(headers)
    named: frozenset[str] = frozenset()
    for name, value in pairs:
        if name.lower() == "connection":
            named |= _split_tokens(value)
    excluded = named | {load_header.lower()}
    return [(name, value) for name, value in pairs if _is_forwarded(name.lower(), excluded)]


def _is_forwarded(name: str, excluded: frozenset[str]) -> bool:
    return (
        name not in _HOP_BY_HOP
        and name not in excluded
        and name != "content-length"
        and not name.startswith(_INTERNAL_PREFIX)
    )


def _split_tokens(value: str) -> frozenset[str]:
    return frozenset(token.strip().lower() for token in value.split(",") if token.strip())


def parse_deadline_ms(value: str) -> float | None:
    """Return the caller's deadline in milliseconds; ``None`` if absent or not a finite number."""
    try:
        deadline_ms = float(value)
    except ValueError:
        return None
    return deadline_ms if math.isfinite(deadline_ms) else None


def parse_depth(value: str) -> int:
    """Return the depth of the call; 0 if absent, not a number or longer than four digits."""
    return int(value) if value.isascii() and value.isdigit() and len(value) < 5 else 0


def parse_rate_limit(value: str | None) -> float | None:
    """Return the rate in requests a second; ``None`` if absent or not a number of at least 0."""
    if not value:
        return None
    try:
        per_s = float(value)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None


def parse_cold_ms(value: str | None) -> float | None:
    """Return for how many milliseconds more an upstream is cold; ``None`` if it is not stated.

    A longer time than ``COLD_MAX_MS`` is shortened to it.
    """
    remaining_ms = parse_rate_limit(value)
    return None if remaining_ms is None else min(remaining_ms, COLD_MAX_MS)


def parse_retry_after_ms(value: str | None) -> float:
    """Return for how many milliseconds an upstream wants no request; 0 if it states no number.

    A longer time than ``RETRY_AFTER_MAX_MS`` is shortened to it.
    """
    try:
        after_ms = float(value or 0) * MS_PER_SECOND
    except ValueError:
        return 0.0
    return min(after_ms, RETRY_AFTER_MAX_MS) if after_ms > 0 else 0.0


def parse_leaving(value: str | None) -> bool:
    """Return whether an upstream states that it is leaving."""
    return value is not None and value.strip() == LEAVING_VALUE


def parse_load(value: str | None) -> LoadReport | None:
    """Return the load in ``in_flight=N;slots=N;state=S``; ``None`` if malformed."""
    if not value:
        return None
    by_key: dict[str, Any] = {}
    for part in value.split(";"):
        key, _, text = part.strip().partition("=")
        by_key[key] = text
    try:
        in_flight = int(by_key["in_flight"])
        slots = int(by_key["slots"])
    except (KeyError, ValueError):
        return None
    if not 0 <= in_flight <= 100_000 or not 1 <= slots <= 10_000:
        return None
    return LoadReport(in_flight=in_flight, slots=slots, state=by_key.get("state", ""))
