"""Settings of a process: an INI file, checked whole and turned into typed classes."""

from __future__ import annotations

import configparser
import ipaddress
import re
from collections.abc import Callable
from collections.abc import Sequence
from pathlib import Path
from typing import Any
from typing import Generic
from typing import TypeVar

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.registry.announcement import PORT_MAX

T = TypeVar("T")

_IDENTIFIER = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")


class SettingError(ColtsfootrillError):
    """One setting that is missing, unknown or not accepted."""

    def __init__(self, section: str, key: str, value: str | None, accepted: str) -> None:
        stated = "missing" if value is None else f"{value!r}"
        super().__init__(f"[{section}] {key} = {stated}: {accepted}")
        self.section = section
        self.key = key
        self.value = value
        self.accepted = accepted


class InvalidSettingsError(ExceptionGroup[SettingError], ColtsfootrillError):
    """A settings file was refused; the group holds every problem."""


class Address:
    """An IP number and a port."""

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"

    @property
    def is_loopback(self) -> bool:
        """Return whether only processes of this machine reach the address."""
        return ipaddress.ip_address(self.host).is_loopback


class Setting(Generic[T]):
    """One key of a section: how it is read, what is accepted, and what it means."""

    __slots__ = ("accepted", "default", "key", "meaning", "parse", "section")

    def __init__(
        self,
        section: str,
        key: str,
        parse: Callable[[str], T],
        *,
        accepted: str,
        meaning: str,
        default: str | None = None,
    ) -> None:
        self.section = section
        self.key = key
        self.parse = parse
        self.accepted = accepted
        self.meaning = meaning
        self.default = default


def parse_identifier(text: str) -> str:
    """Return an identifier; raise ``ValueError``."""
    if not _IDENTIFIER.fullmatch(text):
        raise ValueError(text)
    return text


def parse_address(text: str) -> Address:
    """Return the address in ``ip:port``; raise ``ValueError``."""
    host, _, port_text = text.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    port = int(port_text)
    if not 0 < port <= PORT_MAX:
        raise ValueError(text)
    return Address(host, port)


def parse_optional_address(text: str) -> Address | None:
    """Return the address in ``ip:port``, ``None`` for an empty text; raise ``ValueError``."""
    return parse_address(text) if text else None


def parse_addresses(text: str) -> list[str]:
    """Return the addresses in a comma-separated list; raise ``ValueError``."""
    return [str(parse_address(part.strip())) for part in text.split(",") if part.strip()]


def parse_replicas(text: str) -> dict[str, str]:
    """Return the addresses of 1, 3 or 5 replicas by identifier; raise ``ValueError``."""
    by_id = parse_spares(text)
    if len(by_id) not in (1, 3, 5):
        raise ValueError(text)
    return by_id


def parse_spares(text: str) -> dict[str, str]:
    """Return addresses by identifier from ``id=ip:port, ...``; raise ``ValueError``."""
    by_id: dict[str, str] = {}
    for part in text.split(",") if text else []:
        replica_id, _, address = part.strip().partition("=")
        if replica_id in by_id:
            raise ValueError(text)
        by_id[parse_identifier(replica_id)] = str(parse_address(address))
    if len(set(by_id.values())) != len(by_id):
        raise ValueError(text)
    return by_id


def parse_token(text: str) -> str:
    """Return the token in the file named by ``text``; raise ``ValueError`` or ``OSError``."""
    token = Path(text).read_text(encoding="utf-8").strip()
    if len(token) < 16:
        raise ValueError("the file must hold at least 16 characters")
    return token


def parse_folder(text: str) -> Path | None:
    """Return a folder, ``None`` for an empty text."""
    return Path(text) if text else None


def parse_file(text: str) -> Path | None:
    """Return a file that exists, ``None`` for an empty text; raise ``ValueError``."""
    if text and not Path(text).is_file():
        raise ValueError(text)
    return Path(text) if text else None


