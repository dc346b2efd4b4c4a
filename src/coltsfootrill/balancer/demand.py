"""Demand on one service: which organisations ask for more than usual, and who is starved.

Nothing here reads a clock; the caller passes the time. Counts decay, so that no window has to be
stored, and are bounded in number.
"""

from __future__ import annotations

from coltsfootrill.manifest.model import Kind

# A burst shows within a second, and what is usual changes over many.
RECENT_HALF_LIFE_MS = 1_000.0
USUAL_HALF_LIFE_MS = 15_000.0
# Up to this multiple of its usual demand, an organisation is served like any other.
USUAL_FACTOR = 2.0
# Single requests of a small organisation are no burst.
BURST_MIN_COUNT = 4.0
SERVED_HALF_LIFE_MS = 3_000.0
# Nobody is to be served less than a quarter as often as all, so whoever comes close goes first.
STARVED_SHARE = 0.3
# Fewer requests tell nothing about how often somebody is served.
STARVED_MIN_COUNT = 4.0
ENTRIES_MAX_COUNT = 1_000


class DecayingCount:
    """A count that halves every ``half_life_ms``."""

    __slots__ = ("_at_ms", "_half_life_ms", "_value")

    def __init__(self, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._value = 0.0
        self._at_ms = 0.0

    def add(self, now_ms: float) -> None:
        """Count one more."""
        self._value = self.get(now_ms) + 1.0
        self._at_ms = now_ms

    def get(self, now_ms: float) -> float:
        """Return the count at ``now_ms``."""
        elapsed_ms = max(0.0, now_ms - self._at_ms)
        return self._value * float(0.5 ** (elapsed_ms / self._half_life_ms))


class _Service:
    """How often somebody asked, and was served."""

    __slots__ = ("asked", "served")

    def __init__(self) -> None:
        self.asked = DecayingCount(SERVED_HALF_LIFE_MS)
        self.served = DecayingCount(SERVED_HALF_LIFE_MS)

    def get_share(self, now_ms: float) -> float:
        """Return the share of the requests that were served."""
        return self.served.get(now_ms) / max(self.asked.get(now_ms), 1.0)


class _Use:
    """The demand of one organisation, at present and usually."""

    __slots__ = ("recent", "usual")

    def __init__(self) -> None:
        self.recent = DecayingCount(RECENT_HALF_LIFE_MS)
        self.usual = DecayingCount(USUAL_HALF_LIFE_MS)


class ServiceDemand:
    """The demand on one service, by organisation and by kind of request.

    Callers without an organisation have the name "", and are judged by the kind only.
    """

    __slots__ = ("_all", "_service_by_kind", "_service_by_organisation", "_use_by_organisation")

    def __init__(self) -> None:
        self._all = _Service()
        self._service_by_kind: dict[str, _Service] = {}
        self._service_by_organisation: dict[str, _Service] = {}
        self._use_by_organisation: dict[str, _Use] = {}

    def record_asked(self, organisation: str, kind: Kind, now_ms: float) -> None:
        """Record an attempt that needs an upstream."""
        self._prune(now_ms)
        for service in self._list_services(organisation, kind):
            service.asked.add(now_ms)
        if organisation:
            use = self._use_by_organisation.setdefault(organisation, _Use())
            use.recent.add(now_ms)
            use.usual.add(now_ms)

    def record_served(self, organisation: str, kind: Kind, now_ms: float) -> None:
        """Record an attempt that got an upstream."""
        for service in self._list_services(organisation, kind):
            service.served.add(now_ms)

    def is_above_usual(self, organisation: str, now_ms: float) -> bool:
        """Return whether an organisation asks for far more than it usually does."""
        use = self._use_by_organisation.get(organisation)
        if use is None:
            return False
        usual_count = use.usual.get(now_ms) * RECENT_HALF_LIFE_MS / USUAL_HALF_LIFE_MS
        return use.recent.get(now_ms) > USUAL_FACTOR * usual_count + BURST_MIN_COUNT

    def is_starved(self, organisation: str, kind: Kind, now_ms: float) -> bool:
        """Return whether the kind or the organisation is served far less often than all.

        An organisation that asks for more than usual is not: its own excess is turned away.
        """
        enough = STARVED_SHARE * self._all.get_share(now_ms)
        if _is_below(self._service_by_kind.get(kind.id), enough, now_ms):
            return True
        if not organisation or self.is_above_usual(organisation, now_ms):
            return False
        return _is_below(self._service_by_organisation.get(organisation), enough, now_ms)

    def _list_services(self, organisation: str, kind: Kind) -> list[_Service]:
        services = [self._all, self._service_by_kind.setdefault(kind.id, _Service())]
        if organisation:
            services.append(self._service_by_organisation.setdefault(organisation, _Service()))
        return services

    def _prune(self, now_ms: float) -> None:
        """Forget those that have asked for nothing lately, once there are many."""
        if len(self._use_by_organisation) > ENTRIES_MAX_COUNT:
            for name in list(self._use_by_organisation):
                if self._use_by_organisation[name].usual.get(now_ms) < 1.0:
                    del self._use_by_organisation[name]
                    self._service_by_organisation.pop(name, None)
        if len(self._service_by_kind) > ENTRIES_MAX_COUNT:
            for kind_id in list(self._service_by_kind):
                if self._service_by_kind[kind_id].asked.get(now_ms) < 1.0:
                    del self._service_by_kind[kind_id]


def _is_below(service: _Service | None, enough: float, now_ms: float) -> bool:
    if service is None or service.asked.get(now_ms) < STARVED_MIN_COUNT:
        return False
    return service.get_share(now_ms) < enough
