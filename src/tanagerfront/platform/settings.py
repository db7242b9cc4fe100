"""Settings file of the platform, decoded into names of the session interface."""

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
# Callers of such a deployment compete for an instance's slots by priority and deadline.
URGENCY_CONTRACT = "pressure"


class FrontSettings(NamedTuple):
    """Identity, addresses and limits of one VM; times in seconds."""

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
    urgency_order: bool
    evacuation_s: float | None
    cold_overage: float
    cold_slack: float


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Limits(msgspec.Struct):
    # Processor time as a share of one core, and the speed of that core relative to a standard one.
    cpu_share: float = 1.0
    cpu_cores: float = 1.0


class _Bounds(msgspec.Struct):
    drain_ms: float = 7000.0
    grace_s: float = 6.0
    revoke_ms: float = 5000.0
    evacuate_ms: float | None = None
    cold_overage: float = 1.0
    cold_slack: float = 0.0


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
    # Optional parts of the platform that the deployment uses.
    contracts: list[str] = []


def settings_path(environment: Mapping[str, str] = os.environ) -> Path:
    """Return the path in the environment variable SETTINGS_VARIABLE; raises SettingsError."""
    value = environment.get(SETTINGS_VARIABLE)
    if not value:
        raise SettingsError(f"environment variable {SETTINGS_VARIABLE} is not set")
    return Path(value)


def load_settings(path: Path) -> FrontSettings:
    """Return the validated settings; raises SettingsError that names the file and the fault."""
    try:
        document: Any = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        return _to_front_settings(msgspec.convert(document, _File, strict=False))
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _to_front_settings(file: _File) -> FrontSettings:
    if len(file.internal_ports) != 2:
        raise ValueError("internal_ports must hold two ports, the first and the last")
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
        urgency_order=URGENCY_CONTRACT in file.contracts,
        evacuation_s=(None if file.bounds.evacuate_ms is None else file.bounds.evacuate_ms / 1000),
        cold_overage=file.bounds.cold_overage,
        cold_slack=file.bounds.cold_slack,
    )
