from __future__ import annotations

import io
import json
from typing import Any

import msgspec
import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.control.submission import SubmitAnswer
from coltsfootrill.manifest.codec import ManifestValueError
from coltsfootrill.manifest.codec import make_manifest_error
from coltsfootrill.membership.messages import SharedUpstream
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.operators.interface import ManifestAnswer
from coltsfootrill.platform.interface import add_control_routes
from coltsfootrill.platform.interface import add_ready_routes
from coltsfootrill.platform.interface import decode_heartbeat
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.announcement import InvalidAnnouncementError
from coltsfootrill.zones.orders import InvalidZoneOrderError
from coltsfootrill.zones.orders import ZoneAction
from coltsfootrill.zones.orders import ZoneOrders
from coltsfootrill.zones.orders import parse_zone_order


class Operations:
    """Records calls, and returns ``answer`` or raises ``error``."""

    def __init__(self) -> None:
        self.announced: list[Announcement] = []
        self.left: list[tuple[str, int | None, int]] = []
        self.submitted: list[tuple[bytes, int | None]] = []
        self.ordered: list[tuple[str, str, str]] = []
        self.error: Exception | None = None
        self.answer = SubmitAnswer(result="accepted", version=7, digest="d", message="m")
        self.manifest_source: str | None = None

    def announce(self, announcement: Announcement) -> str | None:
        self._raise_error()
        self.announced.append(announcement)
        return "10.0.0.1:80"

    def leave(self, upstream_id: str, incarnation: int | None, *, latest_incarnation: int) -> None:
        self._raise_error()
        self.left.append((upstream_id, incarnation, latest_incarnation))

    def submit(self, raw: bytes, *, base_version: int | None, operator: str) -> SubmitAnswer:
        self._raise_error()
        self.submitted.append((raw, base_version))
        return self.answer

    def order_zone(self, action: ZoneAction, zone: str, *, operator: str) -> ZoneOrders:
        self._raise_error()
        parse_zone_order(action, zone)
        self.ordered.append((action, zone, operator))
        return ZoneOrders(3, {"z1": 3})

    def read_manifest(self) -> ManifestAnswer:
        self._raise_error()
        return ManifestAnswer(b"{raw}", self.manifest_source)

    def _raise_error(self) -> None:
        if self.error is not None:
            raise self.error


class ControlPort:
    """Calls the control routes without a socket."""

    def __init__(self) -> None:
        self.operations = Operations()
        self._app = HttpApp(None)
        self.location = ""
        add_control_routes(self._app, self.operations, clock=ManualClock(1_700_000_000_000))

    def call(self, method: str, path: str, body: bytes = b"", **headers: str) -> tuple[str, bytes]:
        statuses: list[str] = []

        def start_response(status: str, response_headers: list[tuple[str, str]]) -> None:
            statuses.append(status)
            self.location = dict(response_headers).get("Location", "")

        environ: dict[str, Any] = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "wsgi.input": io.BytesIO(body),
        }
        environ |= {f"HTTP_{name}": value for name, value in headers.items()}
        reply = self._app(environ, start_response)
        return statuses[0][:3], b"".join(reply)


def encode_heartbeat(**changes: Any) -> bytes:
    fields: dict[str, Any] = {
        "address": "10.128.0.9:8080",
        "serverInfo": {"service": "desk", "version": "v1", "zone": "z1", "concurrency": 3},
        "status": {"state": "ready", "sequence": 4, "coldRemainingMs": 1500.5},
        "born": 1_775_888_484_324,
    }
    return json.dumps(fields | changes).encode()


def make_server_info(**changes: Any) -> dict[str, Any]:
    return {"service": "desk", "zone": "z1", "concurrency": 3} | changes


def nest(depth: int) -> bytes:
    """Return a heartbeat with a field that is nested ``depth`` levels deep."""
    return encode_heartbeat()[:-1] + b',"x":' + b"[" * depth + b"]" * depth + b"}"


# Each can be read as JSON of the right types, but not be passed on to other instances.
ODD_HEARTBEATS = {
    "long start": encode_heartbeat(
        status={"state": "ready", "sequence": 1, "coldRemainingMs": 1e9}
    ),
    "endless start": encode_heartbeat(
        status={"state": "ready", "sequence": 1, "coldRemainingMs": 1e300}
    ),
    "large sequence": encode_heartbeat(status={"state": "ready", "sequence": 2**60}),
    "huge sequence": encode_heartbeat(status={"state": "ready", "sequence": 2**70}),
    "large start time": encode_heartbeat(born=2**62),
    "long address": encode_heartbeat(address=f"[fe80::1%{'a' * 100}]:80"),
    "port out of range": encode_heartbeat(address="10.0.0.9:70000"),
    "odd zone": encode_heartbeat(serverInfo=make_server_info(zone="Zone A")),
    "long service": encode_heartbeat(serverInfo=make_server_info(service="s" * 5_000)),
    "many slots": encode_heartbeat(serverInfo=make_server_info(concurrency=10_001)),
    "deeply nested": nest(100_000),
}


