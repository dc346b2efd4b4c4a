"""Reading one whole answer of an upstream from a connection, with httptools."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import httptools

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.proxy.outcome import Header

ANSWER_MAX_BYTES = 8 * 1024 * 1024
HEAD_MAX_BYTES = 64 * 1024
_KEEP_ALIVE_TIMEOUT = "timeout="


class ConnectionLayerError(ColtsfootrillError):
    """Something failed between this instance and an upstream."""


class ReadError(ConnectionLayerError):
    """No whole, well-formed answer came within the deadline."""


class UpstreamAnswer:
    """A whole answer of an upstream; header names are as the upstream sent them."""

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


class AnswerEcho:
    """The header that carries the request's id on its answer, and the id; both may be empty."""

    __slots__ = ("header", "value")

    def __init__(self, header: str = "", value: str = "") -> None:
        self.header = header
        self.value = value

    def matches(self, answer: UpstreamAnswer, *, is_fresh: bool) -> bool:
        """Return whether the answer belongs to the request.

        An answer without an id can only be told apart on a connection without earlier requests.
        """
        if not self.header or not self.value:
            return True
        stated = answer.get_header(self.header)
        return is_fresh if stated is None else stated == self.value


NO_ECHO = AnswerEcho()


class _MessageReader:
    """Collects the answers on one connection; ``httptools`` calls the ``on_`` methods."""

    __slots__ = (
        "_body_bytes",
        "_chunks",
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

    def on_message_begin(self) -> None:
        """Start another answer."""
        self._reason = b""
        self._headers: list[Header] = []
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self.lengths: set[str] = set()
        self.has_chunks = False
        self.has_head = False
        self.head_bytes = 0
        self.status = 0

    def on_status(self, reason: bytes) -> None:
        """Take in the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header."""
        if b"\n" in value or b"\r" in value:
            raise ReadError("a header of the answer is folded over several lines")
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > HEAD_MAX_BYTES:
            raise ReadError(f"the head of the answer is larger than {HEAD_MAX_BYTES} bytes")
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
            self.has_chunks = text.strip().lower() == "chunked"
        self._headers.append((key, text))

    def on_headers_complete(self) -> None:
        """Check what the head says of the body's end."""
        self.has_head = True
        self.status = self._get_status()
        if self.status < HTTPStatus.OK:
            raise ReadError(f"unexpected interim answer {self.status}")
        if len(self.lengths) > 1 or (self.lengths and self.has_chunks):
            raise ReadError("the length of the answer is ambiguous")
        if self._is_head_request:
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Take in part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > ANSWER_MAX_BYTES:
            raise ReadError(f"the answer is larger than {ANSWER_MAX_BYTES} bytes")
        self._chunks.append(data)

    def on_message_complete(self) -> None:
        """Note the end of an answer by its own length or last chunk."""
        if not self._is_head_request:
            self._finish()

    def finish_at_end_of_stream(self) -> bool:
        """End an answer without a length at the end of the connection; return whether it may."""
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
                body=b"".join(self._chunks),
            )
        )
        self.on_message_begin()


class AnswerReader:
    """Takes bytes of a connection until the answer to one request is whole.

    Answers that belong to no request are skipped; ``has_surplus`` then tells that the connection
    must not be used again.
    """

    __slots__ = ("_echo", "_is_fresh", "_is_head_request", "_parser", "_reader", "has_surplus")

    def __init__(self, method: str, echo: AnswerEcho, *, is_fresh: bool) -> None:
        self._echo = echo
        self._is_fresh = is_fresh
        self._is_head_request = method == "HEAD"
        self._reader = _MessageReader(self._get_status, is_head_request=self._is_head_request)
        self._parser = httptools.HttpResponseParser(self._reader)
        self.has_surplus = False

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        # The parser expects a body after the head of any answer, so HEAD ends a connection.
        return (
            not self.has_surplus
            and not self._reader.is_last
            and not self._is_head_request
            and self._parser.get_http_version() == "1.1"
        )

    @property
    def keep_alive_ms(self) -> float | None:
        """Return how long the upstream keeps an idle connection, if it told that."""
        return self._reader.keep_alive_ms

    def feed(self, data: bytes) -> UpstreamAnswer | None:
        """Take in bytes; return the answer once it is whole. Raises ``ReadError``."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            answer = self._take()
            if answer is None:
                raise ReadError(f"not an answer: {error.__context__ or error}") from error
            self.has_surplus = True
            return answer
        return self._take()

    def feed_end(self) -> UpstreamAnswer | None:
        """Take in the end of the connection, as ``feed`` does."""
        # Only the id shows that such an answer was not cut off before its end was sent.
        if not self._echo.value or not self._reader.finish_at_end_of_stream():
            return None
        return self._take()

    def _take(self) -> UpstreamAnswer | None:
        messages = self._reader.messages
        for index, answer in enumerate(messages):
            if self._echo.matches(answer, is_fresh=self._is_fresh and not self.has_surplus):
                is_alone = len(messages) == 1 and self._reader.is_between_messages
                self.has_surplus = self.has_surplus or index > 0 or not is_alone
                return answer
        if messages:
            self.has_surplus = True
            messages.clear()
        return None

    def _get_status(self) -> int:
        return int(self._parser.get_status_code())


def _parse_keep_alive_ms(text: str) -> float | None:
    for part in text.lower().replace(";", ",").split(","):
        name = part.strip()
        if name.startswith(_KEEP_ALIVE_TIMEOUT):
            seconds = name.removeprefix(_KEEP_ALIVE_TIMEOUT)
            return float(seconds) * 1000 if seconds.isdigit() else None
    return None
