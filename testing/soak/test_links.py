"""Links between two stand-ins: which connections a fault takes, and what works afterwards."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import pytest

from testing.soak.links import NodeLinks
from testing.soak.proxy import FaultProxy
from testing.soak.proxy import accept_all

HOST = "127.0.0.1"
CALLER = "127.0.0.9"
SILENT_AFTER_S = 0.2
PAUSE_S = 3.0
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
    return socket.create_connection((host, int(port)), timeout=SETTLE_MAX_S)


def _is_answered(sock: socket.socket, *, within_s: float = SETTLE_MAX_S) -> bool:
    sock.settimeout(within_s)
    try:
        sock.sendall(b"ping")
        return sock.recv(100) == b"ping"
    except OSError:
        return False


@pytest.fixture
def delays_s(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return the delays of data in the proxies, which record them in place of waiting."""
    made: list[float] = []
    fake_time = SimpleNamespace(monotonic=time.monotonic, sleep=made.append)
    monkeypatch.setattr("testing.soak.proxy.time", fake_time)
    return made


@pytest.fixture
def disturb(links: NodeLinks, monkeypatch: pytest.MonkeyPatch) -> Callable[[str], threading.Thread]:
    """Return a function that lets the links fail, and returns once they do.

    They work again once a proxy has dropped data, however late its thread runs.
    """

    def start(fault: str) -> threading.Thread:
        has_begun = threading.Event()
        has_dropped = threading.Event()
        apply_mode = FaultProxy._apply_mode

        def apply_and_record(proxy: FaultProxy, is_reply: bool) -> bool:
            is_forwarded = apply_mode(proxy, is_reply)
            if not is_forwarded:
                has_dropped.set()
            return is_forwarded

        def sleep(seconds: float) -> None:
            assert seconds == PAUSE_S
            has_begun.set()
            has_dropped.wait(SETTLE_MAX_S)

        def run() -> None:
            links.disturb(links.list_between([CALLER], [HOST]), fault, PAUSE_S)
            has_begun.set()

        monkeypatch.setattr(FaultProxy, "_apply_mode", apply_and_record)
        # Not that of all modules: other threads sleep too.
        monkeypatch.setattr("testing.soak.links.time", SimpleNamespace(sleep=sleep))
        disturbing = threading.Thread(target=run)
        disturbing.start()
        assert has_begun.wait(SETTLE_MAX_S)
        return disturbing

    return start


@pytest.mark.parametrize("fault", ["silent", "one-way", "forget", "reset"])
def test_open_connections_are_lost_and_new_ones_work(
    links: NodeLinks,
    delays_s: list[float],
    disturb: Callable[[str], threading.Thread],
    tmp_path: Path,
    fault: str,
) -> None:
    others, sock = _connect(links, tmp_path), _connect(links, tmp_path)
    # Once they are answered, the proxy has them open.
    assert _is_answered(others)
    assert _is_answered(sock)
    links.disturb([(HOST, CALLER)], "reset", 0.0)
    assert _is_answered(others)
    disturbing = disturb(fault)
    assert not _is_answered(sock, within_s=SILENT_AFTER_S)
    disturbing.join()
    assert _is_answered(_connect(links, tmp_path))
    assert not _is_answered(sock, within_s=SILENT_AFTER_S)
    assert not delays_s
