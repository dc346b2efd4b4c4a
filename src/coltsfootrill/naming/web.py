"""Host names with path prefixes; the longest prefix under the request's host wins."""

from __future__ import annotations

from collections.abc import Iterator

from coltsfootrill.hookspecs import hookimpl
from coltsfootrill.naming.scheme import InvalidNameError
from coltsfootrill.naming.scheme import NamingScheme
from coltsfootrill.naming.scheme import RequestName


def parse_web(text: str) -> str:
    """Return ``host/prefix/`` with the host in lower case; raise ``InvalidNameError``."""
    host, slash, path = text.partition("/")
    if not host or not slash or (path and not path.endswith("/")):
        raise InvalidNameError(
            f"{text!r} is not a host with a path prefix; use host/ or host/path/"
        )
    return f"{host.lower()}/{path}"


def _list_candidates(request: RequestName) -> Iterator[str]:
    host = request.host.lower().rsplit(":", 1)[0]
    prefix = request.target_path
    while host and prefix:
        prefix = prefix[: prefix.rfind("/") + 1]
        if prefix:
            yield host + prefix
        prefix = prefix[:-1]


@hookimpl
def coltsfootrill_naming_scheme() -> NamingScheme:
    """Return the scheme ``web:``, for example ``web:crests.example/lookups/``."""
    return NamingScheme(prefix="web", parse=parse_web, candidates=_list_candidates)
