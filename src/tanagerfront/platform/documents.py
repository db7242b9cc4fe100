"""Documents in the platform's store, converted to and from the types of the session interface."""

from __future__ import annotations

import ipaddress
from typing import Annotated, TypeVar

import msgspec

from ..decoding import DECODING_ERRORS
from ..errors import ConfigurationError
from ..http_client import Address, parse_address
from ..instance_directory import PrimaryRecord
from ..session_model import (
    FrontConfiguration,
    GroupOptions,
    InstanceRegistration,
    InstanceRole,
    Organisation,
    Route,
    RouteKind,
)

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "INSTANCE_ROLES",
    "ORDER_PREFIX",
    "INSTANCE_PREFIX",
    "PRIMARY_PREFIX",
    "OWN_PREFIX",
    "PROMOTER_KEY",
    "SETTLED_ERA_KEY",
    "VM_PREFIX",
    "OrderRecord",
    "PromoterRecord",
    "SettledEraRecord",
    "VmRecord",
    "decode_configuration",
    "decode_evacuation",
    "decode_address",
    "decode_instance",
    "decode_order",
    "decode_primary_record",
    "decode_promoter",
    "decode_settled_era",
    "decode_vm",
    "encode_primary_record",
    "encode_record",
]

# Keys outside OWN_PREFIX are written by the platform and its operators.
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
INSTANCE_PREFIX = "servers/"
OWN_PREFIX = "tanagerfront/"
VM_PREFIX = OWN_PREFIX + "vms/"
# Primary records; stored keys contain "leaders/" and cannot be renamed.
PRIMARY_PREFIX = OWN_PREFIX + "leaders/"
# Instances whose promotion was ordered, by group.
ORDER_PREFIX = OWN_PREFIX + "orders/"
PROMOTER_KEY = OWN_PREFIX + "promoter"
SETTLED_ERA_KEY = OWN_PREFIX + "era"

MAX_COUNT = 2**53
MAX_SLOTS = 65_536
MAX_SHOWN_CHARS = 40
# A longer time until an instance is warm can only be a mistake.
MAX_COLD_S = 86_400.0
DEFAULT_STATEMENT_TIMEOUT_MS = 1000.0
DEFAULT_TARGET_LATENCY_MS = 500.0
DEFAULT_PRIORITY = 2

_ROUTE_KINDS = {
    "primary": RouteKind.PRIMARY,
    "bounded": RouteKind.BOUNDED,
    "read_your_writes": RouteKind.READ_YOUR_WRITES,
}
INSTANCE_ROLES = {"primary": InstanceRole.PRIMARY, "replica": InstanceRole.REPLICA}
_DRAINING_BY_STATE = {"ready": False, "draining": True}

_T = TypeVar("_T")


class _Route(msgspec.Struct):
    # Callers name the database; `service` is the platform's word for a group of instances.
    name: str
    database: str
    service: str
    type: str
    timeout_ms: float = DEFAULT_STATEMENT_TIMEOUT_MS
    target_latency_ms: float = DEFAULT_TARGET_LATENCY_MS
    priority: int = DEFAULT_PRIORITY
    max_staleness_ms: float | None = None
    allow_anonymous: bool = False


class _Service(msgspec.Struct):
    # A group of instances. `max_connections` limits the connections of all VMs to one instance.
    name: str
    max_connections: int = 16
    sync_replicas: int = 0
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0


class _Tenant(msgspec.Struct):
    # The platform's word for an organisation.
    name: str
    api_keys: list[str] = []
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Limits(msgspec.Struct):
    tx_idle_ms: float = 3000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


