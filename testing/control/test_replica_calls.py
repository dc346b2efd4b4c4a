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
from coltsfootrill.rpc import RpcError
from coltsfootrill.rpc import RpcServer
from testing.conftest import EncodeManifest
from testing.processes import wait_until

ADDRESS = "127.0.11.1:7201"
# Nobody listens there.
LOST_ADDRESSES = ("127.0.11.2:7201", "127.0.11.3:7201")
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


def make_replica(
    folder: Path, schemes: dict[str, NamingScheme], *, others: tuple[str, ...] = ()
) -> ControlReplica:
    """Return a replica with one thread for the calls of entry instances."""
    replicas = {f"r{number}": address for number, address in enumerate((ADDRESS, *others))}
    return ControlReplica(
        "r0",
        address=ADDRESS,
        replicas=replicas,
        acceptor=Acceptor.from_folder(folder, files=FileLayer()),
        schemes=schemes,
        clock=Clock(),
        random=Random(1),
        server=RpcServer(ThreadPoolExecutor(1)),
    )


@pytest.fixture
def isolated(tmp_path: Path, schemes: dict[str, NamingScheme]) -> Iterator[ControlReplica]:
    """Yield a replica whose peers are lost, so that its reads last until their timeout."""
    replica = make_replica(tmp_path, schemes, others=LOST_ADDRESSES)
    replica.start()
    yield replica
    replica.stop()


class TestVotes:
    # Guards against CONFIG in a large fleet: votes waited behind the reads of instances.
    def test_a_vote_does_not_wait_for_the_reads_of_instances(
        self, isolated: ControlReplica
    ) -> None:
        client = RpcClient(ADDRESS)
        with ThreadPoolExecutor(1) as executor:
            read = executor.submit(
                client.call, READ, ReadRequest("n1", 0, True), timeout_ms=READ_TIMEOUT_MS / 2
            )
            client.call(INSPECT, Inspect("r1", ZERO_BALLOT), timeout_ms=CALL_TIMEOUT_MS)
            assert isinstance(read.exception(), RpcError)
        client.close()


class TestReads:
    # Guards against RECOVER in a large fleet: each instance that started had a read of its own.
    def test_reads_at_the_same_time_cost_two_rounds_at_most(
        self, tmp_path: Path, schemes: dict[str, NamingScheme], encode_manifest: EncodeManifest
    ) -> None:
        replica = make_replica(tmp_path, schemes)
        replica.submit(encode_manifest(7), operator="o")
        inspections = CountedInspections(replica.acceptor)
        replica.acceptor.inspect = inspections.inspect  # type: ignore[method-assign]
        with ThreadPoolExecutor(CALLERS_COUNT) as executor:
            request = ReadRequest("n1", 0, True)
            reads = [executor.submit(replica.read_for_entry, request) for _ in range(CALLERS_COUNT)]
            wait_until(lambda: replica.waiting_reads_count == CALLERS_COUNT - 1)
            inspections.release.set()
            assert {read.result().version for read in reads} == {7}
        assert inspections.count == 2
