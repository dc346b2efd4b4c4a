"""Parses the answers of upstreams with httptools and checks that they are complete."""

from __future__ import annotations

import re
from collections.abc import Callable
from http import HTTPStatus

import httptools

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.proxy.block_buffer import BlockBuffer
from coltsfootrill.proxy.outcome import Header
from coltsfootrill.proxy.receive_budget import INCOMPLETE_MAX_BYTES
from coltsfootrill.proxy.receive_budget import ReceiveBudget
from coltsfootrill.proxy.unsolicited import CountByCause
from coltsfootrill.proxy.unsolicited import UnsolicitedCause
from coltsfootrill.proxy.unsolicited import count_skipped

# HTTP defines five classes of statuses.
STATUS_MAX = 599
ANSWER_MAX_BYTES = 8 * 1024 * 1024
HEAD_MAX_BYTES = 64 * 1024
# Includes the framing of chunks, trailers, and late answers to earlier requests that are skipped.
RECEIVED_MAX_BYTES = 2 * ANSWER_MAX_BYTES
# An upstream sends few answers to earlier requests; one that keeps sending them is in trouble.
SKIPPED_ANSWERS_MAX_COUNT = 16
_KEEP_ALIVE_TIMEOUT = "timeout="
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


class ConnectionLayerError(ColtsfootrillError):
    """An error on a connection between this instance and an upstream."""


class ReadError(ConnectionLayerError):
    """No complete, well-formed answer arrived before the deadline."""


class EndedWithoutAnswerError(ReadError):
    """The upstream ended the connection before any byte of an answer, as when it crashes."""


class UpstreamAnswer:
    """A complete answer of an upstream; header names are as the upstream sent them."""

    __slots__ = ("_by_lower_name", "body", "headers", "reason", "status")

    def __init__(self, *, status: int, reason: str, headers: list[Header], body: bytes) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body
        self._by_lower_name: dict[str, str] = {}
        for name, value in headers:
            self._by_lower_name.setdefault(name.lower(), value)

    def get_header(self, name: str) -> str | None:
        """Return the first value of a header, ``None`` when it is absent."""
        return self._by_lower_name.get(name.lower())

    def get_values(self, name: str) -> list[str]:
        """Return all values of a header, in order."""
        lower = name.lower()
        return [value for key, value in self.headers if key.lower() == lower]


class AnswerEcho:
    """The answer header that echoes the request's id, and the expected id; both may be empty."""

    __slots__ = ("header", "value")

    def __init__(self, header: str = "", value: str = "") -> None:
        self.header = header
        self.value = value

    def matches(self, answer: UpstreamAnswer, *, is_first: bool) -> bool:
        """Return whether the answer belongs to the request.

        An answer without an id is accepted only as the first one on its connection: a later one
        could belong to another request.
        """
        if not self.header or not self.value:
            return True
        stated = answer.get_values(self.header)
        return set(stated) == {self.value} if stated else is_first

    def get_skip_cause(self, answer: UpstreamAnswer) -> UnsolicitedCause:
        """Return why an answer that does not match is skipped."""
        return "nameless" if answer.get_header(self.header) is None else "other-request"


NO_ECHO = AnswerEcho()


