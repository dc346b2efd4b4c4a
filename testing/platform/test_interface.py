from __future__ import annotations

import io
import json
from typing import Any

import pytest

from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.control.submission import SubmitAnswer
from coltsfootrill.manifest.codec import ManifestValueError
from coltsfootrill.manifest.codec import make_manifest_error
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.platform.interface import add_control_routes
from coltsfootrill.platform.interface import add_ready_routes
from coltsfootrill.platform.interface import decode_heartbeat
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.announcement import InvalidAnnouncementError


class Operations:
    """Records calls and answers as told."""

    def __init__(self) -> None:
        self.announced: list[Announcement] = []
        self.left: list[tuple[str, int | None]] = []
        self.submitted: list[tuple[bytes, int | None]] = []
        self.error: Exception | None = None
        self.answer = SubmitAnswer(result="accepted", version=7, digest="d", message="m")

    def announce(self, announcement: Announcement) -> str | None:
        self._fail()
        self.announced.append(announcement)
        return "10.0.0.1:80"

    def leave(self, upstream_id: str, incarnation: int | None) -> None:
        self._fail()
        self.left.append((upstream_id, incarnation))

    def submit(self, raw: bytes, *, base_version: int | None, operator: str) -> SubmitAnswer:
        self._fail()
        self.submitted.append((raw, base_version))
        return self.answer

    def read_manifest(self) -> bytes:
        self._fail()
        return b"{raw}"

    def _fail(self) -> None:
        if self.error is not None:
            raise self.error


class Port:
    """Calls an application without a socket."""

    def __init__(self) -> None:
        self.operations = Operations()
        self._app = HttpApp(None)
        add_control_routes(self._app, self.operations)

    def call(self, method: str, path: str, body: bytes = b"", **headers: str) -> tuple[str, bytes]:
        seen: list[str] = []
        environ: dict[str, Any] = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "wsgi.input": io.BytesIO(body),
        }
        environ |= {f"HTTP_{name}": value for name, value in headers.items()}
        reply = self._app(environ, lambda status, given: seen.append(status))
        return seen[0][:3], b"".join(reply)


def beat(**changes: Any) -> bytes:
    fields: dict[str, Any] = {
        "address": "10.128.0.9:8080",
        "serverInfo": {"service": "desk", "version": "v1", "zone": "z1", "concurrency": 3},
        "status": {"state": "ready", "sequence": 4, "coldRemainingMs": 1500.5},
        "born": 1_775_888_484_324,
    }
    return json.dumps(fields | changes).encode()


class TestHeartbeats:
    def test_a_heartbeat_is_an_announcement(self) -> None:
        got = decode_heartbeat("i-1", beat())
        assert (got.id, got.incarnation, got.sequence) == ("i-1", 1_775_888_484_324, 4)
        assert (got.services, got.slots, got.state, got.cold_ms) == (["desk"], 3, "serving", 1500)

    def test_a_draining_upstream_is_leaving(self) -> None:
        raw = beat(status={"state": "draining", "sequence": 5})
        assert decode_heartbeat("i-1", raw).state == "leaving"

    @pytest.mark.parametrize(
        "raw",
        [
            b"",
            b"\xff\xfe",
            b"[]",
            beat(address=None),
            beat(address="nowhere"),
            beat(status={"state": "asleep", "sequence": 1}),
            beat(status={"state": "ready", "sequence": "4"}),
            beat(serverInfo={"service": "desk", "zone": "z1"}),
            beat(serverInfo={"service": "desk", "zone": "z1", "concurrency": 0}),
            beat(born="yesterday"),
        ],
        ids=lambda raw: repr(raw[:30]),
    )
    def test_what_another_writer_sends_names_no_upstream(self, raw: bytes) -> None:
        with pytest.raises(InvalidAnnouncementError):
            decode_heartbeat("i-1", raw)
        port = Port()
        assert port.call("POST", "/Instances.Heartbeat/i-1", raw)[0] == "400"
        assert port.operations.announced == []

    def test_an_acknowledgement_names_the_address_for_later_ones(self) -> None:
        status, body = Port().call("POST", "/Instances.Heartbeat/i-1", beat())
        assert (status, json.loads(body)) == ("200", {"heartbeatAddress": "10.0.0.1:80"})

    def test_what_is_not_known_widely_enough_is_not_acknowledged(self) -> None:
        port = Port()
        port.operations.error = NoQuorumError("cut off")
        assert port.call("POST", "/Instances.Heartbeat/i-1", beat())[0] == "503"
        assert port.call("POST", "/Instances.Deregister/i-1")[0] == "503"

    def test_a_goodbye_tells_the_incarnation_where_it_has_one(self) -> None:
        port = Port()
        port.call("POST", "/Instances.Deregister/i-1", b'{"born": 7}')
        port.call("POST", "/Instances.Deregister/i-2")
        assert port.operations.left == [("i-1", 7), ("i-2", None)]


class TestOrders:
    def test_the_base_version_is_decoded(self) -> None:
        port = Port()
        status, _ = port.call("POST", "/Configuration.Replace", b"raw", X_BASE_VERSION="0000000c")
        assert status == "200"
        assert port.operations.submitted == [(b"raw", 12)]

    @pytest.mark.parametrize("result", ["conflict", "older"])
    def test_a_lost_race_is_told(self, result: Any) -> None:
        port = Port()
        port.operations.answer = SubmitAnswer(result=result, version=8, digest="e", message="m")
        assert port.call("POST", "/Configuration.Replace", b"raw")[0] == "412"

    def test_an_invalid_state_is_refused(self) -> None:
        port = Port()
        port.operations.error = make_manifest_error([ManifestValueError("$", "cut short")])
        assert port.call("POST", "/Configuration.Replace", b"raw")[0] == "400"
        assert port.call("POST", "/Configuration.Replace", b"", X_BASE_VERSION="x")[0] == "400"

    @pytest.mark.parametrize("error", [NoQuorumError("n"), UnknownResultError("u")])
    def test_what_is_not_certain_is_sent_again(self, error: Exception) -> None:
        port = Port()
        port.operations.error = error
        assert port.call("POST", "/Configuration.Replace", b"raw")[0] == "503"

    def test_a_read_returns_the_bytes_that_were_submitted(self) -> None:
        port = Port()
        assert port.call("GET", "/Configuration.Read") == ("200", b"{raw}")
        port.operations.error = NoQuorumError("cut off")
        assert port.call("GET", "/Configuration.Read")[0] == "503"


class TestReadiness:
    @pytest.mark.parametrize(("is_ready", "status"), [(True, "200"), (False, "503")])
    def test_the_status_tells_whether_callers_may_come(self, is_ready: bool, status: str) -> None:
        app = HttpApp(None)
        add_ready_routes(app, lambda: is_ready)
        seen: list[str] = []
        environ = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": "/readiness",
            "wsgi.input": io.BytesIO(b""),
        }
        app(environ, lambda line, headers: seen.append(line))
        assert seen[0].startswith(status)
