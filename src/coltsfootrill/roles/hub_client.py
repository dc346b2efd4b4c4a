"""Client for the operations that a node delegates to a current hub."""

from __future__ import annotations

import time
from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import FIRST_COMPLETED
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import as_completed
from concurrent.futures import wait
from random import Random
from typing import TypeVar

from coltsfootrill.control.messages import AdoptReply
from coltsfootrill.control.messages import AdoptRequest
from coltsfootrill.control.messages import ReadReply
from coltsfootrill.control.messages import ReadRequest
from coltsfootrill.control.messages import SubmitReply
from coltsfootrill.control.messages import SubmitRequest
from coltsfootrill.control.messages import ZoneOrderReply
from coltsfootrill.control.messages import ZoneOrderRequest
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.replica import READ
from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.membership.following import SHARE
from coltsfootrill.membership.following import SHARE_DEPARTURE
from coltsfootrill.membership.following import HubFollowing
from coltsfootrill.membership.following import order_hubs
from coltsfootrill.membership.messages import AnnounceReply
from coltsfootrill.membership.messages import DepartureRequest
from coltsfootrill.membership.messages import LeaveRequest
from coltsfootrill.membership.view import HubView
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.announcement import split_address
from coltsfootrill.rpc import Method
from coltsfootrill.settings import Address
from coltsfootrill.zones.orders import ZoneOrders

ADOPT = Method(service="Control", name="Adopt", request=AdoptRequest, reply=AdoptReply)
SUBMIT = Method(service="Control", name="Submit", request=SubmitRequest, reply=SubmitReply)
ORDER_ZONE = Method(
    service="Control", name="OrderZone", request=ZoneOrderRequest, reply=ZoneOrderReply
)

HUB_CALL_TIMEOUT_MS = 400.0
ADOPT_CALL_TIMEOUT_MS = 1_000.0
SUBMIT_CALL_TIMEOUT_MS = 2_500.0
READ_CALL_TIMEOUT_MS = 1_500.0
ORDER_CALL_TIMEOUT_MS = 2_500.0
# A hub that carries out an order replies sooner, unless it has fallen silent.
ORDER_HEDGE_MS = 400.0
_CALL_THREAD_COUNT = 16
_HUB_ATTEMPTS_MAX_COUNT = 2

MS_PER_SECOND = 1_000.0

Answer = TypeVar("Answer")


