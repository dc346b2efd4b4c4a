"""The entry role: forwards requests, receives announcements, and exchanges state with its peers."""

from __future__ import annotations

import sys
import threading
from random import Random
from typing import Any

from absl import logging

from coltsfootrill.audit import AuditTrail
from coltsfootrill.clock import Clock
from coltsfootrill.control.follower import ControlFollower
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.membership.exchange import PeerExchange
from coltsfootrill.membership.fleet import Fleet
from coltsfootrill.membership.fleet import MemberEvent
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import ManifestReply
from coltsfootrill.metrics import Metrics
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.operators.http import HttpServer
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import find_policy
from coltsfootrill.plugins import load_plugins
from coltsfootrill.process import error_lines
from coltsfootrill.proxy.prober import Prober
from coltsfootrill.registry.directory import StateChange
from coltsfootrill.roles.entry_http import EntryHandlers
from coltsfootrill.roles.gateway import SWITCH_INTERVAL_S
from coltsfootrill.roles.gateway import Gateway
from coltsfootrill.roles.gateway import make_random
from coltsfootrill.roles.signals import install_stop_event
from coltsfootrill.settings import Settings
from coltsfootrill.tasks import start_task
from coltsfootrill.tls import Credentials
from coltsfootrill.zones.evacuation import EvacuatedZones
from coltsfootrill.zones.orders import ZoneOrders
from coltsfootrill.zones.orders import describe_evacuated

HOUSEKEEPING_INTERVAL_MS = 200.0
LEAVE_PROPAGATION_MS = 300.0
FIRST_PEER_TIMEOUT_MS = 10_000.0


