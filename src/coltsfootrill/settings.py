"""Settings of a process: an INI file, checked whole and turned into typed classes."""

from __future__ import annotations

import configparser
import ipaddress
import math
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


def parse_amount(text: str) -> float:
    """Return a number that is finite and not negative."""
    number = float(text)
    if not 0 <= number < math.inf:
        raise ValueError(text)
    return number


def parse_span(text: str) -> float:
    """Return a number that is finite and above 0."""
    number = parse_amount(text)
    if number == 0:
        raise ValueError(text)
    return number


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
            value = parser.get(setting.section, setting.key, fallback=None)
            if not (value or "").strip() and setting.default is not None:
                # Who writes settings from a template leaves empty what is not known.
                value = setting.default
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
