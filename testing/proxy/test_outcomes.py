from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from testing.processes import wait_until
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.proxy.fakes import encode
from testing.proxy.fakes import send_raw
from testing.proxy.fakes import stay_silent
from testing.proxy.instance import Instance
from testing.proxy.instance import Reply
from testing.proxy.instance import make_manifest

Serve = Callable[..., ScriptedUpstream]
# For threads that run late; the time of the instance stands still meanwhile.
REFUSAL_MAX_S = 5.0
SHED = answer(b"", status="503 Service Unavailable", extra="upstream-shed: 1\r\n")


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def instance(clock: Clock) -> Iterator[Instance]:
    made = Instance(clock=clock)
    yield made
    made.close()


@pytest.fixture
def serve(instance: Instance) -> Iterator[Serve]:
    started: list[ScriptedUpstream] = []

    def start(script: Script, upstream_id: str = "", **changes: object) -> ScriptedUpstream:
        started.append(ScriptedUpstream(script))
        name = upstream_id or f"u{len(started)}"
        instance.announce(name, started[-1].address, **changes)
        return started[-1]

    yield start
    for upstream in started:
        upstream.close()


def _get_refusing_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def _answer_after(delays: dict[int, float]) -> Script:
    def script(sock: socket.socket, head: bytes, number: int) -> bool:
        time.sleep(delays.get(number, 0))
        sock.sendall(encode())
        return True

    return script


