"""The node role: forwards requests and, on an instance with a disk, votes on manifests."""

from __future__ import annotations

import itertools
import socket
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import SystemRandom

from absl import logging

from coltsfootrill import __version__
from coltsfootrill.balancer.retry import BUDGET_USE
from coltsfootrill.balancer.retry import WindowBudget
from coltsfootrill.balancer.retry import share_allowance
from coltsfootrill.balancer.warm_up import WarmUpBound
from coltsfootrill.clock import Clock
from coltsfootrill.dispatch.client import DispatchClient
from coltsfootrill.dispatch.server import DispatchServer
from coltsfootrill.early_signals import reload_request
from coltsfootrill.events.catalog import DependencyLost
from coltsfootrill.events.catalog import InstancesChanged
from coltsfootrill.events.catalog import ManifestAdopted
from coltsfootrill.events.catalog import ManifestSource
from coltsfootrill.events.catalog import Reloaded
from coltsfootrill.events.catalog import Started
from coltsfootrill.events.catalog import Stopped
from coltsfootrill.events.catalog import Stopping
from coltsfootrill.events.catalog import UpstreamChanged
from coltsfootrill.events.catalog import ZoneOrdersAdopted
from coltsfootrill.events.log import EventLog
from coltsfootrill.events.requests import RequestLog
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.membership.load_gossip import LoadGossipExchange
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.suspect_gossip import SuspectGossipExchange
from coltsfootrill.membership.view import HubView
from coltsfootrill.metrics import Metrics
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.operators.http import HttpReply
from coltsfootrill.operators.http import HttpRequest
from coltsfootrill.operators.http import HttpServer
from coltsfootrill.operators.http import OperatorListenError
from coltsfootrill.operators.quota_list import QUOTAS_PATH
from coltsfootrill.operators.quota_list import make_quotas_handler
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import find_dialect
from coltsfootrill.plugins import find_interface
from coltsfootrill.plugins import find_manifest_format
from coltsfootrill.plugins import find_policy
from coltsfootrill.plugins import load_plugins
from coltsfootrill.process import error_lines
from coltsfootrill.proxy.load_poller import LoadPoller
from coltsfootrill.quotas.limits import QuotaBounds
from coltsfootrill.quotas.member import QuotaMember
from coltsfootrill.registry.directory import StateChange
from coltsfootrill.roles.gateway import SWITCH_INTERVAL_S
from coltsfootrill.roles.gateway import Gateway
from coltsfootrill.roles.gateway import make_random
from coltsfootrill.roles.node_control import NodeControl
from coltsfootrill.roles.signals import install_stop_event
from coltsfootrill.rpc import RpcServer
from coltsfootrill.settings import InvalidSettingsError
from coltsfootrill.settings import Settings
from coltsfootrill.settings_catalog import NODE_SETTINGS
from coltsfootrill.tasks import start_task
from coltsfootrill.tls import Credentials
from coltsfootrill.zones.evacuation import EvacuatedZones
from coltsfootrill.zones.evacuation import OpenUpstreams
from coltsfootrill.zones.orders import ZoneOrders

HOUSEKEEPING_INTERVAL_MS = 200.0
SETTINGS_CHECK_INTERVAL_MS = 2_000.0
RPC_THREAD_COUNT = 32
INTERFACE_THREAD_COUNT = 12
MS_PER_SECOND = 1_000.0
_BOOT_ID_BITS = 52
# Load reports go to other zones in every second round only, because upstreams in the same zone
# are preferred.
CROSS_ZONE_INTERVAL_ROUNDS = 2


