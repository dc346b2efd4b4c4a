"""Datagrams in which instances tell each other the load that upstreams reported.

A report is worth nothing a few hundred milliseconds later, so a datagram that is lost is not sent
again. In a zone with few instances each tells all others; where that would cost too much, two
collectors take the reports, and each tells the zone again and again what it has taken. Between
availability zones one instance passes the reports on to the others of its zone. ``ways`` decides
who sends to whom.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.load_report_cache import ReportEntry
from coltsfootrill.clock import Clock
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.ways import DIRECT_MAX_COUNT
from coltsfootrill.membership.ways import choose_collector
from coltsfootrill.membership.ways import choose_relays
from coltsfootrill.membership.ways import list_neighbours

TOPIC = b"L"
ENTRIES_MAX_COUNT = 200
COLLECT_MS = 200.0
HOPS_TO_ZONE = 1
HOPS_TO_COLLECTOR = 2
PACE_SCALE = 100


class LoadEntry(msgspec.Struct, frozen=True, array_like=True):
    """One load; ``pace`` is in hundredths, ``None`` where the upstream does not tell it."""

    upstream_id: str
    in_flight: int
    slots: int
    pace: int | None
    age_ms: int


class Bulletin(msgspec.Struct, frozen=True, array_like=True):
    """Loads from one instance; ``hops`` is how many times they are still to be passed on."""

    sender: str
    hops: int
    entries: list[LoadEntry]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Bulletin)


class BulletinExchange:
    """Sends reports to the other instances and takes theirs; datagrams may be lost."""

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
        self._collected = CollectedLoads(clock)
        self._rounds = 0
        self._port = port
        port.handle(TOPIC, self.take)

    def send(self, entries: Sequence[ReportEntry], *, crosses_zones: bool) -> None:
        """Tell the own zone, and where wanted one instance in each other zone."""
        if not entries:
            return
        instances = self._list_instances()
        packed = [_pack(entry) for entry in entries]
        self._rounds += 1
        collector = choose_collector(self._own, instances, turn=self._rounds)
        if collector is not None:
            # The collector tells the neighbours and the other zones.
            self._send_to([collector], packed, hops=HOPS_TO_COLLECTOR)
            return
        self._send_to(list_neighbours(self._own, instances), packed, hops=0)
        if crosses_zones:
            self._send_to(choose_relays(self._own, instances), packed, hops=HOPS_TO_ZONE)

    def take(self, payload: bytes, sender: str) -> None:
        """Take a datagram; raise ``msgspec.MsgspecError`` if it cannot be read."""
        bulletin = _decoder.decode(payload)
        self._on_reports([_unpack(entry) for entry in bulletin.entries])
        if bulletin.hops:
            self._pass_on(bulletin)

    def collect(self) -> None:
        """Tell what was collected again and again, until the process ends."""
        while True:
            self._collected.wait()
            collected = self._collected.take()
            instances = self._list_instances()
            near = [entry for entry, hops in collected if hops >= HOPS_TO_COLLECTOR]
            every = [entry for entry, _ in collected]
            self._send_to(list_neighbours(self._own, instances), every, hops=0)
            self._send_to(choose_relays(self._own, instances), near, hops=HOPS_TO_ZONE)

    def _pass_on(self, bulletin: Bulletin) -> None:
        neighbours = list_neighbours(self._own, self._list_instances())
        if len(neighbours) > DIRECT_MAX_COUNT:
            self._collected.note(bulletin)
        else:
            self._send_to(neighbours, bulletin.entries, hops=0)

    def _send_to(
        self, addresses: Sequence[str], entries: Sequence[LoadEntry], *, hops: int
    ) -> None:
        if not addresses:
            return
        for start in range(0, len(entries), ENTRIES_MAX_COUNT):
            part = list(entries[start : start + ENTRIES_MAX_COUNT])
            data = _encoder.encode(Bulletin(self._own.id, hops, part))
            for address in addresses:
                self._port.send(TOPIC, data, address)


class CollectedLoads:
    """Loads that wait to be told with others, the newest of each upstream. Thread-safe."""

    __slots__ = ("_clock", "_entry_by_id", "_is_due", "_lock", "_told_ms")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._is_due = threading.Event()
        self._entry_by_id: dict[str, _Collected] = {}
        self._told_ms = float("-inf")

    def note(self, bulletin: Bulletin) -> None:
        """Take in what a bulletin tells; of each upstream only the newest load is kept."""
        now_ms = self._clock.now_ms()
        with self._lock:
            for entry in bulletin.entries:
                known = self._entry_by_id.get(entry.upstream_id)
                made_ms = now_ms - entry.age_ms
                if known is None or known.made_ms <= made_ms:
                    self._entry_by_id[entry.upstream_id] = _Collected(
                        entry, hops=bulletin.hops, made_ms=made_ms
                    )
        self._is_due.set()

    def wait(self) -> None:
        """Return when there is something to tell and the last time was long enough ago."""
        self._is_due.wait()
        self._clock.sleep_ms(max(0.0, self._told_ms + COLLECT_MS - self._clock.now_ms()))

    def take(self) -> list[tuple[LoadEntry, int]]:
        """Return and drop what was noted, each entry with its age now and its hops."""
        with self._lock:
            taken = list(self._entry_by_id.values())
            self._entry_by_id = {}
            self._is_due.clear()
        self._told_ms = now_ms = self._clock.now_ms()
        return [
            (msgspec.structs.replace(one.entry, age_ms=int(now_ms - one.made_ms)), one.hops)
            for one in taken
        ]


class _Collected:
    """An entry that was made at ``made_ms``, and the hops of the bulletin that brought it."""

    __slots__ = ("entry", "hops", "made_ms")

    def __init__(self, entry: LoadEntry, *, hops: int, made_ms: float) -> None:
        self.entry = entry
        self.hops = hops
        self.made_ms = made_ms


def _pack(entry: ReportEntry) -> LoadEntry:
    report = entry.report
    pace = None if report.pace is None else int(report.pace * PACE_SCALE)
    return LoadEntry(entry.upstream_id, report.in_flight, report.slots, pace, int(entry.age_ms))


def _unpack(entry: LoadEntry) -> ReportEntry:
    pace = None if entry.pace is None else entry.pace / PACE_SCALE
    report = LoadReport(
        in_flight=entry.in_flight, slots=max(1, entry.slots), state="serving", pace=pace
    )
    return ReportEntry(entry.upstream_id, report, age_ms=max(0, entry.age_ms))
