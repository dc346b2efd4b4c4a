"""Remote procedure calls between instances: gRPC with MessagePack messages typed by msgspec."""

from __future__ import annotations

import threading
import zlib
from collections.abc import Awaitable
from collections.abc import Callable
from concurrent.futures import Executor
from functools import lru_cache
from functools import partial
from typing import Any
from typing import TypeVar

import grpc
import msgspec
from absl import logging

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.event_loop import get_event_loop
from coltsfootrill.event_loop import submit

Request = TypeVar("Request")
Reply = TypeVar("Reply")

MESSAGE_MAX_BYTES = 16 * 1024 * 1024
# Compressing a smaller message takes more time than it saves on a link of low bandwidth.
COMPRESSED_MIN_BYTES = 1_024
# Messages are arrays, and no array of MessagePack starts with this byte.
_PACKED_FIRST_BYTE = 0x78
PACKED_REPLIES_MAX_COUNT = 16
CONNECT_TIMEOUT_MS = 300
# A connection on which nothing arrives for this long is checked with a ping while a call waits, and
# is lost if a ping is not answered in time.
KEEPALIVE_AFTER_MS = 1_200
KEEPALIVE_TIMEOUT_MS = 900
_UNLIMITED = 0
_FAILURES_BEFORE_RECONNECT = 2
_CONNECTION_LOST = grpc.StatusCode.UNAVAILABLE
_TIMED_OUT = grpc.StatusCode.DEADLINE_EXCEEDED
# With these a server replies, so the connection works.
_REFUSALS = frozenset(
    (
        grpc.StatusCode.FAILED_PRECONDITION,
        grpc.StatusCode.INVALID_ARGUMENT,
        grpc.StatusCode.UNIMPLEMENTED,
    )
)
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
    """A remote procedure: its path, and decoders for its request and reply.

    A request with a true field ``takes_packed`` accepts a reply that ``pack_reply`` returned.
    """

    __slots__ = ("_decode_plain_reply", "decode_request", "path")

    def __init__(self, *, service: str, name: str, request: type, reply: type) -> None:
        self.path = f"/coltsfootrill.{service}/{name}"
        self.decode_request: Callable[[bytes], Any] = msgspec.msgpack.Decoder(request).decode
        self._decode_plain_reply: Callable[[bytes], Any] = msgspec.msgpack.Decoder(reply).decode

    def decode_reply(self, raw: bytes) -> Any:
        """Decode a reply, packed or not; raise ``MsgspecError`` or ``ValueError`` if invalid."""
        return self._decode_plain_reply(_unpack(raw) if _is_packed(raw) else raw)


@lru_cache(maxsize=PACKED_REPLIES_MAX_COUNT)
def pack_reply(raw: bytes) -> bytes:
    """Compress a reply that goes to many callers; equal replies are compressed only once."""
    return raw if len(raw) < COMPRESSED_MIN_BYTES else zlib.compress(raw)


def pack_if_taken(request: Any, raw: bytes) -> bytes:
    """Return ``raw`` packed, or as it is if the sender of ``request`` does not take it packed."""
    return pack_reply(raw) if getattr(request, "takes_packed", False) else raw


def _is_packed(raw: bytes) -> bool:
    return raw[:1] == bytes([_PACKED_FIRST_BYTE])


def _unpack(raw: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        message = decompressor.decompress(raw, MESSAGE_MAX_BYTES)
    except zlib.error as error:
        raise ValueError(f"the reply cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError("the compressed reply is cut off or too large")
    return message


def choose_compression(raw: bytes) -> grpc.Compression:
    """Return gzip for messages of at least ``COMPRESSED_MIN_BYTES`` that are not packed."""
    if len(raw) < COMPRESSED_MIN_BYTES or _is_packed(raw):
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
            if error.code() in _REFUSALS:
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
    """A server of registered methods on one address.

    ``executor`` runs the methods that have none of their own.
    """

    __slots__ = ("_counter", "_executor", "_handlers", "_server", "port")

    def __init__(self, executor: Executor, *, counter: ByteCounter | None = None) -> None:
        self._handlers: dict[str, grpc.RpcMethodHandler] = {}
        self._executor = executor
        self._counter = counter or ByteCounter()
        self._server: grpc.aio.Server | None = None
        self.port = 0

    def add(
        self, method: Method, handle: Callable[[Any], Any], *, executor: Executor | None = None
    ) -> None:
        """Register ``handle`` for ``method``, to run in a thread of ``executor``.

        A call that its caller has given up before it got a thread is not handled. Errors are
        returned as by ``add_held``.
        """

        async def answer(request: Any) -> bytes:
            return await get_event_loop().run_in_executor(
                executor or self._executor, partial(_handle, handle, request)
            )

        self.add_held(method, answer)

    def add_held(self, method: Method, answer: Callable[[Any], Awaitable[bytes]]) -> None:
        """Register ``answer`` for ``method``, which waits on the event loop without a thread.

        It returns the encoded reply. A request that cannot be decoded is refused with
        ``INVALID_ARGUMENT`` and not handled. A ``ColtsfootrillError`` is returned as
        ``FAILED_PRECONDITION``.
        """
        counter = self._counter

        async def serve(raw: bytes, context: grpc.aio.ServicerContext) -> bytes:
            counter.received += len(raw)
            try:
                request = method.decode_request(raw)
            except msgspec.MsgspecError as error:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            try:
                raw_reply = await answer(request)
            except ColtsfootrillError as error:
                await context.abort(grpc.StatusCode.FAILED_PRECONDITION, str(error))
            counter.sent += len(raw_reply)
            if choose_compression(raw_reply) == grpc.Compression.NoCompression:
                context.disable_next_message_compression()
            return raw_reply

        self._handlers[method.path] = grpc.unary_unary_rpc_method_handler(serve)

    def start(self, address: str, credentials: grpc.ServerCredentials | None = None) -> None:
        """Listen on ``address`` (ip:port); raise ``RpcError`` if that fails, as on a used port."""
        submit(self._start(address, credentials)).result()

    async def _start(self, address: str, credentials: grpc.ServerCredentials | None) -> None:
        handlers = self._handlers

        class _MethodLookup(grpc.GenericRpcHandler):  # type: ignore[misc]
            def service(self, details: Any) -> Any:
                return handlers.get(details.method)

        # A compression that is set for one reply has no effect here.
        server = grpc.aio.server(options=_SERVER_OPTIONS, compression=grpc.Compression.Gzip)
        server.add_generic_rpc_handlers((_MethodLookup(),))
        try:
            if credentials is None:
                self.port = server.add_insecure_port(address)
            else:
                self.port = server.add_secure_port(address, credentials)
        except RuntimeError as error:
            raise RpcError(f"cannot listen on {address}: {error}") from error
        await server.start()
        self._server = server

    def stop(self, grace_ms: float) -> None:
        """Stop accepting calls, and wait up to ``grace_ms`` for calls in progress to finish."""
        if self._server is not None:
            submit(self._server.stop(grace_ms / 1000)).result()


def _handle(handle: Callable[[Any], Any], request: Any) -> bytes:
    raw = msgspec.msgpack.encode(handle(request))
    return pack_if_taken(request, raw)
