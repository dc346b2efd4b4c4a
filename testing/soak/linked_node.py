"""A node whose calls to other nodes pass the proxies of its links, and that may have a fault.

Usage: ``linked_node.py LINKS FAULT SETTINGS``. LINKS is a file that ``NodeLinks`` wrote. FAULT is
empty, or the name of a fault that is put in on purpose: a soak of such nodes must fail. One that
would hold up the start begins once there is a file ``BEGIN_FILE`` beside LINKS.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import grpc
import msgspec

from coltsfootrill.membership import following
from coltsfootrill.membership import hub
from coltsfootrill.membership import view
from coltsfootrill.membership.held_polls import HeldPolls
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.proxy.caller_socket import CallerSocket
from coltsfootrill.registry.departures import Departures
from coltsfootrill.roles.manifest_sync import ManifestSync
from coltsfootrill.start import main
from coltsfootrill.zones.orders import ZoneOrders

BEGIN_FILE = "fault-begins"
FETCHED_LATE_S = 3.0
POLL_HELD_MS = 10_000
CLOSED_LATE_S = 0.3


def _wake_nobody() -> None:
    # Shorter polls to three hubs may end by turns often enough to hide the fault.
    following.HOLD_MS = hub.HOLD_MAX_MS = POLL_HELD_MS
    view.HUB_RESPONSIVE_WITHIN_MS = 2.0 * POLL_HELD_MS
    begin = Path(sys.argv[1]).with_name(BEGIN_FILE)
    request_wake = HeldPolls._request_wake

    def request_until_begin(self: HeldPolls) -> None:
        if not begin.exists():
            request_wake(self)

    HeldPolls._request_wake = request_until_begin  # type: ignore[method-assign]


def _fetch_late() -> None:
    fetch = ManifestSync.fetch_if_newer

    def fetch_late(self: ManifestSync, *arguments: Any, **options: Any) -> None:
        time.sleep(FETCHED_LATE_S)
        fetch(self, *arguments, **options)

    ManifestSync.fetch_if_newer = fetch_late  # type: ignore[method-assign]


def _tell_no_orders() -> None:
    make_reply = hub.Hub._make_reply

    def make_without(self: hub.Hub, position: int, *, is_for_hub: bool) -> FollowReply:
        reply = make_reply(self, position, is_for_hub=is_for_hub)
        return msgspec.structs.replace(reply, zone_orders=ZoneOrders())

    hub.Hub._make_reply = make_without  # type: ignore[method-assign]


def _forget_departures() -> None:
    # Each is acknowledged all the same.
    Departures.add = lambda self, departure, *, now_ms: "recorded"  # type: ignore[method-assign]


def _drop_at_idle() -> None:
    # Called once a receive has ended, as when the idle timeout has passed.
    CallerSocket.receive_now = _find_nothing  # type: ignore[method-assign]


def _find_nothing(connection: CallerSocket, count_max: int) -> bytes:
    time.sleep(CLOSED_LATE_S)
    return b""


FAULT_BY_NAME: dict[str, Callable[[], None]] = {
    "wakes-nobody": _wake_nobody,
    "fetches-late": _fetch_late,
    "forgets-departures": _forget_departures,
    "tells-no-orders": _tell_no_orders,
    "drops-at-idle": _drop_at_idle,
}


def use_links(path: Path) -> None:
    """Open channels to the proxies of the links in place of the addresses that they stand for."""
    proxy_by_address = json.loads(path.read_text())
    open_channel = grpc.insecure_channel
    grpc.insecure_channel = lambda address, **options: open_channel(
        proxy_by_address.get(address, address), **options
    )


if __name__ == "__main__":
    links, fault, settings = sys.argv[1:]
    use_links(Path(links))
    if fault:
        FAULT_BY_NAME[fault]()
    sys.argv[1:] = ["node", "--settings", settings]
    main()
