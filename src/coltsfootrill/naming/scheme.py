"""The interface between naming schemes and the routing table."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from coltsfootrill.errors import ColtsfootrillError


class InvalidNameError(ColtsfootrillError):
    """A name is malformed in its scheme."""


class RequestName:
    """The parts of a request by which a naming scheme can identify its kind.

    ``path`` is percent-decoded; ``target_path`` is the path as it was sent, without the query.
    """

    __slots__ = ("host", "path", "target_path", "urn")

    def __init__(self, *, host: str, path: str, urn: str, target_path: str | None = None) -> None:
        self.host = host
        self.path = path
        self.urn = urn
        self.target_path = path if target_path is None else target_path


class NamingScheme:
    """One way of naming a request kind.

    ``parse`` returns the canonical form of the text after ``prefix:`` or raises
    ``InvalidNameError``. ``candidates`` yields the canonical names that a request matches, most
    specific first.
    """

    __slots__ = ("candidates", "parse", "prefix")

    def __init__(
        self,
        *,
        prefix: str,
        parse: Callable[[str], str],
        candidates: Callable[[RequestName], Iterator[str]],
    ) -> None:
        self.prefix = prefix
        self.parse = parse
        self.candidates = candidates
