"""The pattern: one request crashes each upstream that runs it, and others run there meanwhile."""

from __future__ import annotations

from random import Random

from coltsfootrill.balancer.crash_guard import NEWS_MAX_COUNT
from coltsfootrill.balancer.crash_guard import CrashGuard
from coltsfootrill.balancer.crash_guard import SuspectNews
from coltsfootrill.balancer.crash_suspects import ANSWERED_KEPT_MS
from coltsfootrill.balancer.crash_suspects import CRASHES_MAX_COUNT
from coltsfootrill.balancer.crash_suspects import KEPT_MS
from coltsfootrill.balancer.crash_suspects import SUSPECTS_MAX_COUNT
from coltsfootrill.balancer.crash_suspects import TRIAL_AFTER_MS
from coltsfootrill.balancer.crash_suspects import Crash
from coltsfootrill.balancer.crash_suspects import CrashSuspects
from coltsfootrill.clock import ManualClock

DEADLY = b"deadly"
NOW_MS = 1_000_000.0


def crash_upstreams(suspects: CrashSuspects, digest: bytes, count: int) -> list[bool]:
    return [suspects.record_crash(digest, Crash(f"u{n}", 1), NOW_MS) for n in range(count)]


def make_refusing_guard(clock: ManualClock) -> CrashGuard:
    guard = CrashGuard(clock)
    for number in range(CRASHES_MAX_COUNT):
        guard.record_crash(DEADLY, f"u{number}", 1)
    return guard


class TestRefusal:
    def test_a_request_is_refused_after_three_crashes(self) -> None:
        suspects = CrashSuspects()
        assert crash_upstreams(suspects, DEADLY, CRASHES_MAX_COUNT) == [False, False, True]
        assert suspects.is_refused(DEADLY, NOW_MS)

    def test_one_crash_that_several_instances_report_counts_once(self) -> None:
        suspects = CrashSuspects()
        for _ in range(10):
            suspects.record_crash(DEADLY, Crash("u1", 1), NOW_MS)
            suspects.merge(DEADLY, [Crash("u1", 1)], NOW_MS)
        assert not suspects.is_refused(DEADLY, NOW_MS)

    def test_an_upstream_that_crashes_after_each_start_counts_each_time(self) -> None:
        suspects = CrashSuspects()
        for incarnation in range(CRASHES_MAX_COUNT):
            suspects.record_crash(DEADLY, Crash("u1", incarnation), NOW_MS)
        assert suspects.is_refused(DEADLY, NOW_MS)

    def test_crashes_that_instances_saw_apart_add_up(self) -> None:
        suspects = CrashSuspects()
        suspects.record_crash(DEADLY, Crash("u1", 1), NOW_MS)
        assert not suspects.merge(DEADLY, [Crash("u2", 1)], NOW_MS)
        assert suspects.merge(DEADLY, [Crash("u3", 1)], NOW_MS)

    def test_a_request_is_given_another_chance_after_some_minutes(self) -> None:
        suspects = CrashSuspects()
        crash_upstreams(suspects, DEADLY, CRASHES_MAX_COUNT)
        assert suspects.is_refused(DEADLY, NOW_MS + KEPT_MS - 1)
        assert not suspects.is_refused(DEADLY, NOW_MS + KEPT_MS)
        suspects.record_crash(b"other", Crash("u1", 1), NOW_MS + KEPT_MS)
        assert not suspects.is_suspect(DEADLY)


class TestTrial:
    """The pattern: three upstreams crashed during a harmless request, for another reason."""

    # Guards against a harmless request refused for ten minutes, since another crashed upstreams.
    def test_a_refused_request_is_tried_once_after_a_minute(self) -> None:
        clock = ManualClock(NOW_MS)
        guard = make_refusing_guard(clock)
        clock.advance(TRIAL_AFTER_MS - 1)
        assert not guard.begin_trial(DEADLY)
        clock.advance(1)
        assert guard.is_trial_due(DEADLY)
        assert guard.begin_trial(DEADLY)
        guard.record_answer(DEADLY)
        assert not guard.is_refused(DEADLY)

    def test_one_that_crashes_another_upstream_then_stays_refused(self) -> None:
        clock = ManualClock(NOW_MS)
        guard = make_refusing_guard(clock)
        clock.advance(TRIAL_AFTER_MS)
        assert guard.begin_trial(DEADLY)
        guard.record_crash(DEADLY, "u9", 1)
        clock.advance(KEPT_MS - TRIAL_AFTER_MS - 1)
        assert guard.is_refused(DEADLY)
        assert not guard.begin_trial(DEADLY)

    def test_an_instance_that_heard_of_a_trial_makes_none(self) -> None:
        clock = ManualClock(NOW_MS)
        first = make_refusing_guard(clock)
        second = make_refusing_guard(clock)
        late = CrashGuard(clock)
        first.take_news()
        clock.advance(TRIAL_AFTER_MS)
        assert first.begin_trial(DEADLY)
        for news in first.take_news():
            second.merge(news)
            late.merge(news)
        assert not second.begin_trial(DEADLY)
        assert late.is_refused(DEADLY)
        assert not late.begin_trial(DEADLY)


