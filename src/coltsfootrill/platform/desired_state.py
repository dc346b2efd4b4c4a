"""Decodes the platform's desired state into a manifest.

Routes, services and tenants are tables: the names of the columns, and rows of values in that
order. A null value means that the field is absent.
"""

from __future__ import annotations

import re
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

from coltsfootrill.hookspecs import hookimpl
from coltsfootrill.manifest.codec import ManifestValueError
from coltsfootrill.manifest.codec import make_manifest_error
from coltsfootrill.manifest.format import ManifestFormat
from coltsfootrill.manifest.model import SCHEMA_VERSION
from coltsfootrill.manifest.model import CallerLimits
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Manifest
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.manifest.model import Service
from coltsfootrill.manifest.model import SplitPart
from coltsfootrill.manifest.model import WarmUp

TIMEOUT_MAX_MS = 600_000
MS_PER_SECOND = 1_000
ATTEMPTS_DEFAULT = 1
_VERSION = re.compile(r"[0-9a-fA-F]{8}")
_ANY_UPSTREAM = "*"

Row = TypeVar("Row")


class _WeightedService(msgspec.Struct, frozen=True):
    """One service of a traffic split. Weights are relative to their sum."""

    service: str
    weight: float


class _RouteRow(msgspec.Struct, frozen=True, rename="camel"):
    """One route: the requests to ``host`` whose path starts with ``path_prefix``.

    ``kind`` is ``safe`` if the requests are idempotent. ``timeout_ms`` is the longest time that a
    caller waits for an answer, and ``target_latency_ms`` the time within which an answer has its
    full value. Routes with a lower ``priority`` go first. ``max_attempts`` is the number of
    upstreams that one request may be sent to, including the first. ``service`` is ignored if
    ``traffic_split`` is set.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float | None = None
    target_latency_ms: float | None = None
    priority: int | None = None
    service: str | None = None
    max_attempts: int | None = None
    traffic_split: list[_WeightedService] | None = None
    public: bool = False


class _ServiceRow(msgspec.Struct, frozen=True, rename="camel"):
    """One service. ``max_connections`` is accepted but not used.

    Its upstreams are cold for ``cold_start_s`` seconds and take ``cold_per_s`` requests a second
    of all instances meanwhile.
    """

    name: str
    health_check_path: str | None = None
    max_connections: int | None = None
    cold_start_s: float | None = None
    cold_per_s: float | None = None


class _TenantRow(msgspec.Struct, frozen=True, rename="camel"):
    """One organisation. A lower ``priority`` goes first, before that of the route.

    A ``rate_per_s`` of 0 means no limit.
    """

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None

    def __repr__(self) -> str:
        """Return a text without the keys, which are secrets."""
        return f"_TenantRow({self.name!r})"


class _TableData(msgspec.Struct, frozen=True):
    """A table as it is sent: column names, and one list of values per row."""

    columns: list[str]
    rows: list[list[Any]]

    def __repr__(self) -> str:
        """Return a text without the values, which may be secrets."""
        return f"_TableData(columns={self.columns!r})"


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    """Limits for callers; a limit that is absent or 0 has its default in ``CallerLimits``.

    ``header_timeout_ms`` is the longest pause within a request that has begun to arrive.
    """

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None


class _DesiredState(msgspec.Struct, frozen=True):
    """The whole document. ``version`` is written as eight hexadecimal digits."""

    version: str
    routes: _TableData
    services: _TableData
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: _TableData | None = None


_decoder = msgspec.json.Decoder(_DesiredState)


def parse_version(text: str) -> int:
    """Return the version written as eight hexadecimal digits; raise ``ValueError`` otherwise."""
    if not _VERSION.fullmatch(text):
        raise ValueError(f"{text!r} is not a version; use eight hexadecimal digits")
    return int(text, 16)


def decode_desired_state(raw: bytes) -> Manifest:
    """Return the manifest in ``raw``; raise ``InvalidManifestError`` with all problems found."""
    problems: list[ManifestValueError] = []
    try:
        state = _decoder.decode(raw)
        version = parse_version(state.version)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise make_manifest_error([ManifestValueError("$", str(error))]) from error
    services = _RowDecoder(_ServiceRow, state.services, "$.services", problems).list_rows()
    routes = _RowDecoder(_RouteRow, state.routes, "$.routes", problems).list_rows()
    service_names = {service.name for service in services}
    kinds_by_service: dict[str, list[Kind]] = {name: [] for name in service_names}
    for route in routes:
        first_service = _check_route(route, service_names, problems)
        if first_service is not None:
            kinds_by_service[first_service].append(_make_kind(route))
    organisations = _list_organisations(state.tenants, problems)
    if problems:
        raise make_manifest_error(problems)
    return Manifest(
        schema=SCHEMA_VERSION,
        version=version,
        services=[_make_service(service, kinds_by_service[service.name]) for service in services],
        limits=_make_limits(state.limits),
        organisations=organisations,
    )


class _RowDecoder(Generic[Row]):
    """Decodes the rows of one table and appends a problem for each row that is malformed."""

    __slots__ = ("_problems", "_row_type", "_table", "_where")

    def __init__(
        self, row_type: type[Row], table: _TableData, where: str, problems: list[ManifestValueError]
    ) -> None:
        self._row_type = row_type
        self._table = table
        self._where = where
        self._problems = problems

    def list_rows(self) -> list[Row]:
        """Return the rows that are well formed, with null values left out."""
        columns = self._table.columns
        rows: list[Row] = []
        for index, values in enumerate(self._table.rows):
            where = f"{self._where}.rows[{index}]"
            if len(values) != len(columns):
                self._problems.append(
                    ManifestValueError(
                        where, f"has {len(values)} values; needs {len(columns)}, one per column"
                    )
                )
                continue
            named = zip(columns, values, strict=True)
            present = {column: value for column, value in named if value is not None}
            try:
                rows.append(msgspec.convert(present, self._row_type, strict=False))
            except msgspec.ValidationError as error:
                self._problems.append(ManifestValueError(where, str(error)))
        return rows


def _check_route(
    route: _RouteRow, service_names: set[str], problems: list[ManifestValueError]
) -> str | None:
    """Return the first service of a route; append problems and return ``None`` if invalid."""
    count_before = len(problems)
    where = f"$.routes.{route.name}"
    split = route.traffic_split or []
    referenced = [part.service for part in split] or [route.service or ""]
    unknown = [name for name in referenced if name not in service_names]
    if unknown:
        problems.append(ManifestValueError(where, f"unknown services: {', '.join(unknown)}"))
    if any(part.weight < 0 for part in split):
        problems.append(ManifestValueError(where, "a weight is below 0; use 0 or more"))
    elif split and sum(part.weight for part in split) <= 0:
        problems.append(
            ManifestValueError(where, "the weights add up to 0; use at least one above 0")
        )
    if route.timeout_ms is None or not 0 < route.timeout_ms <= TIMEOUT_MAX_MS:
        message = (
            f"timeoutMs is {route.timeout_ms}; it must be above 0 and at most {TIMEOUT_MAX_MS}"
        )
        problems.append(ManifestValueError(where, message))
    return referenced[0] if len(problems) == count_before else None


def _make_kind(route: _RouteRow) -> Kind:
    split = route.traffic_split or []
    assert route.timeout_ms is not None
    attempts = max(1, route.max_attempts or ATTEMPTS_DEFAULT)
    return Kind(
        id=route.name,
        names=[f"web:{route.host}{route.path_prefix}"],
        idempotent=route.kind == "safe",
        deadline_ms=max(1, int(route.timeout_ms)),
        rank=max(0, route.priority or 0),
        retries=attempts - 1,
        attempts_max=attempts,
        target_ms=int(route.target_latency_ms) if route.target_latency_ms else None,
        split=[SplitPart(service=part.service, weight=part.weight) for part in split],
        is_public=route.public,
    )


def _make_service(service: _ServiceRow, kinds: list[Kind]) -> Service:
    return Service(
        id=service.name,
        upstreams=[_ANY_UPSTREAM],
        kinds=kinds,
        health_path=service.health_check_path,
        warm_up=_make_warm_up(service),
    )


def _make_warm_up(service: _ServiceRow) -> WarmUp | None:
    if not service.cold_per_s or service.cold_per_s < 0:
        return None
    duration_ms = max(0, int((service.cold_start_s or 0) * MS_PER_SECOND))
    return WarmUp(duration_ms=duration_ms, requests_per_second=service.cold_per_s)


def _list_organisations(
    table: _TableData | None, problems: list[ManifestValueError]
) -> list[Organisation] | None:
    """Return the organisations, ``None`` if callers need no key; append problems."""
    if table is None:
        return None
    organisations: list[Organisation] = []
    for row in _RowDecoder(_TenantRow, table, "$.tenants", problems).list_rows():
        fields = {
            "name": row.name,
            "keys": row.api_keys,
            "rank": None if row.priority is None else max(0, row.priority),
            "rate_per_s": row.rate_per_s or 0,
            "burst": row.burst or 0,
        }
        try:
            organisations.append(msgspec.convert(fields, Organisation))
        except msgspec.ValidationError as error:
            # The text of the error names the field and never its value, which may be a secret.
            problems.append(ManifestValueError(f"$.tenants.{row.name}", str(error)))
    return organisations


def _make_limits(limits: _Limits) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        head_max_bytes=limits.max_header_bytes or defaults.head_max_bytes,
        body_max_bytes=limits.max_body_bytes or defaults.body_max_bytes,
        receive_timeout_ms=int(limits.header_timeout_ms or defaults.receive_timeout_ms),
        idle_timeout_ms=int(limits.idle_timeout_ms or defaults.idle_timeout_ms),
    )


@hookimpl
def coltsfootrill_manifest_format() -> ManifestFormat:
    """Return the format ``platform``."""
    return ManifestFormat(name="platform", decode=decode_desired_state)
