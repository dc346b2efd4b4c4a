"""Client for the operations that a node delegates to a current hub."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import as_completed
from random import Random
from typing import TypeVar

from coltsfootrill.control.messages import AdoptReply
from coltsfootrill.control.messages import AdoptRequest
from coltsfootrill.control.messages import ReadReply
from coltsfootrill.control.messages import ReadRequest
from coltsfootrill.control.messages import SubmitReply
from coltsfootrill.control.messages import SubmitRequest
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.replica import READ
from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.membership.following import SHARE
from coltsfootrill.membership.following import HubFollowing
from coltsfootrill.membership.following import order_hubs
from coltsfootrill.membership.messages import AnnounceReply
from coltsfootrill.membership.messages import LeaveRequest
from coltsfootrill.membership.view import HubView
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.announcement import split_address
from coltsfootrill.rpc import Method
from coltsfootrill.settings import Address

ADOPT = Method(service="Control", name="Adopt", request=AdoptRequest, reply=AdoptReply)
SUBMIT = Method(service="Control", name="Submit", request=SubmitRequest, reply=SubmitReply)

HUB_CALL_TIMEOUT_MS = 400.0
ADOPT_CALL_TIMEOUT_MS = 1_000.0
SUBMIT_CALL_TIMEOUT_MS = 2_500.0
READ_CALL_TIMEOUT_MS = 1_500.0
_CALL_THREAD_COUNT = 16
_HUB_ATTEMPTS_MAX_COUNT = 2

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

    def share(self, announcement: Announcement) -> bool:
        """Send an announcement to the other replicas; return whether a majority stored it.

        This node counts towards the majority if it is one of the replicas.
        """

        def share_with(address: str) -> bool:
            client = self._following.get_client(address)
            reply: AnnounceReply = client.call(SHARE, announcement, timeout_ms=HUB_CALL_TIMEOUT_MS)
            return reply.is_known

        return self._reach_majority(self._following.replicas, share_with)

    def put_in_force(self, version: int, raw: bytes, *, replicas: list[str]) -> bool:
        """Let the other replicas adopt a manifest; return whether a majority has it in force.

        This node, where it is in force already, counts towards the majority.
        """

        def adopt_at(address: str) -> bool:
            client = self._following.get_client(address)
            request = AdoptRequest(raw)
            reply: AdoptReply = client.call(ADOPT, request, timeout_ms=ADOPT_CALL_TIMEOUT_MS)
            return reply.version >= version

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

    def read_manifest(self, known_version: int) -> bytes:
        """Return the newest accepted manifest, empty if it is not newer than ``known_version``.

        Raises ``NoQuorumError`` when no hub confirms it with a majority.
        """

        def call_hub(address: str) -> ReadReply:
            client = self._following.get_client(address)
            request = ReadRequest(self._own_id, known_version, True)
            reply: ReadReply = client.call(READ, request, timeout_ms=READ_CALL_TIMEOUT_MS)
            if not reply.is_current:
                raise NoQuorumError(f"the hub {address} cannot reach a majority of the replicas")
            return reply

        _, reply = self._call_first_available(call_hub)
        return reply.manifest

    def _call_first_available(self, call_hub: Callable[[str], Answer]) -> tuple[str, Answer]:
        """Return the address and the answer of the first current hub whose call succeeds.

        Tries up to ``_HUB_ATTEMPTS_MAX_COUNT`` hubs. Raises ``NoQuorumError`` with the last error.
        """
        hubs = [hub for hub in self._view.list_current_hubs() if hub != self._own_address]
        reason = "no hub with a majority is known"
        ordered_hubs = order_hubs(hubs, own_address=self._own_address, random=self._random)
        for address in ordered_hubs[:_HUB_ATTEMPTS_MAX_COUNT]:
            try:
                return address, call_hub(address)
            except ColtsfootrillError as error:
                reason = str(error)
        raise NoQuorumError(reason)


def check_acknowledged(reply: AnnounceReply) -> None:
    """Raise ``NoQuorumError`` when a hub could not acknowledge an announcement."""
    if not reply.is_known:
        raise NoQuorumError(reply.message)
