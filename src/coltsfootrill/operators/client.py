"""HTTP client with which the command line calls the operators' ports of instances."""

from __future__ import annotations

import http.client
import json
from pathlib import Path
from typing import Any

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.settings import Address

TIMEOUT_S = 10.0


class CallError(ColtsfootrillError):
    """An operators' port did not answer, refused the call, or its answer cannot be decoded."""


class UnreachableError(CallError):
    """No connection could be opened, so the call cannot have been received."""


class CallReply:
    """The HTTP status and the decoded JSON body of a reply."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: Any) -> None:
        self.status = status
        self.body = body


class OperatorClient:
    """Calls one operators' port, with the operators' token and the name of the operator."""

    __slots__ = ("_address", "_headers")

    def __init__(self, address: Address, *, token: str, operator: str) -> None:
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}", "Operator": operator}

    @classmethod
    def from_token_file(
        cls, address: Address, *, token_file: Path, operator: str
    ) -> OperatorClient:
        """Return a client with the token in a file; raise ``CallError`` if it cannot be read."""
        try:
            token = token_file.read_text(encoding="utf-8").strip()
        except OSError as error:
            raise CallError(f"cannot read the token: {error}") from error
        return cls(address, token=token, operator=operator)

    def call(self, method: str, path: str, body: bytes = b"") -> CallReply:
        """Send one request and return the reply; raise ``CallError`` if none can be decoded.

        The error is an ``UnreachableError`` if the request was not sent. After any other error the
        request may have been executed.
        """
        connection = http.client.HTTPConnection(
            self._address.host, self._address.port, timeout=TIMEOUT_S
        )
        try:
            connection.connect()
        except OSError as error:
            raise UnreachableError(f"cannot connect to {self._address}: {error}") from error
        try:
            connection.request(method, path, body=body or None, headers=self._headers)
            response = connection.getresponse()
            raw = response.read()
            return CallReply(response.status, json.loads(raw) if raw else None)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise CallError(f"no answer from {self._address}: {error}") from error
        finally:
            connection.close()
