"""Uniform resource names, carried in the ``Urn`` header."""

from __future__ import annotations

import re
from collections.abc import Iterator

from coltsfootrill.hookspecs import hookimpl
from coltsfootrill.naming.scheme import InvalidNameError
from coltsfootrill.naming.scheme import NamingScheme
from coltsfootrill.naming.scheme import RequestName

# RFC 8141: the namespace identifier is case-insensitive, the rest is case-sensitive.
_URN = re.compile(r"([A-Za-z0-9][A-Za-z0-9-]{0,30}[A-Za-z0-9]):([A-Za-z0-9._~!$&'()*+,;=:@/%-]+)")


def parse_urn(text: str) -> str:
    """Return ``<namespace>:<name>`` with the namespace in lower case.

    ``text`` is the URN without ``urn:``. Raises ``InvalidNameError`` if it is malformed.
    """
    match = _URN.fullmatch(text)
    if match is None:
        raise InvalidNameError(f"'urn:{text}' is not a URN; use urn:<namespace>:<name>")
    return f"{match[1].lower()}:{match[2]}"


def _list_candidates(request: RequestName) -> Iterator[str]:
    if request.urn[:4].lower() != "urn:":
        return
    try:
        name = parse_urn(request.urn[4:])
    except InvalidNameError:
        return
    while ":" in name:
        yield name
        name = name.rpartition(":")[0]


@hookimpl
def coltsfootrill_naming_scheme() -> NamingScheme:
    """Return the scheme ``urn:``; a name matches URNs equal to it or below it."""
    return NamingScheme(prefix="urn", parse=parse_urn, candidates=_list_candidates)