class NodeRole:
    """A node process, built from its settings.

    ``listener`` is a socket that already listens on the callers' address, if there is one.
    """

    def __init__(
        self, settings: Settings, path: Path, *, listener: socket.socket | None = None
    ) -> None:
        self._listener = listener
        self._settings = settings
        self._settings_path = path
        self._modified_ns = path.stat().st_mtime_ns
        self._clock = Clock()
        self._started_ms = self._clock.now_ms()
        self._id = settings.get("instance", "id")
        self.metrics = Metrics()
        self.log = EventLog(self._id, clock=self._clock)
        self.metrics.dropped_lines.set_function(
            lambda: self.log.dropped_total + error_lines.dropped_total
        )
        requests = RequestLog(self.log, clock=self._clock)
        plugins = load_plugins()
        random = make_random(settings.get("balancer", "seed"))
        manifest_format = find_manifest_format(plugins, settings.get("interface", "manifest"))
        schemes = collect_schemes(plugins)
        self.manifests = ManifestHolder(
            schemes, manifest_format=manifest_format, on_adopt=self._record_manifest
        )
        self.zones = EvacuatedZones(on_adopt=self._record_zone_orders)
        self.view = HubView(clock=self._clock, on_upstream=self._record_upstream)
        self._adopted_ms = self._started_ms
        self._budgets: list[WindowBudget] = []
        self._known_instances: frozenset[str] = frozenset()
        self._dialect = find_dialect(plugins, settings.get("interface", "dialect"))
        listen = settings.get("fleet", "listen")
        boot = SystemRandom().getrandbits(_BOOT_ID_BITS)
        self._own_record = InstanceRecord(
            self._id,
            boot,
            str(listen),
            settings.get("instance", "zone"),
            False,
            0,
            settings.get("instance", "link_mbps"),
        )
        self._datagram_port = DatagramPort(str(listen))
        self._quotas = QuotaMember(
            self._own_record,
            bounds=QuotaBounds.from_settings(settings),
            port=self._datagram_port,
            manifests=self.manifests,
            view=self.view,
            is_stopping=lambda: self.gateway.is_stopping,
            clock=self._clock,
            metrics=self.metrics,
            timeout_ms=settings.get("dispatch", "timeout_ms"),
            on_event=self.log.emit,
        )
        self.gateway = Gateway(
            settings,
            manifests=self.manifests,
            source=self.view,
            policy=find_policy(plugins, settings.get("balancer", "policy")),
            random=random,
            clock=self._clock,
            metrics=self.metrics,
            dialect=self._dialect,
            make_budget=self._make_budget,
            dispatch=self._make_dispatch_client(),
            warm_up_bound=WarmUpBound(
                overshoot=settings.get("warm_up", "overshoot"),
                slack=settings.get("warm_up", "slack"),
            ),
            zones=self.zones,
            quotas=self._quotas.client,
            describe_manifest=self._describe_manifest,
            get_reported_version=self.view.get_reported_version,
            on_ended=requests.record,
            on_event=self.log.emit,
        )
        credentials = Credentials.from_settings(
            settings, listen, is_plain_allowed=settings.get("tls", "plain")
        )
        server = RpcServer(ThreadPoolExecutor(RPC_THREAD_COUNT, thread_name_prefix="rpc"))
        self.control = NodeControl(
            settings,
            record=self._own_record,
            manifests=self.manifests,
            manifest_format=manifest_format,
            schemes=schemes,
            view=self.view,
            guard=self.gateway.app.crash_guard,
            zones=self.zones,
            server=server,
            credentials=credentials,
            clock=self._clock,
            random=random,
            log=self.log,
        )
        self._dispatch_server = DispatchServer(
            port=self._datagram_port,
            find_controller=self.gateway.app.find_controller,
            is_stopping=lambda: self.gateway.is_stopping,
            clock=self._clock,
        )
        self._control_interface = find_interface(plugins, settings.get("interface", "name"))

    @classmethod
    def from_file(cls, path: Path, *, listener: socket.socket | None = None) -> NodeRole:
        """Return the role, with the settings of a file; it opens no port before ``run``."""
        return cls(Settings.from_file(path, NODE_SETTINGS), path, listener=listener)

    def run(self, stop: threading.Event | None = None) -> int:
        """Serve until SIGTERM or SIGINT, then stop gracefully; return the exit code."""
        stop = stop or install_stop_event()
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._start()
        last_check_ms = self._clock.now_ms()
        while not stop.wait(HOUSEKEEPING_INTERVAL_MS / MS_PER_SECOND):
            self._run_housekeeping()
            if reload_request.take():
                self._reload("signal")
            elif self._clock.now_ms() - last_check_ms > SETTINGS_CHECK_INTERVAL_MS:
                last_check_ms = self._clock.now_ms()
                self._reload_if_changed()
        self.log.emit(Stopping(in_progress=self.gateway.count_in_progress()))
        cut_count = self.gateway.stop()
        self.control.stop()
        self.log.emit(Stopped(cut=cut_count))
        self.log.close()
        return 0

    def is_ready(self) -> bool:
        """Return whether the platform's load balancer should send callers to this node."""
        return (
            not self.gateway.is_stopping
            and not self.gateway.refuses_all()
            and self.manifests.current is not None
            and bool(self.view.list_usable())
        )

    def _start(self) -> None:
        self.log.start()
        settings = self._settings
        control_app = HttpApp(None)
        self._control_interface.add_control_routes(control_app, self.control)
        ready_app = HttpApp(None)
        self._control_interface.add_ready_routes(ready_app, self.is_ready)
        self.control.start()
        interface_address = settings.get("interface", "listen")
        HttpServer(control_app, interface_address, threads=INTERFACE_THREAD_COUNT).start()
        HttpServer(ready_app, settings.get("ready", "listen"), threads=1).start()
        self._serve_metrics()
        self.gateway.start(listener=self._listener)
        self._start_load_polling()
        zone = settings.get("instance", "zone")
        self.log.emit(Started(zone=zone, version=__version__))

    def _serve_metrics(self) -> None:
        """Serve metrics; a port that cannot be used is logged and does not stop the node."""
        app = HttpApp(None)
        app.add("GET", "/metrics", self._handle_metrics)
        app.add("GET", QUOTAS_PATH, make_quotas_handler(self._quotas.list_use))
        try:
            HttpServer(app, self._settings.get("metrics", "listen"), threads=1).start()
        except OperatorListenError as error:
            self.log.emit(DependencyLost(dependency="metrics", reason=str(error)))

    def _start_load_polling(self) -> None:
        """Open the datagram port, poll upstreams and exchange their load reports.

        With a polling interval of 0, only the port is opened.
        """
        self._datagram_port.open()
        start_task("datagrams", self._datagram_port.run)
        interval_ms = self._settings.get("measuring", "interval_ms")
        if not interval_ms:
            return
        gossip = LoadGossipExchange(
            self._own_record,
            port=self._datagram_port,
            list_instances=self.view.list_instances,
            on_reports=self.gateway.app.apply_reports,
            clock=self._clock,
        )
        suspects = SuspectGossipExchange(
            self._own_record,
            port=self._datagram_port,
            list_instances=self.view.list_instances,
            guard=self.gateway.app.crash_guard,
            clock=self._clock,
        )
        rounds = itertools.count()

        def exchange_reports() -> None:
            reports = self.gateway.app.reports.take()
            self.gateway.app.apply_reports(reports)
            suspects.send()
            gossip.send(reports, crosses_zones=next(rounds) % CROSS_ZONE_INTERVAL_ROUNDS == 0)

        poller = LoadPoller(
            self._own_record,
            interval_ms=interval_ms,
            dialect=self._dialect,
            get_table=lambda: self.manifests.current,
            list_instances=self.view.list_instances,
            list_upstreams=OpenUpstreams(self.zones, self.view.list_usable).list_open,
            report_cache=self.gateway.app.reports,
            declines=self.gateway.app.declines,
            on_round=exchange_reports,
            clock=self._clock,
            metrics=self.metrics,
        )
        start_task("collector", gossip.run_collector)
        start_task("load-watch", poller.run)

    def _make_dispatch_client(self) -> DispatchClient | None:
        timeout_ms = self._settings.get("dispatch", "timeout_ms")
        if not timeout_ms:
            return None
        return DispatchClient(
            self._own_record,
            port=self._datagram_port,
            list_instances=self.view.list_instances,
            clock=self._clock,
            timeout_ms=timeout_ms,
            work_min_ms=self._settings.get("dispatch", "work_min_ms"),
            on_event=self.log.emit,
        )

    def _run_housekeeping(self) -> None:
        self.view.remove_expired()
        self._dispatch_server.remove_expired()
        self._quotas.run_housekeeping()
        self.control.run_housekeeping()
        self.gateway.close_idle_connections()
        self._update_retry_allowance()
        self._record_instances()
        self.metrics.upstreams.set(len(self.view.list_usable()))
        self.metrics.members.set(self.view.count_instances() or 0)
        self.metrics.evacuated_requests.set(self.gateway.app.count_evacuated_in_flight())

    def _record_instances(self) -> None:
        known = frozenset(record.id for record in self.view.list_instances())
        before, self._known_instances = self._known_instances, known
        if known == before:
            return
        self.log.emit(
            InstancesChanged(
                count=len(known), joined=sorted(known - before), left=sorted(before - known)
            )
        )

    def _make_budget(self) -> WindowBudget:
        budget = WindowBudget(
            BUDGET_USE * self._settings.get("retries", "share"),
            window_ms=self._settings.get("retries", "window_s") * MS_PER_SECOND,
            allowance=0.0,
        )
        self._budgets.append(budget)
        return budget

    def _update_retry_allowance(self) -> None:
        """Set the allowance of each budget to this instance's share of the fleet's allowance."""
        allowance = share_allowance(
            self._settings.get("retries", "allowance"),
            instances=self.view.count_instances(),
            running_ms=self._clock.now_ms() - self._started_ms,
            window_ms=self._settings.get("retries", "window_s") * MS_PER_SECOND,
        )
        for budget in self._budgets:
            budget.allowance = allowance

    def _reload_if_changed(self) -> None:
        try:
            modified_ns = self._settings_path.stat().st_mtime_ns
        except OSError as error:
            logging.error('settings file cannot be checked for changes error="%s"', error)
            return
        if modified_ns != self._modified_ns:
            self._modified_ns = modified_ns
            self._reload("file changed")

    def _reload(self, cause: str) -> None:
        """Apply changed seeds; other changed settings are logged and need a restart."""
        try:
            settings = Settings.from_file(self._settings_path, NODE_SETTINGS)
        except InvalidSettingsError as error:
            problems = "; ".join(str(problem) for problem in error.exceptions)
            self.log.emit(Reloaded(cause=cause, changed=[], error=problems))
            return
        changed = settings.list_changed(self._settings)
        self._settings = settings
        self.control.set_seeds(settings.get("fleet", "seeds"))
        self.log.emit(Reloaded(cause=cause, changed=changed))

    def _describe_manifest(self) -> ManifestSource:
        age_ms = round(self._clock.now_ms() - self._adopted_ms, 1)
        return ManifestSource(age_ms=age_ms, replies=self.view.list_replies())

    def _record_manifest(self, before: RoutingTable | None, after: RoutingTable) -> None:
        self._adopted_ms = self._clock.now_ms()
        self.metrics.manifest_version.set(after.version)
        self.metrics.set_organisations(after.list_organisation_names())
        self.log.emit(
            ManifestAdopted(
                version=after.version,
                before=0 if before is None else before.version,
                digest=after.digest[:12],
            )
        )
        self.control.notify_order_change()

    def _record_zone_orders(self, before: ZoneOrders, after: ZoneOrders) -> None:
        self.metrics.record_zone_orders(after)
        self.log.emit(
            ZoneOrdersAdopted(
                number=after.number,
                evacuated=sorted(after.evacuated),
                before=sorted(before.evacuated),
            )
        )
        self.control.notify_order_change()

    def _record_upstream(self, change: StateChange) -> None:
        self.log.emit(
            UpstreamChanged(
                upstream=change.upstream_id,
                incarnation=change.incarnation,
                before=change.before or "",
                after=change.after,
            )
        )

    def _handle_metrics(self, request: HttpRequest) -> HttpReply:
        return HttpReply("200 OK", self.metrics.render(), content_type="text/plain")
