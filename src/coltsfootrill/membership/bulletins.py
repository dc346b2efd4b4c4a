"""Datagrams in which instances tell each other the load that upstreams reported.

A report is worth nothing a few hundred milliseconds later, so a datagram that is lost is not sent
again. Between availability zones one instance passes the reports on to the others of its zone.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from collections.abc import Sequence

import google_crc32c
import msgspec
from absl import logging

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.report_book import ReportEntry
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.registry.announcement import split_address

DATAGRAM_MAX_BYTES = 8 * 1024
ENTRIES_MAX_COUNT = 64
PACE_SCALE = 100
LOG_PAUSE_S = 30


class LoadEntry(msgspec.Struct, frozen=True, array_like=True):
    """One load; ``pace`` is in hundredths, ``None`` where the upstream does not tell it."""

    upstream_id: str
    in_flight: int
    slots: int
    pace: int | None
    age_ms: int


class Bulletin(msgspec.Struct, frozen=True, array_like=True):
    """Loads from one instance; ``is_first_hop`` asks the receiver to pass them on in its zone."""

    sender: str
    is_first_hop: bool
    entries: list[LoadEntry]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Bulletin)


def rank(key: str, instance_id: str) -> int:
    """Return the weight of an instance for a key; the highest one is responsible for it."""
    return int(google_crc32c.value(f"{key}/{instance_id}".encode()))


def choose_relays(own: InstanceRecord, instances: Sequence[InstanceRecord]) -> list[str]:
    """Return the address of one instance in each other zone, spread over the senders."""
    best_by_zone: dict[str, InstanceRecord] = {}
    for record in instances:
        best = best_by_zone.get(record.zone)
        if record.zone == own.zone:
            continue
        if best is None or rank(own.id, record.id) > rank(own.id, best.id):
            best_by_zone[record.zone] = record
    return [record.address for record in best_by_zone.values()]


def list_neighbours(own: InstanceRecord, instances: Sequence[InstanceRecord]) -> list[str]:
    """Return the addresses of the other instances in the own zone."""
    return [
        record.address for record in instances if record.zone == own.zone and record.id != own.id
    ]


class BulletinExchange:
    """Sends reports to the other instances and takes theirs; datagrams may be lost."""

    def __init__(
        self,
        own: InstanceRecord,
        *,
        list_instances: Callable[[], list[InstanceRecord]],
        on_reports: Callable[[list[ReportEntry]], None],
    ) -> None:
        self._own = own
        self._list_instances = list_instances
        self._on_reports = on_reports
        host, port = split_address(own.address)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))

    def send(self, entries: Sequence[ReportEntry], *, crosses_zones: bool) -> None:
        """Tell the neighbours, and where wanted one instance in each other zone."""
        if not entries:
            return
        instances = self._list_instances()
        packed = [_pack(entry) for entry in entries[:ENTRIES_MAX_COUNT]]
        self._send_to(list_neighbours(self._own, instances), packed, is_first_hop=False)
        if crosses_zones:
            self._send_to(choose_relays(self._own, instances), packed, is_first_hop=True)

    def run(self) -> None:
        """Take datagrams until the process ends."""
        while True:
            data = self._socket.recv(DATAGRAM_MAX_BYTES)
            try:
                bulletin = _decoder.decode(data)
            except msgspec.MsgspecError as error:
                logging.log_every_n_seconds(
                    logging.WARNING, 'datagram not readable error="%s"', LOG_PAUSE_S, error
                )
                continue
            self._on_reports([_unpack(entry) for entry in bulletin.entries])
            if bulletin.is_first_hop:
                neighbours = list_neighbours(self._own, self._list_instances())
                self._send_to(neighbours, bulletin.entries, is_first_hop=False)

    def _send_to(
        self, addresses: Sequence[str], entries: list[LoadEntry], *, is_first_hop: bool
    ) -> None:
        if not addresses:
            return
        data = _encoder.encode(Bulletin(self._own.id, is_first_hop, entries))
        for address in addresses:
            try:
                self._socket.sendto(data, socket.MSG_DONTWAIT, split_address(address))
            except OSError as error:
                logging.log_every_n_seconds(
                    logging.WARNING, 'datagram not sent error="%s"', LOG_PAUSE_S, error
                )


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
