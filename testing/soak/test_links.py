"""Links between two stand-ins: which connections a fault takes, and what works afterwards."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.soak.links import NodeLinks
from testing.soak.proxy import accept_all

HOST = "127.0.0.1"
CALLER = "127.0.0.9"
SILENT_AFTER_S = 0.2


@pytest.fixture
def links() -> Iterator[NodeLinks]:
    with socket.create_server((HOST, 0)) as listener:
        accept_all(listener, _answer)
        made = NodeLinks([CALLER, HOST], listener.getsockname()[1])
        yield made
        made.close()
        listener.shutdown(socket.SHUT_RDWR)


def _answer(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.sendall(sock.recv(100))


def _connect(links: NodeLinks, folder: Path) -> socket.socket:
    links.write(CALLER, folder / "links.json")
    (proxy,) = json.loads((folder / "links.json").read_text()).values()
    host, _, port = proxy.partition(":")
    return socket.create_connection((host, int(port)), timeout=SILENT_AFTER_S)


def _is_answered(sock: socket.socket) -> bool:
    try:
        sock.sendall(b"ping")
        return sock.recv(100) == b"ping"
    except OSError:
        return False


@pytest.mark.parametrize("fault", ["silent", "one-way", "forget", "reset"])
def test_open_connections_are_lost_and_new_ones_work(
    links: NodeLinks, tmp_path: Path, fault: str
) -> None:
    others, sock = _connect(links, tmp_path), _connect(links, tmp_path)
    links.disturb([(HOST, CALLER)], "reset", 0.0)
    assert _is_answered(others)
    pairs = links.list_between([CALLER], [HOST])
    disturbing = threading.Thread(target=links.disturb, args=(pairs, fault, SILENT_AFTER_S))
    disturbing.start()
    assert not _is_answered(sock)
    disturbing.join()
    assert _is_answered(_connect(links, tmp_path))
