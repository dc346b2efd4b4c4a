"""Manifests at a node: submitted by an operator, kept in the register, in force."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from coltsfootrill.clock import Clock
from coltsfootrill.control.messages import AdoptRequest
from coltsfootrill.control.messages import SubmitReply
from coltsfootrill.control.messages import SubmitRequest
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.control.replica import ControlReplica
from coltsfootrill.control.submission import SubmitAnswer
from coltsfootrill.events.catalog import ManifestRead
from coltsfootrill.events.catalog import ManifestSubmitted
from coltsfootrill.events.log import EventLog
from coltsfootrill.manifest.codec import InvalidManifestError
from coltsfootrill.manifest.codec import ManifestValueError
from coltsfootrill.manifest.codec import digest_manifest
from coltsfootrill.manifest.codec import make_manifest_error
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.membership.hub import Hub
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.operators.interface import ManifestAnswer
from coltsfootrill.roles.hub_client import HubClient
from coltsfootrill.roles.majority_adoption import MajorityAdoption
from coltsfootrill.roles.manifest_sync import ManifestSync
from coltsfootrill.zones.evacuation import EvacuatedZones

_LOGGED_DIGEST_LENGTH = 12
# Operators wait for a second, and the link also carries the answers to callers.
READ_SEND_MAX_MS = 250.0


class ManifestControl:
    """Submits and reads on this node's replica if its hub is current, else on another one.

    ``get_replica`` returns ``None`` on a node without a data folder.
    """

    def __init__(
        self,
        manifests: ManifestHolder,
        *,
        own_record: InstanceRecord,
        sync: ManifestSync,
        zones: EvacuatedZones,
        get_replica: Callable[[], ControlReplica | None],
        hub: Hub,
        hub_client: HubClient,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._manifests = manifests
        self._own_record = own_record
        self._sync = sync
        self._zones = zones
        self._get_replica = get_replica
        self._hub = hub
        self._hub_client = hub_client
        self._clock = clock
        self._log = log
        self._adoption = MajorityAdoption(
            lambda reply: reply.version, hub=hub, hub_client=hub_client
        )

    def submit(self, raw: bytes, *, base_version: int | None, operator: str) -> SubmitAnswer:
        """Submit a manifest; see ``ControlOperations``."""
        request = SubmitRequest(raw, base_version, operator)
        start_ms = self._clock.now_ms()
        if self._get_replica() is not None and self._hub.is_current():
            reply = self.submit_locally(request)
        else:
            reply = self._hub_client.submit(request)
        self._log.emit(
            ManifestSubmitted(
                version=reply.version,
                base_version=base_version,
                operator=operator,
                digest=_shorten(raw),
                result=reply.result,
                message=reply.message,
                took_ms=self._measure_ms(start_ms),
            )
        )
        return _convert_submit_reply(reply)

    def read(self) -> ManifestAnswer:
        """Return the newest accepted manifest; see ``ControlOperations``."""
        start_ms = self._clock.now_ms()
        try:
            answer = self._read()
        except NoQuorumError as error:
            self._log.emit(ManifestRead(took_ms=self._measure_ms(start_ms), error=str(error)))
            raise
        self._log.emit(
            ManifestRead(
                took_ms=self._measure_ms(start_ms),
                digest=_shorten(answer.raw),
                size_bytes=len(answer.raw),
                redirected_to=answer.source,
            )
        )
        return answer

    def _read(self) -> ManifestAnswer:
        replica = self._get_replica()
        if replica is not None and self._hub.is_current():
            answer = ManifestAnswer(replica.read().manifest)
        else:
            known_version, known = self._manifests.read_newer(0)
            hub, raw = self._hub_client.read_manifest(known_version)
            answer = self._answer_from(hub, raw or known)
        if not answer.raw:
            raise NoQuorumError("no manifest has been accepted yet")
        return answer

    def _answer_from(self, hub: str, raw: bytes) -> ManifestAnswer:
        """Return the manifest that a hub has just confirmed, with that hub as its better source.

        It is one if its link is wider and this one needs long to send the manifest.
        """
        own = self._own_record
        if own.estimate_send_ms(len(raw)) <= READ_SEND_MAX_MS:
            return ManifestAnswer(raw)
        if not self._hub_client.has_wider_link(hub, own.link_mbps):
            return ManifestAnswer(raw)
        return ManifestAnswer(raw, self._hub_client.get_interface_address(hub))

    def submit_locally(self, request: SubmitRequest) -> SubmitReply:
        """Submit a manifest to the replica of this node, and put it into force at a majority."""
        replica = self._get_replica()
        if replica is None:
            return SubmitReply(
                "no-quorum",
                0,
                "",
                "this node has no data folder and does not vote; submit to a voting node",
            )
        try:
            answer = replica.submit(
                request.raw, operator=request.operator, base_version=request.base_version
            )
        except InvalidManifestError as error:
            return SubmitReply("invalid", 0, "", str(error.exceptions[0]))
        except NoQuorumError as error:
            return SubmitReply("no-quorum", 0, "", str(error))
        except UnknownResultError as error:
            return SubmitReply("unknown", 0, "", str(error))
        if answer.result == "accepted":
            if answer.version > self._manifests.version:
                self._sync.adopt(request.raw)
            if not self._put_in_force():
                return SubmitReply(
                    "unknown",
                    0,
                    "",
                    "no majority of the replicas has it in force yet; send it again",
                )
        return SubmitReply(answer.result, answer.version, answer.digest, answer.message)

    def _put_in_force(self) -> bool:
        """Let a majority adopt the manifest in force here; return whether it has."""
        version, raw = self._manifests.read_newer(0)
        return self._adoption.ensure(version, lambda: AdoptRequest(raw, self._zones.orders))

    def _measure_ms(self, start_ms: float) -> float:
        return round(self._clock.now_ms() - start_ms, 1)


def _shorten(raw: bytes) -> str:
    """Return the start of the digest by which the log names a manifest."""
    return digest_manifest(raw)[:_LOGGED_DIGEST_LENGTH]


def _convert_submit_reply(reply: SubmitReply) -> SubmitAnswer:
    """Return ``reply`` as an answer; raise the error that its result stands for."""
    if reply.result == "invalid":
        raise make_manifest_error([ManifestValueError("$", reply.message)])
    if reply.result == "no-quorum":
        raise NoQuorumError(reply.message)
    if reply.result == "unknown":
        raise UnknownResultError(reply.message)
    return msgspec.convert(msgspec.structs.asdict(reply), SubmitAnswer)
