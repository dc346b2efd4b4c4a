"""Header names that a deployment's callers and upstreams use for deadlines, identity and load."""

from __future__ import annotations

from collections.abc import Callable

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.hookspecs import hookimpl
from coltsfootrill.proxy.headers import DEADLINE_HEADER
from coltsfootrill.proxy.headers import KEY_HEADER
from coltsfootrill.proxy.headers import LOAD_HEADER
from coltsfootrill.proxy.headers import ORGANISATION_HEADER
from coltsfootrill.proxy.headers import SHED_HEADER
from coltsfootrill.proxy.headers import parse_load


class Dialect:
    """Holds header names and status codes; a name is empty if the deployment has no such header.

    ``deadline`` states the milliseconds left, in requests from callers and to upstreams.
    ``request_id`` identifies a caller's request and is echoed on its answer. ``upstream_id`` names
    the upstream that must answer; a different upstream at the same address refuses. ``signature``
    is on every genuine answer of an upstream. ``not_run`` marks an explicit refusal, as the
    statuses in ``not_run_statuses`` do. ``load`` states the upstream's load, and ``answered_by`` is
    the id of the upstream that answers a health check. ``rate_limit`` states, on an answer, how
    many requests a second the upstream takes from all instances together, and ``leaving`` that it
    is leaving. ``organisation`` names, to upstreams, the organisation that holds the caller's key.
    ``cold`` states, on the answer to a health check, for how many milliseconds more the upstream is
    cold. Callers interpret an answer with one of the ``implied_not_run_statuses`` as a guarantee
    that the request was not and will not be run.
    ``has_fractional_retry_after`` states that callers accept fractional seconds in
    ``Retry-After``. ``replaced_headers`` are the lower-case names of the headers that each attempt
    sets anew, and ``attempt_headers`` of all that differ between attempts. ``withheld_headers`` are
    those of a caller's headers that upstreams do not get if the manifest has organisations.
    """

    __slots__ = (
        "answered_by",
        "attempt_headers",
        "cold",
        "deadline",
        "has_fractional_retry_after",
        "implied_not_run_statuses",
        "leaving",
        "load",
        "name",
        "not_run",
        "not_run_statuses",
        "organisation",
        "parse_load",
        "rate_limit",
        "replaced_headers",
        "request_id",
        "signature",
        "upstream_id",
        "withheld_headers",
    )

    def __init__(
        self,
        *,
        name: str,
        deadline: str,
        load: str,
        not_run: str,
        parse_load: Callable[[str | None], LoadReport | None],
        request_id: str = "",
        upstream_id: str = "",
        answered_by: str = "",
        signature: str = "",
        rate_limit: str = "",
        leaving: str = "",
        organisation: str = "",
        cold: str = "",
        not_run_statuses: frozenset[int] = frozenset(),
        implied_not_run_statuses: frozenset[int] = frozenset(),
        has_fractional_retry_after: bool = False,
    ) -> None:
        self.has_fractional_retry_after = has_fractional_retry_after
        self.name = name
        self.deadline = deadline
        self.load = load
        self.not_run = not_run
        self.parse_load = parse_load
        self.request_id = request_id
        self.upstream_id = upstream_id
        self.answered_by = answered_by
        self.signature = signature
        self.rate_limit = rate_limit
        self.leaving = leaving
        self.organisation = organisation
        self.cold = cold
        self.not_run_statuses = not_run_statuses
        self.implied_not_run_statuses = implied_not_run_statuses
        self.replaced_headers = frozenset((deadline.lower(), upstream_id.lower()))
        self.attempt_headers = self.replaced_headers | {request_id.lower()}
        self.withheld_headers = frozenset((KEY_HEADER.lower(), organisation.lower()))


NATIVE_DIALECT = Dialect(
    name="native",
    deadline=DEADLINE_HEADER,
    load=LOAD_HEADER,
    not_run=SHED_HEADER,
    parse_load=parse_load,
    organisation=ORGANISATION_HEADER,
)


@hookimpl
def coltsfootrill_dialect() -> Dialect:
    """Return the native dialect."""
    return NATIVE_DIALECT
