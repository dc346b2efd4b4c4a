from __future__ import annotations

import socket
import threading

import pytest

from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.soak.proxy import accept_all


class TestWithoutThreads:
    # Guards against a stand-in that serves nobody any more once a single thread could not start.
    def test_a_connection_that_got_no_thread_is_closed_and_the_next_one_served(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        upstream = ScriptedUpstream(answer())
        listener = socket.create_server(("127.0.0.1", 0))
        accept_all(listener, lambda sock: sock.sendall(b"served"))
        host, _, port = upstream.address.partition(":")
        for address in ((host, int(port)), listener.getsockname()):
            with monkeypatch.context() as patch:
                patch.setattr(threading.Thread, "start", _fail_to_start)
                with socket.create_connection(address, timeout=5) as sock:
                    assert sock.recv(1) == b""
            with socket.create_connection(address, timeout=5) as sock:
                sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
                assert sock.recv(6) in (b"HTTP/1", b"served")
        upstream.close()
        listener.close()


def _fail_to_start(thread: threading.Thread) -> None:
    raise RuntimeError("can't start new thread")
