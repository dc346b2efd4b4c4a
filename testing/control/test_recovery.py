from __future__ import annotations

from pathlib import Path

import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.control.acceptor import RECOVERY_RETRY_MS
from coltsfootrill.control.acceptor import Acceptor
from coltsfootrill.control.acceptor import CannotVoteError
from coltsfootrill.control.bootstrap import bootstrap_replicas
from coltsfootrill.control.bootstrap import read_bootstrap_replicas
from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.messages import Ballot
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.messages import Inspect
from coltsfootrill.control.messages import Prepare
from coltsfootrill.control.messages import Replica
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.control.replacement import ReplicaChange
from coltsfootrill.control.replacement import replace_replica
from coltsfootrill.control.submission import submit_manifest
from testing.control.cluster import FOLDER
from testing.control.cluster import Cluster
from testing.control.disk import Disk


def _load_acceptor(clock: ManualClock) -> tuple[Acceptor, Disk]:
    """Return an acceptor that has accepted the manifest ``one``, and its disk."""
    cluster = Cluster()
    cluster.submit("a", 1, "one")
    disk = cluster.disks["a"]
    acceptor = Acceptor(FOLDER / "a", files=disk, clock=clock)
    acceptor.load()
    return acceptor, disk


class TestFullDisk:
    def test_replica_votes_again_once_its_disk_accepts_writes(self) -> None:
        clock = ManualClock(1_000)
        acceptor, disk = _load_acceptor(clock)
        disk.is_full = True
        with pytest.raises(CannotVoteError):
            acceptor.prepare(Prepare(1, Ballot(90, "b")))
        with pytest.raises(CannotVoteError):
            acceptor.prepare(Prepare(1, Ballot(91, "b")))
        disk.is_full = False
        clock.advance(RECOVERY_RETRY_MS)
        promise = acceptor.prepare(Prepare(1, Ballot(92, "b")))
        assert promise.is_granted
        assert promise.state is not None
        assert promise.state.manifest == b"one"

    # Guards against changes refused for good after a replica lost its disk while it was full.
    def test_replica_whose_folder_could_not_be_created_votes_once_it_can(
        self, tmp_path: Path
    ) -> None:
        clock = ManualClock(1_000)
        blocker = tmp_path / "data"
        blocker.touch()
        acceptor = Acceptor.from_folder(blocker / "a", files=FileLayer(), clock=clock)
        with pytest.raises(CannotVoteError):
            acceptor.inspect(Inspect("b", Ballot(0, "")))
        blocker.unlink()
        clock.advance(RECOVERY_RETRY_MS)
        assert acceptor.prepare(Prepare(1, Ballot(90, "b"))).is_granted

    def test_promises_made_before_the_disk_was_full_still_hold(self) -> None:
        clock = ManualClock(1_000)
        acceptor, disk = _load_acceptor(clock)
        assert acceptor.prepare(Prepare(1, Ballot(90, "b"))).is_granted
        disk.is_full = True
        with pytest.raises(CannotVoteError):
            acceptor.prepare(Prepare(1, Ballot(95, "c")))
        disk.is_full = False
        clock.advance(RECOVERY_RETRY_MS)
        assert not acceptor.prepare(Prepare(1, Ballot(89, "c"))).is_granted
        assert acceptor.inspect(Inspect("b", Ballot(0, ""))).state is not None

    # Guards against changes refused for good after the disks of all voters were full in turn.
    def test_changes_are_accepted_after_each_disk_was_full_in_turn(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "first")
        version = 1
        for name in "abc":
            cluster.disks[name].is_full = True
            for proposer in "abc":
                version += 1
                answer = cluster.submit(proposer, version, f"m{version}", timeout_ms=8_000)
                assert answer.result == "accepted"
            cluster.disks[name].is_full = False
        for proposer in "abc":
            version += 1
            answer = cluster.submit(proposer, version, f"m{version}", timeout_ms=8_000)
            assert answer.result == "accepted"
            assert cluster.read("b").manifest == f"m{version}".encode()

    def test_two_full_disks_at_the_same_time_lose_no_manifest(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        for name in "ab":
            cluster.disks[name].is_full = True
        with pytest.raises(Exception, match="majority|confirmed"):
            cluster.submit("c", 2, "two", timeout_ms=300)
        for name in "ab":
            cluster.disks[name].is_full = False
        assert cluster.submit("c", 3, "three", timeout_ms=8_000).result == "accepted"
        assert cluster.read("a").manifest == b"three"


def _make_state(version: int = 0) -> ControlState:
    replicas = {name: Replica(name, "k") for name in "abc"}
    return ControlState(1, 1, replicas, version, "d", b"raw", [], [], 0)


class TestAddingReplicas:
    def test_adding_a_replica_is_idempotent(self) -> None:
        change = ReplicaChange(old_id=None, new_id="d", address="d", key="k", operator="repair")
        state, answer = replace_replica(_make_state(), change, wall_ms=0)
        assert (answer.result, answer.epoch, sorted(state.replicas)) == (
            "replaced",
            2,
            ["a", "b", "c", "d"],
        )
        again, answer = replace_replica(state, change, wall_ms=0)
        assert (answer.result, again) == ("replaced", state)

    def test_address_of_a_voting_replica_is_refused(self) -> None:
        change = ReplicaChange(old_id=None, new_id="d", address="b", key="k", operator="repair")
        assert replace_replica(_make_state(), change, wall_ms=0)[1].result == "refused"


class TestBaseVersion:
    @pytest.mark.parametrize(
        ("base", "result"), [(5, "accepted"), (None, "accepted"), (4, "conflict"), (6, "conflict")]
    )
    def test_manifest_is_accepted_only_if_its_base_version_is_in_force(
        self, base: int | None, result: str
    ) -> None:
        _, answer = submit_manifest(
            _make_state(5),
            version=7,
            digest="e",
            manifest=b"new",
            operator="o",
            wall_ms=0,
            base_version=base,
        )
        assert answer.result == result


class TestStopping:
    def test_replica_with_a_closed_executor_refuses_reads_and_changes(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.executor.shutdown()
        with pytest.raises(NoQuorumError):
            cluster.read("a")
        with pytest.raises((NoQuorumError, UnknownResultError)):
            cluster.submit("a", 2, "two")


class TestBootstrap:
    def test_initial_replica_set_is_read_back_from_disk(self, tmp_path: Path) -> None:
        files = FileLayer()
        assert read_bootstrap_replicas(tmp_path / "control", files=files) is None
        bootstrap_replicas(tmp_path / "control", {"a": "10.0.0.1:1"}, files=files)
        assert read_bootstrap_replicas(tmp_path / "control", files=files) == {"a": "10.0.0.1:1"}
