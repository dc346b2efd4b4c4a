from __future__ import annotations

import http.client
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
import trustme
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from coltsfootrill.control.messages import ReadRequest
from coltsfootrill.control.replica import READ
from coltsfootrill.membership.exchange import FETCH_MANIFEST
from coltsfootrill.membership.messages import ManifestRequest
from coltsfootrill.rpc import RpcClient
from coltsfootrill.rpc import RpcError
from testing.processes import System
from testing.processes import wait_until
from testing.proxy.instance import make_manifest

scenarios("tls.feature")

ENTRIES = ["e1", "e2"]


class CertificateFolder:
    """A certificate authority and the key and certificate files that it issues into a folder."""

    def __init__(self, folder: Path) -> None:
        self._authority = trustme.CA()
        self._folder = folder
        self._authority.cert_pem.write_to_path(str(folder / "ca.pem"))
        self.issue()

    def issue(self) -> None:
        """Replace the key and certificate files with newly issued ones."""
        certificate = self._authority.issue_cert("127.0.0.1")
        certificate.private_key_pem.write_to_path(str(self._folder / "key.pem"))
        certificate.cert_chain_pems[0].write_to_path(str(self._folder / "cert.pem"))

    def format_settings(self) -> str:
        return (
            f"[tls]\ncertificate = {self._folder}/cert.pem\nkey = {self._folder}/key.pem\n"
            f"authority = {self._folder}/ca.pem\n"
        )


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    system = System(tmp_path)
    yield system
    system.close()


@pytest.fixture
def certificates(tmp_path: Path) -> CertificateFolder:
    return CertificateFolder(tmp_path)


@given("one control replica and two entry instances with certificates of one authority")
def start(system: System, certificates: CertificateFolder) -> None:
    system.add_control(["c1"], extra=certificates.format_settings())
    for name in ENTRIES:
        system.add_entry(name, seeds=["e1"], extra=certificates.format_settings())
    system.start()


@then(parsers.parse("manifest {version:d} comes into force on both"))
def check_in_force(system: System, version: int) -> None:
    wait_until(lambda: system.submit("c1", make_manifest(version))[0] == 200)
    for name in ENTRIES:
        wait_until(lambda name=name: system.get_version(name) == version)  # type: ignore[misc]
        wait_until(lambda name=name: _count_members(system, name) == 1)  # type: ignore[misc]


@then("a client without a certificate is refused by peers and by control")
def check_client_refused(system: System) -> None:
    for port in (system.ports["e1.peers"], system.ports["c1"]):
        client = RpcClient(f"127.0.0.1:{port}")
        with pytest.raises(RpcError):
            client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=1_000)
        with pytest.raises(RpcError):
            client.call(READ, ReadRequest("x", 0, True), timeout_ms=1_000)
        client.close()


@when("the certificates are renewed by the same authority")
def renew_certificates(certificates: CertificateFolder) -> None:
    certificates.issue()


@then("a manifest and an announcement with an invalid token are refused and counted")
def check_invalid_token(system: System) -> None:
    wait_until(lambda: system.call_operators("c1", "/ready")[0] == 200)
    wait_until(lambda: system.call_operators("e1", "/status")[0] == 200)
    manifest_port = system.ports["c1.operators"]
    assert _post_with_invalid_token(manifest_port, "/manifest", make_manifest(5)) == 401
    announcement_port = system.ports["e1.announcements"]
    # An entry instance opens it after the port of operators.
    wait_until(lambda: _is_listening(announcement_port))
    assert _post_with_invalid_token(announcement_port, "/announcements", b"{}") == 401
    for name in ("c1", "e1"):
        assert 'refused_operations_total{cause="token"} 1.0' in _read_metrics(system, name)


def _count_members(system: System, name: str) -> int:
    _, body = system.call_operators(name, "/status")
    return len(body["members"])


def _is_listening(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), timeout=5).close()
    except ConnectionRefusedError:
        return False
    return True


def _post_with_invalid_token(port: int, path: str, body: bytes) -> int:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    connection.request("POST", path, body, {"Authorization": "Bearer wrong"})
    status = connection.getresponse().status
    connection.close()
    return status


def _read_metrics(system: System, name: str) -> str:
    port = system.ports[f"{name}.operators"]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    return text