def parse_count(low: int, high: int) -> Callable[[str], int]:
    """Return a parser for whole numbers from ``low`` to ``high``."""

    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def parse_flag(text: str) -> bool:
    """Return whether ``text`` is ``true``; raise ``ValueError`` unless it is that or ``false``."""
    if text not in ("true", "false"):
        raise ValueError(text)
    return text == "true"


def parse_share(text: str) -> float:
    """Return a share from 0 to 1; raise ``ValueError``."""
    share = float(text)
    if not 0 <= share <= 1:
        raise ValueError(text)
    return share


def _share(section: str, key: str, default: str, meaning: str) -> Setting[float]:
    return Setting(
        section,
        key,
        parse_share,
        accepted="a number from 0 to 1",
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
    _tls_file("certificate", "Certificate chain of this instance, PEM."),
    _tls_file("key", "Private key of this instance, PEM."),
    _tls_file("authority", "Certificate of the authority that signs all instances, PEM."),
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
    _count("retries", "window_s", 1, 3_600, 10, "Length of the window for that share."),
    _count("retries", "allowance", 0, 100_000, 0, "Further attempts on top, fleet-wide."),
    *_BALANCER,
    _count("measuring", "interval_ms", 0, 60_000, 0, "Time between checks of one upstream."),
    _tls_file("certificate", "Certificate chain of this instance, PEM."),
    _tls_file("key", "Private key of this instance, PEM."),
    _tls_file("authority", "Certificate of the authority that signs all instances, PEM."),
    Setting(
        "tls",
        "plain",
        parse_flag,
        accepted="true or false",
        meaning="Whether nodes talk without TLS, on a network that keeps others out.",
        default="false",
    ),
)


class Settings:
    """Values by section and key, as read by the settings of one role."""

    __slots__ = ("_by_key",)

    def __init__(self, by_key: dict[tuple[str, str], Any]) -> None:
        self._by_key = by_key

    @classmethod
    def from_file(cls, path: Path, known: Sequence[Setting[Any]]) -> Settings:
        """Return the settings in an INI file.

        Raises ``InvalidSettingsError`` with every setting that is missing, unknown or wrong.
        """
        parser = configparser.ConfigParser(interpolation=None, strict=True)
        try:
            text = path.read_text(encoding="utf-8")
            parser.read_string(text)
        except (OSError, UnicodeDecodeError, configparser.Error) as error:
            problem = SettingError("", str(path), None, f"not a readable INI file ({error})")
            raise InvalidSettingsError("settings refused", [problem]) from error
        return cls.from_config(parser, known)

    @classmethod
    def from_config(
        cls, parser: configparser.ConfigParser, known: Sequence[Setting[Any]]
    ) -> Settings:
        """Return the settings in ``parser``; raise ``InvalidSettingsError``."""
        problems: list[SettingError] = []
        by_key: dict[tuple[str, str], Any] = {}
        for setting in known:
            value = parser.get(setting.section, setting.key, fallback=setting.default)
            if value is None:
                problems.append(SettingError(setting.section, setting.key, None, setting.accepted))
                continue
            try:
                by_key[setting.section, setting.key] = setting.parse(value.strip())
            except (ValueError, OSError):
                problems.append(SettingError(setting.section, setting.key, value, setting.accepted))
        problems.extend(_find_unknown(parser, known))
        if problems:
            raise InvalidSettingsError("settings refused", problems)
        return cls(by_key)

    def list_changed(self, before: Settings) -> list[str]:
        """Return the settings that differ from ``before``, as ``section.key``."""
        return [
            f"{section}.{key}"
            for (section, key), value in self._by_key.items()
            if str(before._by_key.get((section, key))) != str(value)
        ]

    def get(self, section: str, key: str) -> Any:
        """Return the value of a setting of this role."""
        return self._by_key[section, key]


def _find_unknown(
    parser: configparser.ConfigParser, known: Sequence[Setting[Any]]
) -> list[SettingError]:
    names = {(setting.section, setting.key) for setting in known}
    return [
        SettingError(section, key, parser.get(section, key), "unknown; remove it")
        for section in parser.sections()
        for key in parser.options(section)
        if (section, key) not in names
    ]
