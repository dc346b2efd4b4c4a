"""The control role: a replica of the manifest register and its HTTP port for operators."""

from __future__ import annotations

import threading
from random import SystemRandom
from typing import Any

import msgspec
from absl import logging

from coltsfootrill.clock import Clock
from coltsfootrill.control.acceptor import Acceptor
from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.control.repair import ReplicaRepairTask
from coltsfootrill.control.replacement import ReplacementError
from coltsfootrill.control.replacement import decode_replace_request
from coltsfootrill.control.replica import ControlReplica
from coltsfootrill.manifest.codec import InvalidManifestError
from coltsfootrill.metrics import Metrics
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.operators.http import HttpReply
from coltsfootrill.operators.http import HttpRequest
from coltsfootrill.operators.http import HttpServer
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import load_plugins
from coltsfootrill.process import error_lines
from coltsfootrill.roles.signals import install_stop_event
from coltsfootrill.roles.zone_http import ZoneHandlers
from coltsfootrill.settings import InvalidSettingsError
from coltsfootrill.settings import SettingError
from coltsfootrill.settings import Settings
from coltsfootrill.tasks import start_task
from coltsfootrill.tls import Credentials
from coltsfootrill.zones.orders import describe_evacuated

MS_PER_SECOND = 1_000.0
_STATUS_BY_RESULT = {"accepted": "200 OK", "conflict": "409 Conflict", "older": "409 Conflict"}


