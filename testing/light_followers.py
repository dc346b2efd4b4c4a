"""Hundreds of light followers of voting nodes, on one event loop, and what they cost the nodes.

Run as a program it starts voting nodes and followers, cuts the power of all at once, and prints
what the recovery took: ``python -m testing.light_followers FOLLOWERS``.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import threading
import time
from concurrent.futures import Future
from pathlib import Path

import grpc
import msgspec

from coltsfootrill.control.messages import ReadRequest
from coltsfootrill.control.replica import READ
from coltsfootrill.membership.following import CALL_SLACK_MS
from coltsfootrill.membership.following import FOLLOW
from coltsfootrill.membership.following import HOLD_MS
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.roles.manifest_sync import FETCH_TIMEOUT_MS
from testing.nodes import Node
from testing.nodes import find_free_ports
from testing.platform.test_desired_state import encode_state
from testing.platform.test_desired_state import route
from testing.processes import wait_until

VOTERS_COUNT = 5
RETRY_S = 0.1
MS_PER_SECOND = 1_000.0
STARTED_WITHIN_S = 30
_CHANNEL_OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 300),
    ("grpc.max_reconnect_backoff_ms", 500),
)


class LightFollowers:
    """Follow hubs as instances without a disk do, and read the first manifest that one reports.

    ``held`` counts the polls that are open. ``manifest_s`` are the seconds after which a follower
    had its first manifest, ``read_failures`` the reads that got no manifest in time, and
    ``heard_s`` maps each manifest version to the times at which followers first heard of it.
    """

    def __init__(self, addresses: list[str], count: int, *, reads_manifest: bool) -> None:
        self._addresses = addresses
        self._reads_manifest = reads_manifest
        self._start_s = time.monotonic()
        self.count = count
        self.held = 0
        self.read_failures = 0
        self.manifest_s: list[float] = []
        self.heard_s: dict[int, list[float]] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._task: Future[None] = asyncio.run_coroutine_threadsafe(self._run(), self._loop)

    def stop(self) -> None:
        """Cancel all polls, and end the loop."""
        self._task.cancel()
        asyncio.run_coroutine_threadsafe(asyncio.sleep(RETRY_S), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _run(self) -> None:
        await asyncio.gather(*(self._follow_all(number) for number in range(self.count)))

    async def _follow_all(self, number: int) -> None:
        follower = _Follower(number)
        channels = [
            grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
            for address in self._addresses
        ]
        try:
            await asyncio.gather(*(self._follow(follower, channel) for channel in channels))
        finally:
            for channel in channels:
                await channel.close()

    async def _follow(self, follower: _Follower, channel: grpc.aio.Channel) -> None:
        poll = channel.unary_unary(FOLLOW.path)
        boot = position = 0
        while True:
            request = FollowRequest(
                follower.record, False, False, boot, position, HOLD_MS, takes_packed=True
            )
            self.held += 1
            try:
                timeout_s = (HOLD_MS + CALL_SLACK_MS) / MS_PER_SECOND
                raw = await poll(msgspec.msgpack.encode(request), timeout=timeout_s)
            except grpc.RpcError:
                await asyncio.sleep(RETRY_S)
                continue
            finally:
                self.held -= 1
            reply = FOLLOW.decode_reply(raw)
            boot, position = reply.boot, reply.position
            if reply.manifest_version > follower.heard_version:
                follower.heard_version = reply.manifest_version
                self.heard_s.setdefault(reply.manifest_version, []).append(time.monotonic())
            if reply.manifest_version and self._reads_manifest:
                await self._read(follower, channel)

    async def _read(self, follower: _Follower, channel: grpc.aio.Channel) -> None:
        if follower.is_reading or follower.has_manifest:
            return
        follower.is_reading = True
        request = ReadRequest(follower.record.id, 0, True, takes_packed=True)
        read = channel.unary_unary(READ.path)
        try:
            raw = await read(
                msgspec.msgpack.encode(request), timeout=FETCH_TIMEOUT_MS / MS_PER_SECOND
            )
            follower.has_manifest = bool(READ.decode_reply(raw).manifest)
        except grpc.RpcError:
            pass
        finally:
            follower.is_reading = False
        if follower.has_manifest:
            self.manifest_s.append(time.monotonic() - self._start_s)
        else:
            self.read_failures += 1


class _Follower:
    """One follower."""

    __slots__ = ("has_manifest", "heard_version", "is_reading", "record")

    def __init__(self, number: int) -> None:
        address = f"10.1.{number // 200}.{number % 200}:1"
        zone = f"z{number % VOTERS_COUNT + 1}"
        self.record = InstanceRecord(f"f{number}", 1, address, zone, False, 0)
        self.has_manifest = False
        self.is_reading = False
        self.heard_version = 0


def start_voters(folder: Path, count: int, *, network: str) -> list[Node]:
    """Start voting nodes for the first time, with a first manifest in force; return them."""
    ports = find_free_ports(network)
    seeds = [f"{network}.{number}:{ports['interface']}" for number in range(1, count + 1)]
    nodes = [
        Node(number, folder, ports, seeds, network=network, has_disk=True)
        for number in range(1, count + 1)
    ]
    for node in nodes:
        node.start(is_first_start=True)
    first = encode_state(route(), version="00000002")
    wait_until(lambda: nodes[0].submit(first, 0) == 200, within_s=STARTED_WITHIN_S)
    return nodes


def list_fleet_addresses(nodes: list[Node]) -> list[str]:
    """Return the addresses at which nodes are followed."""
    return [f"{node.host}:{node.ports['fleet']}" for node in nodes]


def measure_recovery(followers_count: int) -> None:
    """Print how voting nodes recover from a loss of power under ``followers_count`` followers."""
    with tempfile.TemporaryDirectory() as folder:
        nodes = start_voters(Path(folder), VOTERS_COUNT, network="127.0.9")
        followers: LightFollowers | None = None
        try:
            for node in nodes:
                node.end()
            for node in nodes:
                node.start(is_first_start=False)
            followers = LightFollowers(
                list_fleet_addresses(nodes), followers_count, reads_manifest=True
            )
            _wait_for_all(followers.manifest_s, followers_count)
            print(f"{followers_count} followers; {_describe('manifest', followers.manifest_s)}")
            print(f"reads that failed: {followers.read_failures}")
            print(f"processor of the voters: {[_get_processor_s(node) for node in nodes]} s")
            for version in range(3, 9):
                _measure_change(nodes, followers, version)
            print(f"processor of the voters: {[_get_processor_s(node) for node in nodes]} s")
        finally:
            if followers is not None:
                followers.stop()
            for node in nodes:
                if node.is_alive():
                    node.end()


def _measure_change(nodes: list[Node], followers: LightFollowers, version: int) -> None:
    start_s = time.monotonic()
    state = encode_state(route(), version=f"{version:08x}")
    status = nodes[version % len(nodes)].submit(state, version - 1)
    took_s = time.monotonic() - start_s
    heard_s = followers.heard_s.setdefault(version, [])
    _wait_for_all(heard_s, followers.count)
    delays_s = [at_s - start_s for at_s in heard_s]
    print(f"change {version}: {status} after {took_s:.2f} s; {_describe('heard', delays_s)}")


def _wait_for_all(times_s: list[float], count: int) -> None:
    end_s = time.monotonic() + STARTED_WITHIN_S
    while len(times_s) < count and time.monotonic() < end_s:
        time.sleep(RETRY_S / 10)


def _describe(name: str, times_s: list[float]) -> str:
    ordered = sorted(times_s)
    if not ordered:
        return f"{name}: none"
    median = ordered[len(ordered) // 2]
    return f"{name}: {len(ordered)}, p50 {median:.2f} s, last {ordered[-1]:.2f} s"


def _get_processor_s(node: Node) -> float:
    assert node.process is not None
    stat = Path(f"/proc/{node.process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(stat[11]) + int(stat[12])) / 100


if __name__ == "__main__":
    measure_recovery(int(sys.argv[1]))
