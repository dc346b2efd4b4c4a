"""Settings of a process, read from an INI file and validated as a whole."""

from __future__ import annotations

import configparser
import ipaddress
import math
import os
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

TOKEN_MIN_LENGTH = 16
_IDENTIFIER = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")


class SettingError(ColtsfootrillError):
    """A setting that is missing, unknown or not accepted.

    ``value`` is ``None`` for a missing setting; ``remedy`` says what is accepted or what to do. An
    error about the whole file has an empty ``section`` and the path as its ``key``.
    """

    def __init__(self, section: str, key: str, value: str | None, remedy: str) -> None:
        shown_value = "missing" if value is None else f"{value!r}"
        setting = f"[{section}] {key} = {shown_value}" if section else key
        super().__init__(f"{setting}: {remedy}")
        self.section = section
        self.key = key
        self.value = value
        self.remedy = remedy


class InvalidSettingsError(ExceptionGroup[SettingError], ColtsfootrillError):
    """A settings file was refused; the group holds one error for each problem."""


class Address:
    """An IP address and a port."""

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"

    @property
    def is_loopback(self) -> bool:
        """Return whether the address is only reachable from the same host."""
        return ipaddress.ip_address(self.host).is_loopback


class Setting(Generic[T]):
    """A key of a section: its parser, the values that it accepts, and its meaning.

    ``accepted`` is shown in errors; ``meaning`` in the reference of settings. A setting whose
    ``default`` is ``None`` is required. ``variable`` is an environment variable that takes
    precedence over the default. ``parse`` raises ``ValueError`` or ``OSError`` for a value that is
    not accepted.
    """

    __slots__ = ("accepted", "default", "key", "meaning", "parse", "section", "variable")

    def __init__(
        self,
        section: str,
        key: str,
        parse: Callable[[str], T],
        *,
        accepted: str,
        meaning: str,
        default: str | None = None,
        variable: str = "",
    ) -> None:
        self.variable = variable
        self.section = section
        self.key = key
        self.parse = parse
        self.accepted = accepted
        self.meaning = meaning
        self.default = default


def parse_identifier(text: str) -> str:
    """Return ``text`` if it is an identifier; raise ``ValueError`` otherwise."""
    if not _IDENTIFIER.fullmatch(text):
        raise ValueError(text)
    return text


def parse_address(text: str) -> Address:
    """Return the address in ``ip:port``; raise ``ValueError`` if it is not valid."""
    host, _, port_text = text.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    port = int(port_text)
    if not 0 < port <= PORT_MAX:
        raise ValueError(text)
    return Address(host, port)


def parse_optional_address(text: str) -> Address | None:
    """Return the address in ``ip:port``, or ``None`` if empty; raise ``ValueError`` if invalid."""
    return parse_address(text) if text else None


def parse_addresses(text: str) -> list[str]:
    """Return the addresses in a comma-separated list; raise ``ValueError`` if one is not valid."""
    return [str(parse_address(part.strip())) for part in text.split(",") if part.strip()]


def parse_initial_replicas(text: str) -> dict[str, str]:
    """Return the addresses of 1, 3 or 5 replicas by identifier.

    Raise ``ValueError`` for any other number, and as ``parse_replica_addresses`` does.
    """
    by_id = parse_replica_addresses(text)
    if len(by_id) not in (1, 3, 5):
        raise ValueError(text)
    return by_id


def parse_replica_addresses(text: str) -> dict[str, str]:
    """Return addresses by identifier from ``id=ip:port, ...``; an empty text has none.

    Raise ``ValueError`` if an entry is not valid, or an identifier or address occurs twice.
    """
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
    """Return the token in the file named by ``text``.

    Raise ``OSError`` if the file cannot be read and ``ValueError`` if the token is too short.
    """
    token = Path(text).read_text(encoding="utf-8").strip()
    if len(token) < TOKEN_MIN_LENGTH:
        raise ValueError(f"the file must hold at least {TOKEN_MIN_LENGTH} characters")
    return token


