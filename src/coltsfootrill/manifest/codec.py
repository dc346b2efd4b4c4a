"""Decodes manifests and reports all problems found in one pass."""

from __future__ import annotations

import functools
import hashlib
import json
import typing
from collections.abc import Mapping
from typing import Any

import msgspec

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.manifest.model import Manifest

SIZE_MAX_BYTES = 4 * 1024 * 1024
_PROBLEMS_MAX_COUNT = 200


class ManifestValueError(ColtsfootrillError):
    """One problem in a manifest. ``where`` is the path to the value; ``$`` is the root."""

    def __init__(self, where: str, message: str) -> None:
        super().__init__(f"{where}: {message}")
        self.where = where
        self.message = message


class InvalidManifestError(ExceptionGroup[ManifestValueError], ColtsfootrillError):
    """A manifest is invalid. The group contains up to ``_PROBLEMS_MAX_COUNT`` problems."""


def digest_manifest(raw: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of the submitted bytes."""
    return hashlib.sha256(raw).hexdigest()


def decode_manifest(raw: bytes) -> Manifest:
    """Return the manifest in ``raw``; raise ``InvalidManifestError`` with all problems found."""
    if len(raw) > SIZE_MAX_BYTES:
        raise _make_error(
            [ManifestValueError("$", f"larger than {SIZE_MAX_BYTES} bytes: {len(raw)} bytes")]
        )
    problems: list[ManifestValueError] = []
    tree = _parse_json(raw, problems)
    if not problems:
        _check_type(Manifest, tree, "$", problems)
    if problems:
        raise _make_error(problems)
    return msgspec.convert(tree, Manifest)


def _make_error(problems: list[ManifestValueError]) -> InvalidManifestError:
    return InvalidManifestError("manifest refused", problems[:_PROBLEMS_MAX_COUNT])


def make_manifest_error(problems: list[ManifestValueError]) -> InvalidManifestError:
    """Return the error for a manifest with ``problems``, to be raised by the caller."""
    return _make_error(problems)


def _parse_json(raw: bytes, problems: list[ManifestValueError]) -> Any:
    def make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        values_by_key: dict[str, Any] = {}
        for key, value in pairs:
            if key in values_by_key:
                problems.append(
                    ManifestValueError("$", f"the key {key!r} occurs twice in one object")
                )
            values_by_key[key] = value
        return values_by_key

    def reject_constant(text: str) -> None:
        problems.append(
            ManifestValueError("$", f"{text} is not a JSON number; use a finite number")
        )

    try:
        return json.loads(raw, object_pairs_hook=make_object, parse_constant=reject_constant)
    except (ValueError, RecursionError) as error:
        problems.append(ManifestValueError("$", f"not valid JSON: {error}"))
        return None


def _check_type(expected: Any, tree: Any, where: str, problems: list[ManifestValueError]) -> None:
    """Append one problem for each value in ``tree`` that does not match ``expected``."""
    if (
        isinstance(expected, type)
        and issubclass(expected, msgspec.Struct)
        and isinstance(tree, dict)
    ):
        _check_fields(expected, tree, where, problems)
        return
    element = _get_element_type(expected)
    count_before = len(problems)
    if element is not None and isinstance(tree, list):
        for index, item in enumerate(tree):
            _check_type(element, item, f"{where}[{index}]", problems)
    if len(problems) == count_before:
        _check_value(expected, tree, where, problems)


def _check_fields(
    expected: type[msgspec.Struct],
    tree: dict[str, Any],
    where: str,
    problems: list[ManifestValueError],
) -> None:
    fields_by_name = _get_fields(expected)
    for key in tree:
        if key not in fields_by_name:
            accepted = ", ".join(sorted(fields_by_name))
            problems.append(
                ManifestValueError(f"{where}.{key}", f"unknown field; accepted: {accepted}")
            )
    for name, field in fields_by_name.items():
        if name in tree:
            _check_type(field.type, tree[name], f"{where}.{name}", problems)
        elif field.required:
            problems.append(ManifestValueError(f"{where}.{name}", "missing"))


@functools.cache
def _get_fields(expected: type[msgspec.Struct]) -> Mapping[str, msgspec.structs.FieldInfo]:
    """Return the fields of a type by name; msgspec evaluates all annotations at each call."""
    return {field.encode_name: field for field in msgspec.structs.fields(expected)}


def _check_value(expected: Any, value: Any, where: str, problems: list[ManifestValueError]) -> None:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        problems.append(ManifestValueError(where, str(error).partition(" - at ")[0]))


def _get_element_type(expected: Any) -> Any:
    """Return the element type of a list type, annotated or not; ``None`` for other types."""
    if typing.get_origin(expected) is typing.Annotated:
        expected = typing.get_args(expected)[0]
    if typing.get_origin(expected) is list:
        return typing.get_args(expected)[0]
    return None
