"""The calls of a replica's peers and of entry instances, and the reads that serve them."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.control.acceptor import Acceptor
from coltsfootrill.control.calls import CALL_TIMEOUT_MS
from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.messages import ZERO_BALLOT
from coltsfootrill.control.messages import Inspect
from coltsfootrill.control.messages import Inspection
from coltsfootrill.control.messages import ReadRequest
from coltsfootrill.control.replica import INSPECT
from coltsfootrill.control.replica import READ
from coltsfootrill.control.replica import READ_TIMEOUT_MS
from coltsfootrill.control.replica import ControlReplica
from coltsfootrill.naming.scheme import NamingScheme
from coltsfootrill.rpc import RpcClient
from coltsfootrill.rpc import RpcServer
from testing.conftest import EncodeManifest
from testing.processes import wait_until

ADDRESS = "127.0.11.1:7201"
CALLERS_COUNT = 20


class CountedInspections:
    """Counts the calls to an acceptor's ``inspect``; each waits until ``release`` is set."""

    def __init__(self, acceptor: Acceptor) -> None:
        self.release = threading.Event()
        self.count = 0
        self._inspect = acceptor.inspect

    def inspect(self, request: Inspect) -> Inspection:
        self.count += 1
        self.release.wait()
        return self._inspect(request)


class BusyReplica:
    """A replica with one thread for the calls of instances, whose reads wait for ``release``."""

    def __init__(self, replica: ControlReplica) -> None:
        self.replica = replica
        self.inspections = CountedInspections(replica.acceptor)
        replica.acceptor.inspect = self.inspections.inspect  # type: ignore[method-assign]


@pytest.fixture
def busy(
    tmp_path: Path, schemes: dict[str, NamingScheme], encode_manifest: EncodeManifest
) -> Iterator[BusyReplica]:
    """Yield a replica that votes alone, with a manifest of version 7."""
    replica = ControlReplica(
        "r0",
        address=ADDRESS,
        replicas={"r0": ADDRESS},
        acceptor=Acceptor.from_folder(tmp_path, files=FileLayer()),
        schemes=schemes,
        clock=Clock(),
        random=Random(1),
        server=RpcServer(ThreadPoolExecutor(1)),
    )
    replica.submit(encode_manifest(7), operator="o")
    replica.start()
    busy = BusyReplica(replica)
    yield busy
    busy.inspections.release.set()
    replica.stop()


class TestVotes:
    # Guards against CONFIG in a large fleet: votes waited behind the reads of instances.
    def test_a_vote_does_not_wait_for_the_reads_of_instances(self, busy: BusyReplica) -> None:
        client = RpcClient(ADDRESS)
        with ThreadPoolExecutor(1) as executor:
            request = ReadRequest("n1", 0, True)
            read = executor.submit(client.call, READ, request, timeout_ms=READ_TIMEOUT_MS)
            wait_until(lambda: busy.inspections.count == 1)
            vote = client.call(INSPECT, Inspect("r1", ZERO_BALLOT), timeout_ms=CALL_TIMEOUT_MS)
            busy.inspections.release.set()
            assert (vote.state.version, read.result().version) == (7, 7)
        client.close()


class TestResubmissions:
    # Guards against voters without a majority: orders sent again to several of them, on slow disks,
    # were rounds that interrupted each other for many seconds.
    def test_a_manifest_that_is_in_force_already_costs_no_round(
        self, busy: BusyReplica, encode_manifest: EncodeManifest
    ) -> None:
        busy.inspections.release.set()
        ballot = busy.replica.acceptor.get_accepted().ballot
        answer = busy.replica.submit(encode_manifest(7), operator="o")
        assert (answer.result, answer.version) == ("accepted", 7)
        assert busy.replica.acceptor.get_accepted().ballot == ballot
        assert busy.replica.submit(encode_manifest(8), operator="o").version == 8
        assert busy.replica.acceptor.get_accepted().ballot > ballot


class TestReads:
    # Guards against RECOVER in a large fleet: each instance that started had a read of its own.
    def test_reads_at_the_same_time_cost_two_rounds_at_most(self, busy: BusyReplica) -> None:
        executor = ThreadPoolExecutor(CALLERS_COUNT)
        request = ReadRequest("n1", 0, True)
        reads = [
            executor.submit(busy.replica.read_for_entry, request) for _ in range(CALLERS_COUNT)
        ]
        wait_until(lambda: busy.replica.waiting_reads_count == CALLERS_COUNT - 1)
        busy.inspections.release.set()
        assert {read.result().version for read in reads} == {7}
        assert busy.inspections.count == 2
