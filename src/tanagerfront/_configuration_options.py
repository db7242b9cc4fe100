"""Read the options of one part of a section; errors state the allowed values."""

from __future__ import annotations

import datetime
import ipaddress
import math
import re
from collections.abc import Iterator, Sequence

from ._configuration_values import Instance, KeyDigest
from .errors import ConfigurationError
from .http_client import Address, parse_address

__all__ = ["Options"]

NAME = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}")
NAME_RULE = "1 to 63 lower-case letters, digits, - or _, starting with a letter or digit"
KEY = re.compile(r"sha256:([0-9a-f]{64})(?:\s+until\s+(\S+))?")
KEY_RULE = "sha256: and 64 lower-case hex digits, then optionally `until` and a time"
TIME_RULE = "`until` and a time with its zone, such as 2026-12-31T00:00:00Z"
INSTANCE = re.compile(r"([a-z0-9][a-z0-9_-]{0,62})@(\S+)(\s+leaving)?")
INSTANCE_RULE = "FAILURE-DOMAIN@IP:PORT, then optionally `leaving`"
INLINE_COMMENT = re.compile(r"\s[;#].*")


class Options:
    """The options of one part, such as [group NAME]; records which of them were read."""

    def __init__(self, section: str, header: str, options: dict[str, str]) -> None:
        self._section = section
        self._header = header
        self._options = options
        self._unread = dict.fromkeys(options)
        kind, _, name = header.partition(" ")
        self._kind = kind
        self._name = name.strip()

    @property
    def header(self) -> str:
        """Return the text between the brackets."""
        return self._header

    @property
    def kind(self) -> str:
        """Return the first word of the header."""
        return self._kind

    @property
    def name(self) -> str:
        """Return the name in the header."""
        return self._name

    def error(self, option: str, found: str, allowed: str) -> ConfigurationError:
        """Return the error for a missing or invalid value."""
        location = f"section {self._section} [{self._header}]"
        return ConfigurationError(f"{location}: {option} = {found}: allowed is {allowed}")

    def check_name(self) -> None:
        """Check the name in the header; raises ConfigurationError."""
        if not NAME.fullmatch(self._name):
            raise self.error("name", self._name, NAME_RULE)

    def reject_unknown_options(self) -> None:
        """Refuse options that were never read; raises ConfigurationError."""
        for option in self._unread:
            location = f"section {self._section} [{self._header}]"
            known = ", ".join(sorted(self._options.keys() - self._unread.keys()))
            message = f"{location}: {option} = {self._options[option]}: unknown option"
            raise ConfigurationError(f"{message}; options read here: {known}")

    def text(self, option: str, default: str | None = None, allowed: str = "a value") -> str:
        """Return the value of an option without inline comments; raises ConfigurationError."""
        value = self._read(option)
        if value is None and default is None:
            raise self.error(option, "(missing)", allowed)
        lines = (value if value is not None else default or "").splitlines()
        return " ".join(INLINE_COMMENT.sub("", f" {line}").strip() for line in lines).strip()

    def integer(
        self, option: str, *, default: int | None = None, minimum: int, maximum: int
    ) -> int:
        """Return an integer within the limits, inclusive; raises ConfigurationError."""
        allowed = f"a whole number from {minimum} to {maximum}"
        text = self.text(option, None if default is None else str(default), allowed)
        if not re.fullmatch(r"[0-9]{1,9}", text) or not minimum <= int(text) <= maximum:
            raise self.error(option, text, allowed)
        return int(text)

    def number(
        self, option: str, *, default: float | None = None, minimum: float, maximum: float
    ) -> float:
        """Return a number within the limits, inclusive; raises ConfigurationError."""
        allowed = f"a number from {minimum:g} to {maximum:g}"
        text = self.text(option, None if default is None else str(default), allowed)
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not minimum <= value <= maximum:
            raise self.error(option, text, allowed)
        return value

    def choice(self, option: str, values: Sequence[str], *, default: str | None = None) -> str:
        """Return one of the allowed values; raises ConfigurationError."""
        allowed = " or ".join(values)
        text = self.text(option, default, allowed)
        if text not in values:
            raise self.error(option, text, allowed)
        return text

    def flag(self, option: str, *, default: bool) -> bool:
        """Return whether a `yes` or `no` option is `yes`; raises ConfigurationError."""
        return self.choice(option, ["yes", "no"], default="yes" if default else "no") == "yes"

    def reference(self, option: str) -> str:
        """Return the name that an option refers to; raises ConfigurationError."""
        text = self.text(option, allowed="one name")
        if not NAME.fullmatch(text):
            raise self.error(option, text, NAME_RULE)
        return text

    def names(self, option: str) -> tuple[str, ...]:
        """Return a comma-separated list of names; raises ConfigurationError."""
        names = tuple(self._items(option, "names separated by commas"))
        for name in names:
            if not NAME.fullmatch(name) or names.count(name) > 1:
                raise self.error(option, name, f"{NAME_RULE}, each once")
        return names

    def keys(self, option: str) -> tuple[KeyDigest, ...]:
        """Return a comma-separated list of key digests; raises ConfigurationError."""
        keys = tuple(self._key(option, item) for item in self._items(option, KEY_RULE))
        digests = [key.sha256 for key in keys]
        for digest in digests:
            if digests.count(digest) > 1:
                raise self.error(option, f"sha256:{digest}", "each key digest once")
        return keys

    def instances(self, option: str) -> tuple[Instance, ...]:
        """Return a comma-separated list of instances; raises ConfigurationError."""
        instances = tuple(
            self._instance(option, item) for item in self._items(option, INSTANCE_RULE)
        )
        if not instances:
            raise self.error(option, "", "at least one instance")
        return instances

    def numbered(self, option: str) -> tuple[str, ...]:
        """Return OPTION.1, OPTION.2, ... including inline comments; raises ConfigurationError."""
        count = sum(1 for name in self._options if name.startswith(f"{option}."))
        names = [f"{option}.{number}" for number in range(1, max(count, 1) + 1)]
        for name in names:
            if not self._options.get(name, "").strip():
                raise self.error(name, "(missing)", f"{option}.1 to {option}.N without a gap")
        return tuple(str(self._read(name)).strip() for name in names)

    def _read(self, option: str) -> str | None:
        self._unread.pop(option, None)
        return self._options.get(option)

    def _items(self, option: str, allowed: str) -> Iterator[str]:
        text = self.text(option, allowed=allowed)
        for item in text.split(",") if text else ():
            if not item.strip():
                raise self.error(option, text, f"{allowed}, none of them empty")
            yield item.strip()

    def _key(self, option: str, item: str) -> KeyDigest:
        match = KEY.fullmatch(item)
        if not match:
            raise self.error(option, item, KEY_RULE)
        digest, until = match.groups()
        return KeyDigest(digest, None if until is None else self._expiry(option, item, until))

    def _expiry(self, option: str, item: str, text: str) -> float:
        try:
            expiry = datetime.datetime.fromisoformat(text)
        except ValueError:
            raise self.error(option, item, TIME_RULE) from None
        if expiry.tzinfo is None:
            raise self.error(option, item, TIME_RULE)
        return expiry.timestamp()

    def _instance(self, option: str, item: str) -> Instance:
        match = INSTANCE.fullmatch(item)
        if not match:
            raise self.error(option, item, INSTANCE_RULE)
        failure_domain, text, leaving = match.groups()
        address = self._address(option, item, text)
        return Instance(str(address), failure_domain, address, leaving is not None)

    def _address(self, option: str, item: str, text: str) -> Address:
        try:
            address = parse_address(text)
            # The canonical form makes two spellings of one address compare equal.
            host = str(ipaddress.ip_address(address.host))
        except ValueError:
            raise self.error(option, item, INSTANCE_RULE) from None
        if address.port == 0:
            raise self.error(option, item, "a port from 1 to 65535")
        return Address(host, address.port)