class TestOddHeartbeats:
    # Guards against one odd entry after which instances no longer follow the hubs.
    @pytest.mark.parametrize("raw", ODD_HEARTBEATS.values(), ids=ODD_HEARTBEATS.keys())
    def test_it_is_refused(self, raw: bytes) -> None:
        port = ControlPort()
        assert port.call("POST", "/Instances.Heartbeat/i-1", raw)[0] == "400"
        assert port.operations.announced == []

    @pytest.mark.parametrize("upstream_id", ["I 1", "a" * 100, "\xfc"])
    def test_one_of_an_odd_identifier_is_refused(self, upstream_id: str) -> None:
        with pytest.raises(InvalidAnnouncementError):
            decode_heartbeat(upstream_id, encode_heartbeat())

    @pytest.mark.parametrize("born", [2**60, 2**70])
    def test_a_deregistration_with_an_odd_start_time_is_refused(self, born: int) -> None:
        port = ControlPort()
        body = json.dumps({"born": born}).encode()
        assert port.call("POST", "/Instances.Deregister/i-1", body)[0] == "400"
        assert port.operations.left == []

    # Guards against memory that anybody's names fill: a departure is stored, written and passed on.
    @pytest.mark.parametrize("upstream_id", ["", "x" * 65, "I-1", "i%201"])
    def test_a_deregistration_with_an_odd_name_is_refused(self, upstream_id: str) -> None:
        port = ControlPort()
        assert port.call("POST", f"/Instances.Deregister/{upstream_id}")[0] == "400"
        assert port.operations.left == []

    @pytest.mark.parametrize(
        "raw",
        [
            encode_heartbeat(),
            encode_heartbeat(born=2**53),
            encode_heartbeat(
                status={"state": "ready", "sequence": 2**53, "coldRemainingMs": 3.6e6}
            ),
            encode_heartbeat(status={"state": "ready", "sequence": 0, "coldRemainingMs": -1e300}),
            encode_heartbeat(serverInfo=make_server_info(concurrency=10_000, zone="z" * 64)),
        ],
        ids=lambda raw: repr(raw[-60:]),
    )
    def test_what_is_accepted_can_be_passed_on(self, raw: bytes) -> None:
        announcement = decode_heartbeat("i-1", raw)
        shared = SharedUpstream(announcement, "n1", 0)
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(shared), type=SharedUpstream) == shared


class TestHeartbeats:
    def test_a_heartbeat_is_decoded_as_an_announcement(self) -> None:
        announcement = decode_heartbeat("i-1", encode_heartbeat())
        assert (announcement.id, announcement.incarnation, announcement.sequence) == (
            "i-1",
            1_775_888_484_324,
            4,
        )
        assert (
            announcement.services,
            announcement.slots,
            announcement.state,
            announcement.cold_ms,
        ) == (["desk"], 3, "serving", 1500)

    def test_the_state_draining_is_decoded_as_leaving(self) -> None:
        raw = encode_heartbeat(status={"state": "draining", "sequence": 5})
        assert decode_heartbeat("i-1", raw).state == "leaving"

    @pytest.mark.parametrize(
        "raw",
        [
            b"",
            b"\xff\xfe",
            b"[]",
            encode_heartbeat(address=None),
            encode_heartbeat(address="nowhere"),
            encode_heartbeat(status={"state": "asleep", "sequence": 1}),
            encode_heartbeat(status={"state": "ready", "sequence": "4"}),
            encode_heartbeat(serverInfo={"service": "desk", "zone": "z1"}),
            encode_heartbeat(serverInfo={"service": "desk", "zone": "z1", "concurrency": 0}),
            encode_heartbeat(born="yesterday"),
        ],
        ids=lambda raw: repr(raw[:30]),
    )
    def test_a_malformed_heartbeat_is_refused(self, raw: bytes) -> None:
        with pytest.raises(InvalidAnnouncementError):
            decode_heartbeat("i-1", raw)
        port = ControlPort()
        assert port.call("POST", "/Instances.Heartbeat/i-1", raw)[0] == "400"
        assert port.operations.announced == []

    def test_an_acknowledgement_contains_the_address_for_later_heartbeats(self) -> None:
        status, body = ControlPort().call("POST", "/Instances.Heartbeat/i-1", encode_heartbeat())
        assert (status, json.loads(body)) == ("200", {"heartbeatAddress": "10.0.0.1:80"})

    def test_calls_without_a_quorum_are_not_acknowledged(self) -> None:
        port = ControlPort()
        port.operations.error = NoQuorumError("cut off")
        assert port.call("POST", "/Instances.Heartbeat/i-1", encode_heartbeat())[0] == "503"
        assert port.call("POST", "/Instances.Deregister/i-1")[0] == "503"

    # Upstreams state when they started on each heartbeat, but deregister without a body.
    def test_a_deregistration_passes_on_its_incarnation_or_the_latest_that_can_have_sent_it(
        self,
    ) -> None:
        port = ControlPort()
        port.call("POST", "/Instances.Deregister/i-1", b'{"born": 7}')
        port.call("POST", "/Instances.Deregister/i-2")
        now_ms = 1_700_000_000_000
        assert port.operations.left == [("i-1", 7, now_ms), ("i-2", None, now_ms)]


