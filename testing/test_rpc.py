from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import ExitStack

import pytest

from coltsfootrill.membership.following import FOLLOW
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.rpc import RpcClient
from coltsfootrill.rpc import RpcError

LONG_TIMEOUT_MS = 20_000.0
# More pending connections than the kernel queues for a backlog of 0.
PENDING_COUNT = 4


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
        sender = InstanceRecord("n1", 1, "127.0.0.1:1", "z1", False, 1)
        request = FollowRequest(sender, False, False, 0, 0, 0)
        with pytest.raises(RpcError, match="unavailable"):
            client.call(FOLLOW, request, timeout_ms=LONG_TIMEOUT_MS)
        client.close()
