"""Refuses requests that crash every upstream, on all instances that handle them."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from collections.abc import Sequence

from coltsfootrill.balancer.crash_suspects import Crash
from coltsfootrill.balancer.crash_suspects import CrashSuspects
from coltsfootrill.balancer.crash_suspects import Suspect
from coltsfootrill.clock import Clock

NEWS_MAX_COUNT = 1_000


class SuspectNews:
    """What happened to one request: upstreams crashed, or it ``is_answered``.

    ``age_ms`` is the time since the answer, or else the last of the crashes. ``variant`` is the
    variant that was answered, if ``digest`` is of the content. ``is_tried`` is whether the request
    has been sent once more since it is refused.
    """

    __slots__ = ("age_ms", "crashes", "digest", "is_answered", "is_tried", "variant")

    def __init__(
        self,
        digest: bytes,
        crashes: Sequence[Crash] = (),
        *,
        age_ms: float = 0.0,
        is_answered: bool = False,
        variant: bytes = b"",
        is_tried: bool = False,
    ) -> None:
        self.is_tried = is_tried
        self.variant = variant
        self.age_ms = age_ms
        self.digest = digest
        self.crashes = crashes
        self.is_answered = is_answered


class CrashGuard:
    """The requests during which upstreams crashed, here or on other instances. Thread-safe.

    ``take_news`` returns what this instance saw since the last call, for the other instances. Only
    the latest ``NEWS_MAX_COUNT`` are kept, since not every role has anyone to tell.
    ``on_refused`` is called with the lock held, once for each request that is refused from then on.
    """

    __slots__ = ("_clock", "_lock", "_news", "_on_refused", "_suspects")

    def __init__(
        self, clock: Clock, *, on_refused: Callable[[Suspect], None] = lambda suspect: None
    ) -> None:
        self._clock = clock
        self._on_refused = on_refused
        self._lock = threading.Lock()
        self._suspects = CrashSuspects()
        self._news: deque[SuspectNews] = deque(maxlen=NEWS_MAX_COUNT)

    @property
    def has_suspects(self) -> bool:
        """Return whether there are any, which saves the digest of most requests."""
        return bool(self._suspects.by_digest)

    def is_suspect(self, digest: bytes) -> bool:
        """Return whether any upstream crashed during the request."""
        with self._lock:
            return self._suspects.is_suspect(digest)

    def is_refused(self, digest: bytes) -> bool:
        """Return whether the request must not be sent to any upstream."""
        with self._lock:
            return self._suspects.is_refused(digest, self._clock.now_ms())

    def is_trial_due(self, digest: bytes) -> bool:
        """Return whether a refused request may be sent once, to show whether it is the cause."""
        with self._lock:
            return self._suspects.is_trial_due(digest, self._clock.now_ms())

    def begin_trial(self, digest: bytes) -> bool:
        """Return whether this instance is to send a refused request once, and tell the others."""
        with self._lock:
            now_ms = self._clock.now_ms()
            if not self._suspects.is_trial_due(digest, now_ms):
                return False
            suspect = self._suspects.by_digest[digest]
            suspect.is_tried = True
            self._news.append(_make_news(suspect, now_ms))
            return True

    def record_crash(
        self, digest: bytes, upstream_id: str, incarnation: int, *, variant: bytes = b""
    ) -> None:
        """Record that an upstream ended the connection of a request without an answer."""
        crash = Crash(upstream_id, incarnation, variant)
        with self._lock:
            self._news.append(SuspectNews(digest, [crash]))
            if self._suspects.record_crash(digest, crash, self._clock.now_ms()):
                self._on_refused(self._suspects.by_digest[digest])

    def record_answer(self, digest: bytes, *, variant: bytes = b"") -> None:
        """Record that an upstream answered the request."""
        with self._lock:
            if self._suspects.record_answer(digest, self._clock.now_ms(), variant=variant):
                self._news.append(SuspectNews(digest, is_answered=True, variant=variant))

    def merge(self, news: SuspectNews) -> None:
        """Apply what another instance saw."""
        with self._lock:
            now_ms = self._clock.now_ms()
            if news.is_answered:
                self._merge_answer(news, now_ms)
            elif self._suspects.merge(
                news.digest, news.crashes, now_ms, age_ms=news.age_ms, is_tried=news.is_tried
            ):
                self._on_refused(self._suspects.by_digest[news.digest])

    def take_news(self) -> list[SuspectNews]:
        """Return what this instance saw since the last call."""
        with self._lock:
            news = list(self._news)
            self._news.clear()
            return news

    def list_refused(self) -> list[SuspectNews]:
        """Return the requests that are refused, with their crashes."""
        with self._lock:
            now_ms = self._clock.now_ms()
            self._suspects.remove_expired(now_ms)
            return [_make_news(suspect, now_ms) for suspect in self._suspects.list_refused(now_ms)]

    def take_contested(self) -> list[SuspectNews]:
        """Return the answers of which another instance has not heard, as its reports show."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return [
                SuspectNews(
                    digest, age_ms=now_ms - answer.at_ms, is_answered=True, variant=answer.variant
                )
                for digest, answer in self._suspects.take_contested().items()
            ]

    def _merge_answer(self, news: SuspectNews, now_ms: float) -> None:
        at_ms = now_ms - news.age_ms
        suspect = self._suspects.by_digest.get(news.digest)
        if suspect is not None and not news.variant:
            # Instances of an earlier version do not tell which variant was answered.
            for crash in suspect.crash_by_key.values():
                self._suspects.record_answer(crash.variant, at_ms)
        self._suspects.record_answer(news.digest, at_ms, variant=news.variant)


def _make_news(suspect: Suspect, now_ms: float) -> SuspectNews:
    return SuspectNews(
        suspect.digest,
        list(suspect.crash_by_key.values()),
        age_ms=now_ms - suspect.last_ms,
        is_tried=suspect.is_tried,
    )
