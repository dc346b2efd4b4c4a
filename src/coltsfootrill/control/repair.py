"""Automatic repair: a replica that stays faulty is replaced after a grace period."""

from __future__ import annotations

import threading
from collections.abc import Callable
from random import Random

from absl import logging

from coltsfootrill.clock import Clock
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.replacement import FaultKind
from coltsfootrill.control.replica import ControlReplica
from coltsfootrill.errors import ColtsfootrillError

CHECK_MS = 1_000.0
# A replacement starts from the state of a majority anyway, so a check needs no read of its own.
STATE_MAX_AGE_MS = 1_000.0
OPERATOR = "repair"


class ReplicaRepairTask:
    """Checks the voting replicas periodically and replaces faulty ones; runs on each of them.

    A replica that returns with a lost disk is admitted again under its own identifier. A replica
    that stays silent is replaced by a spare that can vote, and spares are added until
    ``target_replica_count`` replicas vote. A replacement is idempotent: if two replicas
    request the same one, the second finds it already applied.
    """

    def __init__(
        self,
        replica: ControlReplica,
        *,
        list_spares: Callable[[], dict[str, str]],
        grace_ms: float,
        lost_state_grace_ms: float | None = None,
        check_ms: float = CHECK_MS,
        target_replica_count: int = 0,
        clock: Clock,
        random: Random,
    ) -> None:
        self._replica = replica
        self._list_spares = list_spares
        self._grace_by_fault: dict[FaultKind, float] = {
            "silent": grace_ms,
            "lost-state": grace_ms if lost_state_grace_ms is None else lost_state_grace_ms,
        }
        self._check_ms = check_ms
        self._target_replica_count = target_replica_count
        self._clock = clock
        self._random = random
        self._faulty_since_ms: dict[str, float] = {}
        self._stopping = threading.Event()

    def run(self) -> None:
        """Run checks with jitter until ``stop``."""
        while not self._stopping.wait(self._check_ms * (0.5 + self._random.random()) / 1000):
            try:
                self._check_replicas()
            except ColtsfootrillError as error:
                # Without a majority nothing can be repaired; the next check tries again.
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'check of the voting replicas failed, will be retried error="%s"',
                    60,
                    error,
                )

    def stop(self) -> None:
        """Stop checking."""
        self._stopping.set()

    def _check_replicas(self) -> None:
        state = self._replica.read_recent(STATE_MAX_AGE_MS)
        if not self._replica.is_member(state):
            return
        if not state.is_replica_set_chosen:
            # Until this is recorded, the loss of one more replica of the old set stops all changes.
            self._replica.complete_replacement()
        if state.audit_count == 0:
            return
        faults = self._replica.find_faults(state)
        now_ms = self._clock.now_ms()
        self._faulty_since_ms = {
            replica_id: self._faulty_since_ms.get(replica_id, now_ms) for replica_id in faults
        }
        for replica_id, fault in faults.items():
            if now_ms - self._faulty_since_ms[replica_id] >= self._grace_by_fault[fault]:
                self._replace(state, replica_id, fault)
        if not faults and len(state.replicas) < self._target_replica_count:
            self._add_replica(state)

    def _replace(self, state: ControlState, replica_id: str, fault: FaultKind) -> None:
        new_id, address = replica_id, state.replicas[replica_id].address
        if fault == "silent":
            spare_id = self._find_spare(state)
            if spare_id is None:
                return
            new_id, address = spare_id, self._list_spares()[spare_id]
        answer = self._replica.replace_replica(replica_id, new_id, address, operator=OPERATOR)
        logging.warning(
            'replica replacement old="%s" new="%s" fault="%s" result="%s"',
            replica_id,
            new_id,
            fault,
            answer.message,
        )

    def _add_replica(self, state: ControlState) -> None:
        spare_id = self._find_spare(state)
        if spare_id is None:
            return
        address = self._list_spares()[spare_id]
        answer = self._replica.replace_replica(None, spare_id, address, operator=OPERATOR)
        logging.info('replica addition new="%s" result="%s"', spare_id, answer.message)

    def _find_spare(self, state: ControlState) -> str | None:
        for spare_id, address in sorted(self._list_spares().items()):
            is_taken = any(replica.address == address for replica in state.replicas.values())
            if not is_taken and self._replica.can_vote(address):
                return spare_id
        return None
