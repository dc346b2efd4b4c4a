"""What operators see of the organisations in a manifest: all but their keys."""

from __future__ import annotations

from typing import Any


def hide_keys(manifest: dict[str, Any]) -> dict[str, Any]:
    """Return a manifest with the number of keys in place of the keys of each organisation.

    It is refused if it is submitted, so that it never replaces the keys.
    """
    organisations = manifest.get("organisations")
    if not organisations:
        return manifest
    hidden = [
        organisation | {"keys": f"{len(organisation['keys'])} not shown"}
        for organisation in organisations
    ]
    return manifest | {"organisations": hidden}


def summarise_organisation(organisation: dict[str, Any]) -> dict[str, Any]:
    """Return name, number of keys, rank, rate and burst; ``None`` where none is set."""
    return {
        "name": organisation["name"],
        "keys": len(organisation["keys"]),
        "rank": organisation.get("rank"),
        "rate_per_s": organisation.get("rate_per_s") or None,
        "burst": organisation.get("burst"),
    }
