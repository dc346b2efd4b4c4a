"""An upstream that reads the bodies of requests and announces itself to a node."""

from __future__ import annotations

import itertools
import json
import re
import socket
import threading

from testing.nodes import Node
from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.test_dialect import reply_with

SLOTS = 4
RECEIVE_BYTES = 65_536
HEARTBEAT_INTERVAL_S = 0.5


def announce(node: Node, upstream_id: str, address: str, sequence: int = 1) -> None:
    """Announce an upstream to a node until that takes it."""
    info = {"service": "desk", "version": "v1", "zone": "z1", "concurrency": SLOTS}
    status = {"state": "ready", "sequence": sequence, "coldRemainingMs": 0}
    body = {"address": address, "serverInfo": info, "status": status, "born": 1}
    raw = json.dumps(body).encode()
    path = f"/Instances.Heartbeat/{upstream_id}"
    wait_until(lambda: node.call("interface", "POST", path, raw)[0] == 200, within_s=20)


class AnnouncedUpstream:
    """Reads each body to its end, and answers; announces itself until it is closed.

    ``answer_body`` goes to the requests with a stated length, which ``answered_count`` counts.
    """

    def __init__(self, node: Node) -> None:
        self.answer_body = b"hello"
        self.answered_count = 0
        self._node = node
        self._upstream = ScriptedUpstream(self._serve)
        self._is_closed = threading.Event()
        self._thread = threading.Thread(target=self._announce, daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._is_closed.set()
        self._thread.join()
        self._upstream.close()

    def _announce(self) -> None:
        sequence = itertools.count(1)
        while not self._is_closed.wait(HEARTBEAT_INTERVAL_S):
            announce(self._node, "i-sound", self._upstream.address, next(sequence))

    def _serve(self, sock: socket.socket, head: bytes, number: int) -> bool:
        fields, _, rest = head.partition(b"\r\n\r\n")
        found = re.search(rb"content-length: (\d+)", fields, re.IGNORECASE)
        left_bytes = (int(found[1]) if found else 0) - len(rest)
        buffer = bytearray(RECEIVE_BYTES)
        while left_bytes > 0:
            received_bytes = sock.recv_into(buffer)
            if not received_bytes:
                return False
            left_bytes -= received_bytes
        if not found:
            return reply_with()(sock, fields, number)
        self.answered_count += 1
        return reply_with(self.answer_body)(sock, fields, number)
