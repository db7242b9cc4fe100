"""The configuration and the session secret in force on this VM, also from its peers."""

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
from .sessions import SessionToken

__all__ = ["ActiveConfiguration", "ConfigurationSync", "SessionTokenCodec"]

CALL_TIMEOUT_S = 2.0
RETRY_S = 0.2
SECRET_RETRY_S = 0.5
# Looking at all members for each request would cost more than the check of its key.
FRESHNESS_CHECK_S = 0.02
_log = structlog.get_logger(__name__)


class SessionTokenCodec:
    """Session tokens under the deployment's secret, which may arrive after the start."""

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
        """Return the entries by group; raises SessionTokenError."""
        return SessionToken.decode(text, self._known_secret(), organisation).entries

    def encode(self, entries: Mapping[str, EntryId], organisation: str) -> str:
        """Return the token for these entries; raises SessionTokenError."""
        return SessionToken(entries).encode(self._known_secret(), organisation)

    def _known_secret(self) -> bytes:
        if self._secret is None:
            raise UnavailableError("the session secret is not known on this VM yet")
        return self._secret


class ActiveConfiguration:
    """The configuration as the authenticator needs it."""

    def __init__(self, store: ConfigStore, lease: VmLease) -> None:
        self._store = store
        self._lease = lease
        self._fresh = False
        self._checked_at = float("-inf")

    @property
    def current(self) -> Configuration:
        """Return the configuration, of version 0 before the first one has arrived."""
        return self._store.current

    @property
    def fresh(self) -> bool:
        """Tell whether an edit accepted more than 3 s ago would be known here."""
        now = trio.current_time()
        if now - self._checked_at > FRESHNESS_CHECK_S:
            self._checked_at = now
            self._fresh = self._lease.may_serve_keyed()
        return self._fresh


class ConfigurationSync:
    """Take newer configurations and the secret from peers, and hand them over."""

    def __init__(
        self,
        store: KeyValueStore,
        config: ConfigStore,
        sessions: SessionTokenCodec,
        network: PeerNetwork,
        membership: Membership,
    ) -> None:
        self._store = store
        self._config = config
        self._sessions = sessions
        self._network = network
        self._membership = membership
        network.register(ConfigRequest, self._answer_config_request)

    async def run(self) -> None:
        """Keep the configuration and the secret current until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_peers)
            nursery.start_soon(self._fetch_secret)

    async def _answer_config_request(self, _vm: str, request: ConfigRequest) -> Message:
        offer = self._config.offer(request.version)
        if offer is None:
            return ConfigOffer(0, b"", {}, self._sessions.secret or b"")
        return msgspec.structs.replace(offer, session_secret=self._sessions.secret or b"")

    async def _follow_peers(self) -> None:
        """Take newer configurations from the live VMs that have them."""
        while True:
            behind = self._config.current.version
            newer = [vm for vm in self._membership.live() if vm.config_version > behind]
            if newer or self._sessions.secret is None:
                for vm in newer or self._membership.live():
                    if vm.id != self._membership.vm_id and await self._ask_for_config(vm.id):
                        break
                await trio.sleep(RETRY_S)
            else:
                await self._membership.wait_changed()

    async def _ask_for_config(self, vm: str) -> bool:
        request = ConfigRequest(self._config.current.version)
        try:
            offer = await self._network.call(vm, request, CALL_TIMEOUT_S)
            if not isinstance(offer, ConfigOffer):
                return False
            if offer.session_secret and self._sessions.secret is None:
                self._sessions.set_secret(offer.session_secret)
            return await self._config.adopt_offer(offer)
        except TanagerfrontError as error:
            _log.info("configuration_not_taken_from_peer", peer=vm, reason=str(error))
            return False

    async def _fetch_secret(self) -> None:
        while self._sessions.secret is None:
            try:
                self._sessions.set_secret(await read_or_create_secret(self._store))
            except KeyValueError as error:
                _log.warning("session_secret_not_read", reason=str(error))
                await trio.sleep(SECRET_RETRY_S)
