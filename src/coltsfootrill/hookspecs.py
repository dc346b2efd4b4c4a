"""Hook specifications that built-in and installed plug-ins implement."""

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
    """Return a naming scheme.

    The schemes of all registered plug-ins are available; each must have a prefix of its own.
    """


@hookspec
def coltsfootrill_choice_policy() -> ChoicePolicy:  # type: ignore[empty-body]
    """Return a policy that chooses an upstream; settings select it by its ``name``."""


@hookspec
def coltsfootrill_manifest_format() -> ManifestFormat:  # type: ignore[empty-body]
    """Return a manifest format; settings select it by its ``name``."""


@hookspec
def coltsfootrill_dialect() -> Dialect:  # type: ignore[empty-body]
    """Return the HTTP headers of one kind of deployment; settings select it by its ``name``."""


@hookspec
def coltsfootrill_control_interface() -> ControlInterface:  # type: ignore[empty-body]
    """Return an interface for operators and upstreams; settings select it by its ``name``."""
