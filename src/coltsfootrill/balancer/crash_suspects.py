"""Requests during which upstreams crashed, and the refusal of those that crash every upstream.

A request may crash each upstream that begins to run it. Callers and retries then send it from
upstream to upstream. Which of the requests in progress was the cause shows only when one of them
crashes other upstreams too, while the rest are answered at their next attempt.

Two digests identify a request. One is of its content, which stays the same each time it returns.
The other, its variant, is of all its headers too, by which upstreams can tell callers apart. A
request is refused by its variant, so that the answers to another caller do not clear it, and its
crashes do not count against another caller. It is refused by its content only if that crashed
upstreams in more than one variant: then its headers change each time, or more callers send it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

# A request is refused once this many upstreams have crashed during it and none has answered it.
CRASHES_MAX_COUNT = 3
KEPT_MS = 600_000.0
# A refused request is tried once more after this time, since other requests may have caused it all.
TRIAL_AFTER_MS = 60_000.0
# A crash that another instance reports late does not count against a request answered since.
ANSWERED_KEPT_MS = 10_000.0
SUSPECTS_MAX_COUNT = 10_000


class Crash:
    """One start of an upstream that ended while it was to answer a request.

    ``variant`` is the variant of the request, empty if it is unknown or is the digest itself.
    """

    __slots__ = ("incarnation", "upstream_id", "variant")

    def __init__(self, upstream_id: str, incarnation: int, variant: bytes = b"") -> None:
        self.upstream_id = upstream_id
        self.incarnation = incarnation
        self.variant = variant


class Suspect:
    """The crashes during one request. ``digest`` is of its content or its variant.

    ``crash_by_key`` holds them by upstream and incarnation, ``last_ms`` is when the last one was
    recorded. ``is_tried`` is whether any instance has sent it since it is refused.
    """

    __slots__ = ("crash_by_key", "digest", "is_tried", "last_ms")

    def __init__(self, digest: bytes, now_ms: float) -> None:
        self.digest = digest
        self.crash_by_key: dict[tuple[str, int], Crash] = {}
        self.last_ms = now_ms
        self.is_tried = False

    @property
    def is_refused(self) -> bool:
        """Return whether so many upstreams crashed that the request must be the cause."""
        if len(self.crash_by_key) < CRASHES_MAX_COUNT:
            return False
        variants = {crash.variant for crash in self.crash_by_key.values()}
        return len(variants) > 1 or b"" in variants

    def add(self, crash: Crash) -> None:
        """Add a crash, unless it is known or no longer changes anything."""
        is_enough = len(self.crash_by_key) >= CRASHES_MAX_COUNT
        variants = {known.variant for known in self.crash_by_key.values()}
        if self.is_refused or (is_enough and crash.variant in variants):
            return
        self.crash_by_key.setdefault((crash.upstream_id, crash.incarnation), crash)


class SuspectAnswer:
    """An answer at ``at_ms`` to a suspect, with the ``variant`` that was answered if it is known.

    It ``is_contested`` if an instance that has not heard of it reports crashes before it.
    """

    __slots__ = ("at_ms", "is_contested", "variant")

    def __init__(self, at_ms: float, variant: bytes) -> None:
        self.at_ms = at_ms
        self.variant = variant
        self.is_contested = False


class CrashSuspects:
    """Suspects by digest, the latest recorded last. Not thread-safe: the owner holds a lock.

    Crashes of the last ``KEPT_MS`` count. An answer to the request shows that it was not the cause.
    """

    __slots__ = ("_answer_by_digest", "by_digest")

    def __init__(self) -> None:
        self.by_digest: OrderedDict[bytes, Suspect] = OrderedDict()
        self._answer_by_digest: OrderedDict[bytes, SuspectAnswer] = OrderedDict()

    def record_crash(self, digest: bytes, crash: Crash, now_ms: float) -> bool:
        """Record a crash seen by this instance; return whether the request is refused from now."""
        self._answer_by_digest.pop(digest, None)
        return self._add(digest, [crash], now_ms)

    def merge(
        self,
        digest: bytes,
        crashes: Iterable[Crash],
        now_ms: float,
        *,
        age_ms: float = 0.0,
        is_tried: bool = False,
    ) -> bool:
        """Record crashes that another instance reports; return as ``record_crash`` does.

        The last of them was ``age_ms`` ago, so that reports do not prolong a refusal. ``is_tried``
        is whether an instance has tried the request since.
        """
        if age_ms >= KEPT_MS:
            return False
        answer = self._answer_by_digest.get(digest)
        if answer is not None and now_ms - age_ms - answer.at_ms < ANSWERED_KEPT_MS:
            answer.is_contested = True
            return False
        is_refused_now = self._add(digest, crashes, now_ms - age_ms)
        if is_tried and digest in self.by_digest:
            self.by_digest[digest].is_tried = True
        return is_refused_now

    def record_answer(self, digest: bytes, at_ms: float, *, variant: bytes = b"") -> bool:
        """Record an answer to a request; return whether it cleared a suspect."""
        suspect = self.by_digest.get(digest)
        if suspect is None or suspect.last_ms - at_ms >= ANSWERED_KEPT_MS:
            return False
        del self.by_digest[digest]
        self._answer_by_digest[digest] = SuspectAnswer(at_ms, variant)
        while len(self._answer_by_digest) > SUSPECTS_MAX_COUNT:
            self._answer_by_digest.popitem(last=False)
        return True

    def take_contested(self) -> dict[bytes, SuspectAnswer]:
        """Return the answers, by digest, of which some instance has not heard, until the next."""
        contested = {
            digest: answer
            for digest, answer in self._answer_by_digest.items()
            if answer.is_contested
        }
        for answer in contested.values():
            answer.is_contested = False
        return contested

    def is_suspect(self, digest: bytes) -> bool:
        """Return whether any upstream crashed during the request."""
        return digest in self.by_digest

    def is_refused(self, digest: bytes, now_ms: float) -> bool:
        """Return whether the request must not be sent to any upstream."""
        suspect = self.by_digest.get(digest)
        return suspect is not None and suspect.is_refused and now_ms - suspect.last_ms < KEPT_MS

    def is_trial_due(self, digest: bytes, now_ms: float) -> bool:
        """Return whether a refused request may be sent once, to show whether it is the cause."""
        suspect = self.by_digest.get(digest)
        if suspect is None or suspect.is_tried:
            return False
        return now_ms - suspect.last_ms >= TRIAL_AFTER_MS

    def list_refused(self, now_ms: float) -> list[Suspect]:
        """Return the requests that are refused."""
        return [
            suspect
            for suspect in self.by_digest.values()
            if self.is_refused(suspect.digest, now_ms)
        ]

    def remove_expired(self, now_ms: float) -> None:
        """Drop suspects whose last crash is older than ``KEPT_MS``."""
        while self.by_digest:
            oldest = next(iter(self.by_digest.values()))
            if now_ms - oldest.last_ms < KEPT_MS:
                return
            del self.by_digest[oldest.digest]

    def _add(self, digest: bytes, crashes: Iterable[Crash], at_ms: float) -> bool:
        self.remove_expired(at_ms)
        suspect = self.by_digest.setdefault(digest, Suspect(digest, at_ms))
        was_refused = suspect.is_refused
        known_count = len(suspect.crash_by_key)
        for crash in crashes:
            suspect.add(crash)
        if len(suspect.crash_by_key) > known_count:
            suspect.last_ms = max(suspect.last_ms, at_ms)
            self.by_digest.move_to_end(digest)
        while len(self.by_digest) > SUSPECTS_MAX_COUNT:
            self.by_digest.popitem(last=False)
        return suspect.is_refused and not was_refused
