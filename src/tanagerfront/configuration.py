"""The configuration document: organisations, groups, routes and teams at one version."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple, TypeVar

from ._configuration_impl import check_sections, parse_section
from ._configuration_values import (
    Acknowledge,
    Group,
    Instance,
    KeyDigest,
    Mode,
    Organisation,
    RequestClass,
    Route,
    Section,
    Team,
)

__all__ = [
    "Acknowledge",
    "Configuration",
    "Group",
    "Instance",
    "KeyDigest",
    "Mode",
    "Organisation",
    "RequestClass",
    "Route",
    "Section",
    "Team",
    "parse_section",
]

Named = TypeVar("Named", Organisation, Group, Route, Team)


def _by_name(items: Iterable[Named]) -> Mapping[str, Named]:
    return MappingProxyType({item.name: item for item in items})


def _has_valid_key(keys: Iterable[KeyDigest], key_digest: str, now: float) -> bool:
    return any(key.sha256 == key_digest and (key.until is None or now < key.until) for key in keys)


class Configuration(NamedTuple):
    """The whole configuration document at one manifest version."""

    version: int
    sections: Mapping[str, str]
    organisations: Mapping[str, Organisation]
    groups: Mapping[str, Group]
    routes: Mapping[str, Route]
    teams: Mapping[str, Team]
    # Index for organisation_for_key(); None makes it search all organisations.
    organisation_names_by_key_digest: Mapping[str, str] | None = None

    @classmethod
    def from_sections(cls, version: int, sections: Mapping[str, str]) -> Configuration:
        """Parse and check the sections by team name; raises ConfigurationError."""
        parsed = [parse_section(team, text) for team, text in sections.items()]
        return cls.from_parsed(version, sections, parsed)

    @classmethod
    def from_parsed(
        cls, version: int, sections: Mapping[str, str], parsed: Iterable[Section]
    ) -> Configuration:
        """Check parsed sections against each other; raises ConfigurationError."""
        checked = tuple(parsed)
        check_sections(checked)
        organisations = _flatten(section.organisations for section in checked)
        organisation_names = {
            key.sha256: organisation.name
            for organisation in organisations
            for key in organisation.keys
        }
        return cls(
            version,
            MappingProxyType(dict(sections)),
            _by_name(organisations),
            _by_name(_flatten(section.groups for section in checked)),
            _by_name(_flatten(section.routes for section in checked)),
            _by_name(section.team for section in checked),
            MappingProxyType(organisation_names),
        )

    def organisation_for_key(self, key_digest: str, now: float) -> Organisation | None:
        """Return the organisation whose key is valid at POSIX time `now` in seconds, or None."""
        candidates = (organisation for organisation in self._candidates(key_digest))
        return next(
            (
                organisation
                for organisation in candidates
                if _has_valid_key(organisation.keys, key_digest, now)
            ),
            None,
        )

    def teams_for_key(self, key_digest: str, now: float) -> frozenset[str]:
        """Return the names of the teams whose administration key is valid at POSIX time `now`."""
        teams = self.teams.values()
        return frozenset(
            team.name for team in teams if _has_valid_key(team.owners, key_digest, now)
        )

    def _candidates(self, key_digest: str) -> Iterator[Organisation]:
        if self.organisation_names_by_key_digest is None:
            yield from self.organisations.values()
        elif key_digest in self.organisation_names_by_key_digest:
            yield self.organisations[self.organisation_names_by_key_digest[key_digest]]


def _flatten(parts: Iterable[tuple[Named, ...]]) -> tuple[Named, ...]:
    return tuple(itertools.chain.from_iterable(parts))