# Milliseconds and counts; larger ones could not be converted to other types.
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _Instance(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    db_role: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 1
    born: _Count = 0
    sequence: _Count = 0
    # Not a reason to leave out the instance if it is malformed.
    cold_remaining_ms: msgspec.Raw = msgspec.Raw(b"0")


class VmRecord(msgspec.Struct):
    """A VM's registration; peer VMs connect to it at `address`."""

    vm: str
    address: str
    failure_domain: str
    incarnation: str
    cores: float = 1.0
    # Version of the relay protocol that the VM accepts; builds before the second write none.
    relay_version: int = 1


class PromoterRecord(msgspec.Struct):
    """The holder of the promoter lock; the record's revision is the fencing token."""

    vm: str
    incarnation: str


class OrderRecord(msgspec.Struct):
    """An instance whose promotion was ordered in the failover of a term."""

    instance: str
    term: int


class SettledEraRecord(msgspec.Struct):
    """The newest era of the store in which the VMs have written again what it had lost."""

    era: int


class _PrimaryRecord(msgspec.Struct):
    # While `moving` is set the group has no primary.
    group: str
    instance: str
    term: int
    moving: bool


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_instance_decoder = msgspec.json.Decoder(_Instance)
_vm_decoder = msgspec.json.Decoder(VmRecord)
_promoter_decoder = msgspec.json.Decoder(PromoterRecord)
_order_decoder = msgspec.json.Decoder(OrderRecord)
_settled_era_decoder = msgspec.json.Decoder(SettledEraRecord)
_primary_record_decoder = msgspec.json.Decoder(_PrimaryRecord)


def decode_configuration(value: bytes, revision: int) -> FrontConfiguration:
    """Return the operators' configuration; raises ConfigurationError."""
    try:
        document = _configuration_decoder.decode(value)
        routes = {route.database: _route(route) for route in document.routes}
    except (*DECODING_ERRORS, KeyError) as error:
        raise ConfigurationError(
            f"malformed configuration at revision {revision}: {error}"
        ) from error
    return FrontConfiguration(
        version=document.version,
        revision=revision,
        routes=routes,
        groups={
            service.name: GroupOptions(
                service.name,
                service.max_connections,
                service.sync_replicas,
                service.cold_per_s,
                service.cold_start_s,
            )
            for service in document.services
        },
        organisations={
            tenant.name: Organisation(tenant.name, tenant.rate_per_s, tenant.burst)
            for tenant in document.tenants
        },
        organisation_of_key={
            key: tenant.name for tenant in document.tenants for key in tenant.api_keys
        },
        transaction_idle_s=document.limits.tx_idle_ms / 1000,
    )


def _route(route: _Route) -> Route:
    staleness_ms = route.max_staleness_ms
    return Route(
        name=route.name,
        database=route.database,
        group=route.service,
        kind=_ROUTE_KINDS[route.type],
        statement_timeout_s=route.timeout_ms / 1000,
        latency_objective_s=route.target_latency_ms / 1000,
        priority=route.priority,
        max_staleness_s=None if staleness_ms is None else staleness_ms / 1000,
        anonymous=route.allow_anonymous,
    )


def decode_instance(instance_id: str, value: bytes, revision: int) -> InstanceRegistration:
    """Return an instance's registration; raises ConfigurationError if it is malformed."""
    try:
        document = _instance_decoder.decode(value)
        return InstanceRegistration(
            id=_checked_name(instance_id),
            group=_checked_name(document.service),
            address=decode_address(document.address),
            failure_domain=document.zone,
            slots=document.slots,
            draining=_DRAINING_BY_STATE[document.state],
            role=INSTANCE_ROLES[document.db_role],
            born_ms=document.born,
            revision=revision,
            sequence=document.sequence,
            cold_remaining_s=_cold_remaining_s(document.cold_remaining_ms),
        )
    except (*DECODING_ERRORS, KeyError, ValueError) as error:
        raise ConfigurationError(
            f"malformed registration of instance {instance_id!r}: {error}"
        ) from error


def decode_address(text: str) -> Address:
    """Return the address of a process; raises ValueError unless it has an IP address and a port."""
    address = parse_address(text)
    ipaddress.ip_address(address.host)
    if address.port == 0:
        raise ValueError("port 0 can't be connected to")
    return address


def _checked_name(name: str) -> str:
    """Return a name that is one word of the line protocol; raises ValueError."""
    if not name or " " in name or not name.isprintable():
        raise ValueError(f"{name[:MAX_SHOWN_CHARS]!r} is not a name")
    return name


def _cold_remaining_s(value: msgspec.Raw) -> float | None:
    try:
        remaining_s = msgspec.json.decode(value, type=float) / 1000
    except DECODING_ERRORS:
        return None
    return remaining_s if 0.0 <= remaining_s <= MAX_COLD_S else None


def decode_evacuation(failure_domain: str, value: bytes) -> bool:
    """Return whether an order to evacuate a failure domain is readable: an object for a name."""
    try:
        return bool(failure_domain) and isinstance(msgspec.json.decode(value), dict)
    except DECODING_ERRORS:
        return False


def decode_vm(value: bytes) -> VmRecord:
    """Return a VM's registration; raises ConfigurationError."""
    return _decode(_vm_decoder, value)


def decode_promoter(value: bytes) -> PromoterRecord:
    """Return the record of the promoter lock; raises ConfigurationError."""
    return _decode(_promoter_decoder, value)


def decode_order(value: bytes) -> OrderRecord:
    """Return the record of an ordered promotion; raises ConfigurationError."""
    return _decode(_order_decoder, value)


def decode_settled_era(value: bytes) -> int:
    """Return the newest settled era; raises ConfigurationError."""
    return _decode(_settled_era_decoder, value).era


def decode_primary_record(value: bytes, revision: int) -> PrimaryRecord:
    """Return the record of a group's primary; raises ConfigurationError."""
    document = _decode(_primary_record_decoder, value)
    return PrimaryRecord(
        document.group, document.instance, document.term, document.moving, revision
    )


def encode_primary_record(group: str, instance: str, term: int, *, moving: bool) -> bytes:
    """Return the stored value of a group's primary record."""
    return msgspec.json.encode(_PrimaryRecord(group, instance, term, moving))


def encode_record(record: VmRecord | PromoterRecord | OrderRecord | SettledEraRecord) -> bytes:
    """Return the stored value of a record."""
    return msgspec.json.encode(record)


def _decode(decoder: msgspec.json.Decoder[_T], value: bytes) -> _T:
    try:
        return decoder.decode(value)
    except DECODING_ERRORS as error:
        raise ConfigurationError(str(error)) from error
