"""Hooks that plug-ins implement; built-in features use the same ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pluggy

if TYPE_CHECKING:
    from coltsfootrill.balancer.choice import ChoicePolicy
    from coltsfootrill.manifest.format import ManifestFormat
    from coltsfootrill.naming.scheme import NamingScheme
    from coltsfootrill.operators.interface import ControlInterface
    from coltsfootrill.proxy.dialect import Dialect

PROJECT_NAME = "coltsfootrill"

hookspec = pluggy.HookspecMarker(PROJECT_NAME)
hookimpl = pluggy.HookimplMarker(PROJECT_NAME)


@hookspec
def coltsfootrill_naming_scheme() -> NamingScheme:  # type: ignore[empty-body]
    """Return one naming scheme.

    Every registered plug-in adds its scheme; prefixes must differ between schemes.
    """


@hookspec
def coltsfootrill_choice_policy() -> ChoicePolicy:  # type: ignore[empty-body]
    """Return one policy that chooses among upstreams, with the name settings refer to it by."""


@hookspec
def coltsfootrill_manifest_format() -> ManifestFormat:  # type: ignore[empty-body]
    """Return one format of manifests, with the name settings refer to it by."""


@hookspec
def coltsfootrill_dialect() -> Dialect:  # type: ignore[empty-body]
    """Return the headers of one kind of deployment, with the name settings refer to it by."""


@hookspec
def coltsfootrill_control_interface() -> ControlInterface:  # type: ignore[empty-body]
    """Return one interface for operators and upstreams, with the name settings refer to it by."""
