"""The control side of a node: hub, replica, and the operations of operators and upstreams."""

from __future__ import annotations

import threading
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from random import Random

import msgspec

from coltsfootrill.balancer.crash_guard import CrashGuard
from coltsfootrill.clock import Clock
from coltsfootrill.control.acceptor import Acceptor
from coltsfootrill.control.bootstrap import bootstrap_replicas
from coltsfootrill.control.bootstrap import read_bootstrap_replicas
from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.messages import AdoptReply
from coltsfootrill.control.messages import AdoptRequest
from coltsfootrill.control.repair import ReplicaRepairTask
from coltsfootrill.control.replica import ControlReplica
from coltsfootrill.control.submission import SubmitAnswer
from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.event_loop import get_event_loop
from coltsfootrill.events.log import EventLog
from coltsfootrill.manifest.format import ManifestFormat
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.membership.exchange import FETCH_MANIFEST
from coltsfootrill.membership.following import ANNOUNCE
from coltsfootrill.membership.following import FOLLOW
from coltsfootrill.membership.following import LEAVE
from coltsfootrill.membership.following import SHARE
from coltsfootrill.membership.following import SHARE_DEPARTURE
from coltsfootrill.membership.following import HubFollowing
from coltsfootrill.membership.following import Identity
from coltsfootrill.membership.held_polls import HeldPolls
from coltsfootrill.membership.hub import Hub
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import LeaveRequest
from coltsfootrill.membership.messages import ManifestReply
from coltsfootrill.membership.messages import SuspectEntry
from coltsfootrill.membership.snapshot import UpstreamSnapshot
from coltsfootrill.membership.suspect_gossip import pack_news
from coltsfootrill.membership.suspect_gossip import unpack_news
from coltsfootrill.membership.view import HubView
from coltsfootrill.naming.scheme import NamingScheme
from coltsfootrill.operators.interface import ManifestAnswer
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.announcement import split_address
from coltsfootrill.roles.hub_client import ADOPT
from coltsfootrill.roles.hub_client import ORDER_ZONE
from coltsfootrill.roles.hub_client import SUBMIT
from coltsfootrill.roles.hub_client import HubClient
from coltsfootrill.roles.hub_client import check_acknowledged
from coltsfootrill.roles.hub_event_log import HubEventLog
from coltsfootrill.roles.manifest_control import ManifestControl
from coltsfootrill.roles.manifest_sync import ManifestSync
from coltsfootrill.roles.zone_control import ZoneControl
from coltsfootrill.rpc import RpcServer
from coltsfootrill.settings import Address
from coltsfootrill.settings import Settings
from coltsfootrill.tasks import start_task
from coltsfootrill.tls import Credentials
from coltsfootrill.zones.evacuation import EvacuatedZones
from coltsfootrill.zones.orders import ZoneAction
from coltsfootrill.zones.orders import ZoneOrders

SYNC_INTERVAL_MS = 600.0
SYNC_RETRY_DELAY_MS = 60.0
SILENT_REPLICA_GRACE_MS = 3_000.0
REPAIR_CHECK_INTERVAL_MS = 1_000.0
STOP_GRACE_MS = 150.0
SHARE_THREAD_COUNT = 8


