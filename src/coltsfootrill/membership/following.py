"""Long polls of an instance to the hubs, with one task per hub."""

from __future__ import annotations

import threading
from collections.abc import Callable
from functools import partial
from random import Random

import grpc

from coltsfootrill.clock import Clock
from coltsfootrill.membership.messages import AnnounceReply
from coltsfootrill.membership.messages import DepartureRequest
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import LeaveRequest
from coltsfootrill.membership.messages import SuspectEntry
from coltsfootrill.membership.view import HubView
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.rpc import Method
from coltsfootrill.rpc import RpcClient
from coltsfootrill.rpc import RpcError
from coltsfootrill.tasks import start_task
from coltsfootrill.zones.orders import ZoneOrders

FOLLOW = Method(service="Hub", name="Follow", request=FollowRequest, reply=FollowReply)
ANNOUNCE = Method(service="Hub", name="Announce", request=Announcement, reply=AnnounceReply)
SHARE = Method(service="Hub", name="Share", request=Announcement, reply=AnnounceReply)
SHARE_DEPARTURE = Method(
    service="Hub", name="ShareDeparture", request=DepartureRequest, reply=AnnounceReply
)
LEAVE = Method(service="Hub", name="Leave", request=LeaveRequest, reply=AnnounceReply)

HOLD_MS = 2_500
HUB_HOLD_MS = 1_500
# While a manifest that a hub has reported is not in force here: a failed fetch has to be repeated.
BEHIND_HOLD_MS = 250
CALL_SLACK_MS = 900.0
RETRY_PAUSE_MS = 100.0
# Hubs start at the same time as their followers, so the first reply may take longer.
FIRST_REPLY_MS = 3_000.0


class Identity:
    """What an instance reports about itself to the hubs."""

    __slots__ = ("is_candidate", "is_hub", "record")

    def __init__(self, record: InstanceRecord, *, is_candidate: bool, is_hub: bool) -> None:
        self.record = record
        self.is_candidate = is_candidate
        self.is_hub = is_hub


