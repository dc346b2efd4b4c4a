from __future__ import annotations

import threading
from collections.abc import Iterator
from pathlib import Path
from random import Random

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.control.acceptor import Acceptor
from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import Register
from coltsfootrill.control.repair import ReplicaRepairTask
from coltsfootrill.control.replica import ControlReplica
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import load_plugins
from testing.processes import get_free_port
from testing.processes import wait_until
from testing.proxy.instance import make_manifest


class Replicas:
    """Three control replicas in this process that have accepted a manifest, and a spare."""

    def __init__(self, folder: Path) -> None:
        self.address_by_id = {name: f"127.0.0.1:{get_free_port()}" for name in "abcd"}
        self.by_id = {name: self._make_replica(name, folder) for name in "abcd"}
        self.by_id["a"].submit(make_manifest(1), operator="tester")

    def _make_replica(self, name: str, folder: Path) -> ControlReplica:
        replica = ControlReplica(
            name,
            address=self.address_by_id[name],
            replicas={voter: self.address_by_id[voter] for voter in "abc"},
            acceptor=Acceptor.from_folder(folder / name, files=FileLayer()),
            schemes=collect_schemes(load_plugins()),
            clock=Clock(),
            random=Random(name),
        )
        replica.start()
        return replica

    def close(self) -> None:
        for replica in self.by_id.values():
            replica.stop()


@pytest.fixture
def replicas(tmp_path: Path) -> Iterator[Replicas]:
    replicas = Replicas(tmp_path)
    yield replicas
    replicas.close()


def refuse_record(register: Register, *, deadline_ms: float) -> None:
    raise NoQuorumError("stopped before the new replica set was recorded as chosen")


class TestInterruptedReplacement:
    def test_another_replica_records_that_the_new_set_is_chosen(
        self, replicas: Replicas, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        with monkeypatch.context() as patch:
            patch.setattr(Register, "record_chosen_epoch", refuse_record)
            with pytest.raises(NoQuorumError):
                replicas.by_id["b"].replace_replica(
                    "c", "d", replicas.address_by_id["d"], operator="tester"
                )
        assert replicas.by_id["a"].read().chosen_epoch == 1
        repair_task = ReplicaRepairTask(
            replicas.by_id["a"],
            list_spares=dict,
            grace_ms=60_000,
            check_ms=20,
            clock=Clock(),
            random=Random(1),
        )
        thread = threading.Thread(target=repair_task.run)
        thread.start()
        try:
            wait_until(lambda: replicas.by_id["d"].read().chosen_epoch == 2, within_s=5)
        finally:
            repair_task.stop()
            thread.join()
