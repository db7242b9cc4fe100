"""Composition of one VM of the HTTP interface: build its services, run them, shut down."""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import suppress
from typing import Any

import structlog
import trio

from .admin_port import AdminPort
from .authentication import Authenticator
from .caller_connections import CallerConnections
from .config_store import ConfigStore
from .configuration_sync import ActiveConfiguration, ConfigurationSync, SessionTokenCodec
from .drain import Drain, DrainStatus, DrainTiming
from .entry_services import CallerTimeouts, EntryServices
from .errors import KeyValueError
from .forwarding import Forwarder
from .home import HomeServices
from .home_calls import HomeClient
from .home_choice import HomeSelector
from .home_transactions import HomeTransactionLimits
from .homes import HOME_ROLE, Homes
from .http_client import Address
from .http_server import HttpLimits, serve_http
from .kv_etcd import EtcdStore
from .limits import LIMIT_ROLE, TokenCache, TokenCacheSettings, TokenOwner, part_count
from .membership import Membership, MembershipSettings
from .metrics import Metrics
from .peers import PeerNetwork
from .promotion import PromotionSettings
from .role_locks import LeaseSettings, RoleLocks, VmLease
from .settings import Settings
from .transactions import EntryTransactions, TransactionLimits
from .vm_list import VmList
from .vm_status import VmStatus

__all__ = ["Vm", "run_vm"]

GAUGE_INTERVAL_S = 1.0
LISTEN_BACKLOG = 1024
HOME_IDLE_MARGIN_S = 5.0
# RELEASE_TIMEOUT_S of the drain covers this wait and the release of the role locks.
HOMES_IDLE_TIMEOUT_S = 1.5
DEFAULT_WEIGHT = 1.0
MAX_LIMIT_OWNERS = TokenCacheSettings().max_parts
_log = structlog.get_logger(__name__)


