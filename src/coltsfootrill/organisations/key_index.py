"""Finds the organisation that holds a key."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Iterable
from collections.abc import Mapping

from coltsfootrill.manifest.model import Organisation

_DIGEST_BYTES = 16
# Random for each process, so that the time of a look-up tells nothing about the keys that exist.
_DIGEST_KEY = secrets.token_bytes(32)


class KeyIndex:
    """Maps the digests of keys to organisations. The keys themselves are not kept."""

    __slots__ = ("_organisation_by_digest",)

    def __init__(self, organisation_by_digest: Mapping[bytes, Organisation]) -> None:
        self._organisation_by_digest = organisation_by_digest

    @classmethod
    def from_organisations(cls, organisations: Iterable[Organisation]) -> KeyIndex:
        """Return the index of all keys of ``organisations``, of which no two have one in common."""
        return cls(
            {
                _digest(key): organisation
                for organisation in organisations
                for key in organisation.keys
            }
        )

    def find(self, key: str) -> Organisation | None:
        """Return the organisation that holds ``key``, ``None`` if there is none."""
        return self._organisation_by_digest.get(_digest(key))


def _digest(key: str) -> bytes:
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES, key=_DIGEST_KEY).digest()
