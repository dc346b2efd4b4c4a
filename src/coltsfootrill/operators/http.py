"""A small HTTP application for operators and announcements, served by waitress."""

from __future__ import annotations

import hmac
import threading
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec
import waitress.server

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.settings import Address

BODY_MAX_BYTES = 5 * 1024 * 1024
_THREADS = 4

Respond = Callable[["HttpRequest"], "HttpReply"]


class OperatorListenError(ColtsfootrillError):
    """A port for operators or announcements cannot be used."""


class HttpRequest:
    """A request: body, query string, and the value of the ``Operator`` header."""

    __slots__ = ("body", "operator", "query")

    def __init__(self, *, body: bytes, query: str, operator: str) -> None:
        self.body = body
        self.query = query
        self.operator = operator


class HttpReply:
    """A reply with a body of its own content type."""

    __slots__ = ("body", "content_type", "status")

    def __init__(self, status: str, body: bytes, *, content_type: str = "application/json") -> None:
        self.status = status
        self.body = body
        self.content_type = content_type

    @classmethod
    def from_json(cls, status: str, value: Any) -> HttpReply:
        """Return a reply with ``value`` as JSON."""
        return cls(status, msgspec.json.encode(value) + b"\n")


class HttpApp:
    """Routes by method and path; all but public ones need the token."""

    def __init__(self, token: str, *, on_refused: Callable[[], None]) -> None:
        self._token = token.encode()
        self._on_refused = on_refused
        self._responders: dict[tuple[str, str], Respond] = {}
        self._public: set[str] = set()

    def add(self, method: str, path: str, respond: Respond, *, is_public: bool = False) -> None:
        """Serve ``method path`` with ``respond``."""
        self._responders[method, path] = respond
        if is_public:
            self._public.add(path)

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one WSGI request."""
        reply = self._answer(environ)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ]
        start_response(reply.status, headers)
        return [reply.body]

    def _answer(self, environ: dict[str, Any]) -> HttpReply:
        path = environ["PATH_INFO"]
        if path not in self._public and not self._has_token(environ):
            self._on_refused()
            return HttpReply.from_json(
                "401 Unauthorized", {"message": "send the token: Authorization: Bearer <token>"}
            )
        respond = self._responders.get((environ["REQUEST_METHOD"], path))
        if respond is None:
            known = sorted(f"{method} {known}" for method, known in self._responders)
            message = f"unknown; served here: {', '.join(known)}"
            return HttpReply.from_json("404 Not Found", {"message": message})
        request = HttpRequest(
            body=environ["wsgi.input"].read(),
            query=environ.get("QUERY_STRING", ""),
            operator=environ.get("HTTP_OPERATOR", "unnamed")[:64],
        )
        return respond(request)

    def _has_token(self, environ: dict[str, Any]) -> bool:
        stated = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ").encode("latin-1")
        return hmac.compare_digest(stated, self._token)


class HttpServer:
    """Serves one application on one address."""

    def __init__(self, app: HttpApp, address: Address) -> None:
        try:
            self._server = waitress.server.create_server(
                app,
                listen=str(address),
                threads=_THREADS,
                ident=None,
                max_request_body_size=BODY_MAX_BYTES,
                asyncore_use_poll=True,
                channel_timeout=30,
            )
        except OSError as error:
            raise OperatorListenError(f"cannot listen on {address}: {error}") from error
        self._thread = threading.Thread(
            target=self._server.run, name=f"http-{address}", daemon=True
        )

    def start(self) -> None:
        """Serve in a thread until the process ends."""
        self._thread.start()
