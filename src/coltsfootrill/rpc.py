"""Remote procedure calls between instances: gRPC with MessagePack messages typed by msgspec."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any
from typing import TypeVar

import grpc
import msgspec
from absl import logging

from coltsfootrill.errors import ColtsfootrillError

Request = TypeVar("Request")
Reply = TypeVar("Reply")

MESSAGE_MAX_BYTES = 16 * 1024 * 1024
# Compressing a smaller message takes more time than it saves on a link of low bandwidth.
COMPRESSED_MIN_BYTES = 1_024
CONNECT_TIMEOUT_MS = 300
# A connection on which nothing arrives for this long is checked with a ping while a call waits, and
# is lost if a ping is not answered in time.
KEEPALIVE_AFTER_MS = 1_200
KEEPALIVE_TIMEOUT_MS = 900
_UNLIMITED = 0
_FAILURES_BEFORE_RECONNECT = 2
_CONNECTION_LOST = grpc.StatusCode.UNAVAILABLE
_TIMED_OUT = grpc.StatusCode.DEADLINE_EXCEEDED
_OPTIONS = (
    ("grpc.max_receive_message_length", MESSAGE_MAX_BYTES),
    ("grpc.max_send_message_length", MESSAGE_MAX_BYTES),
    ("grpc.so_reuseport", 0),
)
_CLIENT_OPTIONS = (
    *_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    # Also the time after which an attempt to connect is given up. A host that has just lost power
    # does not answer, and the kernel sends the opening packet again only after a second.
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.keepalive_time_ms", KEEPALIVE_AFTER_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    # gRPC measures the bandwidth with pings as well, and sends no other while one is unanswered.
    ("grpc.http2.ping_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.max_pings_without_data", _UNLIMITED),
)
_SERVER_OPTIONS = (*_OPTIONS, ("grpc.http2.max_ping_strikes", _UNLIMITED))


class RpcError(ColtsfootrillError):
    """A call got no valid reply in time, was refused, or a server could not listen."""


class Method:
    """A remote procedure: its path, and decoders for its request and reply."""

    __slots__ = ("decode_reply", "decode_request", "path")

    def __init__(self, *, service: str, name: str, request: type, reply: type) -> None:
        self.path = f"/coltsfootrill.{service}/{name}"
        self.decode_request: Callable[[bytes], Any] = msgspec.msgpack.Decoder(request).decode
        self.decode_reply: Callable[[bytes], Any] = msgspec.msgpack.Decoder(reply).decode


def choose_compression(raw: bytes) -> grpc.Compression:
    """Return gzip for messages of at least ``COMPRESSED_MIN_BYTES``, no compression for others."""
    if len(raw) < COMPRESSED_MIN_BYTES:
        return grpc.Compression.NoCompression
    return grpc.Compression.Gzip


class ByteCounter:
    """Count the bytes of messages, before compression and without the framing of gRPC."""

    __slots__ = ("received", "sent")

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0


class RpcClient:
    """A client of one address, which replaces a channel that no longer works.

    That is one on which a call timed out and no other call got a reply meanwhile, one that had
    replied before its connection was lost, or one on which calls failed
    ``_FAILURES_BEFORE_RECONNECT`` times in a row for another reason. Calls that wait on the channel
    fail with it. Thread-safe.
    """

    __slots__ = (
        "_address",
        "_channel",
        "_counter",
        "_credentials",
        "_failures",
        "_lock",
        "_replies_count",
    )

    def __init__(
        self,
        address: str,
        *,
        credentials: grpc.ChannelCredentials | None = None,
        counter: ByteCounter | None = None,
    ) -> None:
        self._address = address
        self._credentials = credentials
        self._counter = counter or ByteCounter()
        self._lock = threading.Lock()
        self._failures = 0
        self._replies_count = 0
        self._channel = self._open()

    def call(self, method: Method, request: Any, *, timeout_ms: float) -> Any:
        """Call ``method`` and return the reply.

        Raise ``RpcError`` when no valid reply comes within ``timeout_ms``, or the call is refused.
        """
        raw = msgspec.msgpack.encode(request)
        self._counter.sent += len(raw)
        channel = self._channel
        replies_before = self._replies_count
        stub = channel.unary_unary(method.path)
        try:
            raw_reply = stub(
                raw, timeout=max(timeout_ms, 1) / 1000, compression=choose_compression(raw)
            )
            self._counter.received += len(raw_reply)
            reply = method.decode_reply(raw_reply)
        except grpc.RpcError as error:
            if error.code() == grpc.StatusCode.FAILED_PRECONDITION:
                self._record_reply()
            else:
                is_silent = error.code() == _TIMED_OUT and self._replies_count == replies_before
                is_lost = error.code() == _CONNECTION_LOST and self._replies_count > 0
                self._record_failure(channel, may_work=not (is_silent or is_lost))
            reason = f"{error.code().name.lower()} {error.details() or ''}"
            raise RpcError(f"{self._address}: {reason.strip()}") from error
        except (ValueError, msgspec.MsgspecError) as error:
            # A closed channel raises ValueError: another thread has replaced it in the meantime.
            raise RpcError(f"{self._address}: {error}") from error
        self._record_reply()
        return reply

    def close(self) -> None:
        """Close the channel."""
        self._channel.close()

    def _open(self) -> Any:
        if self._credentials is None:
            return grpc.insecure_channel(self._address, options=_CLIENT_OPTIONS)
        return grpc.secure_channel(self._address, self._credentials, options=_CLIENT_OPTIONS)

    def _record_reply(self) -> None:
        with self._lock:
            self._failures = 0
            self._replies_count += 1

    def _record_failure(self, channel: Any, *, may_work: bool) -> None:
        with self._lock:
            if channel is not self._channel:
                return
            self._failures += 1
            # A connection whose state a middlebox has dropped reports no error: a timeout is the
            # only sign of it. Waiting for a second one would double the time without any news.
            # A lost connection takes calls until its last write has ended.
            if may_work and self._failures < _FAILURES_BEFORE_RECONNECT:
                return
            self._failures = 0
            self._replies_count = 0
            self._channel = self._open()
        logging.info('channel opened again address="%s"', self._address)
        channel.close()


class RpcServer:
    """A server of registered methods on one address."""

    __slots__ = ("_counter", "_handlers", "_server", "port")

    def __init__(self, executor: Executor, *, counter: ByteCounter | None = None) -> None:
        self._handlers: dict[str, grpc.RpcMethodHandler] = {}
        self._counter = counter or ByteCounter()
        self._server = grpc.server(executor, options=_SERVER_OPTIONS)
        self.port = 0

    def add(self, method: Method, handle: Callable[[Any], Any]) -> None:
        """Register ``handle`` for ``method``.

        A request that cannot be decoded is refused with ``INVALID_ARGUMENT`` and not handled. A
        ``ColtsfootrillError`` from ``handle`` is returned as ``FAILED_PRECONDITION``.
        """
        counter = self._counter

        def serve(raw: bytes, context: grpc.ServicerContext) -> bytes:
            counter.received += len(raw)
            try:
                request = method.decode_request(raw)
            except msgspec.MsgspecError as error:
                context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            try:
                raw_reply = msgspec.msgpack.encode(handle(request))
            except ColtsfootrillError as error:
                context.abort(grpc.StatusCode.FAILED_PRECONDITION, str(error))
            counter.sent += len(raw_reply)
            context.set_compression(choose_compression(raw_reply))
            return raw_reply

        self._handlers[method.path] = grpc.unary_unary_rpc_method_handler(serve)

    def start(self, address: str, credentials: grpc.ServerCredentials | None = None) -> None:
        """Listen on ``address`` (ip:port); raise ``RpcError`` if that fails, as on a used port."""
        handlers = self._handlers

        class _MethodLookup(grpc.GenericRpcHandler):  # type: ignore[misc]
            def service(self, details: Any) -> Any:
                return handlers.get(details.method)

        self._server.add_generic_rpc_handlers((_MethodLookup(),))
        try:
            if credentials is None:
                self.port = self._server.add_insecure_port(address)
            else:
                self.port = self._server.add_secure_port(address, credentials)
        except RuntimeError as error:
            raise RpcError(f"cannot listen on {address}: {error}") from error
        self._server.start()

    def stop(self, grace_ms: float) -> None:
        """Stop accepting calls, and wait up to ``grace_ms`` for calls in progress to finish."""
        self._server.stop(grace_ms / 1000).wait()
