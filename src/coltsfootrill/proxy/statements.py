"""What an upstream states about itself on an answer, besides its load."""

from __future__ import annotations

from http import HTTPStatus

from coltsfootrill.balancer.claim import Claim
from coltsfootrill.proxy.answer import UpstreamAnswer
from coltsfootrill.proxy.dialect import Dialect
from coltsfootrill.proxy.headers import parse_leaving
from coltsfootrill.proxy.headers import parse_rate_limit
from coltsfootrill.proxy.headers import parse_retry_after_ms


def read_statements(claim: Claim, answer: UpstreamAnswer, dialect: Dialect) -> None:
    """Store in ``claim`` what its upstream states on ``answer``."""
    if answer.status in dialect.not_run_statuses:
        # Another upstream at the address has answered.
        return
    claim.stated_per_s = parse_rate_limit(answer.get_header(dialect.rate_limit))
    claim.states_leaving = parse_leaving(answer.get_header(dialect.leaving))
    claim.declined_for_ms = get_declined_ms(answer)


def get_declined_ms(answer: UpstreamAnswer) -> float:
    """Return for how long an upstream that turns a request away wants no other, 0 if not stated."""
    if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0.0
    return parse_retry_after_ms(answer.get_header("Retry-After"))
