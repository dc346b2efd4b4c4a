from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import grpc
import msgspec
import pytest

from coltsfootrill.control.messages import ReadRequest
from coltsfootrill.control.replica import READ
from coltsfootrill.membership.exchange import FETCH_MANIFEST
from coltsfootrill.membership.following import FOLLOW
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import ManifestReply
from coltsfootrill.membership.messages import ManifestRequest
from coltsfootrill.rpc import KEEPALIVE_AFTER_MS
from coltsfootrill.rpc import KEEPALIVE_TIMEOUT_MS
from coltsfootrill.rpc import MESSAGE_MAX_BYTES
from coltsfootrill.rpc import RpcClient
from coltsfootrill.rpc import RpcError
from coltsfootrill.rpc import RpcServer
from coltsfootrill.rpc import pack_reply
from testing.relay import Relay

LONG_TIMEOUT_MS = 20_000.0
SHORT_TIMEOUT_MS = 500.0
MEASURED_WITHIN_S = 0.3
POLL = FollowRequest(InstanceRecord("n1", 1, "127.0.0.1:1", "z1", False, 1), False, False, 0, 0, 0)
# More pending connections than the kernel queues for a backlog of 0.
PENDING_COUNT = 4
REFUSED_COUNT = 4


@pytest.fixture
def silent_address() -> Iterator[str]:
    """Yield an address whose packets are dropped, because its queue of connections is full."""
    with ExitStack() as sockets:
        listener = sockets.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(PENDING_COUNT):
            pending = sockets.enter_context(socket.socket())
            pending.setblocking(False)
            pending.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


class TestSilentHost:
    def test_call_fails_once_the_attempt_to_connect_is_given_up(self, silent_address: str) -> None:
        client = RpcClient(silent_address)
        # Later the kernel gives it up as well, by the timeout that gRPC sets for pings.
        with pytest.raises(RpcError, match="unavailable"):
            client.call(FOLLOW, POLL, timeout_ms=KEEPALIVE_TIMEOUT_MS)
        client.close()


class SilentServer:
    """A server behind a relay. Its method ``Follow`` waits until ``release`` is set."""

    def __init__(self) -> None:
        self.release = threading.Event()
        self._server = RpcServer(ThreadPoolExecutor(8))
        self._server.add(FOLLOW, self._answer_late)
        self._server.add(FETCH_MANIFEST, lambda request: ManifestReply(1, b""))
        self._server.start("127.0.0.1:0")
        self.relay = Relay(self._server.port)

    def _answer_late(self, request: FollowRequest) -> FollowReply:
        self.release.wait()
        return FollowReply(1, 1, True, True, 1, 0, [], [], [], True, [], [], [], [])

    def close(self) -> None:
        self.release.set()
        self._server.stop(grace_ms=0)


@pytest.fixture
def server() -> Iterator[SilentServer]:
    server = SilentServer()
    yield server
    server.close()


@pytest.fixture
def client(server: SilentServer) -> Iterator[RpcClient]:
    client = RpcClient(server.relay.address)
    client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=LONG_TIMEOUT_MS)
    yield client
    client.close()


class ClosingChannel:
    """A channel that loses its connection after the first reply, and still takes calls on it."""

    def __init__(self) -> None:
        self.calls_count = 0

    def unary_unary(self, path: str) -> Callable[..., bytes]:
        return self._call

    def _call(self, raw: bytes, *, timeout: float, compression: grpc.Compression) -> bytes:
        self.calls_count += 1
        if self.calls_count > 1:
            raise ConnectionLostError
        return msgspec.msgpack.encode(ManifestReply(1, b""))

    def close(self) -> None:
        return


class ConnectionLostError(grpc.RpcError):  # type: ignore[misc]
    def code(self) -> grpc.StatusCode:
        return grpc.StatusCode.UNAVAILABLE

    def details(self) -> str:
        return "ping timeout"


