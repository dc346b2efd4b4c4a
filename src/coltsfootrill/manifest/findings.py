"""What a valid manifest states that can have no effect, or that contradicts itself."""

from __future__ import annotations

from collections.abc import Iterator

from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Manifest
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.manifest.model import Service


class Finding:
    """One finding. ``where`` names the entry, by its identifier."""

    __slots__ = ("message", "where")

    def __init__(self, where: str, message: str) -> None:
        self.where = where
        self.message = message

    def __str__(self) -> str:
        """Return the entry and what was found."""
        return f"{self.where}: {self.message}"


def list_findings(manifest: Manifest) -> list[Finding]:
    """Return what can never match or contradicts itself, in the order of the manifest."""
    findings: list[Finding] = []
    routed = _list_routed_services(manifest)
    for service in manifest.services:
        findings += _review_service(service, is_routed=service.id in routed)
    findings += _review_organisations(manifest)
    return findings


def _list_routed_services(manifest: Manifest) -> set[str]:
    """Return the services that requests can reach."""
    routed: set[str] = set()
    for service in manifest.services:
        for kind in service.kinds:
            routed.update(part.service for part in kind.split if part.weight > 0)
            if not kind.split:
                routed.add(service.id)
    return routed


def _review_service(service: Service, *, is_routed: bool) -> Iterator[Finding]:
    where = f"service {service.id}"
    if not is_routed:
        yield Finding(where, "no request can reach it: no kind is sent there")
    if service.warm_up is not None and service.warm_up.duration_ms == 0:
        yield Finding(where, "its warm-up lasts no time, so its rate never applies")
    for kind in service.kinds:
        yield from _review_kind(kind, service)


def _review_kind(kind: Kind, service: Service) -> Iterator[Finding]:
    where = f"kind {kind.id}"
    for part in kind.split:
        if part.weight == 0:
            yield Finding(where, f"its part {part.service} has a weight of 0 and gets no request")
    if kind.target_ms is not None and kind.target_ms > kind.deadline_ms:
        yield Finding(
            where,
            f"its target of {kind.target_ms} ms is after its deadline of {kind.deadline_ms} ms",
        )
    if kind.attempts_max is not None and kind.retries >= kind.attempts_max:
        yield Finding(
            where, f"{kind.retries} retries need more attempts than the {kind.attempts_max} allowed"
        )
    if kind.retries and service.retry_share == 0:
        yield Finding(where, "its service has a retry share of 0, which allows no retry")
    if kind.hedge_quantile is not None and kind.attempts_max == 1:
        yield Finding(where, "it is to be hedged, but allows one attempt only")


def _review_organisations(manifest: Manifest) -> Iterator[Finding]:
    if manifest.organisations is None:
        return
    kinds = [kind for service in manifest.services for kind in service.kinds]
    if not manifest.organisations and not all(kind.is_public for kind in kinds):
        yield Finding("organisations", "there is none, so only public kinds can be requested")
    for organisation in manifest.organisations:
        yield from _review_organisation(organisation)


def _review_organisation(organisation: Organisation) -> Iterator[Finding]:
    where = f"organisation {organisation.name}"
    if not organisation.keys:
        yield Finding(where, "it has no key, so no request can be its own")
    if len(set(organisation.keys)) < len(organisation.keys):
        yield Finding(where, "one of its keys occurs twice")
    if organisation.burst and not organisation.has_quota:
        yield Finding(where, "its burst has no effect without a rate")
    if organisation.has_quota and organisation.burst < 1:
        yield Finding(where, f"its burst of {organisation.burst:g} is less than one request")
