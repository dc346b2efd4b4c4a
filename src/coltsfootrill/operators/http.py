"""Minimal HTTP application for operators and announcements, served by waitress."""

from __future__ import annotations

import hmac
import threading
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec
import waitress.server

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.operators.bounded_bodies import BODIES_MAX_BYTES
from coltsfootrill.operators.bounded_bodies import make_channel_class
from coltsfootrill.settings import Address

BODY_MAX_BYTES = 5 * 1024 * 1024
_THREAD_COUNT = 4
_ENVIRON_HEADER_PREFIX = "HTTP_"

Handler = Callable[["HttpRequest"], "HttpReply"]


class OperatorListenError(ColtsfootrillError):
    """Cannot listen on a port for operators or announcements."""


class HttpRequest:
    """An HTTP request; ``operator`` is its ``Operator`` header, cut to 64 characters.

    Without that header ``operator`` is ``unnamed``.
    """

    __slots__ = ("_environ", "body", "operator", "path", "query")

    def __init__(self, *, body: bytes, environ: dict[str, Any]) -> None:
        self.body = body
        self.path = str(environ["PATH_INFO"])
        self.query = str(environ.get("QUERY_STRING", ""))
        self.operator = str(environ.get("HTTP_OPERATOR", "unnamed"))[:64]
        self._environ = environ

    def get_header(self, name: str) -> str:
        """Return the value of a header, or an empty string if it is absent."""
        return str(self._environ.get(_ENVIRON_HEADER_PREFIX + name.upper().replace("-", "_"), ""))


class HttpReply:
    """An HTTP reply; ``status`` is the code and its phrase, as in ``200 OK``.

    ``location`` is the URL that a redirect names, empty for other replies.
    """

    __slots__ = ("body", "content_type", "location", "status")

    def __init__(
        self,
        status: str,
        body: bytes,
        *,
        content_type: str = "application/json",
        location: str = "",
    ) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type
        self.location = location

    @classmethod
    def from_json(cls, status: str, value: Any) -> HttpReply:
        """Return a reply with ``value`` encoded as JSON."""
        return cls(status, msgspec.json.encode(value) + b"\n")


class HttpApp:
    """WSGI application that routes by method and path.

    All routes except public ones require the token; ``on_refused`` is called when it is missing or
    wrong. Without a token every route is public, and the network of the deployment has to restrict
    access.
    """

    def __init__(self, token: str | None, *, on_refused: Callable[[], None] = lambda: None) -> None:
        self._token = None if token is None else token.encode()
        self._on_refused = on_refused
        self._handlers: dict[tuple[str, str], Handler] = {}
        self._handlers_by_prefix: dict[tuple[str, str], Handler] = {}
        self._public: set[str] = set()

    def add(self, method: str, path: str, handler: Handler, *, is_public: bool = False) -> None:
        """Add a route for one path; ``is_public`` makes the path available without the token."""
        self._handlers[method, path] = handler
        if is_public:
            self._public.add(path)

    def add_prefix(self, method: str, prefix: str, handler: Handler) -> None:
        """Add a route for every path that consists of ``prefix`` and one more segment."""
        self._handlers_by_prefix[method, prefix] = handler

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Handle one WSGI request."""
        reply = self._answer(environ)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ]
        if reply.location:
            headers.append(("Location", reply.location))
        start_response(reply.status, headers)
        return [reply.body]

    def _answer(self, environ: dict[str, Any]) -> HttpReply:
        path = environ["PATH_INFO"]
        if path not in self._public and not self._has_token(environ):
            self._on_refused()
            return HttpReply.from_json(
                "401 Unauthorized", {"message": "send the token: Authorization: Bearer <token>"}
            )
        handler = self._find_handler(environ["REQUEST_METHOD"], path)
        if handler is None:
            routes = [*self._handlers, *self._handlers_by_prefix]
            served = sorted(f"{method} {served_path}" for method, served_path in routes)
            message = f"no such method and path; available: {', '.join(served)}"
            return HttpReply.from_json("404 Not Found", {"message": message})
        return handler(HttpRequest(body=environ["wsgi.input"].read(), environ=environ))

    def _find_handler(self, method: str, path: str) -> Handler | None:
        exact = self._handlers.get((method, path))
        if exact is not None:
            return exact
        prefix = path[: path.rfind("/") + 1]
        return self._handlers_by_prefix.get((method, prefix))

    def _has_token(self, environ: dict[str, Any]) -> bool:
        if self._token is None:
            return True
        received = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ").encode("latin-1")
        return hmac.compare_digest(received, self._token)


class HttpServer:
    """Serves one application on one address; raises ``OperatorListenError`` if it cannot listen."""

    def __init__(
        self,
        app: HttpApp,
        address: Address,
        *,
        threads: int = _THREAD_COUNT,
        bodies_max_bytes: int = BODIES_MAX_BYTES,
    ) -> None:
        try:
            self._server = waitress.server.create_server(
                app,
                listen=str(address),
                threads=threads,
                ident=None,
                max_request_body_size=BODY_MAX_BYTES,
                asyncore_use_poll=True,
                channel_timeout=30,
            )
        except OSError as error:
            raise OperatorListenError(f"cannot listen on {address}: {error}") from error
        self._server.channel_class = make_channel_class(bodies_max_bytes)
        self._thread = threading.Thread(
            target=self._server.run, name=f"http-{address}", daemon=True
        )

    def start(self) -> None:
        """Start a thread that serves until the process ends."""
        self._thread.start()
