"""The settings of each role: what is read, what is accepted, and what it means."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from coltsfootrill.settings import Address
from coltsfootrill.settings import Setting
from coltsfootrill.settings import parse_address
from coltsfootrill.settings import parse_addresses
from coltsfootrill.settings import parse_amount
from coltsfootrill.settings import parse_count
from coltsfootrill.settings import parse_file
from coltsfootrill.settings import parse_flag
from coltsfootrill.settings import parse_folder
from coltsfootrill.settings import parse_identifier
from coltsfootrill.settings import parse_optional_address
from coltsfootrill.settings import parse_replicas
from coltsfootrill.settings import parse_share
from coltsfootrill.settings import parse_span
from coltsfootrill.settings import parse_spares
from coltsfootrill.settings import parse_token


def _share(section: str, key: str, default: str, meaning: str) -> Setting[float]:
    return Setting(
        section,
        key,
        parse_share,
        accepted="a number from 0 to 1",
        meaning=meaning,
        default=default,
    )


def _amount(section: str, key: str, default: str, meaning: str) -> Setting[float]:
    return Setting(
        section,
        key,
        parse_amount,
        accepted="a number of at least 0",
        meaning=meaning,
        default=default,
    )


def _count(section: str, key: str, low: int, high: int, default: int, meaning: str) -> Setting[int]:
    return Setting(
        section,
        key,
        parse_count(low, high),
        accepted=f"a whole number from {low} to {high}",
        meaning=meaning,
        default=str(default),
    )


def _address(section: str, key: str, meaning: str) -> Setting[Address]:
    return Setting(section, key, parse_address, accepted="ip:port", meaning=meaning)


def _identifier(section: str, key: str, meaning: str) -> Setting[str]:
    return Setting(
        section,
        key,
        parse_identifier,
        accepted="lower-case letters, digits, '.', '_' and '-', at most 64",
        meaning=meaning,
    )


def _token(key: str, meaning: str) -> Setting[str]:
    return Setting(
        "tokens",
        key,
        parse_token,
        accepted="a readable file with at least 16 characters",
        meaning=meaning,
    )


def _tls_file(key: str, meaning: str) -> Setting[Path | None]:
    return Setting(
        "tls", key, parse_file, accepted="a file, or empty for none", meaning=meaning, default=""
    )


_TLS_FILES: tuple[Setting[Any], ...] = (
    _tls_file("certificate", "Certificate chain of this instance, PEM."),
    _tls_file("key", "Private key of this instance, PEM."),
    _tls_file("authority", "Certificate of the authority that signs all instances, PEM."),
)

_COMMON: tuple[Setting[Any], ...] = (
    _identifier("instance", "id", "Identifier of the instance, unique in the fleet."),
    _identifier("instance", "zone", "Availability zone of the instance."),
    Setting(
        "instance",
        "data",
        parse_folder,
        accepted="a folder, or empty on an instance without a disk",
        meaning="Folder of durable state.",
        default="",
    ),
    _address("operators", "listen", "Address for operators, readiness and metrics."),
    _token("operator_file", "File with the token of operators."),
    Setting(
        "control",
        "replicas",
        parse_replicas,
        accepted="id=ip:port for 1, 3 or 5 replicas, separated by commas",
        meaning="Control replicas of the first epoch.",
    ),
    *_TLS_FILES,
)

_BALANCER: tuple[Setting[Any], ...] = (
    Setting(
        "balancer",
        "policy",
        parse_identifier,
        accepted="the name of a choice policy",
        meaning="How upstreams are chosen.",
        default="least-expected-wait",
    ),
    _count("balancer", "seed", 0, 2**31, 0, "Seed of random choices; 0 draws one at the start."),
)


def _list_caller_settings(
    *, connections: int, notice_ms: int, idle_ms: int, stop_ms: int
) -> tuple[Setting[Any], ...]:
    section = "callers"
    return (
        _address(section, "listen", "Address for callers."),
        _count(section, "connections", 4, 5_000, connections, "Connections of callers at a time."),
        _count(section, "requests", 4, 5_000, 256, "Requests in progress at a time."),
        _count(section, "queue", 1, 10_000, 64, "Requests that wait for one service."),
        _count(
            "upstreams",
            "once_idle_ms",
            0,
            3_600_000,
            0,
            "Idle time after which a connection carries no non-idempotent request; 0 for none.",
        ),
        _count(section, "notice_ms", 0, 600_000, notice_ms, "Time for the balancer to notice."),
        _count(
            section, "idle_ms", 0, 600_000, idle_ms, "Time idle connections stay open at a stop."
        ),
        _count(
            section, "stop_ms", 0, 86_400_000, stop_ms, "Time for requests to finish at a stop."
        ),
    )


ENTRY_SETTINGS: tuple[Setting[Any], ...] = (
    *_COMMON,
    *_list_caller_settings(connections=1_000, notice_ms=3_000, idle_ms=1_000, stop_ms=60_000),
    _address("announcements", "listen", "Address for announcements of upstreams."),
    _token("announcement_file", "File with the token of upstreams."),
    _address("peers", "listen", "Address for other entry instances."),
    Setting(
        "peers",
        "advertise",
        parse_optional_address,
        accepted="ip:port, or empty for the one listened on",
        meaning="Address that other entry instances use for this one.",
        default="",
    ),
    Setting(
        "peers",
        "seeds",
        parse_addresses,
        accepted="ip:port, separated by commas, or empty",
        meaning="Entry instances to ask first for the others.",
        default="",
    ),
    _count("peers", "fleet_max", 1, 1_000, 22, "Largest number of entry instances."),
    *_BALANCER,
)

CONTROL_SETTINGS: tuple[Setting[Any], ...] = (
    *_COMMON,
    _address("control", "listen", "Address for other control replicas and entry instances."),
    Setting(
        "control",
        "spares",
        parse_spares,
        accepted="id=ip:port, separated by commas, or empty",
        meaning="Replicas that may take the place of one that is lost.",
        default="",
    ),
    _count("control", "grace_s", 1, 86_400, 60, "Seconds a replica may be lost before repair."),
)


NODE_SETTINGS: tuple[Setting[Any], ...] = (
    _identifier("instance", "id", "Identifier of the instance, unique in the fleet."),
    _identifier("instance", "zone", "Availability zone of the instance."),
    Setting(
        "instance",
        "data",
        parse_folder,
        accepted="a folder, or empty on an instance without a disk",
        meaning="Folder of durable state; an instance that has one may vote.",
        default="",
    ),
    Setting(
        "instance",
        "first_start",
        parse_flag,
        accepted="true or false",
        meaning="Whether the whole fleet starts for the first time, with empty disks.",
        default="false",
    ),
    _amount("instance", "link_mbps", "0", "Bandwidth of its link in Mbit/s; 0 if not known."),
    _address("metrics", "listen", "Address for metrics."),
    _address("ready", "listen", "Address for the check whether callers may be sent here."),
    _address("interface", "listen", "Address for operators and announcements of upstreams."),
    _identifier("interface", "name", "Control interface, a plug-in."),
    _identifier("interface", "dialect", "Headers of callers and upstreams, a plug-in."),
    _identifier("interface", "manifest", "Format of manifests, a plug-in."),
    _address("fleet", "listen", "Address for other nodes; the port is the same on all nodes."),
    Setting(
        "fleet",
        "seeds",
        parse_addresses,
        accepted="ip:port, separated by commas",
        meaning="Nodes to ask first for the others; at the first start they vote.",
    ),
    _count("fleet", "losses", 0, 3, 1, "Disks that may be lost at the same time."),
    *_list_caller_settings(connections=1_000, notice_ms=2_600, idle_ms=200, stop_ms=2_800),
    _share("retries", "share", "0.2", "Further attempts as a share of first ones, fleet-wide."),
    Setting(
        "retries",
        "window_s",
        parse_span,
        accepted="a number above 0",
        meaning="Length of the window for that share in seconds.",
        default="10",
    ),
    _amount("retries", "allowance", "0", "Further attempts on top, fleet-wide."),
    *_BALANCER,
    _count("measuring", "interval_ms", 0, 60_000, 0, "Time between checks of one upstream."),
    _count(
        "dispatch",
        "timeout_ms",
        0,
        10_000,
        0,
        "Time in which the instance that chooses for a service replies; 0 to choose here.",
    ),
    _count(
        "dispatch",
        "work_min_ms",
        0,
        3_600_000,
        100,
        "Usual latency from which a kind's requests are worth a question to that instance.",
    ),
    *_TLS_FILES,
    Setting(
        "tls",
        "plain",
        parse_flag,
        accepted="true or false",
        meaning="Whether nodes talk without TLS, on a network that keeps others out.",
        default="false",
    ),
)
