"""The platform's headers for callers and upstreams."""

from __future__ import annotations

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.hookspecs import hookimpl
from coltsfootrill.proxy.dialect import Dialect

# The platform reports the pace in hundredths; at this figure work takes its normal time.
NORMAL_PACE_HUNDREDTHS = 100.0
_FIGURE_MAX = 100_000


def parse_platform_load(value: str | None) -> LoadReport | None:
    """Return the load in ``running,waiting,slots[,pace]``; ``None`` if it is malformed.

    ``pace`` is how long work takes on the upstream's host now, in hundredths of its normal time.
    """
    if not value:
        return None
    try:
        figures = [float(part) for part in value.split(",")]
    except ValueError:
        return None
    if len(figures) < 3 or not all(0 <= figure <= _FIGURE_MAX for figure in figures):
        return None
    running, waiting, slots = (int(figure) for figure in figures[:3])
    if slots < 1:
        return None
    pace = figures[3] / NORMAL_PACE_HUNDREDTHS if len(figures) > 3 and figures[3] > 0 else None
    return LoadReport(in_flight=running + waiting, slots=slots, state="serving", pace=pace)


@hookimpl
def coltsfootrill_dialect() -> Dialect:
    """Return the dialect ``platform``."""
    return Dialect(
        name="platform",
        deadline="X-Deadline-Milliseconds",
        load="X-Server-Load",
        not_run="X-Not-Executed",
        parse_load=parse_platform_load,
        request_id="X-Attempt-Id",
        upstream_id="X-Expected-Instance",
        answered_by="X-Instance-Identifier",
        signature="X-Server-Signature",
        rate_limit="Server-Limit",
        leaving="Server-Leaving",
        organisation="X-Tenant",
        cold="X-Cold-Milliseconds",
        not_run_statuses=frozenset({421}),
        implied_not_run_statuses=frozenset({408, 421, 429, 503}),
        has_fractional_retry_after=True,
    )
