"""Hooks that plug-ins implement; built-in features use the same ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pluggy

if TYPE_CHECKING:
    from coltsfootrill.balancer.choice import ChoicePolicy
    from coltsfootrill.naming.scheme import NamingScheme

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