class TestAtMostOnce:
    def test_request_lost_after_first_byte_is_unknown_and_not_resent(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstreams = [serve(send_raw(b"")) for _ in range(3)]
        reply = instance.call("/once", method="POST", body=b"order")
        assert (reply.status, reply.outcome) == (502, "unknown")
        assert sum(len(upstream.heads) for upstream in upstreams) == 1

    def test_refused_connection_proves_not_run_and_is_retried_elsewhere(
        self, instance: Instance, serve: Serve
    ) -> None:
        instance.announce("u9", _get_refusing_address())
        healthy = serve(answer())
        replies = [instance.call("/once", method="POST") for _ in range(10)]
        assert {reply.outcome for reply in replies} == {"answered"}
        assert len(healthy.heads) == 10

    def test_explicit_shed_proves_not_run_and_is_retried_elsewhere(
        self, instance: Instance, serve: Serve
    ) -> None:
        serve(SHED)
        healthy = serve(answer())
        assert instance.call("/once", method="POST").outcome == "answered"
        assert len(healthy.heads) == 1

    def test_request_shed_by_every_upstream_is_not_run(
        self, instance: Instance, serve: Serve
    ) -> None:
        serve(SHED)
        reply = instance.call("/once", method="POST")
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert reply.headers["Retry-After"] == "1"

    def test_plain_503_is_an_answer_and_is_not_retried(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstreams = [serve(answer(b"busy", status="503 Service Unavailable")) for _ in range(2)]
        reply = instance.call("/once", method="POST")
        assert (reply.status, reply.outcome, reply.body) == (503, "answered", b"busy")
        assert sum(len(upstream.heads) for upstream in upstreams) == 1

    def test_each_non_idempotent_request_opens_a_fresh_connection(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = serve(answer())
        for _ in range(3):
            instance.call("/once", method="POST")
        assert upstream.connections == 3

    def test_refusal_after_a_lost_attempt_is_unknown(
        self, instance: Instance, serve: Serve
    ) -> None:
        # The last attempt is refused, but the first one may have run.
        serve(send_raw(b""), "u1")
        instance.announce("u2", _get_refusing_address())
        reply = instance.call("/x")
        assert (reply.outcome, reply.status) == ("unknown", 502)

    def test_missing_upstream_after_a_lost_attempt_is_unknown(
        self, instance: Instance, serve: Serve
    ) -> None:
        def leave(sock: socket.socket, head: bytes, number: int) -> bool:
            instance.announce("u1", upstream.address, state="leaving")
            return False

        upstream = serve(leave)
        reply = instance.call("/x")
        assert (reply.outcome, reply.status) == ("unknown", 502)


def _forget_latencies(pool: ServicePool, now_ms: float) -> None:
    for load in pool.by_id.values():
        load.slowness = 0.0


class TestRetries:
    def test_idempotent_request_is_retried_elsewhere_after_truncated_answer(
        self, instance: Instance, serve: Serve
    ) -> None:
        serve(send_raw(encode(b"hello")[:-2]))
        serve(answer(b"whole"))
        replies = [instance.call() for _ in range(4)]
        assert {reply.body for reply in replies} == {b"whole"}

    def test_server_error_is_retried_and_then_forwarded(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = serve(answer(b"broken", status="500 Internal Server Error"))
        reply = instance.call()
        assert (reply.status, reply.outcome, reply.body) == (500, "answered", b"broken")
        assert len(upstream.heads) == 3

    def test_retried_requests_have_the_retried_header(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = serve(answer(b"", status="500 Internal Server Error"))
        instance.call()
        marks = [b"Coltsfootrill-Retried: 1" in head for head in upstream.heads]
        assert marks == [False, True, True]

    def test_request_with_the_retried_header_is_not_retried(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = serve(answer(b"", status="500 Internal Server Error"))
        instance.call(Coltsfootrill_Retried="1")
        assert len(upstream.heads) == 1

    def test_hedged_request_is_answered_first_and_straggler_is_cancelled(
        self, instance: Instance, serve: Serve
    ) -> None:
        closed = threading.Event()

        def stall_after_40(sock: socket.socket, head: bytes, number: int) -> bool:
            if number <= 40:
                sock.sendall(encode(b"quick"))
                return True
            sock.settimeout(5)
            if sock.recv(1) == b"":
                closed.set()
            return False

        first = serve(stall_after_40)
        for _ in range(40):
            instance.call("/hedged")
        # One slow answer on a busy host would make the other upstream the better choice.
        instance.app.controllers_by_service["work"].read_pool(_forget_latencies)
        serve(answer(b"hedge"), "u2")
        replies = [instance.call("/hedged") for _ in range(4)]
        assert {reply.status for reply in replies} == {200}
        assert all(reply.body in (b"quick", b"hedge") for reply in replies)
        assert len(first.heads) > 40
        assert closed.wait(3)


class TestDeadlines:
    def test_remaining_time_is_sent_with_the_request(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = serve(answer())
        instance.call(Coltsfootrill_Deadline_Ms="300")
        line = next(
            line
            for line in upstream.heads[0].split(b"\r\n")
            if line.startswith(b"Coltsfootrill-Deadline-Ms:")
        )
        assert 0 < int(line.partition(b":")[2]) <= 300

    def test_expired_request_is_not_sent(self, instance: Instance, serve: Serve) -> None:
        upstream = serve(answer())
        reply = instance.call(Coltsfootrill_Deadline_Ms="0")
        assert (reply.status, reply.outcome, reply.reason) == (503, "not-run", "deadline")
        assert upstream.heads == []

    def test_no_answer_until_the_deadline_is_unknown(
        self, instance: Instance, serve: Serve
    ) -> None:
        serve(stay_silent())
        start_s = time.monotonic()
        reply = instance.call("/once", method="POST", Coltsfootrill_Deadline_Ms="200")
        assert (reply.status, reply.outcome) == (504, "unknown")
        assert time.monotonic() - start_s < 1.2

    def test_non_numeric_deadline_is_refused(self, instance: Instance, serve: Serve) -> None:
        serve(answer())
        reply = instance.call(Coltsfootrill_Deadline_Ms="soon")
        assert (reply.status, reply.outcome) == (400, "not-run")


class TestSilentConnections:
    def test_request_is_retried_on_fresh_connection_and_idle_ones_are_discarded(
        self, instance: Instance, serve: Serve
    ) -> None:
        is_cut = threading.Event()
        # Holds sockets, not descriptors: a descriptor is reused after its socket is closed.
        silent: set[socket.socket] = set()

        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            if is_cut.is_set() and sock in silent:
                threading.Event().wait(10)
                return False
            if not is_cut.is_set():
                silent.add(sock)
            time.sleep(0.02)
            sock.sendall(encode())
            return True

        upstream = serve(script)
        with ThreadPoolExecutor(3) as pool:
            list(pool.map(lambda _: instance.call(), range(30)))
        opened = upstream.connections
        is_cut.set()
        start_s = time.monotonic()
        replies = [instance.call() for _ in range(3)]
        assert {reply.outcome for reply in replies} == {"answered"}
        assert time.monotonic() - start_s < 1.5
        assert upstream.connections > opened
        assert instance.metrics.discarded_connections._value.get() >= 1


class TestUpstreamsSilentWhenFull:
    """A full upstream never answers the request that it drops, nor any later one there."""

    def test_non_idempotent_request_is_unknown_and_sent_once(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstreams = [serve(stay_silent()), serve(stay_silent())]
        reply = instance.call("/once", method="POST", Coltsfootrill_Deadline_Ms="200")
        assert (reply.status, reply.outcome) == (504, "unknown")
        assert sum(len(upstream.heads) for upstream in upstreams) == 1

    def test_idempotent_request_with_a_target_is_answered_by_another_upstream(
        self, instance: Instance, serve: Serve
    ) -> None:
        full = serve(stay_silent(), "u-full")
        with ThreadPoolExecutor(1) as executor:
            blocked = executor.submit(instance.call, "/targeted")
            wait_until(lambda: bool(full.heads))
            serve(answer(b"other"), "u-other")
            assert blocked.result().body == b"other"

    def test_later_requests_neither_wait_behind_it_nor_reuse_its_connection(
        self, instance: Instance, serve: Serve
    ) -> None:
        silent: set[socket.socket] = set()
        is_full = threading.Event()

        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            if is_full.is_set():
                silent.add(sock)
            if sock in silent:
                return stay_silent()(sock, head, number)
            sock.sendall(encode())
            return True

        upstream = serve(script)
        assert instance.call("/once", method="POST").outcome == "answered"
        is_full.set()
        dropped = instance.call("/once", method="POST", Coltsfootrill_Deadline_Ms="200")
        assert dropped.outcome == "unknown"
        is_full.clear()
        replies = [
            instance.call(path, method=method)
            for path, method in [("/x", "GET"), ("/once", "POST"), ("/x", "GET")]
        ]
        assert {reply.outcome for reply in replies} == {"answered"}
        assert upstream.connections >= 3


class TestCallers:
    def test_upstream_request_is_cancelled_when_the_caller_disconnects(
        self, instance: Instance, serve: Serve
    ) -> None:
        closed = threading.Event()

        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            sock.settimeout(5)
            if sock.recv(1) == b"":
                closed.set()
            return False

        upstream = serve(script)
        with socket.create_connection(("127.0.0.1", instance.server.port)) as sock:
            sock.sendall(b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n")
            while not upstream.heads:
                time.sleep(0.01)
        assert closed.wait(1)

    def test_internal_and_hop_by_hop_headers_are_not_forwarded(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = serve(
            answer(b"", extra="keep-alive: 5\r\nx-secret: 1\r\nconnection: x-secret\r\n")
        )
        reply = instance.call(
            Connection="x-private", X_Private="1", Coltsfootrill_Outcome="answered", Te="trailers"
        )
        head = upstream.heads[0].lower()
        assert b"x-private" not in head and b"coltsfootrill-outcome" not in head
        assert b"\r\nte:" not in head
        assert "Keep-Alive" not in reply.headers and "X-Secret" not in reply.headers

    def test_idempotency_key_is_forwarded_unchanged(self, instance: Instance, serve: Serve) -> None:
        upstream = serve(answer())
        instance.call("/once", method="POST", Idempotency_Key="order-17")
        assert b"idempotency-key: order-17" in upstream.heads[0]

    @pytest.mark.parametrize(
        "raw",
        [
            b"POST /once HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n"
            b"\r\n0\r\n\r\n",
            b"POST /once HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
            b"POST /once HTTP/1.0\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            b"POST /once HTTP/1.1\r\nhost: h\r\ntransfer-encoding: gzip\r\n\r\n",
            b"GET /x HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
            b"GET /x HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 70_000 + b"\r\n\r\n",
            b"POST /once HTTP/1.1\r\nhost: h\r\ncontent-length: 99999999\r\n\r\n",
        ],
        ids=["length-and-chunks", "two-lengths", "old-chunks", "coding", "hosts", "head", "body"],
    )
    def test_ambiguous_or_oversized_request_is_refused_as_not_run(
        self, instance: Instance, serve: Serve, raw: bytes
    ) -> None:
        upstream = serve(answer())
        reply = instance.send_raw(raw)
        assert reply.startswith(b"HTTP/1.1 4") or reply.startswith(b"HTTP/1.1 501")
        assert b"Coltsfootrill-Outcome: not-run" in reply
        assert upstream.heads == []

    def test_pipelined_requests_are_answered_in_order(
        self, instance: Instance, serve: Serve
    ) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            sock.sendall(encode(head.split(b" ")[1]))
            return True

        serve(script)
        requests = [b"GET /x/%d HTTP/1.1\r\nhost: h\r\n\r\n" % n for n in range(4)]
        requests.append(b"GET /x/4 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
        data = b"".join(requests)
        raw = instance.send_raw(data)
        assert [raw.find(b"/x/%d" % n) for n in range(5)] == sorted(
            raw.find(b"/x/%d" % n) for n in range(5)
        )
        assert raw.count(b"HTTP/1.1 200") == 5

    def test_calls_at_the_depth_limit_are_refused(self, instance: Instance, serve: Serve) -> None:
        upstream = serve(answer())
        assert instance.call(Coltsfootrill_Depth="17").outcome == "answered"
        assert b"Coltsfootrill-Depth: 18" in upstream.heads[0]
        reply = instance.call(Coltsfootrill_Depth="32")
        assert (reply.status, reply.outcome) == (508, "not-run")

    def test_unknown_name_is_refused(self, instance: Instance) -> None:
        reply = instance.call("/nobody")
        assert (reply.status, reply.outcome, reply.reason) == (404, "not-run", "no-route")

    def test_request_is_refused_at_once_without_upstreams(self, instance: Instance) -> None:
        start_s = time.monotonic()
        reply = instance.call()
        assert (reply.outcome, reply.reason) == ("not-run", "no-upstream")
        assert time.monotonic() - start_s < 1


class TestAdmission:
    @pytest.mark.parametrize("clock", [ManualClock()], ids=["manual"])
    def test_requests_that_would_miss_their_deadline_are_refused_and_others_answered(
        self, clock: ManualClock, instance: Instance, serve: Serve
    ) -> None:
        has_refused = threading.Event()
        was_refused_at_once: list[bool] = []
        lock = threading.Lock()

        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            # Beside load the requests arrive one by one, and there must be too many at a time. So
            # no time passes until one is refused, and then 100 ms while each of 3 slots answers.
            # That is less than the deadline for all 40: no thread that runs late can miss it.
            was_refused_at_once.append(has_refused.wait(REFUSAL_MAX_S))
            has_refused.set()  # Nobody waits again if none was.
            with lock:
                clock.advance(100 / 3)
            sock.sendall(encode())
            return True

        def call(_: int) -> Reply:
            reply = instance.call("/once", method="POST")
            if reply.outcome == "not-run":
                has_refused.set()
            return reply

        serve(script)
        with ThreadPoolExecutor(40) as pool:
            replies = list(pool.map(call, range(40)))
        # A full queue refuses at once, not only when the deadline has come near.
        assert all(was_refused_at_once)
        outcomes = {reply.outcome for reply in replies}
        assert outcomes == {"answered", "not-run"}
        refused = [reply for reply in replies if reply.outcome == "not-run"]
        assert {reply.reason for reply in refused} <= {"queue-full", "overloaded", "deadline"}
        assert all(reply.headers["Retry-After"] for reply in refused)

    def test_requests_in_flight_do_not_exceed_the_slots(
        self, instance: Instance, serve: Serve
    ) -> None:
        running = 0
        highest = 0
        lock = threading.Lock()

        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            nonlocal running, highest
            with lock:
                running += 1
                highest = max(highest, running)
            time.sleep(0.03)
            with lock:
                running -= 1
            sock.sendall(encode())
            return True

        serve(script)
        with ThreadPoolExecutor(12) as pool:
            list(pool.map(lambda _: instance.call(), range(24)))
        assert highest <= 3

    def test_deferrable_request_runs_by_its_latest_time_under_constant_load(
        self, instance: Instance, serve: Serve
    ) -> None:
        serve(_answer_after({n: 0.03 for n in range(1_000)}))
        is_over = threading.Event()

        def send_load() -> None:
            while not is_over.is_set():
                instance.call("/x")

        with ThreadPoolExecutor(6) as pool:
            for _ in range(6):
                pool.submit(send_load)
            time.sleep(0.2)
            start_s = time.monotonic()
            reply = instance.call("/later")
            elapsed_s = time.monotonic() - start_s
            is_over.set()
        assert reply.outcome == "answered"
        assert elapsed_s < 1.5


class TestRefresh:
    def test_refresh_tells_whether_requests_are_in_progress(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = serve(stay_silent())
        assert not instance.app.refresh()
        with ThreadPoolExecutor(1) as executor:
            call = executor.submit(
                instance.call, "/once", method="POST", Coltsfootrill_Deadline_Ms="600"
            )
            wait_until(lambda: bool(upstream.heads))
            assert instance.app.refresh()
            assert call.result().outcome == "unknown"
        wait_until(lambda: not instance.app.refresh())


class TestStops:
    def test_graceful_stop_completes_requests_in_progress(
        self, serve: Serve, instance: Instance
    ) -> None:
        serve(_answer_after({n: 0.4 for n in range(1, 10)}))
        with ThreadPoolExecutor(3) as pool:
            calls = [pool.submit(instance.call, "/once", method="POST") for _ in range(3)]
            while instance.server.count_in_progress() < 3:
                time.sleep(0.01)
            assert instance.close() == 0
            replies = [call.result() for call in calls]
        assert {reply.outcome for reply in replies} == {"answered"}
        assert {reply.headers["Connection"] for reply in replies} == {"close"}

    def test_leaving_upstream_gets_no_new_requests_and_completes_old_ones(
        self, serve: Serve, instance: Instance
    ) -> None:
        upstream = serve(_answer_after({1: 0.4}))
        with ThreadPoolExecutor(1) as pool:
            old = pool.submit(instance.call, "/once", method="POST")
            while not upstream.heads:
                time.sleep(0.01)
            instance.announce("u1", upstream.address, state="leaving")
            assert instance.call().reason == "no-upstream"
            assert instance.app.count_in_flight() == {"u1": 1}
            assert old.result().outcome == "answered"
        # The end of an attempt is recorded after its answer has been sent.
        wait_until(lambda: instance.app.count_in_flight().get("u1", 0) == 0)
        assert len(upstream.heads) == 1

    def test_upstream_with_expired_lease_is_used_again_once_renewed(
        self, serve: Serve, instance: Instance
    ) -> None:
        upstream = serve(answer())
        assert instance.call().outcome == "answered"
        record = instance.fleet.directory.by_id["u1"]
        record.last_confirmed_ms -= 10_000
        wait_until(lambda: instance.call().reason == "no-upstream", within_s=4)
        instance.announce("u1", upstream.address)
        assert instance.call().outcome == "answered"

    def test_request_completes_under_the_manifest_it_started_with(
        self, serve: Serve, instance: Instance
    ) -> None:
        upstream = serve(_answer_after({1: 0.3}))
        with ThreadPoolExecutor(1) as pool:
            old = pool.submit(instance.call)
            while not upstream.heads:
                time.sleep(0.01)
            instance.manifests.adopt(make_manifest(2, deadline_ms=100))
            assert old.result().outcome == "answered"
