"""Exchange of updates with peers over gRPC, with one task per peer."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import grpc

from coltsfootrill.clock import Clock
from coltsfootrill.membership.fleet import Fleet
from coltsfootrill.membership.messages import ManifestReply
from coltsfootrill.membership.messages import ManifestRequest
from coltsfootrill.membership.messages import PullReply
from coltsfootrill.membership.messages import PullRequest
from coltsfootrill.rpc import ByteCounter
from coltsfootrill.rpc import Method
from coltsfootrill.rpc import RpcClient
from coltsfootrill.rpc import RpcError
from coltsfootrill.rpc import RpcServer
from coltsfootrill.tasks import start_task

PULL = Method(service="Peer", name="Pull", request=PullRequest, reply=PullReply)
FETCH_MANIFEST = Method(
    service="Peer", name="FetchManifest", request=ManifestRequest, reply=ManifestReply
)

HOLD_MS = 1_000
CALL_SLACK_MS = 700.0
RETRY_PAUSE_MS = 200.0
# Pulls are long polls that occupy a thread, so each peer needs a thread of its own.
PEERS_MAX_COUNT = 64


class PeerExchange:
    """Pulls updates from every known peer and serves their pulls."""

    def __init__(
        self,
        fleet: Fleet,
        *,
        clock: Clock,
        seeds: list[str],
        read_manifest: Callable[[int], ManifestReply],
        offer_manifest: Callable[[ManifestReply], None],
        get_manifest_version: Callable[[], int],
        credentials: grpc.ChannelCredentials | None = None,
        counter: ByteCounter | None = None,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._seeds = seeds
        self._offer_manifest = offer_manifest
        self._get_manifest_version = get_manifest_version
        self._credentials = credentials
        self.counter = counter or ByteCounter()
        self._stopping = threading.Event()
        self._tasks_by_address: dict[str, threading.Thread] = {}
        self._executor = ThreadPoolExecutor(PEERS_MAX_COUNT, thread_name_prefix="peer-server")
        self._server = RpcServer(self._executor, counter=self.counter)
        self._server.add(PULL, fleet.answer)
        self._server.add(FETCH_MANIFEST, lambda request: read_manifest(request.known_version))

    def start(self, address: str, credentials: grpc.ServerCredentials | None = None) -> None:
        """Serve peers on ``address`` and start a task for each seed."""
        self._server.start(address, credentials)
        self.update_tasks()

    def update_tasks(self) -> None:
        """Start a task for each seed and member without one."""
        addresses = set(self._seeds)
        addresses.update(record.address for record in self._fleet.list_members())
        addresses.discard(self._fleet.own.address)
        for address in addresses:
            task = self._tasks_by_address.get(address)
            if task is None or not task.is_alive():
                self._start_task(address)

    def stop(self) -> None:
        """Stop all tasks; call ``Fleet.announce_leaving`` first."""
        self._stopping.set()
        self._server.stop(grace_ms=HOLD_MS)
        self._executor.shutdown(wait=False)

    def _start_task(self, address: str) -> None:
        self._tasks_by_address[address] = start_task(
            f"peer-{address}", lambda: self._follow_peer(address)
        )

    def _is_wanted(self, address: str) -> bool:
        if self._stopping.is_set():
            return False
        if address in self._seeds:
            return True
        return any(record.address == address for record in self._fleet.list_members())

    def _follow_peer(self, address: str) -> None:
        """Pull from one peer until it leaves or this instance stops."""
        client = RpcClient(address, credentials=self._credentials, counter=self.counter)
        boot = 0
        position = 0
        while self._is_wanted(address):
            request = self._fleet.make_request(boot=boot, position=position, hold_ms=HOLD_MS)
            sent_ms = self._clock.now_ms()
            try:
                reply = client.call(PULL, request, timeout_ms=HOLD_MS + CALL_SLACK_MS)
            except RpcError:
                self._stopping.wait(RETRY_PAUSE_MS / 1000)
                continue
            is_complete = self._fleet.apply(reply, sent_ms=sent_ms)
            boot = reply.sender.boot
            position = reply.position if is_complete else 0
            if reply.sender.manifest_version > self._get_manifest_version():
                self._fetch_manifest(client)
            if reply.sender.is_leaving:
                self._stopping.wait(HOLD_MS / 1000)
        client.close()

    def _fetch_manifest(self, client: RpcClient) -> None:
        request = ManifestRequest(self._get_manifest_version())
        try:
            reply = client.call(FETCH_MANIFEST, request, timeout_ms=CALL_SLACK_MS)
        except RpcError:
            return
        self._offer_manifest(reply)
