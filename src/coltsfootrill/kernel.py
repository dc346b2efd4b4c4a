"""Loads the built-in plug-ins and those installed beside the program."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

import pluggy

from coltsfootrill import hookspecs
from coltsfootrill.errors import ColtsfootrillError

if TYPE_CHECKING:
    from coltsfootrill.balancer.choice import ChoicePolicy
    from coltsfootrill.naming.scheme import NamingScheme

BUILTIN_PLUGINS = (
    "coltsfootrill.naming.dotted",
    "coltsfootrill.naming.path",
    "coltsfootrill.naming.urn",
    "coltsfootrill.balancer.least_expected_wait",
    "coltsfootrill.balancer.random_of_two",
    "coltsfootrill.balancer.round_robin",
)


class PluginError(ColtsfootrillError):
    """A plug-in cannot be used: a name is taken or unknown."""


def load_plugins() -> pluggy.PluginManager:
    """Return a plug-in manager with the built-in and the installed plug-ins registered."""
    manager = pluggy.PluginManager(hookspecs.PROJECT_NAME)
    manager.add_hookspecs(hookspecs)
    for module_name in BUILTIN_PLUGINS:
        manager.register(importlib.import_module(module_name), module_name)
    manager.load_setuptools_entrypoints(hookspecs.PROJECT_NAME)
    return manager


def collect_schemes(manager: pluggy.PluginManager) -> dict[str, NamingScheme]:
    """Return the naming schemes by prefix; raise ``PluginError`` when two share a prefix."""
    by_prefix: dict[str, NamingScheme] = {}
    for scheme in manager.hook.coltsfootrill_naming_scheme():
        if scheme.prefix in by_prefix:
            raise PluginError(f"two naming schemes use the prefix {scheme.prefix!r}: remove one")
        by_prefix[scheme.prefix] = scheme
    return dict(sorted(by_prefix.items()))


def find_policy(manager: pluggy.PluginManager, name: str) -> ChoicePolicy:
    """Return the choice policy called ``name``; raise ``PluginError`` when there is none."""
    by_name: dict[str, ChoicePolicy] = {
        policy.name: policy for policy in manager.hook.coltsfootrill_choice_policy()
    }
    if name not in by_name:
        known = ", ".join(sorted(by_name))
        raise PluginError(f"no choice policy is called {name!r}; choose one of: {known}")
    return by_name[name]