class TestVariants:
    """The digest is of a content that callers send with different headers."""

    def test_crashes_of_one_variant_do_not_count_against_the_others(self) -> None:
        suspects = CrashSuspects()
        for number in range(10 * CRASHES_MAX_COUNT):
            suspects.record_crash(DEADLY, Crash(f"u{number}", 1, b"one"), NOW_MS)
        assert not suspects.is_refused(DEADLY, NOW_MS)
        assert len(suspects.by_digest[DEADLY].crash_by_key) == CRASHES_MAX_COUNT

    def test_a_content_that_crashes_upstreams_in_several_variants_is_refused(self) -> None:
        suspects = CrashSuspects()
        for number in range(CRASHES_MAX_COUNT):
            suspects.record_crash(DEADLY, Crash(f"u{number}", 1, b"one"), NOW_MS)
        assert suspects.record_crash(DEADLY, Crash("u9", 1, b"two"), NOW_MS)
        assert suspects.is_refused(DEADLY, NOW_MS)

    def test_an_answer_that_an_earlier_version_reports_clears_the_variants(self) -> None:
        guard = CrashGuard(ManualClock(NOW_MS))
        for number in range(CRASHES_MAX_COUNT):
            guard.record_crash(b"variant", f"u{number}", 1)
            guard.record_crash(DEADLY, f"u{number}", 1, variant=b"variant")
        guard.merge(SuspectNews(DEADLY, is_answered=True, variant=b"other"))
        assert guard.is_refused(b"variant")
        guard.record_crash(DEADLY, "u0", 1, variant=b"variant")
        guard.merge(SuspectNews(DEADLY, is_answered=True))
        assert not guard.is_refused(b"variant")


class TestAnswer:
    def test_a_request_that_is_answered_was_not_the_cause(self) -> None:
        suspects = CrashSuspects()
        crash_upstreams(suspects, DEADLY, CRASHES_MAX_COUNT - 1)
        assert suspects.record_answer(DEADLY, NOW_MS)
        crash_upstreams(suspects, DEADLY, CRASHES_MAX_COUNT - 1)
        assert not suspects.is_refused(DEADLY, NOW_MS)

    def test_a_late_report_does_not_count_after_an_answer(self) -> None:
        suspects = CrashSuspects()
        crash_upstreams(suspects, DEADLY, 1)
        suspects.record_answer(DEADLY, NOW_MS)
        late = [Crash(f"u{n}", 1) for n in range(CRASHES_MAX_COUNT)]
        assert not suspects.merge(DEADLY, late, NOW_MS + ANSWERED_KEPT_MS - 1)
        assert suspects.merge(DEADLY, late, NOW_MS + ANSWERED_KEPT_MS)

    def test_an_old_report_does_not_count_however_late_it_comes(self) -> None:
        suspects = CrashSuspects()
        crash_upstreams(suspects, DEADLY, CRASHES_MAX_COUNT)
        suspects.record_answer(DEADLY, NOW_MS)
        late_ms = NOW_MS + 10 * ANSWERED_KEPT_MS
        crashes = [Crash(f"u{n}", 1) for n in range(CRASHES_MAX_COUNT)]
        assert not suspects.merge(DEADLY, crashes, late_ms, age_ms=late_ms - NOW_MS)
        assert suspects.merge(DEADLY, crashes, late_ms, age_ms=0)

    def test_an_answer_does_not_clear_a_later_crash(self) -> None:
        clock = ManualClock(NOW_MS)
        guard = make_refusing_guard(clock)
        guard.merge(SuspectNews(DEADLY, age_ms=ANSWERED_KEPT_MS, is_answered=True))
        assert guard.is_refused(DEADLY)
        guard.merge(SuspectNews(DEADLY, age_ms=ANSWERED_KEPT_MS - 1, is_answered=True))
        assert not guard.is_refused(DEADLY)

    def test_bystanders_are_hardly_ever_refused(self) -> None:
        random = Random(1)
        upstreams_count, slots, bystanders_count, rounds_count = 14, 3, 400, 20
        suspects = CrashSuspects()
        bystanders = [f"b{n}".encode() for n in range(bystanders_count)]
        for round_number in range(rounds_count):
            crashed = Crash(f"u{random.randrange(upstreams_count)}", round_number)
            lost = random.sample(bystanders, slots - 1)
            for digest in lost:
                suspects.record_crash(digest, crashed, NOW_MS)
            # The others are answered, and so are nearly all of the lost ones, elsewhere.
            for digest in bystanders:
                if digest not in lost or random.random() > 1 / upstreams_count:
                    suspects.record_answer(digest, NOW_MS)
        assert suspects.list_refused(NOW_MS) == []


class TestBounds:
    def test_the_oldest_suspects_are_dropped_beyond_a_number(self) -> None:
        suspects = CrashSuspects()
        for number in range(SUSPECTS_MAX_COUNT + 10):
            suspects.record_crash(b"%d" % number, Crash("u1", 1), NOW_MS)
        assert len(suspects.by_digest) == SUSPECTS_MAX_COUNT
        assert not suspects.is_suspect(b"0")

    def test_news_that_nobody_takes_are_bounded(self) -> None:
        guard = CrashGuard(ManualClock(NOW_MS))
        for number in range(NEWS_MAX_COUNT + 10):
            guard.record_crash(b"%d" % number, "u1", 1)
        assert len(guard.take_news()) == NEWS_MAX_COUNT
        assert guard.take_news() == []

    def test_a_refused_request_keeps_no_more_crashes(self) -> None:
        suspects = CrashSuspects()
        suspects.merge(DEADLY, [Crash(f"u{n}", 1) for n in range(1_000)], NOW_MS)
        assert len(suspects.by_digest[DEADLY].crash_by_key) == CRASHES_MAX_COUNT
