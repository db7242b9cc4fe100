"""Settings file of the platform, decoded into the project's names."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ..errors import SettingsError
from ..http_client import Address, parse_address

__all__ = ["SETTINGS_VARIABLE", "FrontSettings", "load_settings", "settings_path"]

SETTINGS_VARIABLE = "TANAGERFRONT_BOOT"


class FrontSettings(NamedTuple):
    """Identity, addresses and bounds of one VM; times in seconds."""

    vm: str
    failure_domain: str
    ip: str
    caller_address: Address
    probe_address: Address
    first_peer_port: int
    store_address: Address
    control_address: Address | None
    drain_s: float
    grace_s: float
    cores: float
    key_revocation_s: float


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Limits(msgspec.Struct):
    # Share of a core, and how much faster than one core it runs.
    cpu_share: float = 1.0
    cpu_cores: float = 1.0


class _Bounds(msgspec.Struct):
    drain_ms: float = 7000.0
    grace_s: float = 6.0
    revoke_ms: float = 5000.0


class _Store(msgspec.Struct):
    address: str


class _Cloud(msgspec.Struct):
    address: str = ""


class _File(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    internal_ports: list[int]
    listen: _Listen
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    cloud: _Cloud = msgspec.field(default_factory=_Cloud)


def settings_path(environment: Mapping[str, str] = os.environ) -> Path:
    """Return the path that the platform gives; raises SettingsError."""
    found = environment.get(SETTINGS_VARIABLE)
    if not found:
        raise SettingsError(f"environment variable {SETTINGS_VARIABLE} is not set")
    return Path(found)


def load_settings(path: Path) -> FrontSettings:
    """Return the checked settings; raises SettingsError that names the fault."""
    try:
        document: Any = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        return _translate(msgspec.convert(document, _File, strict=False))
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _translate(file: _File) -> FrontSettings:
    if len(file.internal_ports) != 2:
        raise ValueError("internal_ports needs a first and a last port")
    return FrontSettings(
        vm=file.node_name,
        failure_domain=file.zone,
        ip=file.ip,
        caller_address=parse_address(file.listen.front),
        probe_address=parse_address(file.listen.ready),
        first_peer_port=file.internal_ports[0],
        store_address=parse_address(file.platform.address),
        control_address=parse_address(file.cloud.address) if file.cloud.address else None,
        drain_s=file.bounds.drain_ms / 1000,
        grace_s=file.bounds.grace_s,
        cores=file.limits.cpu_share * file.limits.cpu_cores,
        key_revocation_s=file.bounds.revoke_ms / 1000,
    )
