"""Parse the sections of the configuration document and check them against each other."""

from __future__ import annotations

import configparser
import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple, TypeVar

from ._configuration_options import Options
from ._configuration_values import (
    Acknowledge,
    Group,
    Mode,
    Organisation,
    RequestClass,
    Route,
    Section,
    Team,
)
from ._statement_check import check_statements
from .errors import ConfigurationError

__all__ = ["MAX_SECTION_BYTES", "check_sections", "parse_section"]

# Largest value that the key-value service stores.
MAX_SECTION_BYTES = 1024 * 1024
MAX_HOMES = 63
# A home needs one connection each for health probes, promotions and statements.
MIN_CONNECTIONS_PER_HOME = 3
MAX_WEIGHT = 1000.0
MAX_RATE = 1e9
MAX_CONNECTIONS = 10_000

T = TypeVar("T")


def parse_section(team: str, text: str) -> Section:
    """Parse and check the section of one team; raises ConfigurationError."""
    size = len(text.encode())
    if size > MAX_SECTION_BYTES:
        message = f"section {team}: {size} bytes found, at most {MAX_SECTION_BYTES} are allowed"
        raise ConfigurationError(message)
    parts = [Options(team, header, options) for header, options in _read_ini(team, text)]
    for part in parts:
        if part.kind not in READERS:
            allowed = ", ".join(f"[{kind} NAME]" for kind in READERS)
            raise ConfigurationError(f"section {team}: [{part.header}] is not one of {allowed}")
        part.check_name()
    return Section(
        _own_team(team, _read_all(parts, "team", _team)),
        tuple(_read_all(parts, "organisation", _organisation)),
        tuple(_read_all(parts, "group", _group)),
        tuple(_read_all(parts, "route", _route)),
    )


def _read_ini(team: str, text: str) -> list[tuple[str, dict[str, str]]]:
    # Option names are case-sensitive, and no section supplies defaults for the others. Comments
    # after a value are removed per option, because an SQL statement may contain " ;".
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        inline_comment_prefixes=None,
        empty_lines_in_values=False,
        default_section="\0",
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, source=f"section {team}")
    except configparser.Error as error:
        reason = " ".join(str(error).split())
        raise ConfigurationError(f"section {team}: malformed: {reason}") from error
    return [(header, dict(parser.items(header))) for header in parser.sections()]


def _read_all(parts: Iterable[Options], kind: str, read: Callable[[Options], T]) -> Iterator[T]:
    for part in parts:
        if part.kind == kind:
            yield read(part)
            part.reject_unknown_options()


def _own_team(name: str, teams: Iterable[Team]) -> Team:
    defined = list(teams)
    if [team.name for team in defined] != [name]:
        names = ", ".join(f"[team {team.name}]" for team in defined) or "none"
        message = f"section {name}: {names} found, exactly one [team {name}] is allowed"
        raise ConfigurationError(message)
    return defined[0]


def _team(options: Options) -> Team:
    owners = options.keys("owners")
    if not owners:
        # A section without an owner could not be edited again.
        raise options.error("owners", "", "at least one key digest")
    return Team(options.name, owners)


def _organisation(options: Options) -> Organisation:
    return Organisation(
        options.name,
        options.keys("keys"),
        rate=options.number("rate", minimum=0.001, maximum=MAX_RATE),
        burst=options.number("burst", minimum=1, maximum=MAX_RATE),
        weight=options.number("weight", default=1, minimum=0.01, maximum=MAX_WEIGHT),
        groups=frozenset(options.names("groups")),
    )


def _group(options: Options) -> Group:
    homes = options.integer("homes", default=3, minimum=1, maximum=MAX_HOMES)
    slots = options.integer("slots", minimum=1, maximum=MAX_CONNECTIONS)
    # Each home needs its connections, and each slot needs one for its statement.
    minimum_connections = max(homes * MIN_CONNECTIONS_PER_HOME, slots)
    connections = options.integer(
        "connections", minimum=minimum_connections, maximum=MAX_CONNECTIONS
    )
    values = [policy.value for policy in Acknowledge]
    return Group(
        options.name,
        options.instances("instances"),
        connections,
        slots,
        Acknowledge(options.choice("acknowledge", values, default=Acknowledge.REPLICATED.value)),
        homes,
    )


def _route(options: Options) -> Route:
    mode: Mode = "read" if options.choice("mode", ["read", "write"]) == "read" else "write"
    classes = [request_class.name.lower() for request_class in RequestClass]
    request_class = RequestClass[options.choice("class", classes, default="standard").upper()]
    statements = options.numbered("statement")
    check_statements(options, mode, statements)
    return Route(
        options.name,
        options.reference("group"),
        mode,
        request_class,
        repeatable=options.flag("repeatable", default=mode == "read"),
        open_to_all=options.flag("open", default=False),
        statements=statements,
    )


READERS = {"team": _team, "organisation": _organisation, "group": _group, "route": _route}


class _Location(NamedTuple):
    """Section and header that contain a definition or a reference."""

    section: str
    header: str

    def __str__(self) -> str:
        return f"section {self.section} [{self.header}]"


def check_sections(sections: tuple[Section, ...]) -> None:
    """Check the sections against each other; raises ConfigurationError."""
    _check_unique(_definitions(sections), "a name may be defined once in the whole document")
    _check_unique(_key_uses(sections), "a key may belong to one organisation")
    _check_unique(_addresses(sections), "an address may belong to one group, once")
    known = {group.name for section in sections for group in section.groups}
    for location, option, group in _group_references(sections):
        if group not in known:
            allowed = ", ".join(sorted(known)) or "no group is defined"
            message = f"{location}: {option} = {group}: unknown group, allowed: {allowed}"
            raise ConfigurationError(message)


def _check_unique(uses: Iterable[tuple[str, _Location]], rule: str) -> None:
    first_locations: dict[str, _Location] = {}
    for entry, location in uses:
        if entry in first_locations:
            raise ConfigurationError(
                f"{location}: {entry} is also in {first_locations[entry]}; {rule}"
            )
        first_locations[entry] = location


def _definitions(sections: Iterable[Section]) -> Iterator[tuple[str, _Location]]:
    for section in sections:
        kinds = (
            ("organisation", section.organisations),
            ("group", section.groups),
            ("route", section.routes),
        )
        for kind, items in kinds:
            for item in items:
                header = f"{kind} {item.name}"
                yield header, _Location(section.team.name, header)


def _key_uses(sections: Iterable[Section]) -> Iterator[tuple[str, _Location]]:
    for section in sections:
        for organisation in section.organisations:
            location = _Location(section.team.name, f"organisation {organisation.name}")
            for key in organisation.keys:
                yield f"keys = sha256:{key.sha256}", location


def _addresses(sections: Iterable[Section]) -> Iterator[tuple[str, _Location]]:
    for section in sections:
        for group in section.groups:
            location = _Location(section.team.name, f"group {group.name}")
            for instance in group.instances:
                yield f"instances = {instance.address}", location


def _group_references(sections: Iterable[Section]) -> Iterator[tuple[_Location, str, str]]:
    for section in sections:
        for organisation in section.organisations:
            location = _Location(section.team.name, f"organisation {organisation.name}")
            yield from zip(
                itertools.repeat(location), itertools.repeat("groups"), sorted(organisation.groups)
            )
        for route in section.routes:
            yield _Location(section.team.name, f"route {route.name}"), "group", route.group
