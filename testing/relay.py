"""TCP relays between instances, which can simulate network partitions and lost connections."""

from __future__ import annotations

import contextlib
import re
import socket
import threading
import weakref

import msgspec

from coltsfootrill.control.messages import Accept
from coltsfootrill.control.messages import Ballot
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.messages import Inspect
from coltsfootrill.control.messages import Prepare
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import PullRequest
from testing.serving import serve_in_thread

SENT_KEPT_BYTES = 200_000


class Relay:
    """Relay TCP connections to a port on loopback, and discard data silently while cut.

    ``cut`` discards all data. ``cut_sender`` discards the data of connections on which messages of
    one sender occur, in both directions. Both last until ``heal``. ``cut_existing`` discards the
    data of the connections that are open at the time, as a middlebox that lost its state does.
    ``close_existing`` closes them. ``accepted_count`` counts connections since the start, and
    ``reply_bytes`` the bytes that the target sent on them.
    """

    def __init__(self, target_port: int, *, host: str = "127.0.0.1") -> None:
        self._target = (host, target_port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        self.address = f"127.0.0.1:{self.port}"
        self._is_cut = False
        self._sender: re.Pattern[bytes] | None = None
        self._epoch = 0
        # Weak, so that a connection that has ended does not keep its descriptors.
        self._open: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        self.accepted_count = 0
        self.reply_bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        self._is_cut = True

    def cut_sender(self, name: str) -> None:
        self._sender = make_sender_pattern(name)

    def heal(self) -> None:
        # Data was lost on the existing connections, so they stay cut.
        self._epoch += 1
        self._sender = None
        self._is_cut = False

    def cut_existing(self) -> None:
        self._epoch += 1

    def close_existing(self) -> None:
        for end in list(self._open):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            caller, _ = self._listener.accept()
            self.accepted_count += 1
            serve_in_thread(self._connect, caller)

    def _connect(self, caller: socket.socket) -> None:
        connection = _Connection(self._epoch)
        try:
            target = socket.create_connection(self._target, timeout=2)
        except OSError:
            caller.close()
            return
        target.settimeout(None)
        self._open.update((caller, target))
        for source, sink, is_from_caller in ((caller, target, True), (target, caller, False)):
            arguments = (source, sink, connection, is_from_caller)
            threading.Thread(target=self._forward, args=arguments, daemon=True).start()

    def _forward(
        self,
        source: socket.socket,
        sink: socket.socket,
        connection: _Connection,
        is_from_caller: bool,
    ) -> None:
        try:
            while data := source.recv(65_536):
                if is_from_caller:
                    connection.sent = (connection.sent + data)[-SENT_KEPT_BYTES:]
                else:
                    self.reply_bytes += len(data)
                if self._should_forward(connection):
                    sink.sendall(data)
            if self._should_forward(connection):
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            source.close()
            sink.close()

    def _should_forward(self, connection: _Connection) -> bool:
        if self._is_cut or connection.epoch != self._epoch:
            return False
        return self._sender is None or self._sender.search(connection.sent) is None


class _Connection:
    """A connection through a relay: the epoch at its start and the latest bytes from its caller."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.sent = b""


def make_sender_pattern(name: str) -> re.Pattern[bytes]:
    """Return a pattern of MessagePack bytes that only messages from ``name`` contain."""
    text = re.escape(msgspec.msgpack.encode(name))
    number = rb"(?:[\x00-\x7f]|\xcc.|\xcd..)"
    record = InstanceRecord(name, 0, "", "", False, 0)
    state = ControlState(0, 0, {}, 0, "", b"", [], [], 0)
    ballot = Ballot(0, name)
    pull = _make_head_pattern(PullRequest(record, 0, 0, 0, [])) + _make_head_pattern(record) + text
    prepare = (
        _make_head_pattern(Prepare(0, ballot)) + number + _make_head_pattern(ballot) + number + text
    )
    accept = _make_head_pattern(Accept(ballot, state)) + _make_head_pattern(ballot) + number + text
    accept += _make_head_pattern(state)
    inspect = _make_head_pattern(Inspect(name, ballot)) + text + _make_head_pattern(ballot)
    return re.compile(rb"|".join([pull, prepare, accept, inspect]), re.DOTALL)


def _make_head_pattern(message: msgspec.Struct) -> bytes:
    """Return a pattern for the first byte of a message, which encodes the number of its fields."""
    return re.escape(msgspec.msgpack.encode(message)[:1])
