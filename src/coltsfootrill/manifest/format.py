"""Manifest formats. A setting selects the one in use."""

from __future__ import annotations

from collections.abc import Callable

from coltsfootrill.hookspecs import hookimpl
from coltsfootrill.manifest.codec import decode_manifest
from coltsfootrill.manifest.model import Manifest


class ManifestFormat:
    """A named decoder for the bytes that an operator submits.

    ``decode`` raises ``InvalidManifestError`` with every problem it finds.
    """

    __slots__ = ("decode", "name")

    def __init__(self, *, name: str, decode: Callable[[bytes], Manifest]) -> None:
        self.name = name
        self.decode = decode


NATIVE_FORMAT = ManifestFormat(name="native", decode=decode_manifest)


@hookimpl
def coltsfootrill_manifest_format() -> ManifestFormat:
    """Return the format ``native``: JSON as described in ``docs/operators/manifest.md``."""
    return NATIVE_FORMAT
