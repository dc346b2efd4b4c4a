"""The settings of each role, with their accepted values, defaults and meanings."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from coltsfootrill.settings import TOKEN_MIN_LENGTH
from coltsfootrill.settings import Address
from coltsfootrill.settings import Setting
from coltsfootrill.settings import make_integer_parser
from coltsfootrill.settings import parse_address
from coltsfootrill.settings import parse_addresses
from coltsfootrill.settings import parse_boolean
from coltsfootrill.settings import parse_fraction
from coltsfootrill.settings import parse_identifier
from coltsfootrill.settings import parse_initial_replicas
from coltsfootrill.settings import parse_non_negative
from coltsfootrill.settings import parse_optional_address
from coltsfootrill.settings import parse_optional_file
from coltsfootrill.settings import parse_optional_folder
from coltsfootrill.settings import parse_positive
from coltsfootrill.settings import parse_replica_addresses
from coltsfootrill.settings import parse_token


def _fraction(section: str, key: str, default: str, meaning: str) -> Setting[float]:
    return Setting(
        section,
        key,
        parse_fraction,
        accepted="a number from 0 to 1",
        meaning=meaning,
        default=default,
    )


def _non_negative(section: str, key: str, default: str, meaning: str) -> Setting[float]:
    return Setting(
        section,
        key,
        parse_non_negative,
        accepted="a number of at least 0",
        meaning=meaning,
        default=default,
    )


def _integer(
    section: str, key: str, low: int, high: int, default: int, meaning: str
) -> Setting[int]:
    return Setting(
        section,
        key,
        make_integer_parser(low, high),
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
        accepted=f"a readable file with at least {TOKEN_MIN_LENGTH} characters",
        meaning=meaning,
    )


def _tls_file(key: str, meaning: str) -> Setting[Path | None]:
    return Setting(
        "tls",
        key,
        parse_optional_file,
        accepted="a file, or empty for none",
        meaning=meaning,
        default="",
    )


_TLS_SETTINGS: tuple[Setting[Any], ...] = (
    _tls_file("certificate", "Certificate chain of this instance, PEM."),
    _tls_file("key", "Private key of this instance, PEM."),
    _tls_file(
        "authority",
        "Certificate of the authority that signs the certificates of all instances, PEM.",
    ),
)

_COMMON_SETTINGS: tuple[Setting[Any], ...] = (
    _identifier("instance", "id", "Identifier of the instance, unique in the fleet."),
    _identifier("instance", "zone", "Availability zone of the instance."),
    Setting(
        "instance",
        "data",
        parse_optional_folder,
        accepted="a folder, or empty on an instance without a disk",
        meaning="Folder for persistent state.",
        default="",
    ),
    _address("operators", "listen", "Address for operators, readiness checks and metrics."),
    _token("operator_file", "File that holds the token of operators."),
    Setting(
        "control",
        "replicas",
        parse_initial_replicas,
        accepted="id=ip:port for 1, 3 or 5 replicas, separated by commas",
        meaning="Initial control replicas, those of the first epoch.",
    ),
    *_TLS_SETTINGS,
)

_BALANCER_SETTINGS: tuple[Setting[Any], ...] = (
    Setting(
        "balancer",
        "policy",
        parse_identifier,
        accepted="the name of a choice policy",
        meaning="Choice policy for upstreams, a plug-in.",
        default="least-expected-wait",
    ),
    _integer(
        "balancer", "seed", 0, 2**31, 0, "Seed of random choices; 0 for a random one at each start."
    ),
)


def _make_caller_settings(
    *, connections: int, notice_ms: int, idle_ms: int, stop_ms: int
) -> tuple[Setting[Any], ...]:
    section = "callers"
    return (
        _address(section, "listen", "Address for callers."),
        _integer(
            section,
            "connections",
            4,
            5_000,
            connections,
            "Maximum number of connections from callers.",
        ),
        _integer(section, "requests", 4, 5_000, 256, "Maximum number of requests in progress."),
        Setting(
            section,
            "memory_mb",
            make_integer_parser(64, 1_000_000),
            accepted="a whole number from 64 to 1000000",
            meaning=(
                "Memory of the instance in MB, which bounds the bodies held of callers' requests."
            ),
            default="200",
            variable="COLTSFOOTRILL_MEMORY_MB",
        ),
        _integer(
            section, "queue", 1, 10_000, 64, "Maximum number of queued requests for each service."
        ),
        _integer(
            "upstreams",
            "once_idle_ms",
            0,
            3_600_000,
            0,
            "Maximum idle time of a connection that a non-idempotent request reuses; 0 for none.",
        ),
        _integer(
            section,
            "notice_ms",
            0,
            600_000,
            notice_ms,
            "Delay at a stop for the load balancer in front to see the failed readiness check.",
        ),
        _integer(
            section,
            "idle_ms",
            0,
            600_000,
            idle_ms,
            "Time that idle connections stay open at a stop.",
        ),
        _integer(
            section,
            "stop_ms",
            0,
            86_400_000,
            stop_ms,
            "Maximum time for requests to finish at a stop; unused if grace_s is set.",
        ),
        _non_negative(
            section,
            "grace_s",
            "0",
            "Time in seconds from SIGTERM to SIGKILL, of which a stop uses all that requests need;"
            " 0 if unknown.",
        ),
    )


ENTRY_SETTINGS: tuple[Setting[Any], ...] = (
    *_COMMON_SETTINGS,
    *_make_caller_settings(connections=1_000, notice_ms=3_000, idle_ms=1_000, stop_ms=60_000),
    _address("announcements", "listen", "Address for announcements of upstreams."),
    _token("announcement_file", "File that holds the token of upstreams."),
    _address("peers", "listen", "Address for other entry instances."),
    Setting(
        "peers",
        "advertise",
        parse_optional_address,
        accepted="ip:port, or empty for the listen address",
        meaning="Address at which other entry instances reach this one.",
        default="",
    ),
    Setting(
        "peers",
        "seeds",
        parse_addresses,
        accepted="ip:port, separated by commas, or empty",
        meaning="Entry instances to contact first to discover the others.",
        default="",
    ),
    _integer("peers", "fleet_max", 1, 1_000, 22, "Maximum number of entry instances."),
    *_BALANCER_SETTINGS,
)

CONTROL_SETTINGS: tuple[Setting[Any], ...] = (
    *_COMMON_SETTINGS,
    _address("control", "listen", "Address for other control replicas and entry instances."),
    Setting(
        "control",
        "spares",
        parse_replica_addresses,
        accepted="id=ip:port, separated by commas, or empty",
        meaning="Spare replicas that may replace a lost one.",
        default="",
    ),
    _integer(
        "control",
        "grace_s",
        1,
        86_400,
        60,
        "Seconds that a replica may be lost before it is replaced.",
    ),
)


NODE_SETTINGS: tuple[Setting[Any], ...] = (
    _identifier("instance", "id", "Identifier of the instance, unique in the fleet."),
    _identifier("instance", "zone", "Availability zone of the instance."),
    Setting(
        "instance",
        "data",
        parse_optional_folder,
        accepted="a folder, or empty on an instance without a disk",
        meaning="Folder for persistent state; an instance with one may be a voting replica.",
        default="",
    ),
    Setting(
        "instance",
        "first_start",
        parse_boolean,
        accepted="true or false",
        meaning="Whether the whole fleet starts for the first time, with empty disks.",
        default="false",
    ),
    _non_negative(
        "instance",
        "link_mbps",
        "0",
        "Bandwidth of the instance's network link in Mbit/s; 0 if not known.",
    ),
    _address("metrics", "listen", "Address for metrics."),
    _address("ready", "listen", "Address for readiness checks."),
    _address("interface", "listen", "Address for operators and announcements of upstreams."),
    _identifier("interface", "name", "Control interface, a plug-in."),
    _identifier(
        "interface", "dialect", "Dialect, the HTTP headers of callers and upstreams, a plug-in."
    ),
    _identifier("interface", "manifest", "Manifest format, a plug-in."),
    _address("fleet", "listen", "Address for other nodes; the port is the same on all nodes."),
    Setting(
        "fleet",
        "seeds",
        parse_addresses,
        accepted="ip:port, separated by commas",
        meaning="Nodes to contact first to discover others; the initial replicas at a first start.",
    ),
    _integer("fleet", "losses", 0, 3, 1, "Number of disks that may be lost at the same time."),
    *_make_caller_settings(connections=1_000, notice_ms=2_600, idle_ms=200, stop_ms=2_800),
    _fraction(
        "retries",
        "share",
        "0.2",
        "Retry budget: extra attempts as a share of first attempts, fleet-wide.",
    ),
    Setting(
        "retries",
        "window_s",
        parse_positive,
        accepted="a number above 0",
        meaning="Sliding window of the retry budget in seconds.",
        default="10",
    ),
    _non_negative(
        "retries", "allowance", "0", "Extra attempts in a window beyond the share, fleet-wide."
    ),
    _non_negative(
        "quotas",
        "overshoot",
        "0.1",
        "Requests of an organisation beyond its quota, as a share of it, that upstreams bear.",
    ),
    _non_negative(
        "quotas", "slack", "20", "Requests beyond that in a window that upstreams bear, fleet-wide."
    ),
    Setting(
        "quotas",
        "window_s",
        parse_positive,
        accepted="a number above 0",
        meaning="Sliding window of the quotas of organisations in seconds.",
        default="5",
    ),
    _non_negative(
        "warm_up",
        "overshoot",
        "1.5",
        "Factor by which requests to a cold upstream may exceed the rate of its warm-up.",
    ),
    _non_negative(
        "warm_up", "slack", "8", "Requests to a cold upstream in a second beyond that, fleet-wide."
    ),
    *_BALANCER_SETTINGS,
    _integer(
        "measuring",
        "interval_ms",
        0,
        60_000,
        0,
        "Time between polls of the load of one upstream; 0 for no polls.",
    ),
    _integer(
        "dispatch",
        "timeout_ms",
        0,
        10_000,
        0,
        "Timeout of calls to the dispatcher of a service; 0 to choose upstreams locally.",
    ),
    _integer(
        "dispatch",
        "work_min_ms",
        0,
        3_600_000,
        100,
        "Typical latency of a kind from which its requests are sent through the dispatcher.",
    ),
    *_TLS_SETTINGS,
    Setting(
        "tls",
        "plain",
        parse_boolean,
        accepted="true or false",
        meaning="Whether nodes communicate without TLS; only for a network closed to others.",
        default="false",
    ),
)
