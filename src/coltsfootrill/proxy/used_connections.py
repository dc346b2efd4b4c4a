"""The connections that the attempts of one request have used, and those that it must not use."""

from __future__ import annotations

from coltsfootrill.proxy.answer import AnswerEcho
from coltsfootrill.proxy.connection import UpstreamConnection


class UsedConnections:
    """The connections of one request, whose answers name the id of ``echo``."""

    __slots__ = ("_connections", "_echo")

    def __init__(self, echo: AnswerEcho) -> None:
        self._connections: list[UpstreamConnection] = []
        self._echo = echo

    def add(self, connection: UpstreamConnection) -> None:
        """Add a connection, before an attempt is sent on it."""
        self._connections.append(connection)

    def is_ambiguous(self, connection: UpstreamConnection) -> bool:
        """Return whether an earlier send on a connection could be answered in place of the next.

        Attempts of one request share its id, and so may requests of callers that repeat or omit it.
        """
        if connection in self._connections:
            return True
        return bool(self._echo.header) and self._echo.value in ("", connection.last_request_id)
