"""A control replica: its acceptor, its proposer and the calls between replicas."""

from __future__ import annotations

import threading
from collections.abc import Callable
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import Any
from typing import TypeVar

import grpc
from absl import logging

from coltsfootrill.clock import Clock
from coltsfootrill.control.acceptor import Acceptor
from coltsfootrill.control.calls import CALL_TIMEOUT_MS
from coltsfootrill.control.calls import PeerCalls
from coltsfootrill.control.messages import INITIAL_EPOCH
from coltsfootrill.control.messages import ZERO_BALLOT
from coltsfootrill.control.messages import Accept
from coltsfootrill.control.messages import Accepted
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.messages import Inspect
from coltsfootrill.control.messages import Inspection
from coltsfootrill.control.messages import Prepare
from coltsfootrill.control.messages import Promise
from coltsfootrill.control.messages import ReadReply
from coltsfootrill.control.messages import ReadRequest
from coltsfootrill.control.messages import Replica
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import Register
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.control.replacement import FaultKind
from coltsfootrill.control.replacement import ReplaceAnswer
from coltsfootrill.control.replacement import ReplacementError
from coltsfootrill.control.replacement import ReplicaChange
from coltsfootrill.control.replacement import replace_replica
from coltsfootrill.control.shared_read import SharedRead
from coltsfootrill.control.submission import SubmitAnswer
from coltsfootrill.control.submission import refuse_invalid
from coltsfootrill.control.submission import submit_manifest
from coltsfootrill.control.zone_orders import ZoneOrderChange
from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.manifest.codec import InvalidManifestError
from coltsfootrill.manifest.codec import digest_manifest
from coltsfootrill.manifest.format import NATIVE_FORMAT
from coltsfootrill.manifest.format import ManifestFormat
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.naming.scheme import NamingScheme
from coltsfootrill.rpc import Method
from coltsfootrill.rpc import RpcClient
from coltsfootrill.rpc import RpcServer
from coltsfootrill.zones.orders import ZoneOrder
from coltsfootrill.zones.orders import ZoneOrders

PREPARE = Method(service="Control", name="Prepare", request=Prepare, reply=Promise)
ACCEPT = Method(service="Control", name="Accept", request=Accept, reply=Accepted)
INSPECT = Method(service="Control", name="Inspect", request=Inspect, reply=Inspection)
READ = Method(service="Control", name="Read", request=ReadRequest, reply=ReadReply)

SUBMIT_TIMEOUT_MS = 5_000.0
# An order that is given up is not carried out later, when it may undo another one.
ZONE_ORDER_TIMEOUT_MS = 2_000.0
READ_TIMEOUT_MS = 2_000.0
# A majority read up to this age answers entry instances that do not need a fresh one.
READ_CACHE_MS = 250.0
_SERVER_THREADS = 32
_CALL_THREADS = 32
# Calls of other replicas have threads of their own: the calls of the fleet may use up all others.
_VOTE_THREADS = 16

Result = TypeVar("Result")