class HubClient:
    """Calls current hubs; retries a failed call once, on another hub."""

    def __init__(
        self,
        following: HubFollowing,
        view: HubView,
        *,
        own_id: str,
        own_address: str,
        interface_port: int,
        random: Random,
    ) -> None:
        self._following = following
        self._view = view
        self._own_id = own_id
        self._own_address = own_address
        self._interface_port = interface_port
        self._random = random
        self._executor = ThreadPoolExecutor(_CALL_THREAD_COUNT, thread_name_prefix="hub-call")

    def share(self, departure: Announcement | DepartureRequest) -> bool:
        """Send a departure to the other replicas; return whether a majority stored it.

        This node counts towards the majority if it is one of the replicas.
        """
        method = SHARE if isinstance(departure, Announcement) else SHARE_DEPARTURE

        def share_with(address: str) -> bool:
            client = self._following.get_client(address)
            reply: AnnounceReply = client.call(method, departure, timeout_ms=HUB_CALL_TIMEOUT_MS)
            return reply.is_known

        return self._reach_majority(self._following.replicas, share_with)

    def put_in_force(
        self,
        request: AdoptRequest,
        is_in_force: Callable[[AdoptReply], bool],
        *,
        replicas: list[str],
    ) -> bool:
        """Let the other replicas adopt a change; return whether a majority has it in force.

        This node, where it is in force already, counts towards the majority.
        """

        def adopt_at(address: str) -> bool:
            client = self._following.get_client(address)
            reply: AdoptReply = client.call(ADOPT, request, timeout_ms=ADOPT_CALL_TIMEOUT_MS)
            return is_in_force(reply)

        return self._reach_majority(replicas, adopt_at)

    def _reach_majority(self, replicas: list[str], call: Callable[[str], bool]) -> bool:
        """Call the other replicas at once; return whether a majority confirms, with this node."""
        others = [address for address in replicas if address != self._own_address]
        majority = len(replicas) // 2 + 1
        confirmed = 1 if self._own_address in replicas else 0
        calls: list[Future[bool]] = [self._executor.submit(call, address) for address in others]
        for done in as_completed(calls):
            if done.exception() is None and done.result():
                confirmed += 1
            if confirmed >= majority:
                return True
        return confirmed >= majority

    def announce(self, method: Method, request: Announcement | LeaveRequest) -> str:
        """Send an announcement or a leave request to a hub.

        Returns the address of the control interface of the hub that acknowledged it. Raises
        ``NoQuorumError`` when none did.
        """

        def call_hub(address: str) -> AnnounceReply:
            client = self._following.get_client(address)
            reply: AnnounceReply = client.call(method, request, timeout_ms=HUB_CALL_TIMEOUT_MS)
            check_acknowledged(reply)
            return reply

        address, _ = self._call_first_available(call_hub)
        return self.get_interface_address(address)

    def get_interface_address(self, hub: str) -> str:
        """Return the address of a hub's control interface, whose port is the same on all nodes."""
        return str(Address(split_address(hub)[0], self._interface_port))

    def has_wider_link(self, hub: str, link_mbps: float) -> bool:
        """Return whether the link of a hub is known to be wider than ``link_mbps``."""
        return any(
            record.address == hub and record.link_mbps > link_mbps
            for record in self._view.list_instances()
        )

    def submit(self, request: SubmitRequest) -> SubmitReply:
        """Forward a manifest to a hub; the result is ``unknown`` when no call succeeds.

        Submitting to a second hub is idempotent: a manifest is identified by its digest.
        """

        def call_hub(address: str) -> SubmitReply:
            client = self._following.get_client(address)
            reply: SubmitReply = client.call(SUBMIT, request, timeout_ms=SUBMIT_CALL_TIMEOUT_MS)
            return reply

        try:
            _, reply = self._call_first_available(call_hub)
        except NoQuorumError as error:
            return SubmitReply("unknown", 0, "", str(error))
        return reply

    def order_zone(self, request: ZoneOrderRequest) -> ZoneOrderReply:
        """Forward an order on a zone to a hub; the result is ``unknown`` when no call succeeds.

        A second hub is called beside one that is late: an order is idempotent.
        """

        def call_hub(address: str) -> ZoneOrderReply:
            client = self._following.get_client(address)
            reply: ZoneOrderReply = client.call(
                ORDER_ZONE, request, timeout_ms=ORDER_CALL_TIMEOUT_MS
            )
            return reply

        reply = ZoneOrderReply("unknown", "no hub with a majority is known", ZoneOrders())
        pending: set[Future[ZoneOrderReply]] = set()
        hubs = self._list_other_hubs()[:_HUB_ATTEMPTS_MAX_COUNT]
        for number, address in enumerate(hubs, start=1):
            pending.add(self._executor.submit(call_hub, address))
            timeout_ms = ORDER_HEDGE_MS if number < len(hubs) else ORDER_CALL_TIMEOUT_MS
            for done in _take_done(pending, timeout_ms):
                error = done.exception()
                reply = done.result() if error is None else _make_unknown_reply(error)
                if reply.result in ("done", "invalid"):
                    return reply
        return reply

    def read_manifest(self, known_version: int) -> tuple[str, bytes]:
        """Return a hub that confirms the newest accepted manifest with a majority, and its bytes.

        The bytes are empty if it is not newer than ``known_version``. Raises ``NoQuorumError`` when
        no hub confirms it.
        """

        def call_hub(address: str) -> ReadReply:
            client = self._following.get_client(address)
            request = ReadRequest(self._own_id, known_version, True)
            reply: ReadReply = client.call(READ, request, timeout_ms=READ_CALL_TIMEOUT_MS)
            if not reply.is_current:
                raise NoQuorumError(f"the hub {address} cannot reach a majority of the replicas")
            return reply

        hub, reply = self._call_first_available(call_hub)
        return hub, reply.manifest

    def _call_first_available(self, call_hub: Callable[[str], Answer]) -> tuple[str, Answer]:
        """Return the address and the answer of the first current hub whose call succeeds.

        Tries up to ``_HUB_ATTEMPTS_MAX_COUNT`` hubs. Raises ``NoQuorumError`` with the last error.
        """
        reason = "no hub with a majority is known"
        for address in self._list_other_hubs()[:_HUB_ATTEMPTS_MAX_COUNT]:
            try:
                return address, call_hub(address)
            except ColtsfootrillError as error:
                reason = str(error)
        raise NoQuorumError(reason)

    def _list_other_hubs(self) -> list[str]:
        """Return the other current hubs in the order to call them."""
        hubs = [hub for hub in self._view.list_current_hubs() if hub != self._own_address]
        return order_hubs(hubs, own_address=self._own_address, random=self._random)


def check_acknowledged(reply: AnnounceReply) -> None:
    """Raise ``NoQuorumError`` when a hub could not acknowledge an announcement."""
    if not reply.is_known:
        raise NoQuorumError(reply.message)


def _take_done(
    pending: set[Future[ZoneOrderReply]], timeout_ms: float
) -> Iterator[Future[ZoneOrderReply]]:
    """Yield the calls that end within ``timeout_ms``; return as soon as none is left."""
    end_s = time.monotonic() + timeout_ms / MS_PER_SECOND
    while pending:
        done, _ = wait(
            pending, timeout=max(0.0, end_s - time.monotonic()), return_when=FIRST_COMPLETED
        )
        if not done:
            return
        pending -= done
        yield from done


def _make_unknown_reply(error: BaseException) -> ZoneOrderReply:
    return ZoneOrderReply("unknown", str(error), ZoneOrders())
