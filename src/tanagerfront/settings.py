"""Settings of one process, read from an INI file and validated before any socket opens."""

from __future__ import annotations

import configparser
import difflib
import uuid
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, Literal, NamedTuple

from ._settings_options import SECTIONS, Option
from .errors import SettingsError
from .http_client import Address

__all__ = [
    "AdminSettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "PlatformSettings",
    "Settings",
    "TimingSettings",
    "VmSettings",
    "load_settings",
]


class VmSettings(NamedTuple):
    """Identity of the VM; `incarnation` differs for each start of the process."""

    id: str
    failure_domain: str
    incarnation: str


class ListenSettings(NamedTuple):
    """Addresses the process listens on."""

    callers: Address
    admin: Address
    peers: Address


class PlatformSettings(NamedTuple):
    """Addresses of the platform services; timeouts are per call, in seconds."""

    key_value: tuple[Address, ...]
    vm_list: Address
    key_value_timeout: float
    vm_list_timeout: float


class LogSettings(NamedTuple):
    """Output format and minimum level of the log."""

    format: Literal["json", "console"]
    level: str


class TimingSettings(NamedTuple):
    """Durations in seconds; the key-value service accepts leases in whole seconds only."""

    heartbeat: float
    lease: int
    suspicion: float
    outage_grace: float
    drain_delay: float
    drain_limit: float


class LimitSettings(NamedTuple):
    """Limits for callers; sizes in bytes, times in seconds."""

    max_head_bytes: int
    max_body_bytes: int
    default_timeout: float
    max_timeout: float
    max_connections: int
    transaction_limit: float
    transaction_idle: float


class AdminSettings(NamedTuple):
    """SHA-256 digest in hex of the key that may create the first sections, if any."""

    bootstrap_key: str | None


class Settings(NamedTuple):
    """All settings of one process."""

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    log: LogSettings
    timing: TimingSettings
    limits: LimitSettings
    admin: AdminSettings


def load_settings(path: str | Path) -> Settings:
    """Return the settings in the file; raises a SettingsError that lists all faults."""
    source = Path(path)
    parser = _read(source)
    faults = list(_unknown_names(parser))
    values = {name: _section_values(parser, name, faults) for name in SECTIONS}
    if not faults:
        faults += _cross_option_faults(values)
    if faults:
        raise SettingsError("\n".join(f"{source}: {fault}" for fault in faults))
    return _build(values)


def _read(source: Path) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    try:
        with source.open(encoding="utf-8") as file:
            parser.read_file(file, source=str(source))
    except OSError as error:
        raise SettingsError(f"{source}: cannot be read: {error.strerror}") from error
    except (configparser.Error, UnicodeDecodeError) as error:
        message = " ".join(str(error).split())
        raise SettingsError(f"{source}: not an INI file: {message}") from error
    return parser


def _unknown_names(parser: configparser.ConfigParser) -> Iterator[str]:
    for section in parser.sections():
        if section not in SECTIONS:
            yield f"[{section}]: unknown section{_suggestion(section, SECTIONS)}"
            continue
        for option in parser.options(section):
            if option not in SECTIONS[section]:
                hint = _suggestion(option, SECTIONS[section])
                yield f"[{section}] {option}: unknown option{hint}"
    if parser.defaults():
        yield "[DEFAULT]: unknown section"


def _suggestion(name: str, known: Iterable[str]) -> str:
    nearest = difflib.get_close_matches(name, list(known), n=1, cutoff=0.5)
    return f", did you mean {nearest[0]}?" if nearest else f"; known: {', '.join(known)}"


def _section_values(
    parser: configparser.ConfigParser, section: str, faults: list[str]
) -> dict[str, Any]:
    texts = parser[section] if parser.has_section(section) else {}
    values: dict[str, Any] = {}
    for name, option in SECTIONS[section].items():
        try:
            values[name] = _option_value(texts.get(name), option)
        except ValueError as error:
            faults.append(f"[{section}] {name}: {error}; allowed: {option.allowed}")
    return values


def _option_value(text: str | None, option: Option) -> Any:
    if text is None:
        if option.required:
            raise ValueError("missing")
        return option.default
    try:
        return option.parse(text)
    except ValueError as error:
        raise ValueError(f"found {text!r}") from error


def _cross_option_faults(values: Mapping[str, Mapping[str, Any]]) -> Iterator[str]:
    """Yield faults in the relations between options."""
    limits, timing = values["limits"], values["timing"]
    if limits["default_timeout"] > limits["max_timeout"]:
        found = f"found {limits['default_timeout']:g}"
        yield f"[limits] default_timeout: {found}; allowed: up to max_timeout"
    # Several renewals per lease: a single lost heartbeat must not lose a role lock.
    if timing["lease"] < 3 * timing["heartbeat"]:
        yield f"[timing] lease: found {timing['lease']}; allowed: at least 3 times heartbeat"
    used_by: dict[Address, str] = {}
    for name, address in values["listen"].items():
        if address in used_by and address.port:
            yield (
                f"[listen] {name}: found {address}; "
                f"allowed: an address that {used_by[address]} does not use"
            )
        used_by[address] = name


def _build(values: Mapping[str, Mapping[str, Any]]) -> Settings:
    return Settings(
        vm=VmSettings(**values["vm"], incarnation=uuid.uuid4().hex),
        listen=ListenSettings(**values["listen"]),
        platform=PlatformSettings(**values["platform"]),
        log=LogSettings(**values["log"]),
        timing=TimingSettings(**values["timing"]),
        limits=LimitSettings(**values["limits"]),
        admin=AdminSettings(**values["admin"]),
    )