def parse_optional_folder(text: str) -> Path | None:
    """Return the path of a folder, which need not exist, or ``None`` if empty."""
    return Path(text) if text else None


def parse_optional_file(text: str) -> Path | None:
    """Return the path of a file, or ``None`` if empty; raise ``ValueError`` if there is no file."""
    if text and not Path(text).is_file():
        raise ValueError(text)
    return Path(text) if text else None


def make_integer_parser(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of integers from ``low`` to ``high``, which raises ``ValueError``."""

    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def parse_non_negative(text: str) -> float:
    """Return a finite number of at least 0; raise ``ValueError`` for any other text."""
    number = float(text)
    if not 0 <= number < math.inf:
        raise ValueError(text)
    return number


def parse_positive(text: str) -> float:
    """Return a finite number above 0; raise ``ValueError`` for any other text."""
    number = parse_non_negative(text)
    if number == 0:
        raise ValueError(text)
    return number


def parse_boolean(text: str) -> bool:
    """Return the value of ``true`` or ``false``; raise ``ValueError`` for any other text."""
    if text not in ("true", "false"):
        raise ValueError(text)
    return text == "true"


def parse_fraction(text: str) -> float:
    """Return a number from 0 to 1; raise ``ValueError`` for any other text."""
    fraction = float(text)
    if not 0 <= fraction <= 1:
        raise ValueError(text)
    return fraction


class Settings:
    """The parsed values of the settings of one role, by section and key."""

    __slots__ = ("_by_key",)

    def __init__(self, by_key: dict[tuple[str, str], Any]) -> None:
        self._by_key = by_key

    @classmethod
    def from_file(cls, path: Path, known: Sequence[Setting[Any]]) -> Settings:
        """Return the settings in an INI file.

        Raise ``InvalidSettingsError`` with every setting that is missing, unknown or not accepted,
        or if the file cannot be read.
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
        """Return the settings in ``parser``.

        Raise ``InvalidSettingsError`` with every setting that is missing, unknown or not accepted.
        """
        problems: list[SettingError] = []
        by_key: dict[tuple[str, str], Any] = {}
        for setting in known:
            value = parser.get(setting.section, setting.key, fallback=None)
            if not (value or "").strip() and setting.default is not None:
                # Files made from a template contain empty values where the value is not known.
                value = os.environ.get(setting.variable) or setting.default
            try:
                by_key[setting.section, setting.key] = _parse_value(setting, value)
            except SettingError as error:
                problems.append(error)
        problems.extend(_find_unknown(parser, known))
        if problems:
            raise InvalidSettingsError("settings refused", problems)
        return cls(by_key)

    def list_changed(self, previous: Settings) -> list[str]:
        """Return the settings whose values differ from ``previous``, as ``section.key``."""
        return [
            f"{section}.{key}"
            for (section, key), value in self._by_key.items()
            if str(previous._by_key.get((section, key))) != str(value)
        ]

    def get(self, section: str, key: str) -> Any:
        """Return the parsed value of a setting; raise ``KeyError`` if the role does not have it."""
        return self._by_key[section, key]


def _parse_value(setting: Setting[T], value: str | None) -> T:
    """Return the parsed value; raise ``SettingError`` if it is missing or not accepted."""
    try:
        if value is None:
            raise ValueError("missing")
        return setting.parse(value.strip())
    except (ValueError, OSError) as error:
        remedy = f"expected {setting.accepted}"
        raise SettingError(setting.section, setting.key, value, remedy) from error


def _find_unknown(
    parser: configparser.ConfigParser, known: Sequence[Setting[Any]]
) -> list[SettingError]:
    known_keys = {(setting.section, setting.key) for setting in known}
    return [
        SettingError(section, key, parser.get(section, key), "unknown setting; remove it")
        for section in parser.sections()
        for key in parser.options(section)
        if (section, key) not in known_keys
    ]
