"""One VM: assemble its parts, run them, and shut down in order."""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import suppress
from typing import Any

import msgspec
import structlog
import trio

from . import __version__
from .admin import AdminHandler
from .authentication import Authenticator
from .caller_connections import CallerConnections
from .config_store import ConfigStore, read_or_create_secret
from .configuration import Configuration
from .drain import Drain, DrainStatus, DrainTiming
from .entry_id import EntryId
from .entry_services import CallerTimeouts, EntryServices
from .errors import KeyValueError, TanagerfrontError, UnavailableError
from .forwarding import Forwarder
from .home import HomeServices
from .home_calls import HomeCalls
from .home_choice import HomeChoice
from .home_transactions import TransactionSettings
from .homes import HOME_ROLE, Homes
from .http_client import Address
from .http_server import HttpLimits, Request, Response, serve_http
from .kv_etcd import EtcdStore
from .limits import LIMIT_ROLE, LimitSettings, TokenCache, TokenOwner, part_count
from .membership import Membership, MembershipSettings
from .messages import ConfigOffer, ConfigRequest, Message
from .metrics import Metrics
from .peers import PeerNetwork
from .promotion import PromotionSettings
from .seats import LeaseSettings, SeatRegistry, VmLease
from .sessions import SessionToken
from .settings import Settings
from .transactions import TransactionLimits, Transactions
from .vm_list import VmList

__all__ = ["Vm", "run_vm"]

CONFIG_CALL_TIMEOUT_S = 2.0
CONFIG_RETRY_S = 0.2
GAUGE_INTERVAL_S = 1.0
SECRET_RETRY_S = 0.5
LISTEN_BACKLOG = 1024
HOME_IDLE_MARGIN_S = 5.0
DEFAULT_WEIGHT = 1.0
# Looking at all members for each request would cost more than the check of its key.
FRESHNESS_CHECK_S = 0.02
LIMIT_OWNERS = LimitSettings().limit_owners
_log = structlog.get_logger(__name__)


class _Sessions:
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


class _ConfigurationInForce:
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


class _AdminPort(AdminHandler):
    """Probes, metrics and status beside the administration API."""

    def __init__(self, vm: Vm, config: ConfigStore, bootstrap_key: str | None) -> None:
        super().__init__(config, vm.versions, bootstrap_key_digest=bootstrap_key)
        self._vm = vm

    async def handle_other(self, request: Request) -> Response:
        """Return the response to a request outside the administration API."""
        match request.method, request.path:
            case "GET", "/healthz":
                return Response(200, b'{"status": "ok"}')
            case "GET", "/readyz":
                reason = self._vm.not_ready_reason
                body = msgspec.json.encode({"status": reason or "ok"})
                return Response(503 if reason else 200, body)
            case "GET", "/metrics":
                return Response(200, self._vm.metrics.render(), content_type="text/plain")
            case "GET", "/status":
                return Response(200, msgspec.json.encode(self._vm.status()))
        return await super().handle_other(request)