class ControlRole:
    """A control process: accepts manifests with the other replicas and repairs the replica set."""

    def __init__(self, replica: ControlReplica, settings: Settings, metrics: Metrics) -> None:
        self._replica = replica
        self._metrics = metrics
        metrics.dropped_lines.set_function(lambda: error_lines.dropped_total)
        self._repair_task = ReplicaRepairTask(
            replica,
            list_spares=lambda: settings.get("control", "spares"),
            grace_ms=settings.get("control", "grace_s") * MS_PER_SECOND,
            clock=Clock(),
            random=SystemRandom(),
        )
        app = HttpApp(settings.get("tokens", "operator_file"), on_refused=self._count_invalid_token)
        app.add("GET", "/ready", self._handle_ready, is_public=True)
        app.add("GET", "/metrics", self._handle_metrics, is_public=True)
        app.add("POST", "/manifest", self._handle_submit)
        app.add("GET", "/manifest", self._handle_manifest)
        app.add("GET", "/status", self._handle_status)
        app.add("GET", "/audit", self._handle_audit)
        app.add("POST", "/replicas", self._handle_replace)
        ZoneHandlers(replica).add_routes(app)
        self._http_server = HttpServer(app, settings.get("operators", "listen"))

    @classmethod
    def from_settings(cls, settings: Settings) -> ControlRole:
        """Return the role with its state read from the data folder, and start its replica.

        Raises ``InvalidSettingsError`` without a data folder.
        """
        folder = settings.get("instance", "data")
        if folder is None:
            problem = SettingError(
                "instance", "data", "", "a folder, because a control replica stores its state there"
            )
            raise InvalidSettingsError("settings refused", [problem])
        clock = Clock()
        listen = settings.get("control", "listen")
        credentials = Credentials.from_settings(settings, listen)
        replica = ControlReplica(
            settings.get("instance", "id"),
            address=str(listen),
            replicas=settings.get("control", "replicas"),
            acceptor=Acceptor.from_folder(folder / "control", files=FileLayer()),
            schemes=collect_schemes(load_plugins()),
            clock=clock,
            random=SystemRandom(),
            credentials=credentials.channel,
        )
        replica.start(credentials.server)
        if credentials.channel is None:
            logging.warning(
                "plain mode: peers are not authenticated; configure [tls] outside loopback"
            )
        return cls(replica, settings, Metrics())

    def run(self, stop: threading.Event | None = None) -> int:
        """Serve until SIGTERM or SIGINT, then stop gracefully; return the exit code."""
        stop = stop or install_stop_event()
        self._http_server.start()
        fault = self._replica.acceptor.fault
        logging.info('control started id="%s" fault="%s"', self._replica.id, fault or "")
        start_task("repair", self._repair_task.run)
        stop.wait()
        self._repair_task.stop()
        self._replica.stop()
        logging.info('control stopped id="%s"', self._replica.id)
        return 0

    def _count_invalid_token(self) -> None:
        self._metrics.refused_operations.labels("token").inc()

    def _handle_ready(self, request: HttpRequest) -> HttpReply:
        fault = self._replica.acceptor.fault
        if fault is not None:
            return HttpReply.from_json("503 Service Unavailable", {"message": fault})
        return HttpReply.from_json("200 OK", {"message": "ready"})

    def _handle_metrics(self, request: HttpRequest) -> HttpReply:
        return HttpReply("200 OK", self._metrics.render(), content_type="text/plain")

    def _handle_submit(self, request: HttpRequest) -> HttpReply:
        try:
            answer = self._replica.submit(request.body, operator=request.operator)
        except InvalidManifestError as error:
            problems = [
                {"where": problem.where, "message": problem.message}
                for problem in error.exceptions
                if not isinstance(problem, ExceptionGroup)
            ]
            body: Any = {"result": "invalid", "problems": problems}
            return HttpReply.from_json("422 Unprocessable Entity", body)
        except NoQuorumError as error:
            return _make_unavailable_reply("no-quorum", str(error))
        except UnknownResultError as error:
            body = {"result": "unknown", "message": str(error)}
            return HttpReply.from_json("504 Gateway Timeout", body)
        return HttpReply.from_json(_STATUS_BY_RESULT[answer.result], msgspec.to_builtins(answer))

    def _handle_replace(self, request: HttpRequest) -> HttpReply:
        try:
            replacement = decode_replace_request(request.body)
            answer = self._replica.replace_replica(
                replacement.old, replacement.new, replacement.address, operator=request.operator
            )
        except ReplacementError as error:
            return HttpReply.from_json("409 Conflict", {"result": "refused", "message": str(error)})
        except NoQuorumError as error:
            return _make_unavailable_reply("no-quorum", str(error))
        except UnknownResultError as error:
            body = {"result": "unknown", "message": str(error)}
            return HttpReply.from_json("504 Gateway Timeout", body)
        status = "200 OK" if answer.result == "replaced" else "409 Conflict"
        return HttpReply.from_json(status, msgspec.to_builtins(answer))

    def _handle_manifest(self, request: HttpRequest) -> HttpReply:
        try:
            state = self._replica.read()
        except NoQuorumError as error:
            return _make_unavailable_reply("no-quorum", str(error))
        if not state.manifest:
            return HttpReply.from_json(
                "404 Not Found", {"message": "no manifest has been accepted yet"}
            )
        return HttpReply("200 OK", state.manifest)

    def _handle_status(self, request: HttpRequest) -> HttpReply:
        try:
            state = self._replica.read()
        except NoQuorumError as error:
            return _make_unavailable_reply("no-quorum", str(error))
        return HttpReply.from_json("200 OK", make_status(state, self._replica))

    def _handle_audit(self, request: HttpRequest) -> HttpReply:
        try:
            state = self._replica.read()
        except NoQuorumError as error:
            return _make_unavailable_reply("no-quorum", str(error))
        records = [msgspec.structs.asdict(record) for record in state.audit]
        return HttpReply.from_json("200 OK", {"records": records})


def make_status(state: ControlState, replica: ControlReplica) -> dict[str, Any]:
    """Return the body of the reply to an operator who asks for the status of ``replica``."""
    return {
        "role": "control",
        "id": replica.id,
        "fault": replica.acceptor.fault,
        # While a replacement is incomplete, the previous set is still needed for each change.
        "member": replica.is_member(state) and state.is_replica_set_chosen,
        "epoch": state.epoch,
        "replicas": {
            replica_id: {"address": member.address, "key": member.key}
            for replica_id, member in state.replicas.items()
        },
        "version": state.version,
        "digest": state.digest,
        "zone_order": state.zone_orders.number,
        "evacuated_zones": describe_evacuated(state.zone_orders),
    }


def _make_unavailable_reply(result: str, message: str) -> HttpReply:
    return HttpReply.from_json("503 Service Unavailable", {"result": result, "message": message})
