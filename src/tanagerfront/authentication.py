"""Authentication of callers of the HTTP interface by key, and their access to groups."""

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
    """Configuration in effect on this VM."""

    @property
    def current(self) -> Configuration:
        """Return the configuration; its version is 0 until the first one is received."""

    @property
    def fresh(self) -> bool:
        """Return whether every edit accepted more than 3 s ago has reached this VM."""


class Caller(NamedTuple):
    """Organisation that sent a request, and the digest of its key."""

    organisation: Organisation
    key_digest: str


class _IndexedKey(NamedTuple):
    organisation: Organisation
    key: KeyDigest


def bearer_key(headers: Mapping[str, str]) -> str | None:
    """Return the key of a request, or None without an Authorization header.

    Raises KeyRequiredError unless the header is a well-formed bearer key.
    """
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
    """Map keys to callers; `wall_clock` returns POSIX time in seconds."""

    def __init__(
        self, source: ConfigurationSource, *, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self._source = source
        self._wall_clock = wall_clock
        self._indexed_configuration: Configuration | None = None
        self._keys_by_digest: dict[str, _IndexedKey] = {}

    def configuration(self) -> Configuration:
        """Return the configuration in effect; raises UnavailableError if none was received."""
        current = self._source.current
        if not current.version:
            raise UnavailableError("this VM has not received a configuration yet")
        return current

    def authenticate(self, key: str) -> Caller:
        """Return the caller that owns the key.

        Raises KeyRequiredError if the key is not valid, and UnavailableError if the configuration
        is missing or may be outdated.
        """
        if not self._source.fresh:
            raise UnavailableError(
                "this VM cannot verify keys because its configuration may be outdated"
            )
        self.configuration()
        digest = key_digest(key)
        entry = self._find_valid_key(digest)
        if entry is None:
            raise KeyRequiredError("the key is unknown or no longer valid")
        return Caller(entry.organisation, digest)

    def is_valid(self, digest: str) -> bool:
        """Return whether the key with this digest is valid now."""
        return self._find_valid_key(digest) is not None

    def _find_valid_key(self, digest: str) -> _IndexedKey | None:
        configuration = self._source.current
        if configuration is not self._indexed_configuration:
            self._keys_by_digest = _index_keys(configuration)
            self._indexed_configuration = configuration
        entry = self._keys_by_digest.get(digest)
        if entry is None:
            return None
        valid_until = entry.key.until
        return entry if valid_until is None or self._wall_clock() < valid_until else None


def _index_keys(configuration: Configuration) -> dict[str, _IndexedKey]:
    return {
        key.sha256.lower(): _IndexedKey(organisation, key)
        for organisation in configuration.organisations.values()
        for key in organisation.keys
    }


def check_group(caller: Caller, group: str) -> None:
    """Raise ForbiddenError unless the caller's organisation may use the group."""
    if group not in caller.organisation.groups:
        raise ForbiddenError("the organisation is not allowed to use this group")
