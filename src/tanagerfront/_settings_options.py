"""Sections and options of the settings file, with parsers and allowed values."""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from .http_client import Address, parse_address

__all__ = ["SECTIONS", "Option"]

MAX_DURATION_S = 3600.0
MAX_HTTP_BYTES = 64 * 1024 * 1024
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_DIGEST_PATTERN = re.compile(r"sha256:([0-9a-f]{64})")


class Option(NamedTuple):
    """One option; `parse` raises ValueError for a value that is not allowed."""

    parse: Callable[[str], Any]
    allowed: str
    required: bool = True
    default: Any = None


def _name(text: str) -> str:
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def _address(text: str) -> Address:
    address = parse_address(text)
    ipaddress.ip_address(address.host)
    return address


def _remote_address(text: str) -> Address:
    address = _address(text)
    if not address.port:
        raise ValueError(text)
    return address


def _addresses(text: str) -> tuple[Address, ...]:
    addresses = tuple(_remote_address(part) for part in text.split(","))
    if len(set(addresses)) != len(addresses):
        raise ValueError(text)
    return addresses


def _digest(text: str) -> str:
    match = _DIGEST_PATTERN.fullmatch(text)
    if not match:
        raise ValueError(text)
    return match[1]


def _choice(*allowed: str, default: str) -> Option:
    def parse(text: str) -> str:
        if text not in allowed:
            raise ValueError(text)
        return text

    return Option(parse, " or ".join(allowed), required=False, default=default)


def _seconds(default: float, minimum: float, maximum: float = MAX_DURATION_S) -> Option:
    def parse(text: str) -> float:
        value = float(text)
        if not (math.isfinite(value) and minimum <= value <= maximum):
            raise ValueError(text)
        return value

    return Option(
        parse, f"seconds from {minimum:g} to {maximum:g}", required=False, default=default
    )


def _integer(default: int, minimum: int, maximum: int, unit: str) -> Option:
    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    allowed = f"whole {unit} from {minimum} to {maximum}"
    return Option(parse, allowed, required=False, default=default)


_NAME_OPTION = Option(_name, "1 to 63 letters, digits, dots, underscores and hyphens")
_LISTEN_OPTION = Option(_address, "HOST:PORT with an IP address")
_REMOTE_OPTION = Option(_remote_address, "HOST:PORT with an IP address and a port above 0")

SECTIONS: Mapping[str, Mapping[str, Option]] = {
    "vm": {"id": _NAME_OPTION, "failure_domain": _NAME_OPTION},
    "listen": {"callers": _LISTEN_OPTION, "admin": _LISTEN_OPTION, "peers": _LISTEN_OPTION},
    "platform": {
        "key_value": Option(_addresses, "different HOST:PORT, separated by commas"),
        "vm_list": _REMOTE_OPTION,
        "key_value_timeout": _seconds(1.0, 0.01, 60),
        "vm_list_timeout": _seconds(1.0, 0.01, 60),
    },
    "log": {
        "format": _choice("json", "console", default="json"),
        "level": _choice("debug", "info", "warning", "error", default="info"),
    },
    "timing": {
        "heartbeat": _seconds(0.5, 0.05, 60),
        "lease": _integer(10, 4, 600, "seconds"),
        "suspicion": _seconds(0.6, 0.05, 60),
        "outage_grace": _seconds(7.0, 7.0, 600),
        "drain_delay": _seconds(3.0, 0),
        "drain_limit": _seconds(30.0, 0),
    },
    "limits": {
        "max_head_bytes": _integer(16 * 1024, 1024, MAX_HTTP_BYTES, "bytes"),
        "max_body_bytes": _integer(1024 * 1024, 1024, MAX_HTTP_BYTES, "bytes"),
        "default_timeout": _seconds(10.0, 0.001),
        "max_timeout": _seconds(60.0, 0.001),
        "max_connections": _integer(20_000, 1, 1_000_000, "connections"),
        "transaction_limit": _seconds(30.0, 0.1),
        "transaction_idle": _seconds(5.0, 0.1),
    },
    "admin": {"bootstrap_key": Option(_digest, "sha256: and 64 hex digits", required=False)},
}
