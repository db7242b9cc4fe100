"""Value objects of the configuration document."""

from __future__ import annotations

import enum
from typing import Literal, NamedTuple

from .http_client import Address

__all__ = [
    "Acknowledge",
    "Group",
    "Instance",
    "KeyDigest",
    "Mode",
    "Organisation",
    "RequestClass",
    "Route",
    "Section",
    "Team",
]

Mode = Literal["read", "write"]


class Acknowledge(enum.Enum):
    """When a write may be acknowledged."""

    REPLICATED = "replicated"
    MAJORITY_TERM = "majority-term"


class RequestClass(enum.IntEnum):
    """Priority classes of requests, the most urgent first."""

    ORDERS = 0
    STANDARD = 1
    BROWSING = 2


class KeyDigest(NamedTuple):
    """SHA-256 digest of a key in hex; `until` is its expiry as POSIX time in seconds, or None."""

    sha256: str
    until: float | None = None


class Organisation(NamedTuple):
    """A tenant; `rate` is in statements per second over the whole fleet."""

    name: str
    keys: tuple[KeyDigest, ...]
    rate: float
    burst: float
    weight: float
    groups: frozenset[str]


class Instance(NamedTuple):
    """One database instance of a group; `leaving` marks it for removal."""

    name: str
    failure_domain: str
    address: Address
    leaving: bool = False


class Group(NamedTuple):
    """A group of replicated databases; `connections` is per instance over the whole fleet."""

    name: str
    instances: tuple[Instance, ...]
    connections: int
    slots: int
    acknowledge: Acknowledge = Acknowledge.REPLICATED
    homes: int = 3


class Route(NamedTuple):
    """A named list of SQL statements with named parameters."""

    name: str
    group: str
    mode: Mode
    request_class: RequestClass
    repeatable: bool
    open_to_all: bool
    statements: tuple[str, ...]


class Team(NamedTuple):
    """A team that owns one section; `owners` are digests of its administration keys."""

    name: str
    owners: tuple[KeyDigest, ...]


class Section(NamedTuple):
    """The parsed section of one team."""

    team: Team
    organisations: tuple[Organisation, ...]
    groups: tuple[Group, ...]
    routes: tuple[Route, ...]