class Vm:
    """The parts of one VM."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.metrics = Metrics()
        platform, vm, timing = settings.platform, settings.vm, settings.timing
        self._store = EtcdStore(*platform.key_value, timeout_s=platform.key_value_timeout)
        self._vm_list = VmList(platform.vm_list, timeout_s=platform.vm_list_timeout)
        self._config = ConfigStore(self._store)
        self._network = PeerNetwork(vm.id, settings.listen.peers)
        self._membership = Membership(
            self._network,
            self._vm_list.fetch,
            failure_domain=vm.failure_domain,
            incarnation=vm.incarnation,
            service_age_s=lambda: self._store.last_answer_age_s,
            config_version=lambda: self._config.current.version,
            settings=MembershipSettings(heartbeat_interval_s=timing.heartbeat),
        )
        lease = LeaseSettings(ttl_s=timing.lease, outage_grace_s=timing.outage_grace)
        self._lease = VmLease(self._store, self._membership, settings=lease)
        self._seats = SeatRegistry(self._store, self._lease, self._membership)
        self._homes = Homes(
            self._home_services(),
            self._network,
            self._membership,
            self._seats,
            lambda: self._config.current,
        )
        self._sessions = _Sessions()
        self._token_cache = TokenCache(self._network, self._seats)
        self._token_owner = TokenOwner(
            self._network,
            self._seats,
            self._lease,
            lambda name: self._config.current.organisations.get(name),
        )
        self._drain_status = DrainStatus(self._unavailable_reason)
        self._callers = CallerConnections(
            self._entry_services(), self.metrics, settings.limits.max_connections
        )
        self._admin_port = _AdminPort(self, self._config, settings.admin.bootstrap_key)
        self._network.register(ConfigRequest, self._answer_config_request)

    @property
    def not_ready_reason(self) -> str | None:
        """Return why no new caller should come here, or None."""
        return self._drain_status.not_ready_reason

    def _home_services(self) -> HomeServices:
        settings = self._settings
        return HomeServices(
            vm=settings.vm.id,
            incarnation=settings.vm.incarnation,
            failure_domain=settings.vm.failure_domain,
            store=self._store,
            weight_of=self._weight_of,
            promotion=PromotionSettings(suspicion_s=settings.timing.suspicion),
            transactions=TransactionSettings(
                # The entry VM ends an idle transaction first, as it can tell the caller why.
                idle_limit_s=settings.limits.transaction_idle + HOME_IDLE_MARGIN_S,
                total_limit_s=settings.limits.transaction_limit + HOME_IDLE_MARGIN_S,
            ),
            on_discard=self.metrics.count_discarded,
            on_promotion=self.metrics.count_promotion,
        )

    def _entry_services(self) -> EntryServices:
        settings = self._settings
        source = _ConfigurationInForce(self._config, self._lease)
        authenticator = Authenticator(source)
        calls = HomeCalls(settings.vm.id, self._homes, self._network)
        self._choice = choice = HomeChoice(settings.vm.id, settings.vm.failure_domain)
        limits = TransactionLimits(
            settings.limits.transaction_limit, settings.limits.transaction_idle
        )
        self._transactions = Transactions(
            self._homes, calls, choice, authenticator.is_valid, limits
        )
        return EntryServices(
            authenticator=authenticator,
            sessions=self._sessions,
            limiter=self._token_cache,
            execution=Forwarder(self._homes, calls, choice, self.metrics),
            transactions=self._transactions,
            metrics=self.metrics,
            readiness=self._drain_status,
            timeouts=CallerTimeouts(settings.limits.default_timeout, settings.limits.max_timeout),
        )

    def _weight_of(self, organisation: str) -> float:
        found = self._config.current.organisations.get(organisation)
        return found.weight if found else DEFAULT_WEIGHT

    def _unavailable_reason(self) -> str | None:
        if not self._config.current.version:
            return "no configuration"
        if self._sessions.secret is None:
            return "no session secret"
        if not self._lease.may_serve_keyed():
            return "cut off from the platform and from the other VMs"
        organisations = self._config.current.organisations
        if organisations and not any(
            self._seats.holders(LIMIT_ROLE, name) for name in organisations
        ):
            return "no owner is known for any organisation's rate"
        groups = self._config.current.groups
        if groups and not any(self._homes.homes(name) for name in groups):
            return "no home is known for any group"
        return None

    def versions(self) -> Mapping[str, int]:
        """Return the configuration version in force on each live VM."""
        return {vm.id: vm.config_version for vm in self._membership.live()}

    def status(self) -> Mapping[str, Any]:
        """Return the state of the VM for operators."""
        live = self._membership.live()
        return {
            "vm": self._settings.vm.id,
            "failure_domain": self._settings.vm.failure_domain,
            "version": __version__,
            "state": self._drain_status.state.value,
            "not_ready_reason": self.not_ready_reason,
            "configuration_version": self._config.current.version,
            "key_value_age_s": self._store.last_answer_age_s,
            "seats_valid": self._lease.valid,
            "caller_connections": self._callers.count,
            "open_transactions": self._transactions.count,
            "vms": [
                {
                    "id": vm.id,
                    "failure_domain": vm.failure_domain,
                    "draining": vm.draining,
                    "configuration_version": vm.config_version,
                }
                for vm in live
            ],
            "groups": [self._group_status(name) for name in self._config.current.groups],
        }

    def _group_status(self, name: str) -> Mapping[str, Any]:
        homes = ", ".join(home.vm for home in self._homes.homes(name))
        home = self._homes.active.get(name)
        if home is None:
            return {"group": name, "homes": homes}
        view = home.view
        return {
            "group": name,
            "homes": homes,
            "term": view.term,
            "primary": view.primary.instance.name if view.primary else None,
            "reachable": sum(1 for each in view.instances if each.reachable),
            "sessions": home.connections,
        }

    async def _answer_config_request(self, _vm: str, request: ConfigRequest) -> Message:
        offer = self._config.offer(request.version)
        if offer is None:
            return ConfigOffer(0, b"", {}, self._sessions.secret or b"")
        return msgspec.structs.replace(offer, session_secret=self._sessions.secret or b"")

    async def run(self) -> None:
        """Serve until a signal asks for the shutdown and it is done."""
        listen, limits = self._settings.listen, self._settings.limits
        caller_listeners = await _listen(listen.callers)
        admin_listeners = await _listen(listen.admin)
        drain = Drain(
            self._drain_status,
            DrainTiming(self._settings.timing.drain_delay, self._settings.timing.drain_limit),
            self._callers,
            caller_listeners,
            self._release,
        )
        http_limits = HttpLimits(limits.max_head_bytes, limits.max_body_bytes)
        async with trio.open_nursery() as nursery:
            await nursery.start(drain.watch_signals)
            await nursery.start(self._network.run)
            background = (
                self._membership.run,
                self._config.run,
                self._lease.run,
                self._seats.run,
                self._homes.run,
                self._token_cache.run,
                self._token_owner.run,
                self._transactions.run,
                self._follow_configuration,
                self._follow_peers,
                self._fetch_secret,
                self._update_gauges,
            )
            for task in background:
                nursery.start_soon(task)
            await nursery.start(
                serve_http, admin_listeners, lambda _stream: self._admin_port, http_limits
            )
            await nursery.start(serve_http, caller_listeners, self._callers.handler, http_limits)
            _log.info("vm_started", vm=self._settings.vm.id, callers=str(listen.callers))
            await drain.run()
            nursery.cancel_scope.cancel()
        _log.info("vm_stopped", vm=self._settings.vm.id)

    async def _release(self) -> None:
        self._membership.set_draining()
        with suppress(KeyValueError):
            await self._seats.release_all()

    async def _follow_configuration(self) -> None:
        """Ask for the seats that the configuration in force calls for."""
        async for configuration in self._config.follow():
            homes = {
                (HOME_ROLE, group.name): group.homes for group in configuration.groups.values()
            }
            owners = {
                (LIMIT_ROLE, found.name): part_count(found.rate, found.burst, LIMIT_OWNERS)
                for found in configuration.organisations.values()
            }
            self._seats.set_wanted(homes | owners)

    async def _follow_peers(self) -> None:
        """Keep the streams to the live VMs open and take newer configurations from them."""
        while True:
            behind = self._config.current.version
            newer = [vm for vm in self._membership.live() if vm.config_version > behind]
            if newer or self._sessions.secret is None:
                for vm in newer or self._membership.live():
                    if vm.id != self._settings.vm.id and await self._ask_for_config(vm.id):
                        break
                await trio.sleep(CONFIG_RETRY_S)
            else:
                await self._membership.wait_changed()

    async def _ask_for_config(self, vm: str) -> bool:
        request = ConfigRequest(self._config.current.version)
        try:
            offer = await self._network.call(vm, request, CONFIG_CALL_TIMEOUT_S)
            if not isinstance(offer, ConfigOffer):
                return False
            if offer.session_secret and self._sessions.secret is None:
                self._sessions.set_secret(offer.session_secret)
            return await self._config.adopt(offer)
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

    async def _update_gauges(self) -> None:
        while True:
            self._choice.forget({vm.id for vm in self._membership.live()})
            homes = self._homes.active.values()
            self.metrics.set_connections("databases", sum(home.connections for home in homes))
            for home in homes:
                for instance, length in home.queue_lengths().items():
                    self.metrics.set_queue_length(instance, length)
            await trio.sleep(GAUGE_INTERVAL_S)


async def _listen(address: Address) -> list[trio.SocketListener]:
    return await trio.open_tcp_listeners(address.port, host=address.host, backlog=LISTEN_BACKLOG)


async def run_vm(settings: Settings) -> None:
    """Run one VM until it is told to stop."""
    await Vm(settings).run()
