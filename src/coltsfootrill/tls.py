"""TLS credentials for calls between instances.

The credentials of the server are reloaded when their files change; the credentials of outgoing
channels are read once, at the start.
"""

from __future__ import annotations

from pathlib import Path

import grpc

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.settings import Address
from coltsfootrill.settings import Settings


class TlsError(ColtsfootrillError):
    """TLS is required but the settings do not name all its files."""


class Credentials:
    """Credentials of channels and of the server; both ``None`` without TLS."""

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
        """Return the credentials from the files named in section ``[tls]``.

        Without all three files, TLS is off. Raise ``TlsError`` in that case if ``listen`` is not a
        loopback address and ``is_plain_allowed`` is false.
        """
        paths = [settings.get("tls", key) for key in ("certificate", "key", "authority")]
        certificate, key, authority = paths
        if certificate is None or key is None or authority is None:
            if not listen.is_loopback and not is_plain_allowed:
                raise TlsError(
                    f"{listen} is not a loopback address and needs TLS: "
                    "set certificate, key and authority in [tls]"
                )
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

    loaded_ns = [_get_modified_ns(certificate, key, authority)]

    def fetch_if_changed() -> grpc.ServerCertificateConfiguration | None:
        modified_ns = _get_modified_ns(certificate, key, authority)
        if modified_ns == loaded_ns[0]:
            return None
        loaded_ns[0] = modified_ns
        return read()

    return grpc.dynamic_ssl_server_credentials(
        read(), fetch_if_changed, require_client_authentication=True
    )


def _get_modified_ns(*paths: Path) -> tuple[int, ...]:
    return tuple(path.stat().st_mtime_ns for path in paths)