class NodeControl:
    """Implements ``ControlOperations``: on this node's hub if it is current, else on another."""

    def __init__(
        self,
        settings: Settings,
        *,
        record: InstanceRecord,
        manifests: ManifestHolder,
        manifest_format: ManifestFormat,
        schemes: Mapping[str, NamingScheme],
        view: HubView,
        guard: CrashGuard,
        zones: EvacuatedZones,
        server: RpcServer,
        credentials: Credentials,
        clock: Clock,
        random: Random,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._own_record = record
        self._manifests = manifests
        self._view = view
        self._guard = guard
        self._zones = zones
        self._server = server
        self._credentials = credentials
        self._clock = clock
        self._random = random
        self._log = log
        self._is_member = False
        self._stopping = threading.Event()
        self._hub_events = HubEventLog(log, clock=clock, is_stopping=self._stopping.is_set)
        self._repair_task: ReplicaRepairTask | None = None
        listen: Address = settings.get("fleet", "listen")
        self._own_address = str(listen)
        data = settings.get("instance", "data")
        self.hub = Hub(
            record,
            boot=record.boot,
            clock=clock,
            share=lambda departure: self._hub_client.share(departure),
            get_manifest_version=lambda: manifests.version,
            snapshot=None if data is None else UpstreamSnapshot(data / "hub", files=FileLayer()),
            list_refused=lambda: [pack_news(news) for news in guard.list_refused()],
            get_zone_orders=lambda: zones.orders,
        )
        self._replica = self._make_replica(manifest_format, schemes)
        self._following = HubFollowing(
            view,
            own_address=self._own_address,
            seeds=self._list_seeds(settings.get("fleet", "seeds")),
            identify=self._make_identity,
            answer_locally=self.hub.answer,
            on_reply=self._handle_reply,
            on_replicas=self.hub.record_followed_replicas,
            on_refused=self._merge_refused,
            on_zone_orders=zones.adopt,
            on_lost=self._hub_events.record_lost,
            on_regained=self._hub_events.record_regained,
            clock=clock,
            credentials=credentials.channel,
        )
        self._hub_client = HubClient(
            self._following,
            view,
            own_id=record.id,
            own_address=self._own_address,
            interface_port=settings.get("interface", "listen").port,
            random=random,
        )
        self._manifest_sync = ManifestSync(
            manifests,
            own_id=record.id,
            get_client=self._following.get_client,
            clock=clock,
            log=log,
            adopt_zone_orders=zones.adopt,
        )
        self._manifest_control = ManifestControl(
            manifests,
            own_record=record,
            sync=self._manifest_sync,
            zones=zones,
            get_replica=lambda: self._replica,
            hub=self.hub,
            hub_client=self._hub_client,
            clock=clock,
            log=log,
        )
        self._zone_control = ZoneControl(
            zones,
            get_replica=lambda: self._replica,
            hub=self.hub,
            hub_client=self._hub_client,
            clock=clock,
            log=log,
        )
        self._add_rpc_methods()

    def start(self) -> None:
        """Start the RPC server, the background tasks, and the long polls to the hubs."""
        if self._replica is None:
            self._server.start(self._own_address, self._credentials.server)
        else:
            self._replica.start(self._credentials.server)
            start_task("sync", self._sync_register)
            self._repair_task = self._make_repair(self._replica)
            start_task("repair", self._repair_task.run)
        self._following.update_tasks()

    def stop(self) -> None:
        """Announce to the hubs that this node is leaving, and stop."""
        self._own_record = msgspec.structs.replace(self._own_record, is_leaving=True)
        self._stopping.set()
        if self._repair_task is not None:
            self._repair_task.stop()
        self._following.stop()
        self._server.stop(grace_ms=STOP_GRACE_MS)

    def set_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds after a change of the settings."""
        self._following.set_seeds(self._list_seeds(seeds))

    def run_housekeeping(self) -> None:
        """Run periodic work; to be called every few hundred milliseconds."""
        self.hub.remove_expired()
        self._following.update_tasks()
        has_current_hub = self._view.has_current_hub()
        self._hub_events.record_availability(
            has_current_hub=has_current_hub, replicas=self._following.replicas
        )

    def notify_order_change(self) -> None:
        """Notify the followers that another manifest or another order on a zone is in force."""
        self.hub.notify_order_change()

    def announce(self, announcement: Announcement) -> str | None:
        """Handle an announcement; see ``ControlOperations``."""
        if not self.hub.is_current():
            acknowledged_by = self._hub_client.announce(ANNOUNCE, announcement)
            return self._find_near_interface(announcement.zone) or acknowledged_by
        check_acknowledged(self.hub.announce(announcement))
        if announcement.zone == self._own_record.zone:
            return None
        return self._find_near_interface(announcement.zone)

    def _find_near_interface(self, zone: str) -> str | None:
        """Return the control interface of a current hub in a zone, ``None`` if there is none.

        Traffic between zones has a cost, and upstreams announce themselves all the time.
        """
        hub = self._view.find_current_hub(zone)
        return None if hub is None else self._hub_client.get_interface_address(hub)

    def leave(self, upstream_id: str, incarnation: int | None, *, latest_incarnation: int) -> None:
        """Deregister an upstream; see ``ControlOperations``."""
        request = LeaveRequest(upstream_id, incarnation, latest_incarnation)
        if self.hub.is_current():
            check_acknowledged(self.hub.deregister(request))
            return
        self._hub_client.announce(LEAVE, request)

    def submit(self, raw: bytes, *, base_version: int | None, operator: str) -> SubmitAnswer:
        """Submit a manifest; see ``ControlOperations``."""
        return self._manifest_control.submit(raw, base_version=base_version, operator=operator)

    def order_zone(self, action: ZoneAction, zone: str, *, operator: str) -> ZoneOrders:
        """Evacuate or restore an availability zone; see ``ControlOperations``."""
        return self._zone_control.order(action, zone, operator=operator)

    def read_manifest(self) -> ManifestAnswer:
        """Return the newest accepted manifest; see ``ControlOperations``."""
        return self._manifest_control.read()

    def _add_rpc_methods(self) -> None:
        polls = HeldPolls(self.hub, loop=get_event_loop(), random=self._random)
        self._server.add_held(FOLLOW, polls.answer)
        self._server.add(ANNOUNCE, self.hub.announce)
        self._server.add(LEAVE, self.hub.deregister)
        # A hub that acknowledges that an upstream leaves waits for this call at the others.
        share_executor = ThreadPoolExecutor(SHARE_THREAD_COUNT, thread_name_prefix="share")
        self._server.add(SHARE, self.hub.store_shared, executor=share_executor)
        self._server.add(SHARE_DEPARTURE, self.hub.store_shared, executor=share_executor)
        self._server.add(SUBMIT, self._manifest_control.submit_locally)
        self._server.add(ORDER_ZONE, self._zone_control.order_locally)
        # A voter that submits waits for this call at the others.
        self._server.add(ADOPT, self._adopt_accepted, executor=share_executor)
        self._server.add(
            FETCH_MANIFEST,
            lambda request: ManifestReply(*self._manifests.read_newer(request.known_version)),
        )

    def _list_seeds(self, addresses: list[str]) -> list[str]:
        """Return the seeds with the fleet port, which is the same on all nodes."""
        port = self._settings.get("fleet", "listen").port
        return [str(Address(split_address(address)[0], port)) for address in addresses]

    def _make_replica(
        self, manifest_format: ManifestFormat, schemes: Mapping[str, NamingScheme]
    ) -> ControlReplica | None:
        data = self._settings.get("instance", "data")
        if data is None:
            return None
        folder = data / "control"
        files = FileLayer()
        seeds = self._list_seeds(self._settings.get("fleet", "seeds"))
        initial_replicas = read_bootstrap_replicas(folder, files=files)
        if initial_replicas is None and self._settings.get("instance", "first_start"):
            initial_replicas = {split_address(seed)[0]: seed for seed in seeds}
            bootstrap_replicas(folder, initial_replicas, files=files)
        may_bootstrap = initial_replicas is not None
        return ControlReplica(
            split_address(self._own_address)[0],
            address=self._own_address,
            replicas=initial_replicas or {split_address(seed)[0]: seed for seed in seeds},
            acceptor=Acceptor.from_folder(folder, files=files),
            schemes=schemes,
            clock=self._clock,
            random=self._random,
            credentials=self._credentials.channel,
            manifest_format=manifest_format,
            server=self._server,
            may_bootstrap=may_bootstrap,
        )

    def _make_repair(self, replica: ControlReplica) -> ReplicaRepairTask:
        return ReplicaRepairTask(
            replica,
            list_spares=self._list_spares,
            grace_ms=SILENT_REPLICA_GRACE_MS,
            lost_state_grace_ms=0.0,
            check_ms=REPAIR_CHECK_INTERVAL_MS,
            target_replica_count=2 * self._settings.get("fleet", "losses") + 1,
            clock=self._clock,
            random=self._random,
        )

    def _list_spares(self) -> dict[str, str]:
        addresses = self.hub.list_candidates().values()
        return {split_address(address)[0]: address for address in addresses}

    def _make_identity(self) -> Identity:
        replica = self._replica
        can_vote = replica is not None and replica.acceptor.fault is None
        return Identity(
            msgspec.structs.replace(self._own_record, manifest_version=self._manifests.version),
            is_candidate=can_vote and not self._is_member,
            is_hub=self._is_member,
        )

    def _sync_register(self) -> None:
        """Read the register from a majority periodically until ``stop``."""
        assert self._replica is not None
        pause_ms = 0.0
        while not self._stopping.wait(pause_ms / 1000):
            try:
                state = self._replica.read()
            except ColtsfootrillError:
                # The loss of the majority is logged by ``HubEventLog``.
                pause_ms = SYNC_RETRY_DELAY_MS
                continue
            pause_ms = SYNC_INTERVAL_MS
            self._is_member = self._replica.is_member(state)
            self._zones.adopt(state.zone_orders)
            if state.version > self._manifests.version:
                self._manifest_sync.adopt(state.manifest)
            if self._is_member:
                addresses = [replica.address for replica in state.replicas.values()]
                self.hub.record_majority_read(addresses)
                self.hub.persist_upstreams()

    def _merge_refused(self, entries: list[SuspectEntry]) -> None:
        for entry in entries:
            self._guard.merge(unpack_news(entry))

    def _handle_reply(self, address: str, reply: FollowReply) -> None:
        if address == self._own_address:
            return
        if self._replica is not None:
            self.hub.merge_reply(reply)
        self._manifest_sync.fetch_if_newer(
            reply.manifest_version, address, serves_reads=reply.is_current
        )

    def _adopt_accepted(self, request: AdoptRequest) -> AdoptReply:
        self._zones.adopt(request.zone_orders)
        if request.raw:
            self._manifest_sync.adopt(request.raw)
        return AdoptReply(self._manifests.version, self._zones.orders.number)