class TestLostConnection:
    # Guards against a second failure at once: a call was sent on the connection that was closing.
    def test_no_call_is_sent_on_it_again(self, monkeypatch: pytest.MonkeyPatch) -> None:
        channels: list[ClosingChannel] = []

        def open_channel(address: str, *, options: object) -> ClosingChannel:
            channels.append(ClosingChannel())
            return channels[-1]

        monkeypatch.setattr("coltsfootrill.rpc.grpc.insecure_channel", open_channel)
        client = RpcClient("127.0.0.1:1")
        client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=LONG_TIMEOUT_MS)
        with pytest.raises(RpcError, match="unavailable"):
            client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=LONG_TIMEOUT_MS)
        reply = client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=LONG_TIMEOUT_MS)
        assert reply.version == 1
        assert [channel.calls_count for channel in channels] == [2, 1]


class TestSilentConnection:
    # Guards against a manifest in force too late: silent channels lasted until a second timeout.
    def test_the_first_call_without_a_reply_is_the_only_one(
        self, server: SilentServer, client: RpcClient
    ) -> None:
        server.relay.cut_existing()
        with pytest.raises(RpcError, match="deadline_exceeded"):
            client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=SHORT_TIMEOUT_MS)
        reply = client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=LONG_TIMEOUT_MS)
        assert reply.version == 1

    def test_calls_that_wait_on_the_connection_end_with_it(
        self, server: SilentServer, client: RpcClient
    ) -> None:
        server.relay.cut_existing()
        with ThreadPoolExecutor(1) as executor:
            poll = executor.submit(client.call, FOLLOW, POLL, timeout_ms=LONG_TIMEOUT_MS)
            with pytest.raises(RpcError, match="deadline_exceeded"):
                client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=SHORT_TIMEOUT_MS)
            error = poll.exception()
        assert isinstance(error, RpcError)
        assert "cancelled" in str(error)

    # Guards against a leaving upstream heard too late: a poll lasted until its own timeout.
    def test_a_call_that_waits_ends_before_its_timeout(
        self, server: SilentServer, client: RpcClient
    ) -> None:
        # A ping that measures the bandwidth, still unanswered, would reveal the loss as well.
        time.sleep(MEASURED_WITHIN_S)
        server.relay.cut_existing()
        with pytest.raises(RpcError, match="unavailable"):
            client.call(FOLLOW, POLL, timeout_ms=LONG_TIMEOUT_MS)
        reply = client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=LONG_TIMEOUT_MS)
        assert reply.version == 1

    def test_a_call_that_waits_on_a_working_connection_is_not_disturbed(
        self, server: SilentServer, client: RpcClient
    ) -> None:
        released_after_s = 4 * KEEPALIVE_AFTER_MS / 1_000
        threading.Timer(released_after_s, server.release.set).start()
        client.call(FOLLOW, POLL, timeout_ms=LONG_TIMEOUT_MS)
        assert server.relay.accepted_count == 1

    # Guards against polls that end with a refusal: a starting node asked hubs that serve no reads.
    def test_a_method_that_the_server_does_not_have_ends_no_other_call(
        self, server: SilentServer, client: RpcClient
    ) -> None:
        with ThreadPoolExecutor(1) as executor:
            poll = executor.submit(client.call, FOLLOW, POLL, timeout_ms=LONG_TIMEOUT_MS)
            for _ in range(REFUSED_COUNT):
                with pytest.raises(RpcError, match="unimplemented"):
                    client.call(READ, ReadRequest("n1", 0, True), timeout_ms=LONG_TIMEOUT_MS)
            server.release.set()
            assert poll.result().position == 1
        assert server.relay.accepted_count == 1

    def test_a_slow_call_keeps_a_connection_on_which_others_are_answered(
        self, server: SilentServer, client: RpcClient
    ) -> None:
        with ThreadPoolExecutor(1) as executor:
            poll = executor.submit(client.call, FOLLOW, POLL, timeout_ms=SHORT_TIMEOUT_MS)
            while not poll.done():
                client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=LONG_TIMEOUT_MS)
        assert isinstance(poll.exception(), RpcError)
        client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=LONG_TIMEOUT_MS)
        assert server.relay.accepted_count == 1


