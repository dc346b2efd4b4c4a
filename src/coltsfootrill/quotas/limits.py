"""What one decider may hand out, so that all deciders together keep to an organisation's quota.

In any window of ``window_ms``, upstreams bear ``(rate x window + burst) x (1 + overshoot) + slack``
requests of an organisation. The part above ``rate x window + burst`` is the margin. It pays for
tokens that are used after the window in which they were handed out.
"""

from __future__ import annotations

import math

from coltsfootrill.manifest.model import Organisation
from coltsfootrill.membership.view import HUB_RESPONSIVE_WITHIN_MS
from coltsfootrill.settings import Settings

MS_PER_SECOND = 1_000.0
# An instance without a responsive hub goes on deciding for this time.
KEPT_MS = 2_500.0
# So it stops within this time after its last contact, and one that gets its seat waits as long.
SETTLE_MS = HUB_RESPONSIVE_WITHIN_MS + KEPT_MS
# Shares of the margin. What is left covers tokens on their way between deciders.
CAPACITY_MARGIN_SHARE = 0.4
VALIDITY_MARGIN_SHARE = 0.5
VALID_MAX_MS = 2_000.0
# A caller's request takes about this long from its token to its start at an upstream.
VALID_MIN_MS = 200.0
DECIDERS_MAX_COUNT = 3
# A bucket that holds less than this could keep part of a token that no caller ever gets.
CAPACITY_MIN_TOKENS = 2.0


class QuotaBounds:
    """How far upstreams bear that a quota is exceeded in a window.

    ``overshoot`` is a share of the quota, ``slack`` a number of requests beyond that.
    """

    __slots__ = ("overshoot", "slack", "window_ms")

    def __init__(self, *, window_ms: float, overshoot: float, slack: float) -> None:
        self.window_ms = window_ms
        self.overshoot = overshoot
        self.slack = slack

    @classmethod
    def from_settings(cls, settings: Settings) -> QuotaBounds:
        """Return the bounds that the settings state."""
        return cls(
            window_ms=settings.get("quotas", "window_s") * MS_PER_SECOND,
            overshoot=settings.get("quotas", "overshoot"),
            slack=settings.get("quotas", "slack"),
        )

    def get_quota(self, organisation: Organisation) -> float:
        """Return how many requests an organisation may make in a window."""
        window_s = self.window_ms / MS_PER_SECOND
        return organisation.rate_per_s * window_s + organisation.burst

    def get_margin(self, organisation: Organisation) -> float:
        """Return how many requests above the quota upstreams bear in a window."""
        return self.get_quota(organisation) * self.overshoot + self.slack


class BucketLimit:
    """The limits of one decider's bucket.

    The bucket holds at most ``capacity`` tokens and gains ``rate_per_ms``. Tokens may be used for
    ``valid_ms`` after they were handed out.
    """

    __slots__ = ("capacity", "rate_per_ms", "valid_ms")

    def __init__(self, *, capacity: float, rate_per_ms: float, valid_ms: float) -> None:
        self.capacity = capacity
        self.rate_per_ms = rate_per_ms
        self.valid_ms = valid_ms


def count_deciders_max(organisation: Organisation, bounds: QuotaBounds) -> int:
    """Return how many deciders may share the quota of an organisation, at least 1."""
    capacity = _get_capacity(organisation, bounds)
    return max(1, min(DECIDERS_MAX_COUNT, int(capacity / CAPACITY_MIN_TOKENS)))


def make_bucket_limit(
    organisation: Organisation, bounds: QuotaBounds, *, deciders: int
) -> BucketLimit:
    """Return the limits of one of ``deciders`` deciders of an organisation.

    The rate is lower than the organisation's if whole requests do not fit otherwise, because the
    margin or the burst is small.
    """
    rate_per_ms = organisation.rate_per_s / MS_PER_SECOND
    margin = bounds.get_margin(organisation)
    allowed = bounds.get_quota(organisation) + margin
    valid_ms = VALIDITY_MARGIN_SHARE * margin / rate_per_ms
    valid_ms = min(VALID_MAX_MS, max(VALID_MIN_MS, valid_ms))
    capacity = max(_get_capacity(organisation, bounds), math.floor(min(1.0, allowed)))
    rest = max(0.0, allowed - capacity)
    rate_per_ms = min(rate_per_ms, rest / (bounds.window_ms + valid_ms))
    return BucketLimit(
        capacity=capacity / deciders,
        rate_per_ms=rate_per_ms / deciders,
        valid_ms=valid_ms,
    )


def _get_capacity(organisation: Organisation, bounds: QuotaBounds) -> float:
    return organisation.burst + CAPACITY_MARGIN_SHARE * bounds.get_margin(organisation)
