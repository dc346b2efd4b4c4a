"""The immutable routing table built from one accepted manifest."""

from __future__ import annotations

import fnmatch
from collections.abc import Mapping
from collections.abc import Sequence
from random import Random

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.manifest.codec import ManifestValueError
from coltsfootrill.manifest.codec import decode_manifest
from coltsfootrill.manifest.codec import digest_manifest
from coltsfootrill.manifest.codec import make_manifest_error
from coltsfootrill.manifest.model import DEADLINE_MAX_MS
from coltsfootrill.manifest.model import SCHEMA_VERSION
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Manifest
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.manifest.model import Service
from coltsfootrill.naming.scheme import InvalidNameError
from coltsfootrill.naming.scheme import NamingScheme
from coltsfootrill.naming.scheme import RequestName
from coltsfootrill.organisations.key_index import KeyIndex


class RouteError(ColtsfootrillError):
    """A request matches no kind, or two different ones."""


class Target:
    """A service that serves a kind, with its share of the kind's requests."""

    __slots__ = ("service", "share")

    def __init__(self, *, service: Service, share: float) -> None:
        self.service = service
        self.share = share


class Route:
    """A request kind and the services that receive its requests; usually one."""

    __slots__ = ("kind", "targets")

    def __init__(self, *, kind: Kind, targets: Sequence[Target]) -> None:
        self.kind = kind
        self.targets = targets

    @property
    def service(self) -> Service:
        """Return the first service, which identifies the route in messages."""
        return self.targets[0].service

    def choose_service(self, random: Random) -> Service:
        """Return a service for one request, chosen at random in proportion to the shares."""
        point = random.random() if len(self.targets) > 1 else 0.0
        for target in self.targets:
            point -= target.share
            if point < 0:
                return target.service
        return self.targets[-1].service


class RoutingTable:
    """Routes of one manifest. ``routes_by_name`` maps a scheme prefix and a name to a route.

    ``deadline_max_ms`` is the longest deadline of all kinds. ``keys`` are those of the
    organisations, ``None`` if callers need no key.
    """

    __slots__ = (
        "__weakref__",
        "_schemes",
        "deadline_max_ms",
        "digest",
        "keys",
        "manifest",
        "routes_by_name",
        "services_by_id",
    )

    def __init__(
        self,
        *,
        manifest: Manifest,
        digest: str,
        schemes: Mapping[str, NamingScheme],
        routes_by_name: dict[tuple[str, str], Route],
    ) -> None:
        self.manifest = manifest
        self.digest = digest
        self.routes_by_name = routes_by_name
        self.services_by_id = {service.id: service for service in manifest.services}
        self.deadline_max_ms = max(
            (kind.deadline_ms for service in manifest.services for kind in service.kinds),
            default=DEADLINE_MAX_MS,
        )
        self.keys = (
            None
            if manifest.organisations is None
            else KeyIndex.from_organisations(manifest.organisations)
        )
        self._schemes = schemes

    @classmethod
    def from_bytes(cls, raw: bytes, schemes: Mapping[str, NamingScheme]) -> RoutingTable:
        """Decode ``raw`` and return its routing table.

        Raises ``InvalidManifestError``. Names and rules are checked only if ``raw`` is well
        formed; all problems found in that stage are reported.
        """
        return cls.from_manifest(decode_manifest(raw), digest_manifest(raw), schemes)

    @classmethod
    def from_manifest(
        cls, manifest: Manifest, digest: str, schemes: Mapping[str, NamingScheme]
    ) -> RoutingTable:
        """Return the table of a decoded manifest.

        Raises ``InvalidManifestError`` with every name and rule that is not valid.
        """
        problems: list[ManifestValueError] = []
        routes_by_name = _index_names(manifest, schemes, problems)
        _check_rules(manifest, problems)
        if problems:
            raise make_manifest_error(problems)
        return cls(manifest=manifest, digest=digest, schemes=schemes, routes_by_name=routes_by_name)

    @property
    def version(self) -> int:
        """Return the version of the manifest."""
        return self.manifest.version

    def list_organisation_names(self) -> list[str]:
        """Return the names of the organisations in the order of the manifest."""
        return [organisation.name for organisation in self.manifest.organisations or []]

    def resolve(self, request: RequestName) -> Route:
        """Return the route of ``request``.

        Raises ``RouteError`` when no scheme matches, or when two schemes match different kinds:
        choosing one could apply the rules of an idempotent kind to a non-idempotent request.
        """
        found: Route | None = None
        for prefix, scheme in self._schemes.items():
            route = self._find(prefix, scheme, request)
            if route is None or route is found:
                continue
            if found is not None:
                raise RouteError(
                    f"the request names both {found.service.id}/{found.kind.id} and "
                    f"{route.service.id}/{route.kind.id}; send one name only"
                )
            found = route
        if found is None:
            raise RouteError(
                "no naming scheme matches this request; check its Host header, path and Urn header"
            )
        return found

    def _find(self, prefix: str, scheme: NamingScheme, request: RequestName) -> Route | None:
        for name in scheme.candidates(request):
            route = self.routes_by_name.get((prefix, name))
            if route is not None:
                return route
        return None


def may_serve(service: Service, upstream_id: str) -> bool:
    """Return whether the identifier matches one of the service's upstream patterns."""
    return any(fnmatch.fnmatchcase(upstream_id, pattern) for pattern in service.upstreams)


