"""Credentials between our own processes.

The server's key files are read again when they change; those of calls are read at the start.
"""

from __future__ import annotations

from pathlib import Path

import grpc

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.settings import Address
from coltsfootrill.settings import Settings


class TlsError(ColtsfootrillError):
    """Keys are missing or not readable."""


class Credentials:
    """Channel and server credentials; ``None`` in the plain mode, on loopback only."""

    __slots__ = ("channel", "server")

    def __init__(
        self,
        *,
        channel: grpc.ChannelCredentials | None,
        server: grpc.ServerCredentials | None,
    ) -> None:
        self.channel = channel
        self.server = server

    @classmethod
    def from_settings(
        cls, settings: Settings, listen: Address, *, is_plain_allowed: bool = False
    ) -> Credentials:
        """Return the credentials that ``[tls]`` names.

        Raises ``TlsError`` when files are missing, ``listen`` is not on loopback, and the
        settings do not allow to go without.
        """
        paths = [settings.get("tls", key) for key in ("certificate", "key", "authority")]
        certificate, key, authority = paths
        if certificate is None or key is None or authority is None:
            if not listen.is_loopback and not is_plain_allowed:
                raise TlsError("set certificate, key and authority in [tls]: not on loopback")
            return cls(channel=None, server=None)
        return cls(
            channel=grpc.ssl_channel_credentials(
                authority.read_bytes(), key.read_bytes(), certificate.read_bytes()
            ),
            server=_make_server_credentials(certificate, key, authority),
        )


def _make_server_credentials(
    certificate: Path, key: Path, authority: Path
) -> grpc.ServerCredentials:
    def read() -> grpc.ServerCertificateConfiguration:
        pair = (key.read_bytes(), certificate.read_bytes())
        return grpc.ssl_server_certificate_configuration([pair], authority.read_bytes())

    last_ms = [_get_changed_ns(certificate, key, authority)]

    def fetch() -> grpc.ServerCertificateConfiguration | None:
        changed = _get_changed_ns(certificate, key, authority)
        if changed == last_ms[0]:
            return None
        last_ms[0] = changed
        return read()

    return grpc.dynamic_ssl_server_credentials(read(), fetch, require_client_authentication=True)


def _get_changed_ns(*paths: Path) -> tuple[int, ...]:
    return tuple(path.stat().st_mtime_ns for path in paths)
