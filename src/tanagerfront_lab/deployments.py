"""Sizes of the two test deployments and their configuration documents."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

__all__ = [
    "DEPLOYMENTS",
    "SCHEMA_SQL",
    "Deployment",
    "OrganisationLimits",
    "TEAM",
    "caller_key",
    "digest",
    "document",
    "owner_key",
]

SCHEMA_SQL = (
    "CREATE TABLE records (id INTEGER PRIMARY KEY, ref TEXT, session TEXT, seq INTEGER);"
    "CREATE INDEX records_session ON records (session);"
    "CREATE INDEX records_ref ON records (ref)"
)
TEAM = "operations"


class OrganisationLimits(NamedTuple):
    """Rate limit of an organisation; `rate` in statements per second, `burst` in statements."""

    name: str
    rate: float
    burst: float
    weight: float


class Deployment(NamedTuple):
    """Sizes of a deployment; `domain_latency_ms` is one way between failure domains."""

    name: str
    failure_domains: tuple[str, ...]
    domain_latency_ms: float
    groups: tuple[str, ...]
    instances: int
    slots: int
    connections: int
    open_delay_ms: float
    vms: int
    organisations: tuple[OrganisationLimits, ...]

    def instance_domain(self, group_index: int, instance_index: int) -> str:
        """Return the failure domain of an instance; first instances are spread over the domains."""
        return self.failure_domains[(group_index + instance_index) % len(self.failure_domains)]

    def vm_domain(self, index: int) -> str:
        """Return the failure domain of a VM; VMs are assigned round robin."""
        return self.failure_domains[index % len(self.failure_domains)]


KUMASI = Deployment(
    name="kumasi",
    failure_domains=("suame", "adum", "ayeduase", "ahinsan"),
    domain_latency_ms=1.5,
    groups=("orders-1", "orders-2", "orders-3"),
    instances=3,
    slots=2,
    connections=16,
    open_delay_ms=12,
    vms=7,
    organisations=(
        OrganisationLimits("foremen", 200, 400, 4),
        OrganisationLimits("carvers", 150, 300, 3),
        OrganisationLimits("stock", 100, 200, 2),
        OrganisationLimits("agents-1", 60, 120, 1),
        OrganisationLimits("agents-2", 60, 120, 1),
        OrganisationLimits("agents-3", 40, 80, 1),
        OrganisationLimits("agents-4", 40, 80, 1),
        OrganisationLimits("agents-5", 40, 80, 1),
    ),
)
FROST = Deployment(
    name="frost",
    failure_domains=("dhulikhel", "nagarkot", "panauti", "kakani"),
    domain_latency_ms=0.5,
    groups=("harvest-1", "harvest-2", "harvest-3"),
    instances=3,
    slots=3,
    connections=36,
    open_delay_ms=12,
    vms=7,
    organisations=(
        OrganisationLimits("growers-1", 200, 400, 4),
        OrganisationLimits("growers-2", 150, 300, 3),
        OrganisationLimits("crews-1", 100, 200, 2),
        OrganisationLimits("crews-2", 60, 120, 1),
        OrganisationLimits("crews-3", 60, 120, 1),
        OrganisationLimits("inspectors-1", 40, 80, 1),
        OrganisationLimits("inspectors-2", 40, 80, 1),
        OrganisationLimits("inspectors-3", 40, 80, 1),
    ),
)
DEPLOYMENTS: Mapping[str, Deployment] = {item.name: item for item in (KUMASI, FROST)}


def caller_key(organisation: str) -> str:
    """Return the caller key of an organisation."""
    return f"caller-key-of-{organisation}"


def owner_key() -> str:
    """Return the administration key of the team that owns the configuration section."""
    return "owner-key-of-operations"


def digest(key: str) -> str:
    """Return the digest of a key in the form used in the configuration document."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def _organisations(deployment: Deployment) -> Iterator[str]:
    for organisation in deployment.organisations:
        yield f"[organisation {organisation.name}]"
        yield f"keys = {digest(caller_key(organisation.name))}"
        yield f"rate = {organisation.rate:g}"
        yield f"burst = {organisation.burst:g}"
        yield f"weight = {organisation.weight:g}"
        yield f"groups = {', '.join(deployment.groups)}"
        yield ""


def _groups(
    deployment: Deployment, instances: Mapping[str, Sequence[str]], acknowledge: str, homes: int
) -> Iterator[str]:
    for group in deployment.groups:
        yield f"[group {group}]"
        yield f"instances = {', '.join(instances[group])}"
        yield f"connections = {deployment.connections}"
        yield f"slots = {deployment.slots}"
        yield f"acknowledge = {acknowledge}"
        yield f"homes = {homes}"
        yield ""


def _routes(deployment: Deployment) -> Iterator[str]:
    for group in deployment.groups:
        yield from (
            f"[route {group}-add]",
            f"group = {group}",
            "mode = write",
            "class = orders",
            "repeatable = no",
            "open = no",
            "statement.1 = INSERT INTO records (ref, session, seq) VALUES (:ref, :session, :seq)",
            "",
            f"[route {group}-list]",
            f"group = {group}",
            "mode = read",
            "class = browsing",
            "repeatable = yes",
            "open = no",
            "statement.1 = SELECT seq FROM records WHERE session = :session ORDER BY seq",
            "",
        )


def document(
    deployment: Deployment,
    instances: Mapping[str, Sequence[str]],
    *,
    acknowledge: str = "replicated",
    homes: int = 3,
) -> str:
    """Return the configuration section of a deployment; `instances` are DOMAIN@HOST:PORT."""
    lines = [f"[team {TEAM}]", f"owners = {digest(owner_key())}", ""]
    lines += _organisations(deployment)
    lines += _groups(deployment, instances, acknowledge, homes)
    lines += _routes(deployment)
    return "\n".join(lines)