class HubFollowing:
    """Follows the voting replicas, and the seeds until a current hub has listed the replicas.

    Seeds may be instances that do not vote: they return the addresses of the replicas that they
    follow. A hub always follows the seeds too, so that they know it also when all start at the same
    time. ``on_replicas`` is called with the addresses of the replicas when a current hub has listed
    others than before. ``on_reply`` is called with the address of the hub and each reply, after the
    view has applied it. ``on_refused`` is called before that with the requests that crash
    upstreams, so that an instance that starts knows them before it knows any upstream; so is
    ``on_zone_orders`` with the orders on availability zones in each reply. ``on_lost`` is
    called with the address and the reason when a hub stops replying, or has not replied within
    ``first_reply_ms`` of the first call. ``on_regained`` is called with the address and the time
    without replies in milliseconds when the hub replies again.
    """

    def __init__(
        self,
        view: HubView,
        *,
        own_address: str,
        seeds: list[str],
        identify: Callable[[], Identity],
        answer_locally: Callable[[FollowRequest], FollowReply],
        on_reply: Callable[[str, FollowReply], None],
        on_replicas: Callable[[list[str]], None] = lambda replicas: None,
        on_refused: Callable[[list[SuspectEntry]], None] = lambda entries: None,
        on_zone_orders: Callable[[ZoneOrders], object] = lambda orders: None,
        on_lost: Callable[[str, str], None] = lambda address, reason: None,
        on_regained: Callable[[str, float], None] = lambda address, lost_for_ms: None,
        clock: Clock,
        credentials: grpc.ChannelCredentials | None = None,
        first_reply_ms: float = FIRST_REPLY_MS,
    ) -> None:
        self._first_reply_ms = first_reply_ms
        self._view = view
        self._own_address = own_address
        self._seeds = seeds
        self._identify = identify
        self._answer_locally = answer_locally
        self._on_reply = on_reply
        self._on_replicas = on_replicas
        self._on_refused = on_refused
        self._on_zone_orders = on_zone_orders
        self._on_lost = on_lost
        self._on_regained = on_regained
        self._clock = clock
        self._credentials = credentials
        self._lock = threading.Lock()
        self._clients: dict[str, RpcClient] = {}
        self._tasks_by_address: dict[str, threading.Thread] = {}
        self._replicas: list[str] = []
        # What hubs that are not current have listed, by their address.
        self._hints_by_hub: dict[str, list[str]] = {}
        self._stopping = threading.Event()

    @property
    def replicas(self) -> list[str]:
        """Return the addresses of the voting replicas, empty before a current hub has sent them."""
        return self._replicas

    def update_tasks(self) -> None:
        """Start a task for each hub without one."""
        for address in self._list_wanted():
            task = self._tasks_by_address.get(address)
            if task is None or not task.is_alive():
                self._tasks_by_address[address] = start_task(
                    f"follow-{address}", partial(self._follow, address)
                )

    def set_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seeds = seeds

    def stop(self) -> None:
        """Stop following; calls in progress end by their timeout."""
        self._stopping.set()

    def get_client(self, address: str) -> RpcClient:
        """Return the client for an address, created on first use."""
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = RpcClient(address, credentials=self._credentials)
                self._clients[address] = client
            return client

    def _list_wanted(self) -> list[str]:
        if self._view.has_current_hub() and self._replicas:
            seeds = self._seeds if self._identify().is_hub else []
            return list(dict.fromkeys([*self._replicas, *seeds]))
        hints = [hint for listed in list(self._hints_by_hub.values()) for hint in listed]
        known = [*self._replicas, *hints, *self._seeds, self._own_address]
        return list(dict.fromkeys(known))

    def _follow(self, address: str) -> None:
        """Poll one hub until it is no longer to be followed."""
        boot = 0
        position = 0
        reported_version = 0
        lost_since_ms: float | None = None
        start_ms = self._clock.now_ms()
        while not self._stopping.is_set() and address in self._list_wanted():
            identity = self._identify()
            request = FollowRequest(
                sender=identity.record,
                is_candidate=identity.is_candidate,
                is_hub=identity.is_hub,
                boot=boot,
                position=position,
                hold_ms=_choose_hold_ms(identity, reported_version),
                takes_packed=True,
            )
            try:
                reply = self._call(address, request)
            except RpcError as error:
                may_report = boot or self._clock.now_ms() - start_ms >= self._first_reply_ms
                if lost_since_ms is None and may_report:
                    lost_since_ms = self._clock.now_ms()
                    self._on_lost(address, str(error))
                self._stopping.wait(RETRY_PAUSE_MS / 1000)
                continue
            if lost_since_ms is not None:
                self._on_regained(address, self._clock.now_ms() - lost_since_ms)
                lost_since_ms = None
            boot = reply.boot
            position = reply.position
            reported_version = reply.manifest_version
            self._on_zone_orders(reply.zone_orders)
            if reply.refused:
                self._on_refused(reply.refused)
            self._view.apply(address, reply)
            self._update_replicas(address, reply)
            self._on_reply(address, reply)

    def _update_replicas(self, address: str, reply: FollowReply) -> None:
        if reply.is_current and reply.replicas:
            self._hints_by_hub.pop(address, None)
            if reply.replicas != self._replicas:
                self._replicas = reply.replicas
                self._on_replicas(reply.replicas)
        elif reply.replicas != self._hints_by_hub.get(address, []):
            self._hints_by_hub[address] = reply.replicas
            self.update_tasks()

    def _call(self, address: str, request: FollowRequest) -> FollowReply:
        if address == self._own_address:
            return self._answer_locally(request)
        timeout_ms = request.hold_ms + CALL_SLACK_MS
        reply: FollowReply = self.get_client(address).call(FOLLOW, request, timeout_ms=timeout_ms)
        return reply


def _choose_hold_ms(identity: Identity, reported_version: int) -> int:
    """Return how long a hub that has reported the manifest ``reported_version`` may hold a poll."""
    if identity.record.manifest_version < reported_version:
        return BEHIND_HOLD_MS
    return HUB_HOLD_MS if identity.is_hub else HOLD_MS


def order_hubs(hubs: list[str], *, own_address: str, random: Random) -> list[str]:
    """Return hubs in the order to call them: this instance first, the others at random."""
    others = [hub for hub in hubs if hub != own_address]
    random.shuffle(others)
    return [own_address, *others] if own_address in hubs else others
