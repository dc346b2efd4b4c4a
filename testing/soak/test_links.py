"""Links between two stand-ins: which connections a fault takes, and what works afterwards."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.soak.links import NodeLinks
from testing.soak.proxy import accept_all

HOST = "127.0.0.1"
CALLER = "127.0.0.9"
SILENT_AFTER_S = 0.2
SETTLE_MAX_S = 10.0


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
        while data := sock.recv(100):
            sock.sendall(data)


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


@pytest.fixture
def disturb(links: NodeLinks, monkeypatch: pytest.MonkeyPatch) -> Callable[[str], threading.Thread]:
    """Return a function that lets the links fail, and returns once they do."""

    def start(fault: str) -> threading.Thread:
        has_begun = threading.Event()

        def sleep(seconds: float) -> None:
            has_begun.set()
            threading.Event().wait(seconds)

        def run() -> None:
            links.disturb(links.list_between([CALLER], [HOST]), fault, SILENT_AFTER_S)
            has_begun.set()

        monkeypatch.setattr("testing.soak.links.time.sleep", sleep)
        disturbing = threading.Thread(target=run)
        disturbing.start()
        assert has_begun.wait(SETTLE_MAX_S)
        return disturbing

    return start


@pytest.mark.parametrize("fault", ["silent", "one-way", "forget", "reset"])
def test_open_connections_are_lost_and_new_ones_work(
    links: NodeLinks, disturb: Callable[[str], threading.Thread], tmp_path: Path, fault: str
) -> None:
    others, sock = _connect(links, tmp_path), _connect(links, tmp_path)
    links.disturb([(HOST, CALLER)], "reset", 0.0)
    assert _is_answered(others)
    assert _is_answered(sock)
    disturbing = disturb(fault)
    assert not _is_answered(sock)
    disturbing.join()
    assert _is_answered(_connect(links, tmp_path))
