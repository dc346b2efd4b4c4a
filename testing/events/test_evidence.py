from __future__ import annotations

from coltsfootrill.events.catalog import Attempt
from coltsfootrill.events.catalog import HubReply
from coltsfootrill.events.catalog import ManifestSource
from coltsfootrill.events.evidence import describe_doubts
from coltsfootrill.events.evidence import describe_evidence
from coltsfootrill.events.evidence import describe_source
from coltsfootrill.events.evidence import has_evidence


def _attempt(upstream: str, result: str, **changes: int) -> Attempt:
    fields = {"upstream": upstream, "after_ms": 0, "took_ms": 1, "result": result}
    return Attempt(**(fields | changes))


class TestEvidence:
    def test_each_attempt_is_listed_with_its_evidence(self) -> None:
        attempts = [
            _attempt("u1", "misdirected"),
            _attempt("u2", "shed"),
            _attempt("u3", "refused"),
        ]
        assert has_evidence(attempts)
        assert describe_evidence(attempts) == (
            "attempt 1 at u1: the status says so; attempt 2 at u2: the not-run header says so; "
            "attempt 3 at u3: no connection, nothing was sent"
        )

    def test_an_attempt_that_ended_otherwise_has_none(self) -> None:
        for result in ("lost", "server-error", "not-genuine", "cancelled", "answered"):
            attempts = [_attempt("u1", result), _attempt("u2", "shed")]
            assert not has_evidence(attempts)
            assert f"attempt 1 at u1: none, it ended with {result}" in describe_evidence(attempts)


class TestDoubts:
    def test_attempts_over_separate_connections_leave_none(self) -> None:
        attempts = [_attempt("u1", "shed", connection=7), _attempt("u2", "shed", connection=8)]
        assert describe_doubts(attempts) == ""

    def test_attempts_that_were_not_sent_share_no_connection(self) -> None:
        assert describe_doubts([_attempt("u1", "refused"), _attempt("u2", "refused")]) == ""

    def test_a_shared_connection_is_named_with_its_attempts(self) -> None:
        attempts = [
            _attempt("u1", "shed", connection=7),
            _attempt("u2", "refused"),
            _attempt("u3", "shed", connection=7, earlier_requests=1),
        ]
        assert "Attempts 1 and 3 went over connection 7" in describe_doubts(attempts)

    def test_skipped_answers_and_surplus_bytes_are_named_with_their_connection(self) -> None:
        attempts = [
            _attempt("u1", "shed", connection=7, surplus=True),
            _attempt("u2", "shed", connection=8, skipped=2),
        ]
        doubts = describe_doubts(attempts)
        assert "behind the complete answer arrived on connection 7 to u1 (attempt 1)" in doubts
        assert "request, 2, were skipped on connection 8 to u2 (attempt 2)" in doubts


class TestSource:
    def test_each_hub_is_listed_with_what_it_reported_last(self) -> None:
        replies = [
            HubReply(hub="h1", age_ms=12.5, version=8, is_current=True),
            HubReply(hub="h2", age_ms=900.0, version=7, is_current=False),
        ]
        assert describe_source(ManifestSource(age_ms=4_000.0, replies=replies)) == (
            "It had been in force for 4000 ms. h1 reported 8 12.5 ms before; "
            "h2 reported 7 900 ms before, not confirmed by a majority."
        )

    def test_silence_of_all_hubs_is_told(self) -> None:
        text = describe_source(ManifestSource(age_ms=1.0, replies=[]))
        assert text.endswith("No hub replied any more.")
