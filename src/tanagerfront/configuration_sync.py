"""Synchronization of the configuration and the session secret with peers and the service.

Serves the HTTP interface.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import structlog
import trio

from .config_store import ConfigStore, read_or_create_secret
from .configuration import Configuration
from .entry_id import EntryId
from .errors import KeyValueError, TanagerfrontError, UnavailableError
from .kv import KeyValueStore
from .membership import Membership
from .messages import ConfigOffer, ConfigRequest, Message
from .peers import PeerNetwork
from .role_locks import VmLease
from .session_tokens import SessionToken

__all__ = ["ActiveConfiguration", "ConfigurationSync", "SessionTokenCodec"]

PEER_CALL_TIMEOUT_S = 2.0
PEER_RETRY_INTERVAL_S = 0.2
SECRET_RETRY_INTERVAL_S = 0.5
# Freshness is cached for this time: inspecting all members for each request would cost more than
# the check of the request's API key.
FRESHNESS_CHECK_INTERVAL_S = 0.02
_log = structlog.get_logger(__name__)


class SessionTokenCodec:
    """Encode and decode session tokens; the secret may become known only after startup."""

    def __init__(self) -> None:
        self._secret: bytes | None = None

    @property
    def secret(self) -> bytes | None:
        """Return the secret, or None before it is known."""
        return self._secret

    def set_secret(self, secret: bytes) -> None:
        """Set the deployment's secret."""
        self._secret = secret

    def decode(self, text: str, organisation: str) -> Mapping[str, EntryId]:
        """Return a token's entries by group; raises SessionTokenError, UnavailableError."""
        return SessionToken.decode(text, self._require_secret(), organisation).entries

    def encode(self, entries: Mapping[str, EntryId], organisation: str) -> str:
        """Return the token for these entries; raises SessionTokenError, UnavailableError."""
        return SessionToken(entries).encode(self._require_secret(), organisation)

    def _require_secret(self) -> bytes:
        if self._secret is None:
            raise UnavailableError("the session secret is not yet available on this VM")
        return self._secret


class ActiveConfiguration:
    """The configuration in force and its freshness, for the authenticator."""

    def __init__(self, store: ConfigStore, lease: VmLease) -> None:
        self._store = store
        self._lease = lease
        self._fresh = False
        self._checked_at = float("-inf")

    @property
    def current(self) -> Configuration:
        """Return the configuration in force, version 0 before the first is adopted."""
        return self._store.current

    @property
    def fresh(self) -> bool:
        """Return whether any edit accepted more than 3 s ago is known on this VM."""
        now = trio.current_time()
        if now - self._checked_at > FRESHNESS_CHECK_INTERVAL_S:
            self._checked_at = now
            self._fresh = self._lease.may_serve_keyed()
        return self._fresh


class ConfigurationSync:
    """Fetch newer configurations and the secret from peers, and serve them to peers."""

    def __init__(
        self,
        store: KeyValueStore,
        config: ConfigStore,
        token_codec: SessionTokenCodec,
        network: PeerNetwork,
        membership: Membership,
    ) -> None:
        self._store = store
        self._config = config
        self._token_codec = token_codec
        self._network = network
        self._membership = membership
        network.register(ConfigRequest, self._answer_config_request)

    async def run(self) -> None:
        """Keep the configuration and the secret current until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sync_from_peers)
            nursery.start_soon(self._fetch_secret)

    async def _answer_config_request(self, _vm: str, request: ConfigRequest) -> Message:
        offer = self._config.offer(request.version)
        if offer is None:
            return ConfigOffer(0, b"", {}, self._token_codec.secret or b"")
        return msgspec.structs.replace(offer, session_secret=self._token_codec.secret or b"")

    async def _sync_from_peers(self) -> None:
        """Fetch newer configurations, and the secret until it is known, from live VMs."""
        while True:
            own_version = self._config.current.version
            newer = [vm for vm in self._membership.live() if vm.config_version > own_version]
            if newer or self._token_codec.secret is None:
                for vm in newer or self._membership.live():
                    if vm.id != self._membership.vm_id and await self._request_config(vm.id):
                        break
                await trio.sleep(PEER_RETRY_INTERVAL_S)
            else:
                await self._membership.wait_changed()

    async def _request_config(self, vm: str) -> bool:
        request = ConfigRequest(self._config.current.version)
        try:
            offer = await self._network.call(vm, request, PEER_CALL_TIMEOUT_S)
            if not isinstance(offer, ConfigOffer):
                return False
            if offer.session_secret and self._token_codec.secret is None:
                self._token_codec.set_secret(offer.session_secret)
            return await self._config.adopt_offer(offer)
        except TanagerfrontError as error:
            _log.info("configuration_not_taken_from_peer", peer=vm, reason=str(error))
            return False

    async def _fetch_secret(self) -> None:
        while self._token_codec.secret is None:
            try:
                self._token_codec.set_secret(await read_or_create_secret(self._store))
            except KeyValueError as error:
                _log.warning("session_secret_not_read", reason=str(error))
                await trio.sleep(SECRET_RETRY_INTERVAL_S)