class Vm:
    """The services of one VM and their lifetime."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._metrics = Metrics()
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
        self._role_locks = RoleLocks(self._store, self._lease, self._membership)
        self._homes = Homes(
            self._home_services(),
            self._network,
            self._membership,
            self._role_locks,
            lambda: self._config.current,
        )
        self._session_codec = SessionTokenCodec()
        self._config_sync = ConfigurationSync(
            self._store, self._config, self._session_codec, self._network, self._membership
        )
        self._token_cache = TokenCache(self._network, self._role_locks)
        self._token_owner = TokenOwner(
            self._network,
            self._role_locks,
            self._lease,
            lambda name: self._config.current.organisations.get(name),
        )
        self._drain_status = DrainStatus(self._unavailable_reason)
        self._callers = CallerConnections(
            self._entry_services(), self._metrics, settings.limits.max_connections
        )
        self._status = VmStatus(
            self._store,
            self._config,
            self._membership,
            self._lease,
            self._role_locks,
            self._homes,
            self._drain_status,
            self._callers,
            self._transactions,
        )
        self._admin_port = AdminPort(self, self._config, settings.admin.bootstrap_key)

    @property
    def metrics(self) -> Metrics:
        """Return the metrics of this VM."""
        return self._metrics

    @property
    def not_ready_reason(self) -> str | None:
        """Return why the VM is not ready for new callers, or None if it is ready."""
        return self._drain_status.not_ready_reason

    def _home_services(self) -> HomeServices:
        settings = self._settings
        return HomeServices(
            vm=settings.vm.id,
            incarnation=settings.vm.incarnation,
            failure_domain=settings.vm.failure_domain,
            store=self._store,
            weight_of=self._weight_of,
            promotion=PromotionSettings(suspicion_delay_s=settings.timing.suspicion),
            transactions=HomeTransactionLimits(
                # The entry VM must time out first, because it can report the reason to the caller.
                idle_limit_s=settings.limits.transaction_idle + HOME_IDLE_MARGIN_S,
                total_limit_s=settings.limits.transaction_limit + HOME_IDLE_MARGIN_S,
            ),
            on_discard=self._metrics.count_discarded_entries,
            on_promotion=self._metrics.count_promotion,
        )

    def _entry_services(self) -> EntryServices:
        settings = self._settings
        source = ActiveConfiguration(self._config, self._lease)
        authenticator = Authenticator(source)
        calls = HomeClient(settings.vm.id, self._homes, self._network)
        self._home_selector = home_selector = HomeSelector(
            settings.vm.id, settings.vm.failure_domain
        )
        limits = TransactionLimits(
            settings.limits.transaction_limit, settings.limits.transaction_idle
        )
        self._transactions = EntryTransactions(
            self._homes, calls, home_selector, authenticator.is_valid, limits
        )
        return EntryServices(
            authenticator=authenticator,
            sessions=self._session_codec,
            limiter=self._token_cache,
            execution=Forwarder(self._homes, calls, home_selector, self._metrics),
            transactions=self._transactions,
            metrics=self._metrics,
            readiness=self._drain_status,
            timeouts=CallerTimeouts(settings.limits.default_timeout, settings.limits.max_timeout),
        )

    def _weight_of(self, organisation: str) -> float:
        configured = self._config.current.organisations.get(organisation)
        return configured.weight if configured else DEFAULT_WEIGHT

    def _unavailable_reason(self) -> str | None:
        if not self._config.current.version:
            return "no configuration"
        if self._session_codec.secret is None:
            return "no session secret"
        if not self._lease.may_serve_keyed():
            return "neither the platform nor the other VMs can be reached"
        organisations = self._config.current.organisations
        if organisations and not any(
            self._role_locks.holders(LIMIT_ROLE, name) for name in organisations
        ):
            return "no owner is known for any organisation's rate"
        groups = self._config.current.groups
        if groups and not any(self._homes.homes(name) for name in groups):
            return "no home is known for any group"
        return None

    def versions(self) -> Mapping[str, int]:
        """Return the active configuration version of each live VM."""
        return {vm.id: vm.config_version for vm in self._membership.live()}

    def status(self) -> Mapping[str, Any]:
        """Return the state of the VM for operators."""
        return self._status.document()

    async def run(self) -> None:
        """Serve until a signal requests the shutdown; return when it is complete."""
        listen, limits = self._settings.listen, self._settings.limits
        caller_listeners = await _listen(listen.callers)
        admin_listeners = await _listen(listen.admin)
        drain = Drain(
            self._drain_status,
            DrainTiming(self._settings.timing.drain_delay, self._settings.timing.drain_limit),
            self._callers,
            caller_listeners,
            self._release_locks,
            # Peers stop sending requests to the homes of a draining VM.
            announce=self._membership.set_draining,
        )
        http_limits = HttpLimits(limits.max_head_bytes, limits.max_body_bytes)
        async with trio.open_nursery() as nursery:
            await nursery.start(drain.watch_signals)
            await nursery.start(self._network.run)
            background = (
                self._membership.run,
                self._config.run,
                self._lease.run,
                self._role_locks.run,
                self._homes.run,
                self._token_cache.run,
                self._token_owner.run,
                self._transactions.run,
                self._update_lock_counts,
                self._config_sync.run,
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

    async def _release_locks(self) -> None:
        # A home that stops earlier never learns whether its pending writes were replicated.
        await self._homes.wait_idle(HOMES_IDLE_TIMEOUT_S)
        with suppress(KeyValueError):
            await self._role_locks.release_all()

    async def _update_lock_counts(self) -> None:
        """Set the number of role locks of each role from the active configuration."""
        async for configuration in self._config.updates():
            homes = {
                (HOME_ROLE, group.name): group.homes for group in configuration.groups.values()
            }
            owners = {
                (LIMIT_ROLE, organisation.name): part_count(
                    organisation.rate, organisation.burst, MAX_LIMIT_OWNERS
                )
                for organisation in configuration.organisations.values()
            }
            self._role_locks.set_lock_counts(homes | owners)

    async def _update_gauges(self) -> None:
        while True:
            self._home_selector.retain({vm.id for vm in self._membership.live()})
            homes = self._homes.active.values()
            self._metrics.set_connections("databases", sum(home.connections for home in homes))
            for home in homes:
                for instance, length in home.queue_lengths().items():
                    self._metrics.set_queue_length(instance, length)
            await trio.sleep(GAUGE_INTERVAL_S)


async def _listen(address: Address) -> list[trio.SocketListener]:
    return await trio.open_tcp_listeners(address.port, host=address.host, backlog=LISTEN_BACKLOG)


async def run_vm(settings: Settings) -> None:
    """Run one VM until a signal has shut it down."""
    await Vm(settings).run()