class ControlReplica:
    """Replicates manifests to a majority of the replicas and serves them to entry instances.

    Without ``may_bootstrap`` a replica that holds no state neither proposes nor reads until it is
    admitted.
    """

    def __init__(
        self,
        replica_id: str,
        *,
        address: str,
        replicas: Mapping[str, str],
        acceptor: Acceptor,
        schemes: Mapping[str, NamingScheme],
        clock: Clock,
        random: Random,
        credentials: grpc.ChannelCredentials | None = None,
        manifest_format: ManifestFormat = NATIVE_FORMAT,
        server: RpcServer | None = None,
        may_bootstrap: bool = True,
    ) -> None:
        self._may_bootstrap = may_bootstrap
        self._format = manifest_format
        self.id = replica_id
        self.acceptor = acceptor
        self._listen = address
        # Other replicas may reach this one at an address other than the one it listens on.
        self._address = replicas.get(replica_id, address)
        self._schemes = schemes
        self._clock = clock
        self._credentials = credentials
        self._clients: dict[str, RpcClient] = {}
        self._clients_lock = threading.Lock()
        self._executor = ThreadPoolExecutor(_CALL_THREADS, thread_name_prefix="control-call")
        self._server = server or RpcServer(
            ThreadPoolExecutor(_SERVER_THREADS, thread_name_prefix="control-server")
        )
        vote_executor = ThreadPoolExecutor(_VOTE_THREADS, thread_name_prefix="vote")
        self._server.add(PREPARE, acceptor.prepare, executor=vote_executor)
        self._server.add(ACCEPT, acceptor.accept, executor=vote_executor)
        self._server.add(INSPECT, acceptor.inspect, executor=vote_executor)
        self._server.add(READ, self.read_for_entry)
        self._shared_read = SharedRead(self._read_majority)
        self._confirmed_at_ms = float("-inf")
        self._register_lock = threading.Lock()
        self._register = Register(
            replica_id,
            _make_initial_state(replicas),
            calls=PeerCalls(
                prepare=self._call_prepare, accept=self._call_accept, inspect=self._call_inspect
            ),
            get_accepted=acceptor.get_accepted,
            learn=acceptor.learn,
            executor=self._executor,
            clock=clock,
            random=random,
        )

    def start(self, credentials: grpc.ServerCredentials | None = None) -> None:
        """Start serving the other replicas and the entry instances."""
        self._server.start(self._listen, credentials)

    def stop(self) -> None:
        """Wait for calls in progress, at most ``CALL_TIMEOUT_MS``, and stop."""
        self._server.stop(grace_ms=CALL_TIMEOUT_MS)
        self._executor.shutdown(wait=False)

    def submit(self, raw: bytes, *, operator: str, base_version: int | None = None) -> SubmitAnswer:
        """Submit a manifest; a new version requires ``base_version``, if given, to be in force.

        Raises ``InvalidManifestError`` with all problems, ``NoQuorumError`` when certainly nothing
        was accepted, and ``UnknownResultError`` when the outcome cannot be determined.
        """
        self._check_admitted()
        digest = digest_manifest(raw)
        wall_ms = self._clock.wall_ms()
        deadline_ms = self._clock.now_ms() + SUBMIT_TIMEOUT_MS
        try:
            manifest = self._format.decode(raw)
            version = RoutingTable.from_manifest(manifest, digest, self._schemes).version
        except InvalidManifestError:
            self._record_invalid(digest, operator, wall_ms, deadline_ms)
            raise

        def apply(state: ControlState) -> tuple[ControlState, SubmitAnswer]:
            return submit_manifest(
                state,
                version=version,
                digest=digest,
                manifest=raw,
                operator=operator,
                wall_ms=wall_ms,
                base_version=base_version,
            )

        return self._change(apply, deadline_ms)

    def order_zone(self, order: ZoneOrder, *, operator: str) -> ZoneOrders:
        """Carry out an order on an availability zone and return the orders in force.

        Raises ``InvalidZoneOrderError``, ``NoQuorumError`` and ``UnknownResultError``, as
        ``submit`` does.
        """
        self._check_admitted()
        change = ZoneOrderChange(order, operator=operator, wall_ms=self._clock.wall_ms())
        return self._change(change.apply, self._clock.now_ms() + ZONE_ORDER_TIMEOUT_MS)

    def _change(
        self,
        apply: Callable[[ControlState], tuple[ControlState, Result]],
        deadline_ms: float,
    ) -> Result:
        """Apply a change once it is durable; one that changes nothing needs no round.

        Operators who get no answer send the same again, to several replicas.
        """
        with self._register_lock:
            self._restore_replica_set()
            state = self._register.read_without_round()
            if state is not None:
                unchanged, answer = apply(state)
                if unchanged is state:
                    return answer
            return self._register.change(apply, deadline_ms=deadline_ms)

    def replace_replica(
        self, old_id: str | None, new_id: str, address: str, *, operator: str
    ) -> ReplaceAnswer:
        """Replace a voting replica, add one, or admit one again after it lost its disk.

        The new replica counts towards the majority only once it has synced the whole state, because
        its vote confirms that sync. Raises ``ReplacementError`` when it does not reply,
        ``NoQuorumError`` and ``UnknownResultError`` as ``submit`` does.
        """
        self._check_admitted()
        try:
            inspection = self._inspect(address)
        except ColtsfootrillError as error:
            raise ReplacementError(
                f"the new replica does not reply at {address}: {error}"
            ) from error
        change = ReplicaChange(
            old_id=old_id, new_id=new_id, address=address, key=inspection.key, operator=operator
        )
        wall_ms = self._clock.wall_ms()
        deadline_ms = self._clock.now_ms() + SUBMIT_TIMEOUT_MS
        with self._register_lock:
            self._restore_replica_set()
            state = self._register.read(deadline_ms=deadline_ms)
            if not state.is_replica_set_chosen:
                # One change of the replica set ends before the next one begins.
                self._register.record_chosen_epoch(deadline_ms=deadline_ms)
            answer = self._register.change(
                lambda state: replace_replica(state, change, wall_ms=wall_ms),
                deadline_ms=deadline_ms,
            )
            self._register.record_chosen_epoch(deadline_ms=deadline_ms)
            return answer

    def complete_replacement(self) -> None:
        """Record that the replica set is chosen, if whoever replaced a replica has not done so.

        Raises ``NoQuorumError`` and ``UnknownResultError`` as ``submit`` does.
        """
        deadline_ms = self._clock.now_ms() + SUBMIT_TIMEOUT_MS
        with self._register_lock:
            self._register.record_chosen_epoch(deadline_ms=deadline_ms)

    def find_faults(self, state: ControlState) -> dict[str, FaultKind]:
        """Return the fault of each voting replica that does not reply or lost its state."""
        inspections = {
            replica_id: self._executor.submit(self._inspect, replica.address)
            for replica_id, replica in state.replicas.items()
        }
        faults: dict[str, FaultKind] = {}
        for replica_id, inspection in inspections.items():
            try:
                key = inspection.result().key
            except ColtsfootrillError:
                faults[replica_id] = "silent"
                continue
            if state.replicas[replica_id].key not in ("", key):
                faults[replica_id] = "lost-state"
        return faults

    def can_vote(self, address: str) -> bool:
        """Return whether the replica at ``address`` replies and is able to vote."""
        try:
            self._inspect(address)
        except ColtsfootrillError:
            return False
        return True

    def is_member(self, state: ControlState) -> bool:
        """Return whether this replica votes in the replica set of ``state``."""
        replica = state.replicas.get(self.id)
        return replica is not None and replica.key in ("", self.acceptor.key)

    @property
    def waiting_reads_count(self) -> int:
        """Return for how many callers of ``read`` no majority read has begun yet."""
        return self._shared_read.waiting_count

    def read(self) -> ControlState:
        """Return the state that a majority confirms; raise ``NoQuorumError`` when isolated.

        Callers at the same time share one read, which begins after all of them have called.
        """
        return self._shared_read.get()

    def _read_majority(self) -> ControlState:
        self._check_admitted()
        with self._register_lock:
            self._restore_replica_set()
            state = self._register.read(deadline_ms=self._clock.now_ms() + READ_TIMEOUT_MS)
            self._confirmed_at_ms = self._clock.now_ms()
            return state

    def read_for_entry(self, request: ReadRequest) -> ReadReply:
        """Answer an entry instance; reuse a recent majority read unless it must be fresh."""
        try:
            state = self.read() if request.must_be_fresh else self.read_recent(READ_CACHE_MS)
        except NoQuorumError:
            return ReadReply(False, 0, b"", [])
        manifest = state.manifest if state.version > request.known_version else b""
        addresses = [replica.address for replica in state.replicas.values()]
        return ReadReply(True, state.version, manifest, addresses, state.zone_orders)

    def _check_admitted(self) -> None:
        """Raise ``NoQuorumError`` if this replica neither holds a state nor may bootstrap one.

        The replicas in the settings may differ from the current voting replicas, so proposing to
        them is unsafe.
        """
        if not self._may_bootstrap and self.acceptor.get_state() is None:
            raise NoQuorumError(
                "this replica has not been admitted to the replica set; nothing was changed"
            )

    def _restore_replica_set(self) -> None:
        """After a restart, load the replica set from this disk or from the replicas it lists.

        The settings list only the initial set, of which too few replicas may remain.
        """
        own = self.acceptor.get_state()
        if own is None or own.epoch <= self._register.known.epoch:
            return
        self._register.adopt_if_chosen(own)
        request = Inspect(self.id, ZERO_BALLOT)
        for replica in own.replicas.values():
            if self._register.known.epoch >= own.epoch:
                return
            try:
                inspection = self._call_inspect(replica.address, request)
            except ColtsfootrillError:
                continue
            if inspection.state is not None:
                self._register.adopt_if_chosen(inspection.state)

    def read_recent(self, max_age_ms: float) -> ControlState:
        """Return the state of a majority read up to ``max_age_ms`` ago, or read it again."""
        with self._register_lock:
            if self._clock.now_ms() - self._confirmed_at_ms < max_age_ms:
                return self._register.known
        return self.read()

    def _record_invalid(self, digest: str, operator: str, wall_ms: int, deadline_ms: float) -> None:
        try:
            with self._register_lock:
                self._restore_replica_set()
                self._register.change(
                    lambda state: refuse_invalid(
                        state, digest=digest, operator=operator, wall_ms=wall_ms
                    ),
                    deadline_ms=deadline_ms,
                )
        except (NoQuorumError, UnknownResultError) as error:
            # The manifest is refused in any case; only the audit record is missing.
            logging.warning(
                'audit record of an invalid manifest not written digest="%s" error="%s"',
                digest,
                error,
            )

    def _call_prepare(self, address: str, request: Prepare) -> Promise:
        if address == self._address:
            return self.acceptor.prepare(request)
        promise: Promise = self._call(address, PREPARE, request)
        return promise

    def _call_accept(self, address: str, request: Accept) -> Accepted:
        if address == self._address:
            return self.acceptor.accept(request)
        accepted: Accepted = self._call(address, ACCEPT, request)
        return accepted

    def _inspect(self, address: str) -> Inspection:
        """Inspect the replica at ``address``; a state already known here is omitted."""
        return self._call_inspect(address, Inspect(self.id, self._register.known_ballot))

    def _call_inspect(self, address: str, request: Inspect) -> Inspection:
        if address == self._address:
            return self.acceptor.inspect(request)
        inspection: Inspection = self._call(address, INSPECT, request)
        return inspection

    def _call(self, address: str, method: Method, request: Any) -> Any:
        return self._get_client(address).call(method, request, timeout_ms=CALL_TIMEOUT_MS)

    def _get_client(self, address: str) -> RpcClient:
        with self._clients_lock:
            client = self._clients.get(address)
            if client is None:
                client = self._clients[address] = RpcClient(address, credentials=self._credentials)
            return client


def _make_initial_state(replicas: Mapping[str, str]) -> ControlState:
    members = {replica_id: Replica(address, "") for replica_id, address in replicas.items()}
    return ControlState(INITIAL_EPOCH, INITIAL_EPOCH, members, 0, "", b"", [], [], 0)
