"""The pattern: callers return to a restarted instance before its program is loaded."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.early_listener import open_from_settings
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.outcome import Answer
from coltsfootrill.proxy.server import CallerServer

REQUEST = b"GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"


def _write(folder: Path, text: str) -> Path:
    path = folder / "node.ini"
    path.write_text(text)
    return path


class TestEarlyListener:
    def test_request_sent_before_the_server_starts_is_answered(self, tmp_path: Path) -> None:
        listener = open_from_settings(_write(tmp_path, "[callers]\nlisten = 127.0.0.1:0\n"))
        assert listener is not None
        address = listener.getsockname()
        with socket.create_connection(address) as caller:
            caller.sendall(REQUEST)
            server = CallerServer(
                lambda request: Answer(
                    status="200 OK", headers=[], body=request.path.encode(), outcome="answered"
                ),
                clock=Clock(),
                requests_max=4,
                connections_max=4,
                body_budget=BodyBudget(0),
            )
            server.start(*address, listener=listener)
            with caller.makefile("rb") as stream:
                assert stream.read().endswith(b"/x")
        server.stop(idle_ms=0, limit_ms=1_000)

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "[callers]\n",
            "not settings",
            "[callers]\nlisten = \n",
            "[callers]\nlisten = 127.0.0.1\n",
            "[callers]\nlisten = 127.0.0.1:port\n",
            "[callers]\nlisten = 127.0.0.1:99999\n",
            "[callers]\nlisten = 127.0.0.1:1\nlisten = 127.0.0.1:2\n",
        ],
    )
    def test_invalid_settings_are_left_to_the_role(self, tmp_path: Path, text: str) -> None:
        assert open_from_settings(_write(tmp_path, text)) is None

    def test_missing_file_and_used_port_are_left_to_the_role(self, tmp_path: Path) -> None:
        assert open_from_settings(tmp_path / "absent.ini") is None
        with socket.create_server(("127.0.0.1", 0)) as other:
            port = other.getsockname()[1]
            path = _write(tmp_path, f"[callers]\nlisten = 127.0.0.1:{port}\n")
            assert open_from_settings(path) is None
