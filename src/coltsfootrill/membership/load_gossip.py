"""Gossip of upstream load reports between entry instances, over UDP datagrams.

A load report is outdated after a few hundred milliseconds, so a lost datagram is not sent again.
In an availability zone with few instances, each instance sends its reports to all others. In a
larger zone that would cost too much: each instance sends its reports to one of two collectors,
and each collector periodically sends the merged reports to the whole zone, or to as many instances
in turn as fit into a share of its link. Between zones, one
relay instance per zone receives a sender's reports and forwards them within its zone; reports that
have not changed are sent there less often.
``relay_topology`` chooses the receivers.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.load_report_cache import ReportEntry
from coltsfootrill.clock import Clock
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.membership.load_changes import ChangedLoads
from coltsfootrill.membership.messages import BYTES_PER_MS_AND_MBPS
from coltsfootrill.membership.messages import PACE_SCALE
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import LoadEntry
from coltsfootrill.membership.messages import LoadGossip
from coltsfootrill.membership.relay_topology import DIRECT_MAX_COUNT
from coltsfootrill.membership.relay_topology import choose_collector
from coltsfootrill.membership.relay_topology import choose_relays
from coltsfootrill.membership.relay_topology import list_neighbours

TOPIC = b"L"
ENTRIES_MAX_COUNT = 200
COLLECT_INTERVAL_MS = 200.0
# Of its link's bandwidth, what a collector may use for its zone.
COLLECTOR_LINK_SHARE = 0.25
HOPS_TO_ZONE = 1
HOPS_TO_COLLECTOR = 2

# Stands for a load that was not stated.
_NO_LOAD = LoadReport(in_flight=0, slots=0, state="")
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LoadGossip)


class LoadGossipExchange:
    """Sends load reports to other instances and receives theirs; datagrams may be lost."""

    def __init__(
        self,
        own: InstanceRecord,
        *,
        port: DatagramPort,
        list_instances: Callable[[], list[InstanceRecord]],
        on_reports: Callable[[list[ReportEntry]], None],
        clock: Clock,
    ) -> None:
        self._own = own
        self._list_instances = list_instances
        self._on_reports = on_reports
        # Used by different threads: one for own reports, one for those collected from the zone.
        self._changed = ChangedLoads(clock)
        self._changed_in_zone = ChangedLoads(clock)
        self._collected = CollectedLoads(clock)
        self._receivers = ReceiversInTurn(own.link_mbps)
        self._rounds = 0
        self._port = port
        port.handle(TOPIC, self.receive)

    def send(self, entries: Sequence[ReportEntry], *, crosses_zones: bool) -> None:
        """Send reports to the own zone and, if ``crosses_zones``, to a relay in each other zone."""
        if not entries:
            return
        instances = self._list_instances()
        packed = [_pack(entry) for entry in entries]
        self._rounds += 1
        collector = choose_collector(self._own, instances, turn=self._rounds)
        if collector is not None:
            # The collector forwards to the neighbours and to the other zones.
            self._send_to([collector], packed, hops=HOPS_TO_COLLECTOR)
            return
        self._send_to(list_neighbours(self._own, instances), packed, hops=0)
        if crosses_zones:
            changed = self._changed.select(packed)
            self._send_to(choose_relays(self._own, instances), changed, hops=HOPS_TO_ZONE)

    def receive(self, payload: bytes, sender: str) -> None:
        """Handle one datagram; raise ``msgspec.MsgspecError`` if it cannot be decoded."""
        gossip = _decoder.decode(payload)
        self._on_reports([_unpack(entry) for entry in gossip.entries])
        if gossip.hops:
            self._forward(gossip)

    def run_collector(self) -> None:
        """Send the collected loads periodically, until the process ends."""
        while True:
            self._collected.wait()
            collected = self._collected.take()
            instances = self._list_instances()
            from_own_zone = [entry for entry, hops in collected if hops >= HOPS_TO_COLLECTOR]
            every_entry = [entry for entry, _ in collected]
            parts = self._encode(every_entry, hops=0)
            neighbours = list_neighbours(self._own, instances)
            self._send_parts(self._receivers.take(neighbours, _count_bytes(parts)), parts)
            changed = self._changed_in_zone.select(from_own_zone)
            self._send_to(choose_relays(self._own, instances), changed, hops=HOPS_TO_ZONE)

    def _forward(self, gossip: LoadGossip) -> None:
        neighbours = list_neighbours(self._own, self._list_instances())
        if len(neighbours) > DIRECT_MAX_COUNT:
            self._collected.record(gossip)
        else:
            self._send_to(neighbours, gossip.entries, hops=0)

    def _send_to(
        self, addresses: Sequence[str], entries: Sequence[LoadEntry], *, hops: int
    ) -> None:
        if addresses:
            self._send_parts(addresses, self._encode(entries, hops=hops))

    def _encode(self, entries: Sequence[LoadEntry], *, hops: int) -> list[bytes]:
        """Return the datagrams that hold the entries."""
        return [
            _encoder.encode(
                LoadGossip(self._own.id, hops, list(entries[start : start + ENTRIES_MAX_COUNT]))
            )
            for start in range(0, len(entries), ENTRIES_MAX_COUNT)
        ]

    def _send_parts(self, addresses: Sequence[str], parts: Sequence[bytes]) -> None:
        for data in parts:
            for address in addresses:
                self._port.send(TOPIC, data, address)


class ReceiversInTurn:
    """Chooses the receivers of a collector's next batch, within its share of the link.

    If a batch for all would take more, each receiver gets a fresh batch less often. A bandwidth of
    0 means that it is unknown, and every receiver is chosen.
    """

    __slots__ = ("_batch_max_bytes", "_next")

    def __init__(self, link_mbps: float) -> None:
        link_bytes_per_ms = link_mbps * BYTES_PER_MS_AND_MBPS
        self._batch_max_bytes = COLLECTOR_LINK_SHARE * link_bytes_per_ms * COLLECT_INTERVAL_MS
        self._next = 0

    def take(self, addresses: Sequence[str], bytes_each: int) -> list[str]:
        """Return the receivers of a batch of ``bytes_each``, at least one if there are any."""
        count = max(1, int(self._batch_max_bytes / max(1, bytes_each)))
        if not self._batch_max_bytes or count >= len(addresses):
            return list(addresses)
        start = self._next % len(addresses)
        self._next = start + count
        return [*addresses[start:], *addresses[:start]][:count]


class CollectedLoads:
    """Loads that wait for the next batch, the newest of each upstream. Thread-safe."""

    __slots__ = ("_clock", "_entry_by_id", "_is_pending", "_last_taken_ms", "_lock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._is_pending = threading.Event()
        self._entry_by_id: dict[str, _CollectedEntry] = {}
        self._last_taken_ms = float("-inf")

    def record(self, gossip: LoadGossip) -> None:
        """Record the loads of a datagram, retaining only the newest load of each upstream."""
        now_ms = self._clock.now_ms()
        with self._lock:
            for entry in gossip.entries:
                known = self._entry_by_id.get(entry.upstream_id)
                made_ms = now_ms - entry.age_ms
                if known is None or known.made_ms <= made_ms:
                    self._entry_by_id[entry.upstream_id] = _CollectedEntry(
                        _keep_cold(entry, known, made_ms), hops=gossip.hops, made_ms=made_ms
                    )
        self._is_pending.set()

    def wait(self) -> None:
        """Block until loads are pending and ``COLLECT_INTERVAL_MS`` after the last batch."""
        self._is_pending.wait()
        self._clock.sleep_ms(
            max(0.0, self._last_taken_ms + COLLECT_INTERVAL_MS - self._clock.now_ms())
        )

    def take(self) -> list[tuple[LoadEntry, int]]:
        """Remove and return the recorded loads, each with its current age and its hops."""
        with self._lock:
            taken = list(self._entry_by_id.values())
            self._entry_by_id = {}
            self._is_pending.clear()
        self._last_taken_ms = now_ms = self._clock.now_ms()
        return [
            (msgspec.structs.replace(one.entry, age_ms=int(now_ms - one.made_ms)), one.hops)
            for one in taken
        ]


class _CollectedEntry:
    """An entry created at ``made_ms``, with the hops of the datagram that carried it."""

    __slots__ = ("entry", "hops", "made_ms")

    def __init__(self, entry: LoadEntry, *, hops: int, made_ms: float) -> None:
        self.entry = entry
        self.hops = hops
        self.made_ms = made_ms


def _keep_cold(entry: LoadEntry, known: _CollectedEntry | None, made_ms: float) -> LoadEntry:
    """Return an entry with what a known one states of being cold, if only that one does.

    Answers to requests do not state it, and would replace that of a poll.
    """
    if entry.cold_ms is not None or known is None or known.entry.cold_ms is None:
        return entry
    cold_ms = max(0, math.ceil(known.entry.cold_ms - (made_ms - known.made_ms)))
    return msgspec.structs.replace(entry, cold_ms=cold_ms)


def _count_bytes(parts: Sequence[bytes]) -> int:
    return sum(len(part) for part in parts)


def _pack(entry: ReportEntry) -> LoadEntry:
    report = entry.report or _NO_LOAD
    return LoadEntry(
        entry.upstream_id,
        report.in_flight,
        report.slots,
        None if report.pace is None else int(report.pace * PACE_SCALE),
        int(entry.age_ms),
        entry.per_s,
        entry.leaving_incarnation,
        None if entry.cold_ms is None else math.ceil(entry.cold_ms),
    )


def _unpack(entry: LoadEntry) -> ReportEntry:
    report: LoadReport | None = None
    if entry.slots >= 1:
        pace = None if entry.pace is None else entry.pace / PACE_SCALE
        report = LoadReport(
            in_flight=entry.in_flight, slots=entry.slots, state="serving", pace=pace
        )
    return ReportEntry(
        entry.upstream_id,
        report,
        age_ms=max(0, entry.age_ms),
        per_s=entry.per_s,
        leaving_incarnation=entry.leaving_incarnation,
        cold_ms=None if entry.cold_ms is None else max(0, entry.cold_ms),
    )
