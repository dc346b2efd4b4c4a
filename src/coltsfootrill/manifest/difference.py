"""What differs between two manifests, by meaning. Keys are shown by digest only."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Manifest
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.manifest.model import Service

KEY_DIGEST_CHARACTERS = 12

Entry = TypeVar("Entry", bound=msgspec.Struct)


class RoutedKind(msgspec.Struct, frozen=True):
    """A kind and where its requests go: services, with their weights if there are several."""

    kind: Kind
    target: str


def list_differences(before: Manifest, after: Manifest) -> list[str]:
    """Return the differences, one a line, in a fixed order."""
    lines: list[str] = []
    if after.version <= before.version:
        lines.append(f"version: {after.version} is not above {before.version}, which is in force")
    lines += _compare_entries("kind", _index_kinds(before), _index_kinds(after), _compare_kinds)
    lines += _compare_entries(
        "service", _index_services(before), _index_services(after), _compare_services
    )
    lines += _compare_access(before, after)
    lines += _prefix("limits", _compare_fields(before.limits, after.limits))
    lines += _prefix("measuring", _compare_fields(before.measuring, after.measuring))
    return lines


def _compare_entries(
    noun: str,
    before_by_id: Mapping[str, Entry],
    after_by_id: Mapping[str, Entry],
    compare: Callable[[Entry, Entry], Iterator[str]],
) -> Iterator[str]:
    for name in sorted(before_by_id.keys() | after_by_id.keys()):
        if name not in after_by_id:
            yield f"{noun} {name}: removed"
        elif name not in before_by_id:
            yield f"{noun} {name}: added"
        else:
            for change in compare(before_by_id[name], after_by_id[name]):
                yield f"{noun} {name}: {change}"


def _index_kinds(manifest: Manifest) -> dict[str, RoutedKind]:
    return {
        kind.id: RoutedKind(kind, _describe_target(kind, service))
        for service in manifest.services
        for kind in service.kinds
    }


def _describe_target(kind: Kind, service: Service) -> str:
    parts = [f"{part.service} (weight {part.weight:g})" for part in kind.split if part.weight > 0]
    return ", ".join(parts) or service.id


def _compare_kinds(before: RoutedKind, after: RoutedKind) -> Iterator[str]:
    if before.target != after.target:
        yield f"goes to {after.target} instead of {before.target}"
    yield from _compare_fields(before.kind, after.kind, without=("id", "split"))


def _index_services(manifest: Manifest) -> dict[str, Service]:
    return {service.id: service for service in manifest.services}


def _compare_services(before: Service, after: Service) -> Iterator[str]:
    yield from _compare_fields(before, after, without=("id", "kinds"))


def _compare_access(before: Manifest, after: Manifest) -> Iterator[str]:
    """Compare the organisations, and whether callers need a key of one at all."""
    if before.organisations is None and after.organisations is not None:
        yield "organisations: callers need a key from now on"
    if before.organisations is not None and after.organisations is None:
        yield "organisations: callers need no key any more"
    yield from _compare_entries(
        "organisation", _index_organisations(before), _index_organisations(after), _compare_one
    )


def _index_organisations(manifest: Manifest) -> dict[str, Organisation]:
    return {organisation.name: organisation for organisation in manifest.organisations or []}


def _compare_one(before: Organisation, after: Organisation) -> Iterator[str]:
    for key in sorted(_digest_key(key) for key in set(before.keys) - set(after.keys)):
        yield f"key {key} taken away"
    for key in sorted(_digest_key(key) for key in set(after.keys) - set(before.keys)):
        yield f"key {key} added"
    if _get_rate(after) < _get_rate(before):
        yield "quota lowered"
    yield from _compare_fields(before, after, without=("name", "keys"))


def _get_rate(organisation: Organisation) -> float:
    return organisation.rate_per_s if organisation.has_quota else float("inf")


def _digest_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()[:KEY_DIGEST_CHARACTERS]


def _compare_fields(
    before: msgspec.Struct, after: msgspec.Struct, *, without: tuple[str, ...] = ()
) -> Iterator[str]:
    for field in before.__struct_fields__:
        old, new = getattr(before, field), getattr(after, field)
        if field not in without and old != new:
            yield f"{field} {_describe(old)} -> {_describe(new)}"


def _describe(value: object) -> str:
    return msgspec.json.encode(value).decode()


def _prefix(noun: str, changes: Iterator[str]) -> Iterator[str]:
    for change in changes:
        yield f"{noun}: {change}"