class _MessageCollector:
    """Collects the answers on a connection; ``httptools`` calls the ``on_`` methods."""

    __slots__ = (
        "_body",
        "_get_status",
        "_headers",
        "_is_head_request",
        "_reason",
        "has_chunks",
        "has_head",
        "head_bytes",
        "is_last",
        "keep_alive_ms",
        "lengths",
        "messages",
        "status",
    )

    def __init__(self, get_status: Callable[[], int], *, is_head_request: bool) -> None:
        self._get_status = get_status
        self._is_head_request = is_head_request
        self.messages: list[UpstreamAnswer] = []
        self.is_last = False
        self.keep_alive_ms: float | None = None
        self.on_message_begin()

    def clear(self) -> None:
        """Drop the answers and what has been received of the next one."""
        self.messages.clear()
        self.on_message_begin()

    def on_message_begin(self) -> None:
        """Reset the state for the next answer."""
        self._reason = b""
        self._headers: list[Header] = []
        self._body = BlockBuffer()
        self.lengths: set[str] = set()
        self.has_chunks = False
        self.has_head = False
        self.head_bytes = 0
        self.status = 0

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase, which may arrive in several pieces."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header and the framing that it states; raise ``ReadError`` if it is invalid."""
        if self.has_head:
            # A trailer states nothing about the request; see RFC 9110, section 6.5.1.
            return
        if b"\n" in value or b"\r" in value:
            raise ReadError(
                "a header of the answer is folded over several lines, which is not accepted"
            )
        _check_no_status_line(value)
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > HEAD_MAX_BYTES:
            raise ReadError(f"the head of the answer exceeds {HEAD_MAX_BYTES} bytes")
        key = name.decode("latin-1")
        text = value.decode("latin-1")
        lower = key.lower()
        if lower == "content-length":
            self.lengths.add(text)
        elif lower == "connection":
            self.is_last = self.is_last or "close" in text.lower()
        elif lower == "keep-alive":
            self.keep_alive_ms = _parse_keep_alive_ms(text)
        elif lower == "transfer-encoding":
            if self.has_chunks or text.strip().lower() != "chunked":
                raise ReadError(f"transfer coding {text!r} of the answer; only chunked is accepted")
            self.has_chunks = True
        self._headers.append((key, text))

    def on_headers_complete(self) -> None:
        """Check the status and that the length of the body is unambiguous."""
        self.has_head = True
        _check_no_status_line(self._reason)
        self.status = self._get_status()
        if not HTTPStatus.OK <= self.status <= STATUS_MAX:
            raise ReadError(
                f"status {self.status}; only final answers, 200 to {STATUS_MAX}, are accepted"
            )
        if len(self.lengths) > 1 or (self.lengths and self.has_chunks):
            raise ReadError(
                "the answer states more than one length, or a length and chunked encoding"
            )
        if self._is_head_request:
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Store part of the body; raise ``ReadError`` if it grows too large."""
        self._body.append(data)
        if len(self._body) > ANSWER_MAX_BYTES:
            raise ReadError(f"the body of the answer exceeds {ANSWER_MAX_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Finish an answer whose length or last chunk marks its end."""
        if not self._is_head_request:
            self._finish()

    def finish_at_end_of_stream(self) -> bool:
        """Finish an answer that the end of the stream delimits; return whether it is complete."""
        if not self.has_head or self.lengths or self.has_chunks:
            return False
        self.is_last = True
        self._finish()
        return True

    @property
    def is_between_messages(self) -> bool:
        """Return whether the last byte read was the end of an answer."""
        return not self.has_head and not self.head_bytes and not self._reason

    def _finish(self) -> None:
        self.messages.append(
            UpstreamAnswer(
                status=self.status,
                reason=self._reason.decode("latin-1"),
                headers=self._headers,
                body=self._body.to_bytes(),
            )
        )
        self.on_message_begin()


