"""Whose key a request carries, by the organisations of a manifest."""

from __future__ import annotations

from collections.abc import Mapping

from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.organisations.bearer import parse_bearer_key
from coltsfootrill.proxy.outcome import UnauthorizedError
from coltsfootrill.proxy.request import ProxyRequest

_MESSAGE_BY_REASON = {
    "no-key": "this request needs a key; send Authorization: Bearer KEY",
    "malformed-key": "Authorization must be Bearer and one key, and must be sent once only",
    "unknown-key": "no organisation holds the key of this request",
}


def identify_caller(
    table: RoutingTable, kind: Kind, headers: Mapping[str, str]
) -> Organisation | None:
    """Return the organisation that holds the key of a request with waitress's ``headers``.

    Returns ``None`` if callers need no key, and if the kind is public and the key is not known.
    Raises ``UnauthorizedError`` for any other request without the key of an organisation.
    """
    if table.keys is None:
        return None
    authorization = headers.get("AUTHORIZATION")
    key = None if authorization is None else parse_bearer_key(authorization)
    organisation = None if key is None else table.keys.find(key)
    if organisation is not None or kind.is_public:
        return organisation
    if authorization is None:
        reason = "no-key"
    else:
        reason = "malformed-key" if key is None else "unknown-key"
    raise UnauthorizedError(reason, _MESSAGE_BY_REASON[reason])


class KeyCheck:
    """Looks the key of one request up again, directly before each attempt.

    A key may be taken away while its request waits for an upstream, or pass to another
    organisation. ``checked`` is the table that the request was resolved with. Used by one thread.
    """

    __slots__ = ("_checked", "_kind", "_manifests", "_withheld_headers")

    def __init__(
        self,
        manifests: ManifestHolder,
        *,
        checked: RoutingTable,
        kind: Kind,
        withheld_headers: frozenset[str],
    ) -> None:
        self._manifests = manifests
        self._checked = checked
        self._kind = kind
        self._withheld_headers = withheld_headers

    def check(self, request: ProxyRequest) -> None:
        """Set the organisation of a request; raise ``UnauthorizedError`` if its key is unknown."""
        table = self._manifests.current
        if table is None or table is self._checked:
            return
        request.organisation = identify_caller(table, self._kind, request.headers)
        if table.keys is not None:
            request.withheld_headers = self._withheld_headers
        self._checked = table

    def is_passed(self, request: ProxyRequest) -> bool:
        """Do the same, and return whether the key is known or none is needed."""
        try:
            self.check(request)
        except UnauthorizedError:
            return False
        return True
