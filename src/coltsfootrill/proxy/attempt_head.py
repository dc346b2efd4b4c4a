"""Encodes the head with which an attempt sends a caller's request to an upstream."""

from __future__ import annotations

from coltsfootrill.proxy.connection import encode_head
from coltsfootrill.proxy.dialect import Dialect
from coltsfootrill.proxy.headers import DEPTH_HEADER
from coltsfootrill.proxy.headers import RETRIED_HEADER
from coltsfootrill.proxy.headers import list_request_headers
from coltsfootrill.proxy.request import ProxyRequest

LEFT_MIN_MS = 1


def encode_attempt_head(
    request: ProxyRequest,
    dialect: Dialect,
    *,
    upstream_id: str,
    left_ms: float,
    is_retried: bool,
) -> bytes:
    """Return the request line and headers of an attempt that has ``left_ms`` until its deadline.

    ``is_retried`` marks an attempt that is not the first one, here or further up the call chain.
    """
    replaced = dialect.replaced_headers | request.withheld_headers
    headers = list(list_request_headers(request.headers, replaced))
    headers.append((dialect.deadline, str(max(LEFT_MIN_MS, int(left_ms)))))
    if dialect.upstream_id:
        headers.append((dialect.upstream_id, upstream_id))
    if dialect.organisation and request.organisation is not None:
        headers.append((dialect.organisation, request.organisation.name))
    headers.append((DEPTH_HEADER, str(request.depth + 1)))
    if is_retried:
        headers.append((RETRIED_HEADER, "1"))
    return encode_head(request.method, request.target, headers, len(request.body))
