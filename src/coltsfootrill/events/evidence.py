"""Describes the evidence of a logged request: its attempts, and the source of its manifest."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence

from coltsfootrill.events.catalog import Attempt
from coltsfootrill.events.catalog import ManifestSource

# Only these results show that an upstream did not run the request.
_EVIDENCE_BY_RESULT = {
    "misdirected": "the status says so",
    "shed": "the not-run header says so",
    "refused": "no connection, nothing was sent",
}


def has_evidence(attempts: Sequence[Attempt]) -> bool:
    """Return whether every attempt ended with evidence that the request was not run."""
    return all(attempt.result in _EVIDENCE_BY_RESULT for attempt in attempts)


def describe_evidence(attempts: Sequence[Attempt]) -> str:
    """Return for each attempt the evidence that its upstream did not run the request."""
    parts = [
        f"attempt {number} at {attempt.upstream}: "
        + _EVIDENCE_BY_RESULT.get(attempt.result, f"none, it ended with {attempt.result}")
        for number, attempt in enumerate(attempts, start=1)
    ]
    return "; ".join(parts)


def describe_source(source: ManifestSource) -> str:
    """Return since when a manifest had been in force, and what each hub reported last."""
    replies = "; ".join(
        f"{reply.hub} reported {reply.version} {reply.age_ms:g} ms before"
        + ("" if reply.is_current else ", not confirmed by a majority")
        for reply in source.replies
    )
    return f"It had been in force for {source.age_ms:g} ms. {replies or 'No hub replied any more'}."


def describe_doubts(attempts: Sequence[Attempt]) -> str:
    """Return what suggests that an answer was taken for that of another attempt or request."""
    return " ".join([*_list_shared(attempts), *_list_unsolicited(attempts)])


def _list_shared(attempts: Sequence[Attempt]) -> Iterator[str]:
    numbers_by_connection: dict[int, list[int]] = {}
    for number, attempt in enumerate(attempts, start=1):
        if attempt.connection:
            numbers_by_connection.setdefault(attempt.connection, []).append(number)
    for connection, numbers in numbers_by_connection.items():
        if len(numbers) > 1:
            listed = " and ".join(map(str, numbers))
            yield (
                f"Attempts {listed} went over connection {connection}, so the answer to one may "
                "have been taken for the answer to another."
            )


def _list_unsolicited(attempts: Sequence[Attempt]) -> Iterator[str]:
    for number, attempt in enumerate(attempts, start=1):
        where = f"on connection {attempt.connection} to {attempt.upstream} (attempt {number})"
        if attempt.skipped:
            yield f"Answers that do not name the request, {attempt.skipped}, were skipped {where}."
        if attempt.surplus:
            yield f"Bytes behind the complete answer arrived {where}."