class AnswerReader:
    """Parses bytes of a connection until the answer to a request is complete.

    Answers that belong to another request are skipped. ``has_surplus`` is then true, and the
    connection must not be reused; ``unsolicited_by_cause`` counts them. The parser passes on a
    header only once it is complete, and chunk extensions never, so the received bytes are bounded
    here as well.
    """

    __slots__ = (
        "_budget",
        "_bytes_without_head",
        "_collector",
        "_echo",
        "_is_fresh",
        "_is_head_request",
        "_parser",
        "_received_bytes",
        "has_surplus",
        "unsolicited_by_cause",
    )

    def __init__(
        self,
        method: str,
        echo: AnswerEcho,
        *,
        is_fresh: bool,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._budget = budget or ReceiveBudget()
        self._echo = echo
        self._is_fresh = is_fresh
        self._is_head_request = method == "HEAD"
        self._collector = _MessageCollector(self._get_status, is_head_request=self._is_head_request)
        self._parser = httptools.HttpResponseParser(self._collector)
        self._received_bytes = 0
        self._bytes_without_head = 0
        self.has_surplus = False
        self.unsolicited_by_cause: CountByCause = {}

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        # The parser expects a body even after the answer to HEAD, so HEAD ends a connection.
        return (
            not self.has_surplus
            and not self._collector.is_last
            and not self._is_head_request
            and self._parser.get_http_version() == "1.1"
        )

    @property
    def keep_alive_ms(self) -> float | None:
        """Return how long the upstream keeps an idle connection open, ``None`` if not stated."""
        return self._collector.keep_alive_ms

    @property
    def has_received(self) -> bool:
        """Return whether any byte has arrived since the request was sent."""
        return self._received_bytes > 0

    def feed(self, data: bytes) -> UpstreamAnswer | None:
        """Parse bytes; return the answer once it is complete. Raises ``ReadError``."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            answer = self._take_matching()
            if answer is None:
                raise ReadError(
                    f"the answer is not valid HTTP: {error.__context__ or error}"
                ) from error
            self._record_surplus()
            return answer
        skipped_count = len(self._collector.messages)
        answer = self._take_matching()
        if answer is None:
            self._check_progress(len(data), skipped_count)
        return answer

    def _check_progress(self, received_bytes: int, skipped_count: int) -> None:
        """Count what arrived without completing the answer; raise ``ReadError`` beyond a limit."""
        total_count = count_skipped(self.unsolicited_by_cause)
        if total_count > SKIPPED_ANSWERS_MAX_COUNT:
            raise ReadError(f"{total_count} answers to other requests arrived instead")
        self._received_bytes += received_bytes
        self._budget.add(received_bytes)
        if self._received_bytes > RECEIVED_MAX_BYTES:
            raise ReadError(f"no complete answer within {RECEIVED_MAX_BYTES} bytes")
        if self._budget.is_exceeded_by(self._received_bytes):
            raise ReadError(
                f"{self._received_bytes} bytes are no complete answer yet, and the incomplete"
                f" answers of all upstreams exceed {INCOMPLETE_MAX_BYTES} bytes"
            )
        if self._collector.has_head or skipped_count:
            self._bytes_without_head = 0
            return
        self._bytes_without_head += received_bytes
        if self._bytes_without_head > HEAD_MAX_BYTES:
            raise ReadError(f"the head of the answer exceeds {HEAD_MAX_BYTES} bytes")

    def release(self) -> None:
        """Free what was received, once the answer is complete or given up.

        The parser and its collector refer to each other, so they are freed only later.
        """
        self._collector.clear()
        self._budget.release(self._received_bytes)
        self._received_bytes = 0

    def feed_end(self) -> UpstreamAnswer | None:
        """Handle the end of the stream; return the answer if that completes it."""
        # Without a length a truncated answer looks complete. Only the echoed id shows that the
        # answer was not cut off before its end was sent.
        if not self._echo.value or not self._collector.finish_at_end_of_stream():
            return None
        return self._take_matching()

    def _take_matching(self) -> UpstreamAnswer | None:
        messages = self._collector.messages
        for index, answer in enumerate(messages):
            is_first = self._is_fresh and not self.has_surplus and index == 0
            if self._echo.matches(answer, is_first=is_first):
                if index + 1 < len(messages) or not self._collector.is_between_messages:
                    self._record_surplus()
                return answer
            self._record_skipped(answer)
        messages.clear()
        return None

    def _record_skipped(self, answer: UpstreamAnswer) -> None:
        self.has_surplus = True
        cause = self._echo.get_skip_cause(answer)
        self.unsolicited_by_cause[cause] = self.unsolicited_by_cause.get(cause, 0) + 1

    def _record_surplus(self) -> None:
        self.has_surplus = True
        self.unsolicited_by_cause["surplus"] = 1

    def _get_status(self) -> int:
        return int(self._parser.get_status_code())


def _check_no_status_line(text: bytes) -> None:
    """Raise ``ReadError`` if a part of the head is cut off and another answer follows in it."""
    if b"HTTP/" in text and _STATUS_LINE.search(text):
        raise ReadError("the head of the answer is cut off, and another answer follows")


def _parse_keep_alive_ms(text: str) -> float | None:
    for part in text.lower().replace(";", ",").split(","):
        name = part.strip()
        if name.startswith(_KEEP_ALIVE_TIMEOUT):
            seconds = name.removeprefix(_KEEP_ALIVE_TIMEOUT)
            return float(seconds) * 1000 if seconds.isdigit() else None
    return None
