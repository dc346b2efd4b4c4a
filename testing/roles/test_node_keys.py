"""Keys of organisations change while callers stay connected to nodes."""

from __future__ import annotations

import http.client
import time
from typing import Any

from testing.nodes import Node
from testing.platform.test_desired_state import encode_state
from testing.platform.test_desired_state import route
from testing.processes import wait_until
from testing.roles.test_node import Fleet

KEY = "s3cret-of-acme"
NEW_KEY = "s3cret-of-acme-2"
BAD_KEY = "s3cret-of-nobody"
APPLY_S = 2.0


class _Caller:
    """Sends each request on the same connection."""

    def __init__(self, node: Node) -> None:
        self._connection = http.client.HTTPConnection(node.host, node.ports["callers"], timeout=10)

    def send(self, key: str) -> int:
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": "q1",
            "Authorization": f"Bearer {key}",
            "X-Tenant": "other",
        }
        self._connection.request("POST", "/x/1", b"order", headers)
        response = self._connection.getresponse()
        response.read()
        return response.status

    def close(self) -> None:
        self._connection.close()


def _submit(fleet: Fleet, version: int, base_version: int, keys: list[str]) -> bytes:
    tenants: dict[str, Any] = {"columns": ["name", "apiKeys"], "rows": [["acme", keys]]}
    raw = encode_state(route(), version=f"{version:08x}", tenants=tenants)
    wait_until(lambda: fleet.nodes[0].submit(raw, base_version) == 200, within_s=20)
    return raw


def _list_orders(fleet: Fleet) -> list[bytes]:
    """Return the heads of all requests but the health checks."""
    return [head for head in fleet.upstream.heads if head.startswith(b"POST ")]


class TestOpenConnections:
    def test_a_change_of_keys_is_in_force_in_time_and_no_key_is_told(self, fleet: Fleet) -> None:
        _submit(fleet, 2, 0, [KEY])
        fleet.announce_upstream(1)
        callers = [_Caller(node) for node in fleet.nodes]
        for caller in callers:
            wait_until(lambda caller=caller: caller.send(KEY) == 200, within_s=20)  # type: ignore[misc]
        assert [caller.send(BAD_KEY) for caller in callers] == [401] * len(callers)
        raw = _submit(fleet, 3, 2, [NEW_KEY])
        time.sleep(APPLY_S)
        orders_count = len(_list_orders(fleet))
        assert [caller.send(KEY) for caller in callers] == [401] * len(callers)
        assert len(_list_orders(fleet)) == orders_count
        assert [caller.send(NEW_KEY) for caller in callers] == [200] * len(callers)
        for caller in callers:
            caller.close()
        assert fleet.nodes[3].read() == (200, raw)
        for head in _list_orders(fleet):
            assert b"\r\nX-Tenant: acme\r\n" in head
            assert b"s3cret" not in head and b"other" not in head
        for node in fleet.nodes:
            wait_until(lambda node=node: bool(node.list_events("request-ended")))  # type: ignore[misc]
            assert "s3cret" not in node.read_log()
            assert b"s3cret" not in node.call("metrics", "GET", "/metrics")[1]
