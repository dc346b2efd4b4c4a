"""Path prefixes, matched by whole segments."""

from __future__ import annotations

import re
from collections.abc import Iterator

from coltsfootrill.hookspecs import hookimpl
from coltsfootrill.naming.scheme import InvalidNameError
from coltsfootrill.naming.scheme import NamingScheme
from coltsfootrill.naming.scheme import RequestName

_PATH = re.compile(r"(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)+")


def parse_path(text: str) -> str:
    """Return ``text`` without trailing slashes.

    Raises ``InvalidNameError`` if it is not a path prefix.
    """
    name = text.rstrip("/")
    if not _PATH.fullmatch(name) or any(part in (".", "..") for part in name.split("/")):
        raise InvalidNameError(
            f"{text!r} is not a path prefix; use '/segment/...' without '.' and '..' segments"
        )
    return name


def _list_candidates(request: RequestName) -> Iterator[str]:
    path = request.path.rstrip("/")
    while path:
        yield path
        path = path.rpartition("/")[0]


@hookimpl
def coltsfootrill_naming_scheme() -> NamingScheme:
    """Return the scheme ``path:``; the longest prefix of the request path wins."""
    return NamingScheme(prefix="path", parse=parse_path, candidates=_list_candidates)
