"""Check of a caller's key against the configuration in effect."""

from __future__ import annotations

import hashlib
import re
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from .configuration import Configuration, KeyDigest, Organisation
from .errors import ForbiddenError, KeyRequiredError, UnavailableError

__all__ = [
    "Authenticator",
    "Caller",
    "ConfigurationSource",
    "bearer_key",
    "check_group",
    "key_digest",
]

MAX_KEY_CHARS = 512
_BEARER = re.compile(r"(?i:bearer) +([A-Za-z0-9._~+/=-]+)")


class ConfigurationSource(Protocol):
    """The copy of the configuration that is in effect on this VM."""

    @property
    def current(self) -> Configuration:
        """Return the configuration, version 0 before the first one has arrived."""

    @property
    def fresh(self) -> bool:
        """Tell whether an edit accepted more than 3 s ago would be known here."""


class Caller(NamedTuple):
    """The organisation a request runs for and the digest of the key it came with."""

    organisation: Organisation
    key_digest: str


class _IndexedKey(NamedTuple):
    organisation: Organisation
    key: KeyDigest


def bearer_key(headers: Mapping[str, str]) -> str | None:
    """Return the key of a request, or None; raises KeyRequiredError for another scheme."""
    text = headers.get("authorization")
    if text is None:
        return None
    match = _BEARER.fullmatch(text.strip())
    if not match or len(match[1]) > MAX_KEY_CHARS:
        raise KeyRequiredError("the Authorization header must be: Bearer KEY")
    return match[1]


def key_digest(key: str) -> str:
    """Return the SHA-256 digest of a key in hex."""
    return hashlib.sha256(key.encode("ascii")).hexdigest()


class Authenticator:
    """Find the caller of a key; `wall_clock` returns POSIX time in seconds."""

    def __init__(
        self, source: ConfigurationSource, *, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self._source = source
        self._wall_clock = wall_clock
        self._indexed_configuration: Configuration | None = None
        self._keys_by_digest: dict[str, _IndexedKey] = {}

    def configuration(self) -> Configuration:
        """Return the configuration in effect; raises UnavailableError if there is none yet."""
        current = self._source.current
        if not current.version:
            raise UnavailableError("no configuration has arrived on this VM yet")
        return current

    def authenticate(self, key: str) -> Caller:
        """Return the caller with this key; raises KeyRequiredError or UnavailableError."""
        if not self._source.fresh:
            raise UnavailableError("this VM cannot tell whether keys are still valid")
        self.configuration()
        digest = key_digest(key)
        entry = self._find_valid_key(digest)
        if entry is None:
            raise KeyRequiredError("the key is unknown or no longer valid")
        return Caller(entry.organisation, digest)

    def is_valid(self, digest: str) -> bool:
        """Tell whether the key with this digest is valid now."""
        return self._find_valid_key(digest) is not None

    def _find_valid_key(self, digest: str) -> _IndexedKey | None:
        configuration = self._source.current
        if configuration is not self._indexed_configuration:
            self._keys_by_digest = _index_keys(configuration)
            self._indexed_configuration = configuration
        entry = self._keys_by_digest.get(digest)
        if entry is None:
            return None
        until = entry.key.until
        return entry if until is None or self._wall_clock() < until else None


def _index_keys(configuration: Configuration) -> dict[str, _IndexedKey]:
    return {
        key.sha256.lower(): _IndexedKey(organisation, key)
        for organisation in configuration.organisations.values()
        for key in organisation.keys
    }


def check_group(caller: Caller, group: str) -> None:
    """Raise ForbiddenError unless the caller's organisation may use the group."""
    if group not in caller.organisation.groups:
        raise ForbiddenError("this organisation may not use the group")