def _index_names(
    manifest: Manifest, schemes: Mapping[str, NamingScheme], problems: list[ManifestValueError]
) -> dict[tuple[str, str], Route]:
    routes_by_name: dict[tuple[str, str], Route] = {}
    services_by_id = {service.id: service for service in manifest.services}
    for service_index, service in enumerate(manifest.services):
        for kind_index, kind in enumerate(service.kinds):
            where = f"$.services[{service_index}].kinds[{kind_index}].split"
            targets = _list_targets(service, kind, services_by_id, where, problems)
            route = Route(kind=kind, targets=targets)
            for name_index, text in enumerate(kind.names):
                where = f"$.services[{service_index}].kinds[{kind_index}].names[{name_index}]"
                _index_name(text, route, where, schemes, routes_by_name, problems)
    return routes_by_name


def _list_targets(
    service: Service,
    kind: Kind,
    services_by_id: Mapping[str, Service],
    where: str,
    problems: list[ManifestValueError],
) -> list[Target]:
    unsplit = [Target(service=service, share=1.0)]
    if not kind.split:
        return unsplit
    total = sum(part.weight for part in kind.split)
    unknown = [part.service for part in kind.split if part.service not in services_by_id]
    if unknown:
        problems.append(ManifestValueError(where, f"unknown services: {', '.join(unknown)}"))
    if any(part.weight < 0 for part in kind.split) or total <= 0:
        problems.append(
            ManifestValueError(where, "weights must be 0 or more, and at least one above 0")
        )
    if unknown or total <= 0:
        return unsplit
    return [
        Target(service=services_by_id[part.service], share=part.weight / total)
        for part in kind.split
        if part.weight > 0
    ]


def _index_name(
    text: str,
    route: Route,
    where: str,
    schemes: Mapping[str, NamingScheme],
    routes_by_name: dict[tuple[str, str], Route],
    problems: list[ManifestValueError],
) -> None:
    prefix, _, rest = text.partition(":")
    scheme = schemes.get(prefix)
    if scheme is None:
        accepted = ", ".join(f"{known}:" for known in schemes)
        problems.append(
            ManifestValueError(where, f"unknown naming scheme {prefix!r}; accepted: {accepted}")
        )
        return
    try:
        key = (prefix, scheme.parse(rest))
    except InvalidNameError as error:
        problems.append(ManifestValueError(where, str(error)))
        return
    other = routes_by_name.setdefault(key, route)
    if other is not route:
        problems.append(
            ManifestValueError(
                where,
                f"{text!r} already names {other.service.id}/{other.kind.id}; use another name",
            )
        )


def _check_rules(manifest: Manifest, problems: list[ManifestValueError]) -> None:
    if manifest.schema != SCHEMA_VERSION:
        problems.append(
            ManifestValueError(
                "$.schema", f"schema {manifest.schema} is not supported; use {SCHEMA_VERSION}"
            )
        )
    seen_services: set[str] = set()
    for service_index, service in enumerate(manifest.services):
        where = f"$.services[{service_index}]"
        if service.id in seen_services:
            problems.append(
                ManifestValueError(f"{where}.id", f"the service id {service.id!r} occurs twice")
            )
        seen_services.add(service.id)
        seen_kinds: set[str] = set()
        for kind_index, kind in enumerate(service.kinds):
            if kind.id in seen_kinds:
                problems.append(
                    ManifestValueError(
                        f"{where}.kinds[{kind_index}].id", f"the kind id {kind.id!r} occurs twice"
                    )
                )
            seen_kinds.add(kind.id)
            _check_kind(kind, f"{where}.kinds[{kind_index}]", problems)
    _check_organisations(manifest.organisations or [], problems)


def _check_organisations(
    organisations: list[Organisation], problems: list[ManifestValueError]
) -> None:
    """Append a problem for each name and each key that occurs twice; keys are not shown."""
    names: set[str] = set()
    name_by_key: dict[str, str] = {}
    for index, organisation in enumerate(organisations):
        where = f"$.organisations[{index}]"
        if organisation.name in names:
            problems.append(
                ManifestValueError(f"{where}.name", f"{organisation.name!r} occurs twice")
            )
        names.add(organisation.name)
        for key_index, key in enumerate(organisation.keys):
            other = name_by_key.setdefault(key, organisation.name)
            if other != organisation.name:
                problems.append(
                    ManifestValueError(
                        f"{where}.keys[{key_index}]",
                        f"is a key of the organisation {other!r} too; a key names one organisation",
                    )
                )


def _check_kind(kind: Kind, where: str, problems: list[ManifestValueError]) -> None:
    if kind.priority == "deferrable" and kind.latest_ms is None:
        problems.append(ManifestValueError(f"{where}.latest_ms", "required for a deferrable kind"))
    if kind.priority != "deferrable" and kind.latest_ms is not None:
        problems.append(
            ManifestValueError(f"{where}.latest_ms", "accepted only for a deferrable kind")
        )
    if kind.latest_ms is not None and kind.latest_ms >= kind.deadline_ms:
        problems.append(
            ManifestValueError(
                f"{where}.latest_ms",
                f"{kind.latest_ms} must be less than deadline_ms ({kind.deadline_ms})",
            )
        )
    if kind.hedge_quantile is not None and not kind.idempotent:
        problems.append(
            ManifestValueError(f"{where}.hedge_quantile", "accepted only for an idempotent kind")
        )
