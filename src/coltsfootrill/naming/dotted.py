"""Hierarchical dotted names, carried in the Host header."""

from __future__ import annotations

import re
from collections.abc import Iterator

from coltsfootrill.hookspecs import hookimpl
from coltsfootrill.naming.scheme import InvalidNameError
from coltsfootrill.naming.scheme import NamingScheme
from coltsfootrill.naming.scheme import RequestName

_LABEL = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
_LENGTH_MAX_CHARS = 253


def parse_dotted(text: str) -> str:
    """Return ``text`` in lower case; raise ``InvalidNameError`` unless it is a dotted name."""
    name = text.lower().removesuffix(".")
    if len(name) > _LENGTH_MAX_CHARS:
        raise InvalidNameError(
            f"{text!r} has {len(name)} characters; a dotted name has at most {_LENGTH_MAX_CHARS}"
        )
    if not all(_LABEL.fullmatch(label) for label in name.split(".")):
        raise InvalidNameError(
            f"{text!r} is not a dotted name; use labels of at most 63 letters, digits and inner"
            " hyphens"
        )
    return name


def _list_candidates(request: RequestName) -> Iterator[str]:
    host = request.host.lower().rsplit(":", 1)[0].removesuffix(".")
    while host:
        yield host
        host = host.partition(".")[2]


@hookimpl
def coltsfootrill_naming_scheme() -> NamingScheme:
    """Return the scheme ``dotted:``; a name matches hosts equal to it or below it."""
    return NamingScheme(prefix="dotted", parse=parse_dotted, candidates=_list_candidates)