class TestCompression:
    # Guards against bytes between zones: the server ignored the compression set for one reply.
    def test_a_large_reply_takes_a_fraction_of_its_size_on_the_wire(self) -> None:
        reply = ManifestReply(7, b"route " * 10_000)
        server = RpcServer(ThreadPoolExecutor(1))
        server.add(FETCH_MANIFEST, lambda request: reply)
        server.start("127.0.0.1:0")
        relay = Relay(server.port)
        client = RpcClient(relay.address)
        assert client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=LONG_TIMEOUT_MS) == reply
        client.close()
        server.stop(grace_ms=0)
        assert relay.reply_bytes < len(reply.raw) / 10


class TestPackedReplies:
    REPLY = ManifestReply(7, b"route " * 1_000)

    def test_a_packed_reply_is_decoded(self) -> None:
        packed = pack_reply(msgspec.msgpack.encode(self.REPLY))
        assert len(packed) < len(self.REPLY.raw)
        assert FETCH_MANIFEST.decode_reply(packed) == self.REPLY

    def test_a_short_reply_is_not_packed(self) -> None:
        raw = msgspec.msgpack.encode(ManifestReply(7, b""))
        assert pack_reply(raw) == raw

    def test_equal_replies_are_packed_once(self) -> None:
        raws = [msgspec.msgpack.encode(self.REPLY) for _ in range(2)]
        assert raws[0] is not raws[1]
        assert pack_reply(raws[0]) is pack_reply(raws[1])

    def test_a_reply_that_was_cut_off_is_an_error(self) -> None:
        packed = pack_reply(msgspec.msgpack.encode(self.REPLY))
        with pytest.raises(ValueError, match="cut off"):
            FETCH_MANIFEST.decode_reply(packed[:-1])

    def test_bytes_that_are_no_packed_reply_are_an_error(self) -> None:
        with pytest.raises(ValueError, match="decompressed"):
            FETCH_MANIFEST.decode_reply(b"x" * 100)


class TestCallsOfReplicas:
    # Guards against CONFIG in a large fleet: votes waited behind polls, which held all threads.
    def test_a_method_with_threads_of_its_own_does_not_wait_for_others(self) -> None:
        release = threading.Event()
        server = RpcServer(ThreadPoolExecutor(1))
        server.add(FOLLOW, lambda request: release.wait())
        server.add(
            FETCH_MANIFEST,
            lambda request: ManifestReply(1, b""),
            executor=ThreadPoolExecutor(1),
        )
        server.start("127.0.0.1:0")
        client = RpcClient(f"127.0.0.1:{server.port}")
        with ThreadPoolExecutor(1) as executor:
            poll = executor.submit(client.call, FOLLOW, POLL, timeout_ms=SHORT_TIMEOUT_MS)
            reply = client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=LONG_TIMEOUT_MS)
            assert isinstance(poll.exception(), RpcError)
        assert reply.version == 1
        release.set()
        client.close()
        server.stop(grace_ms=0)


class TestTooLargeMessages:
    # Guards against a process that ends for the messages that it receives.
    @pytest.mark.parametrize(
        ("size_bytes", "compression"),
        [
            pytest.param(MESSAGE_MAX_BYTES + 1, grpc.Compression.NoCompression, id="plain"),
            pytest.param(4 * MESSAGE_MAX_BYTES, grpc.Compression.Gzip, id="compressed"),
        ],
    )
    def test_message_is_refused_and_the_next_call_is_answered(
        self,
        server: SilentServer,
        client: RpcClient,
        size_bytes: int,
        compression: grpc.Compression,
    ) -> None:
        options = [("grpc.max_send_message_length", -1)]
        with grpc.insecure_channel(server.relay.address, options=options) as channel:
            call = channel.unary_unary(FETCH_MANIFEST.path)
            with pytest.raises(grpc.RpcError) as raised:
                call(bytes(size_bytes), timeout=LONG_TIMEOUT_MS / 1000, compression=compression)
        assert raised.value.code() == grpc.StatusCode.RESOURCE_EXHAUSTED
        reply = client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=LONG_TIMEOUT_MS)
        assert reply.version == 1
