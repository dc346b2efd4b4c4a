"""Load plug-ins, built-in and installed, and look them up by name.

Installed plug-ins register through the entry-point group ``coltsfootrill``.
"""

from __future__ import annotations

import importlib
from collections.abc import Sequence
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

import pluggy

from coltsfootrill import hookspecs
from coltsfootrill.errors import ColtsfootrillError

if TYPE_CHECKING:
    from coltsfootrill.balancer.choice import ChoicePolicy
    from coltsfootrill.manifest.format import ManifestFormat
    from coltsfootrill.naming.scheme import NamingScheme
    from coltsfootrill.operators.interface import ControlInterface
    from coltsfootrill.proxy.dialect import Dialect

BUILTIN_PLUGINS = (
    "coltsfootrill.naming.dotted",
    "coltsfootrill.naming.path",
    "coltsfootrill.naming.urn",
    "coltsfootrill.naming.web",
    "coltsfootrill.manifest.format",
    "coltsfootrill.proxy.dialect",
    "coltsfootrill.platform.dialect",
    "coltsfootrill.platform.interface",
    "coltsfootrill.platform.desired_state",
    "coltsfootrill.balancer.least_expected_wait",
    "coltsfootrill.balancer.reported_load",
    "coltsfootrill.balancer.random_of_two",
    "coltsfootrill.balancer.round_robin",
)


class HasName(Protocol):
    """A plug-in that settings refer to by its name."""

    name: str


Named = TypeVar("Named", bound=HasName)


class PluginError(ColtsfootrillError):
    """A naming scheme's prefix is used twice, or no plug-in has the requested name."""


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
            raise PluginError(
                f"two naming schemes use the prefix {scheme.prefix!r}: uninstall one of them"
            )
        by_prefix[scheme.prefix] = scheme
    return dict(sorted(by_prefix.items()))


def find_policy(manager: pluggy.PluginManager, name: str) -> ChoicePolicy:
    """Return the choice policy called ``name``; raise ``PluginError`` when there is none."""
    policies: list[ChoicePolicy] = manager.hook.coltsfootrill_choice_policy()
    return _find_named("choice policy", name, policies)


def find_manifest_format(manager: pluggy.PluginManager, name: str) -> ManifestFormat:
    """Return the manifest format called ``name``; raise ``PluginError`` when there is none."""
    formats: list[ManifestFormat] = manager.hook.coltsfootrill_manifest_format()
    return _find_named("manifest format", name, formats)


def find_dialect(manager: pluggy.PluginManager, name: str) -> Dialect:
    """Return the dialect called ``name``; raise ``PluginError`` when there is none."""
    dialects: list[Dialect] = manager.hook.coltsfootrill_dialect()
    return _find_named("dialect", name, dialects)


def find_interface(manager: pluggy.PluginManager, name: str) -> ControlInterface:
    """Return the control interface called ``name``; raise ``PluginError`` when there is none."""
    interfaces: list[ControlInterface] = manager.hook.coltsfootrill_control_interface()
    return _find_named("control interface", name, interfaces)


def _find_named(plugin_type: str, name: str, plugins: Sequence[Named]) -> Named:
    plugins_by_name = {plugin.name: plugin for plugin in plugins}
    if name not in plugins_by_name:
        available = ", ".join(sorted(plugins_by_name))
        raise PluginError(f"no {plugin_type} is called {name!r}; choose one of: {available}")
    return plugins_by_name[name]
