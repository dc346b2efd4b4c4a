"""Links between two stand-ins: each fault in one direction of calls, and what works afterwards."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.soak.links import NodeLinks

HOST = "127.0.0.1"
CALLER = "127.0.0.9"
SILENT_AFTER_S = 0.2


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server((HOST, 0)) as listener:
        threading.Thread(target=_echo, args=(listener,), daemon=True).start()
        yield listener
        listener.shutdown(socket.SHUT_RDWR)


@pytest.fixture
def links(listener: socket.socket) -> Iterator[NodeLinks]:
    made = NodeLinks([CALLER, HOST], listener.getsockname()[1])
    yield made
    made.close()


def _echo(listener: socket.socket) -> None:
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=lambda sock=sock: _echo_all(sock), daemon=True).start()  # type: ignore[misc]


def _echo_all(sock: socket.socket) -> None:
    while data := sock.recv(100):
        sock.sendall(data)


def _connect(links: NodeLinks, folder: Path) -> socket.socket:
    path = folder / "links.json"
    links.write(CALLER, path)
    ((address, proxy_address),) = json.loads(path.read_text()).items()
    assert address.startswith(HOST)
    host, _, port = proxy_address.partition(":")
    return socket.create_connection((host, int(port)), timeout=SILENT_AFTER_S)


def _is_answered(sock: socket.socket) -> bool:
    try:
        sock.sendall(b"ping")
        return sock.recv(100) == b"ping"
    except OSError:
        return False


class TestDisturb:
    def test_forgotten_connections_stay_silent_and_new_ones_work(
        self, links: NodeLinks, tmp_path: Path
    ) -> None:
        sock = _connect(links, tmp_path)
        assert _is_answered(sock)
        links.disturb(links.list_between([CALLER], [HOST]), "forget", 0.0)
        assert not _is_answered(sock)
        assert _is_answered(_connect(links, tmp_path))

    @pytest.mark.parametrize("fault", ["silent", "one-way"])
    def test_a_link_that_lost_data_works_again_for_new_connections(
        self, links: NodeLinks, tmp_path: Path, fault: str
    ) -> None:
        sock = _connect(links, tmp_path)
        pairs = links.list_between([CALLER], [HOST])
        disturbing = threading.Thread(target=links.disturb, args=(pairs, fault, SILENT_AFTER_S))
        disturbing.start()
        assert not _is_answered(sock)
        disturbing.join()
        assert _is_answered(_connect(links, tmp_path))

    def test_only_the_links_named_fail(self, links: NodeLinks, tmp_path: Path) -> None:
        sock = _connect(links, tmp_path)
        links.disturb([(HOST, CALLER)], "reset", 0.0)
        assert _is_answered(sock)
        links.disturb([(CALLER, HOST)], "reset", 0.0)
        assert not _is_answered(sock)
