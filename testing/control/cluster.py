"""Acceptors and proposers in one process, with calls that can be lost, delayed or repeated."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from coltsfootrill.clock import Clock
from coltsfootrill.control.acceptor import Acceptor
from coltsfootrill.control.calls import CALL_TIMEOUT_MS
from coltsfootrill.control.calls import PeerCalls
from coltsfootrill.control.messages import INITIAL_EPOCH
from coltsfootrill.control.messages import ZERO_BALLOT
from coltsfootrill.control.messages import Ballot
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.messages import Inspect
from coltsfootrill.control.messages import Prepare
from coltsfootrill.control.messages import Replica
from coltsfootrill.control.proposer import Register
from coltsfootrill.control.replacement import ReplaceAnswer
from coltsfootrill.control.replacement import ReplicaChange
from coltsfootrill.control.replacement import replace_replica
from coltsfootrill.control.submission import SubmitAnswer
from coltsfootrill.control.submission import submit_manifest
from coltsfootrill.rpc import RpcError
from testing.control.disk import Disk
from testing.control.disk import SimulatedCrashError
from testing.processes import wait_until

FOLDER = Path("/data")


class Cluster:
    """Replicas by address, with injected faults.

    ``cut`` holds pairs of proposer and address that cannot communicate. Calls to ``silent``
    replicas time out. Accept messages to ``delay_accepts_at`` are stored in ``delayed_accepts``
    instead of being delivered. Replicas in ``outbid_at`` refuse each prepare, because they have
    just promised a higher ballot. ``states_sent`` counts replies to another replica that contain a
    state.
    """

    def __init__(
        self,
        names: str = "abc",
        spares: str = "def",
        seed: int = 1,
        *,
        clock: Clock | None = None,
    ) -> None:
        self.random = Random(seed)
        self.clock = clock or Clock()
        self.executor = ThreadPoolExecutor(32)
        self.disks = {name: Disk(Random(f"{seed}{name}")) for name in names + spares}
        self.acceptors = {name: self._load(name) for name in names + spares}
        self.cut: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.lost_replies: set[str] = set()
        self.delayed_accepts: list[Callable[[], Any]] = []
        self.states_sent = 0
        self.silent: set[str] = set()
        self.calls_by_address: Counter[str] = Counter()
        self.delay_accepts_at: set[str] = set()
        self.outbid_at: set[str] = set()
        members = {name: Replica(name, "") for name in names}
        self.initial = ControlState(INITIAL_EPOCH, INITIAL_EPOCH, members, 0, "", b"", [], [], 0)
        self.registers = {name: self._make_register(name) for name in names + spares}

    def submit(
        self, at: str, version: int, content: str, *, timeout_ms: float = 3_000
    ) -> SubmitAnswer:
        return self.registers[at].change(
            lambda state: submit_manifest(
                state,
                version=version,
                digest=content,
                manifest=content.encode(),
                operator=at,
                wall_ms=0,
            ),
            deadline_ms=self.clock.now_ms() + timeout_ms,
        )

    def replace(self, at: str, old: str, new: str, *, timeout_ms: float = 3_000) -> ReplaceAnswer:
        answer = self.replace_without_record(at, old, new, timeout_ms=timeout_ms)
        self.registers[at].record_chosen_epoch(deadline_ms=self.clock.now_ms() + timeout_ms)
        return answer

    def replace_without_record(
        self, at: str, old: str, new: str, *, timeout_ms: float = 3_000
    ) -> ReplaceAnswer:
        """Replace a replica, but do not record that the new replica set is chosen."""
        key = self.acceptors[new].inspect(Inspect(at, ZERO_BALLOT)).key
        change = ReplicaChange(old_id=old, new_id=new, address=new, key=key, operator=at)
        return self.registers[at].change(
            lambda state: replace_replica(state, change, wall_ms=0),
            deadline_ms=self.clock.now_ms() + timeout_ms,
        )

    def read(self, at: str, *, timeout_ms: float = 3_000) -> ControlState:
        return self.registers[at].read(deadline_ms=self.clock.now_ms() + timeout_ms)

    def wait_until_stored_everywhere(self) -> None:
        """Wait until the initial replicas have stored the same state: the last one may be late."""
        names = self.initial.replicas
        wait_until(lambda: len({self.acceptors[at].get_accepted().ballot for at in names}) == 1)

    def restart_proposer(self, at: str) -> None:
        """Restart the proposer of a replica, which then knows only the initial replica set."""
        self.registers[at] = self._make_register(at)

    def restart_all(self) -> None:
        """Restart the acceptor and the proposer of each replica."""
        for name in self.acceptors:
            self.restart(name)
            self.restart_proposer(name)

    def make_first_state(self, content: str, *, version: int) -> ControlState:
        """Return the state of a first change, with the present keys of the initial replicas."""
        members = {name: Replica(name, self.acceptors[name].key) for name in self.initial.replicas}
        first = msgspec.structs.replace(
            self.initial, epoch=1, replicas=members, previous=self.initial.replicas
        )
        return msgspec.structs.replace(
            first, version=version, digest=content, manifest=content.encode()
        )

    def adopt_if_chosen(self, at: str) -> None:
        """Offer a restarted proposer the state of each acceptor that is up."""
        for name, acceptor in self.acceptors.items():
            state = acceptor.get_state()
            if name not in self.down and state is not None:
                self.registers[at].adopt_if_chosen(state)

    def restart(self, name: str) -> None:
        """Restart an acceptor from the content of its disk."""
        self.acceptors[name] = self._load(name)

    def lose_disk(self, name: str) -> None:
        self.disks[name] = Disk(Random(f"new{name}"))
        self.restart(name)

    def _load(self, name: str) -> Acceptor:
        # The folder does not exist on a real disk; only the simulated file layer is used.
        acceptor = Acceptor(FOLDER / name, files=self.disks[name])
        acceptor.load()
        return acceptor

    def _make_register(self, name: str) -> Register:
        return Register(
            name,
            self.initial,
            calls=PeerCalls(
                prepare=lambda address, request: self._call(name, address, "prepare", request),
                accept=lambda address, request: self._call(name, address, "accept", request),
                inspect=lambda address, request: self._call(name, address, "inspect", request),
            ),
            get_accepted=lambda: self.acceptors[name].get_accepted(),
            learn=lambda ballot, state: self.acceptors[name].learn(ballot, state),
            executor=self.executor,
            clock=self.clock,
            random=self.random,
        )

    def _call(self, sender: str, address: str, method: str, request: Any) -> Any:
        if (sender, address) in self.cut or address in self.down:
            raise RpcError(f"{address}: unavailable")
        self.calls_by_address[address] += 1
        if address in self.silent and sender != address:
            self.clock.sleep_ms(CALL_TIMEOUT_MS)
            raise RpcError(f"{address}: deadline_exceeded")
        if method == "accept" and address in self.delay_accepts_at:
            self.delayed_accepts.append(lambda: self.acceptors[address].accept(request))
            raise RpcError(f"{address}: deadline_exceeded")
        if method == "prepare" and address in self.outbid_at:
            higher = Ballot(request.ballot.round + 1, "")
            self.acceptors[address].prepare(Prepare(request.epoch, higher))
        try:
            reply = getattr(self.acceptors[address], method)(request)
        except SimulatedCrashError as error:
            self.down.add(address)
            raise RpcError(f"{address}: unavailable") from error
        if address in self.lost_replies:
            raise RpcError(f"{address}: deadline_exceeded")
        if address != sender and getattr(reply, "state", None) is not None:
            self.states_sent += 1
        return reply