class TestConfiguration:
    def test_the_base_version_is_decoded(self) -> None:
        port = ControlPort()
        status, _ = port.call("POST", "/Configuration.Replace", b"raw", X_BASE_VERSION="0000000c")
        assert status == "200"
        assert port.operations.submitted == [(b"raw", 12)]

    @pytest.mark.parametrize("result", ["conflict", "older"])
    def test_a_conflicting_or_older_version_is_refused(self, result: Any) -> None:
        port = ControlPort()
        port.operations.answer = SubmitAnswer(result=result, version=8, digest="e", message="m")
        assert port.call("POST", "/Configuration.Replace", b"raw")[0] == "412"

    def test_an_invalid_state_or_base_version_is_refused(self) -> None:
        port = ControlPort()
        port.operations.error = make_manifest_error([ManifestValueError("$", "cut short")])
        assert port.call("POST", "/Configuration.Replace", b"raw")[0] == "400"
        assert port.call("POST", "/Configuration.Replace", b"", X_BASE_VERSION="x")[0] == "400"

    @pytest.mark.parametrize("error", [NoQuorumError("n"), UnknownResultError("u")])
    def test_an_uncertain_result_is_answered_as_unavailable(self, error: Exception) -> None:
        port = ControlPort()
        port.operations.error = error
        assert port.call("POST", "/Configuration.Replace", b"raw")[0] == "503"

    def test_a_read_returns_the_submitted_bytes(self) -> None:
        port = ControlPort()
        assert port.call("GET", "/Configuration.Read") == ("200", b"{raw}")
        port.operations.error = NoQuorumError("cut off")
        assert port.call("GET", "/Configuration.Read")[0] == "503"

    def test_a_read_is_redirected_to_the_node_that_it_is_to_be_made_at(self) -> None:
        port = ControlPort()
        port.operations.manifest_source = "10.0.0.4:8649"
        assert port.call("GET", "/Configuration.Read")[0] == "307"
        assert port.location == "http://10.0.0.4:8649/Configuration.Read"


class TestReadiness:
    @pytest.mark.parametrize(("is_ready", "status"), [(True, "200"), (False, "503")])
    def test_the_status_depends_on_readiness(self, is_ready: bool, status: str) -> None:
        app = HttpApp(None)
        add_ready_routes(app, lambda: is_ready)
        statuses: list[str] = []
        environ = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": "/readiness",
            "wsgi.input": io.BytesIO(b""),
        }
        app(environ, lambda line, headers: statuses.append(line))
        assert statuses[0].startswith(status)


class TestZones:
    def test_calls_of_an_evacuation_are_orders_on_the_zone(self) -> None:
        port = ControlPort()
        for verb in ("Start", "Finish"):
            assert port.call("POST", f"/Evacuation.{verb}/rajkot-a")[0] == "200"
        assert port.operations.ordered == [
            ("evacuate", "rajkot-a", "platform"),
            ("restore", "rajkot-a", "platform"),
        ]

    @pytest.mark.parametrize("path", ["/Evacuation.Start/", "/Evacuation.Start/Not%20a%20zone"])
    def test_a_bad_name_is_refused(self, path: str) -> None:
        port = ControlPort()
        assert port.call("POST", path)[0] == "400"
        assert port.operations.ordered == []

    @pytest.mark.parametrize(
        ("method", "path"),
        [
            ("GET", "/Evacuation.Start/z1"),
            ("POST", "/Evacuation.Stop/z1"),
            ("POST", "/Evacuation.Start/a/b"),
        ],
    )
    def test_another_method_or_path_is_unknown(self, method: str, path: str) -> None:
        assert ControlPort().call(method, path)[0] == "404"

    @pytest.mark.parametrize(
        ("error", "status"),
        [
            (InvalidZoneOrderError("too many"), "400"),
            (NoQuorumError("no majority"), "503"),
            (UnknownResultError("unknown"), "503"),
        ],
    )
    def test_an_order_that_is_not_in_force_is_no_success(
        self, error: Exception, status: str
    ) -> None:
        port = ControlPort()
        port.operations.error = error
        assert port.call("POST", "/Evacuation.Start/z1")[0] == status