class EntryRole:
    """An entry process, built from its settings."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = Clock()
        self.metrics = Metrics()
        self.metrics.dropped_lines.set_function(lambda: error_lines.dropped_total)
        self._id = settings.get("instance", "id")
        plugins = load_plugins()
        policy = find_policy(plugins, settings.get("balancer", "policy"))
        random = make_random(settings.get("balancer", "seed"))
        self._credentials = Credentials.from_settings(settings, settings.get("peers", "listen"))
        folder = settings.get("instance", "data")
        self.audit = AuditTrail(
            self._id, None if folder is None else folder / "audit", clock=self._clock
        )
        self.zones = EvacuatedZones(on_adopt=self._record_zone_orders)
        self.manifests = ManifestHolder(collect_schemes(plugins), on_adopt=self._record_manifest)
        self.fleet = Fleet(
            self._make_own_record(),
            clock=self._clock,
            on_upstream=self._record_upstream,
            on_member=self._record_member,
        )
        self.gateway = Gateway(
            settings,
            manifests=self.manifests,
            source=self.fleet,
            policy=policy,
            random=random,
            clock=self._clock,
            metrics=self.metrics,
            zones=self.zones,
        )
        self._exchange = self._make_peer_exchange()
        self._follower = self._make_follower(random)
        self._prober = Prober(
            self.gateway.app,
            self.manifests,
            self.fleet,
            fleet_max_count=settings.get("peers", "fleet_max"),
            random=random,
            clock=self._clock,
            metrics=self.metrics,
        )
        self._started_ms = self._clock.now_ms()
        self._was_isolated = False

    @classmethod
    def from_settings(cls, settings: Settings) -> EntryRole:
        """Return the role; nothing listens before ``run``."""
        return cls(settings)

    def run(self, stop: threading.Event | None = None) -> int:
        """Serve until SIGTERM or SIGINT, then stop gracefully; return the exit code.

        The exit code is 1 if requests were cut.
        """
        stop = stop or install_stop_event()
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._start()
        logging.info('entry started id="%s"', self._id)
        while not stop.wait(HOUSEKEEPING_INTERVAL_MS / 1000):
            self._run_housekeeping()
        cut_count = self._stop()
        logging.info('entry stopped id="%s" requests_cut=%d', self._id, cut_count)
        return 0 if cut_count == 0 else 1

    def is_ready(self) -> bool:
        """Return whether the platform's load balancer should send callers to this instance."""
        return (
            not self.gateway.is_stopping
            and not self.gateway.refuses_all()
            and self.manifests.current is not None
            and not self.fleet.is_isolated()
            and self._has_contacted_peers()
            and bool(self.fleet.list_usable())
        )

    def _has_contacted_peers(self) -> bool:
        """Return whether a peer is known, or no longer expected.

        No peer is expected without other seeds, or after ``FIRST_PEER_TIMEOUT_MS``. Until then an
        instance that starts while it is cut off from its peers must not accept callers.
        """
        seeds = set(self._settings.get("peers", "seeds")) - {self.fleet.own.address}
        if not seeds or self.fleet.list_members():
            return True
        return self._clock.now_ms() - self._started_ms > FIRST_PEER_TIMEOUT_MS

    def _start(self) -> None:
        settings = self._settings
        if self._credentials.channel is None:
            logging.warning(
                "plain mode: peers are not authenticated; configure [tls] outside loopback"
            )
        handlers = EntryHandlers(
            fleet=self.fleet,
            manifests=self.manifests,
            gateway=self.gateway,
            metrics=self.metrics,
            audit=self.audit,
            zones=self.zones,
            is_ready=self.is_ready,
        )
        self._serve_http("operators", "operator_file", handlers.add_operator_routes)
        self._serve_http("announcements", "announcement_file", handlers.add_announcement_routes)
        self._exchange.start(str(settings.get("peers", "listen")), self._credentials.server)
        start_task("control", self._follower.run)
        start_task("prober", self._prober.run)
        self.gateway.start()

    def _serve_http(self, section: str, token_key: str, add_routes: Any) -> None:
        app = HttpApp(self._settings.get("tokens", token_key), on_refused=self._count_invalid_token)
        add_routes(app)
        HttpServer(app, self._settings.get(section, "listen")).start()

    def _stop(self) -> int:
        """Stop gracefully and return the number of requests that were cut."""
        self.gateway.is_stopping = True
        self.audit.record(self._id, "stopping")
        cut_count = self.gateway.stop()
        self._prober.stop()
        self._follower.stop()
        self.fleet.announce_leaving()
        self._clock.sleep_ms(LEAVE_PROPAGATION_MS)
        self._exchange.stop()
        self.audit.record(self._id, "stopped", after=f"requests_cut={cut_count}")
        self.audit.close()
        return cut_count

    def _run_housekeeping(self) -> None:
        self.fleet.remove_expired()
        self._exchange.update_tasks()
        self.gateway.close_idle_connections()
        is_isolated = self.fleet.is_isolated()
        if is_isolated != self._was_isolated:
            self._was_isolated = is_isolated
            self.audit.record(self._id, "isolated" if is_isolated else "not isolated")
        self.metrics.upstreams.set(len(self.fleet.list_usable()))
        self.metrics.isolated.set(is_isolated)
        self.metrics.evacuated_requests.set(self.gateway.app.count_evacuated_in_flight())
        self.metrics.members.set(len(self.fleet.list_members()))
        self.metrics.manifest_tables.set(self.manifests.count_live_tables())
        self.metrics.peer_bytes.labels("sent").set(self._exchange.counter.sent)
        self.metrics.peer_bytes.labels("received").set(self._exchange.counter.received)

    def _make_own_record(self) -> InstanceRecord:
        return InstanceRecord(
            id=self._id,
            boot=self._clock.wall_ms(),
            address=str(
                self._settings.get("peers", "advertise") or self._settings.get("peers", "listen")
            ),
            zone=self._settings.get("instance", "zone"),
            is_leaving=False,
            manifest_version=0,
        )

    def _make_peer_exchange(self) -> PeerExchange:
        return PeerExchange(
            self.fleet,
            clock=self._clock,
            seeds=self._settings.get("peers", "seeds"),
            read_manifest=lambda known: ManifestReply(*self.manifests.read_newer(known)),
            offer_manifest=self._adopt_from_peer,
            get_manifest_version=lambda: self.manifests.version,
            credentials=self._credentials.channel,
        )

    def _make_follower(self, random: Random) -> ControlFollower:
        return ControlFollower(
            self._id,
            list(self._settings.get("control", "replicas").values()),
            get_version=lambda: self.manifests.version,
            adopt=self._adopt,
            adopt_zone_orders=self.zones.adopt,
            random=random,
            metrics=self.metrics,
            credentials=self._credentials.channel,
        )

    def _adopt_from_peer(self, reply: ManifestReply) -> None:
        # A peer cannot prove that its manifest is the newest, so an instance without a manifest
        # waits for a majority read. After that, a newer manifest from a peer is safe to adopt,
        # because peers only have manifests that a majority accepted.
        if reply.raw and self.manifests.current is not None:
            self._adopt(reply.raw)

    def _adopt(self, raw: bytes) -> None:
        error = self.manifests.adopt_if_valid(raw)
        if error is not None:
            logging.error('accepted manifest cannot be read by this instance error="%s"', error)
            self.metrics.refused_operations.labels("unreadable-manifest").inc()

    def _record_manifest(self, before: RoutingTable | None, after: RoutingTable) -> None:
        self.fleet.set_manifest_version(after.version)
        self.metrics.manifest_version.set(after.version)
        self.metrics.set_organisations(after.list_organisation_names())
        self.audit.record(
            "manifest",
            f"version {after.version} in force",
            before="" if before is None else before.digest,
            after=after.digest,
        )

    def _record_zone_orders(self, before: ZoneOrders, after: ZoneOrders) -> None:
        self.metrics.record_zone_orders(after)
        self.audit.record(
            "zones",
            f"order {after.number} in force",
            before=describe_evacuated(before),
            after=describe_evacuated(after),
        )

    def _record_upstream(self, change: StateChange) -> None:
        self.audit.record(
            change.upstream_id,
            f"upstream incarnation {change.incarnation}",
            before=change.before or "",
            after=change.after,
        )

    def _record_member(self, instance_id: str, event: MemberEvent) -> None:
        self.audit.record(instance_id, "instance", after=event)

    def _count_invalid_token(self) -> None:
        self.metrics.refused_operations.labels("token").inc()
