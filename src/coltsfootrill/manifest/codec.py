"""Decoding of manifests: all problems are found in one pass."""

from __future__ import annotations

import hashlib
import json
import typing
from typing import Any

import msgspec

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.manifest.model import Manifest

SIZE_MAX_BYTES = 4 * 1024 * 1024
_PROBLEMS_MAX_COUNT = 200


class ManifestValueError(ColtsfootrillError):
    """One problem in a manifest; ``where`` is the path to the value, ``$`` being the root."""

    def __init__(self, where: str, message: str) -> None:
        super().__init__(f"{where}: {message}")
        self.where = where
        self.message = message


class InvalidManifestError(ExceptionGroup[ManifestValueError], ColtsfootrillError):
    """A manifest was refused; the group holds every problem found."""


def digest_manifest(raw: bytes) -> str:
    """Return the SHA-256 of the manifest as it was submitted, in hexadecimal."""
    return hashlib.sha256(raw).hexdigest()


def decode_manifest(raw: bytes) -> Manifest:
    """Return the manifest in ``raw``; raise ``InvalidManifestError`` with all problems found."""
    if len(raw) > SIZE_MAX_BYTES:
        raise _refuse([ManifestValueError("$", f"larger than {SIZE_MAX_BYTES} bytes")])
    problems: list[ManifestValueError] = []
    tree = _parse_json(raw, problems)
    if not problems:
        _check_shape(Manifest, tree, "$", problems)
    if problems:
        raise _refuse(problems)
    return msgspec.convert(tree, Manifest)


def _refuse(problems: list[ManifestValueError]) -> InvalidManifestError:
    return InvalidManifestError("manifest refused", problems[:_PROBLEMS_MAX_COUNT])


def make_manifest_error(problems: list[ManifestValueError]) -> InvalidManifestError:
    """Return the error that refuses a manifest for ``problems``."""
    return _refuse(problems)


def _parse_json(raw: bytes, problems: list[ManifestValueError]) -> Any:
    def read_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        by_key: dict[str, Any] = {}
        for key, value in pairs:
            if key in by_key:
                problems.append(
                    ManifestValueError("$", f"the key {key!r} stands twice in one object")
                )
            by_key[key] = value
        return by_key

    def refuse_constant(text: str) -> None:
        problems.append(ManifestValueError("$", f"{text} is not a JSON number"))

    try:
        return json.loads(raw, object_pairs_hook=read_object, parse_constant=refuse_constant)
    except (ValueError, RecursionError) as error:
        problems.append(ManifestValueError("$", f"not JSON: {error}"))
        return None


def _check_shape(kind: Any, tree: Any, where: str, problems: list[ManifestValueError]) -> None:
    """Append one problem for each value of ``tree`` that does not fit the type ``kind``."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct) and isinstance(tree, dict):
        _check_fields(kind, tree, where, problems)
        return
    element = _get_element_type(kind)
    count_before = len(problems)
    if element is not None and isinstance(tree, list):
        for index, item in enumerate(tree):
            _check_shape(element, item, f"{where}[{index}]", problems)
    if len(problems) == count_before:
        _check_value(kind, tree, where, problems)


def _check_fields(
    kind: type[msgspec.Struct], tree: dict[str, Any], where: str, problems: list[ManifestValueError]
) -> None:
    by_name = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for key in tree:
        if key not in by_name:
            accepted = ", ".join(sorted(by_name))
            problems.append(
                ManifestValueError(f"{where}.{key}", f"unknown field; known: {accepted}")
            )
    for name, field in by_name.items():
        if name in tree:
            _check_shape(field.type, tree[name], f"{where}.{name}", problems)
        elif field.required:
            problems.append(ManifestValueError(f"{where}.{name}", "missing"))


def _check_value(kind: Any, value: Any, where: str, problems: list[ManifestValueError]) -> None:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        problems.append(ManifestValueError(where, str(error).partition(" - at ")[0]))


def _get_element_type(kind: Any) -> Any:
    """Return the element type of an annotated list type, ``None`` for every other type."""
    if typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) is list:
        return typing.get_args(kind)[0]
    return None
