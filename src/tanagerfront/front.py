"""One VM of the session interface: its components, startup and shutdown."""

from __future__ import annotations

import signal
import uuid
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import msgspec
import trio

from .caller_session import SessionServices
from .confirmed_state import ConfirmedState, StalenessLimits
from .decision_log import DecisionLog
from .entry_id import EntryId
from .errors import BadRequestError, KeyValueError
from .explain_view import EXPLAIN_PATH
from .fleet_store import RELAY_VERSION, FleetStore, RegisteredVm
from .fleet_sync import LEASE_TTL_S, FleetSync
from .front_metrics import FrontMetrics
from .http_client import Address
from .http_server import ConnectionHandler, Request, Response, serve_http
from .instance_directory import Instance, InstanceDirectory
from .instance_pool import Opener
from .instance_watch import InstanceWatch
from .placement_report import PlacementQuestion, report_placement
from .position_exchange import positions_to_pass, record_passed_positions
from .rate_shares import RateShares, TokenLoanRequest
from .relay import RelayOpener, RoutingOpener
from .session_failover import FailoverController, InstanceControl, PromotionApi, build_heartbeat
from .session_model import boottime_s
from .session_peer_messages import Heartbeat
from .session_peers import VmPeers
from .shutdown import Shutdown
from .slot_admission import ArrivalOrder, UrgencyOrder
from .slot_report import report_slot_queue
from .supervision import run_restarting

__all__ = [
    "CallerServer",
    "Front",
    "FrontAdapters",
    "FrontFeatures",
    "FrontTimes",
    "ProbeHandler",
    "VmIdentity",
]

METRICS_PATH = "/metrics"
# The platform takes a VM out of rotation after two probes, one per second, without a 200 response.
# New callers connect until then.
ROTATION_DELAY_S = 2.6
# Interval at which a stopping VM closes sessions that have become idle.
STOP_POLL_INTERVAL_S = 0.05
# Time for the last replies of a stopping VM to be sent.
LAST_REPLIES_S = 0.2
# The VM treats its lease as ended this long before the store does. A renewal takes milliseconds;
# the rest allows for clocks that run at different rates.
LEASE_MARGIN_S = 0.8
# A leaving primary gets no new work from this long before the platform's bound.
LEAVING_MARGIN_S = 1.5
# A lease that could not be released in time expires by itself.
RELEASE_TIMEOUT_S = 0.5
# All sessions of a failed VM may reconnect at the same time.
LISTEN_BACKLOG = 1024
# Intervals of the status log line and of the check for a changed settings file.
STATUS_INTERVAL_S = 10.0
RELOAD_INTERVAL_S = 5.0


class VmIdentity(NamedTuple):
    """Name, failure domain and listening addresses of this VM."""

    name: str
    failure_domain: str
    host: str
    callers: Address
    probes: Address
    peers_port: int
    cores: float


class FrontTimes(NamedTuple):
    """Time limits set by the platform, in seconds."""

    keys_s: float
    leaving_s: float
    grace_s: float


class FrontFeatures(NamedTuple):
    """Optional behaviour that the settings of a deployment ask for."""

    # Statements wait for an instance's slots in the order of their urgency.
    urgency_order: bool = False
    # Limit for the last request to an instance of an evacuated failure domain, in seconds; None
    # where the operators evacuate none.
    evacuation_s: float | None = None
    # Factor and number of requests by which a cold instance may exceed its rate in a second.
    cold_overage: float = 1.0
    cold_slack: float = 0.0


class CallerServer(Protocol):
    """Server for the connections of callers, independent of their protocol."""

    @property
    def count(self) -> int:
        """Return the number of open connections."""

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""

    def close_waiting(self, shutdown: Shutdown) -> None:
        """Close the connections that wait for a message for which a shutdown does not wait."""

    def interrupt(self) -> int:
        """Answer the statements in progress now, close all connections, and count the former."""

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""


class RelayServer(Protocol):
    """Server for sessions that other VMs relay to instances through this VM, their home."""

    @property
    def count(self) -> int:
        """Return the number of open sessions."""

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""

    def stop(self, shutdown: Shutdown) -> None:
        """Refuse new sessions and close those without a statement in progress."""


class FrontAdapters(NamedTuple):
    """Adapters to the store, instances, callers, other VMs and the platform."""

    store: FleetStore
    opener: Opener
    relay: RelayOpener
    can_connect: Callable[[Address], Awaitable[bool]]
    instance_control: InstanceControl
    promotion_api: PromotionApi
    caller_server: Callable[[SessionServices], CallerServer]
    # Path of the platform's readiness probe.
    probe_path: str
    # Returns the times of the settings file, None if it can't be read.
    load_times: Callable[[], FrontTimes | None]
    relay_server: Callable[[InstanceDirectory, DecisionLog], RelayServer]
    # Serves changes of the store to the other VMs.
    changes_handler: Callable[[], ConnectionHandler]


class ProbeHandler(ConnectionHandler):
    """Respond to the platform's readiness probe, and serve the metrics and placement reports."""

    def __init__(
        self,
        path: str,
        ready: Callable[[], bool],
        metrics: FrontMetrics,
        services: SessionServices,
    ) -> None:
        self._path = path
        self._ready = ready
        self._metrics = metrics
        self._services = services

    async def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        if request.path == self._path:
            return Response(200 if self._ready() else 503)
        if request.path == METRICS_PATH:
            return Response(200, self._metrics.render(), content_type="text/plain; version=0.0.4")
        if request.path == EXPLAIN_PATH:
            return self._explain(request)
        return Response(404)

    def _explain(self, request: Request) -> Response:
        """Return the report of where a statement would go now."""
        try:
            question = _placement_question(request)
            return Response(200, msgspec.json.encode(report_placement(self._services, question)))
        except BadRequestError as error:
            return Response(error.status, msgspec.json.encode({"error": error.message}))


class Front:
    """The components of one VM, run until the VM is stopped."""

    def __init__(
        self,
        identity: VmIdentity,
        times: FrontTimes,
        adapters: FrontAdapters,
        log: DecisionLog,
        features: FrontFeatures | None = None,
    ) -> None:
        self._identity = identity
        self._features = features or FrontFeatures()
        self._times = times
        self._reload_times = adapters.load_times
        self._probe_path = adapters.probe_path
        self._changes_handler = adapters.changes_handler
        self._log = log
        self._metrics = FrontMetrics()
        own = RegisteredVm(
            identity.name,
            identity.host,
            identity.peers_port,
            identity.failure_domain,
            uuid.uuid4().hex[:12],
            identity.cores,
            RELAY_VERSION,
        )
        self._confirmed_state = ConfirmedState(_staleness_limits(times))
        opener = RoutingOpener(
            own.name, adapters.opener, adapters.relay, lambda: self._sync.vms, log
        )
        self._directory = InstanceDirectory(
            opener,
            identity.failure_domain,
            UrgencyOrder() if self._features.urgency_order else ArrivalOrder(),
        )
        self._directory.uses_relay = opener.uses_relay
        self._directory.home_rank = opener.home_rank
        if self._features.cold_overage > 1.0 or self._features.cold_slack > 0.0:
            opener.is_cold = self._directory.is_cold
            self._directory.cold_allowance = (
                self._features.cold_overage,
                self._features.cold_slack,
            )
        self._directory.on_change = self._log_instance
        self._confirmed_state.on_primaries_confirmed = self._directory.notify_all
        self._rates = RateShares(own.name, self._borrow, self._surplus_of)
        self._sync = FleetSync(
            adapters.store,
            self._confirmed_state,
            self._directory,
            self._rates,
            own,
            log,
            evacuation_s=self._features.evacuation_s,
        )
        self._sync.on_evacuation_change = self._record_evacuation
        self._peers = VmPeers(
            own,
            vms=lambda: self._sync.vms,
            heartbeat_recipients=lambda: self._sync.heartbeat_recipients,
            replies_to_heartbeats=lambda: self._sync.replies_to_heartbeats,
            heartbeat=self._heartbeat,
            echo=self._sync.echo,
            log=log,
        )
        self._peers.rates = self._rates
        self._peers.on_heartbeat = self._receive_heartbeat
        self._peers.positions = lambda: positions_to_pass(self._directory, boottime_s())
        self._sync.on_primary_change = self._peers.broadcast_heartbeat
        self._sync.on_writes_ended = self._peers.send_heartbeat
        self._failover = FailoverController(
            adapters.store,
            self._sync,
            self._confirmed_state,
            self._directory,
            self._peers,
            adapters.instance_control,
            adapters.promotion_api,
            own,
            log,
        )
        self._own = own
        self._store = adapters.store
        self._watch = InstanceWatch(
            self._directory, self._confirmed_state, adapters.can_connect, log
        )
        self._watch.samples_for_others = lambda: self._sync.replies_to_heartbeats
        services = SessionServices(
            self._confirmed_state,
            self._directory,
            self._rates,
            log,
            self._metrics,
            self._features.urgency_order,
        )
        self._session_services = services
        self._callers = adapters.caller_server(services)
        self._relays = adapters.relay_server(self._directory, log)
        # Scope in which callers' connections are accepted.
        self._accepting = trio.CancelScope()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the callers' work within the grace time."""
        identity = self._identity
        listener = await _listen(identity.callers)
        probes = await _listen(identity.probes)
        relays = await _listen(self._own.address)
        changes = await _listen(self._own.changes_address)
        await self._peers.bind()
        self._log.decision("started", **identity._asdict(), incarnation=self._own.incarnation)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._sync.run)
                nursery.start_soon(self._peers.run)
                nursery.start_soon(run_restarting, self._failover.run, self._log)
                nursery.start_soon(run_restarting, self._watch.run, self._log)
                nursery.start_soon(run_restarting, self._run_status, self._log)
                nursery.start_soon(serve_http, [probes], lambda stream: self._probe_handler())
                nursery.start_soon(serve_http, [changes], lambda stream: self._changes_handler())
                nursery.start_soon(self._accept_callers, listener, nursery)
                nursery.start_soon(trio.serve_listeners, self._relays.serve, [relays])
                nursery.start_soon(run_restarting, self._run_reload, self._log)
                async for signal_number in signals:
                    if signal_number != signal.SIGHUP:
                        break
                    self._reload("signal")
                await self._stop()
                nursery.cancel_scope.cancel()
        self._log.decision("stopped", open_connections=self._callers.count)

    async def _run_reload(self) -> None:
        """Reload the settings file periodically, as it may change without a signal."""
        while True:
            await trio.sleep(RELOAD_INTERVAL_S)
            self._reload("file")

    def _reload(self, cause: str) -> None:
        """Apply changed times of the settings; changed addresses and names need a restart."""
        times = self._reload_times()
        if times is None or times == self._times:
            if cause == "signal":
                self._log.decision("reload", cause=cause, outcome="nothing has changed")
            return
        self._times = times
        self._confirmed_state.limits = _staleness_limits(times)
        self._log.decision("reload", cause=cause, outcome="in use", **times._asdict())

    async def _run_status(self) -> None:
        """Log connection counts and the age of the confirmed state periodically."""
        while True:
            await trio.sleep(STATUS_INTERVAL_S)
            self._metrics.gauge(
                "confirmation_age_seconds", self._confirmed_state.confirmation_age_s
            )
            self._metrics.gauge("caller_connections", self._callers.count)
            for instance in self._directory.instances():
                load, name = instance.load_estimate(boottime_s()), instance.registration.id
                self._metrics.gauge("load_reading_age_seconds", load.age_s, instance=name)
                self._metrics.gauge("load_statements", load.statements or 0.0, instance=name)
            self._log.decision(
                "status",
                callers=self._callers.count,
                vms=len(self._sync.vms),
                coordinator=self._sync.is_coordinator,
                ready=self._confirmed_state.ready,
                confirmed_s=round(self._confirmed_state.confirmation_age_s, 3),
                **self._connection_counts(),
                store_calls=self._store.calls,
            )
            for instance in self._directory.instances():
                report_slot_queue(instance, self._log, self._metrics)

    def _connection_counts(self) -> dict[str, int]:
        """Count open and ever opened connections to instances, direct and relayed ones."""
        counts = Counter[str]()
        for instance in self._directory.instances():
            path = "relayed" if self._directory.uses_relay(instance.registration) else "direct"
            counts[f"{path}_connections"] += instance.pool.open_connections
            counts[f"{path}_opened"] += instance.pool.opened_total
        return dict(counts)

    async def _accept_callers(self, listener: trio.SocketListener, nursery: trio.Nursery) -> None:
        """Accept callers' connections until the VM has stopped accepting them."""
        with self._accepting:
            await trio.serve_listeners(self._callers.serve, [listener], handler_nursery=nursery)

    async def _stop(self) -> None:
        """Finish the callers' statements and transactions within the grace time."""
        shutdown = Shutdown(trio.current_time(), self._times.grace_s)
        self._confirmed_state.shutdown = shutdown
        self._relays.stop(shutdown)
        self._log.decision("stopping", open_connections=self._callers.count)
        rotation_ends_at = shutdown.started_at + ROTATION_DELAY_S
        while (now := trio.current_time()) < shutdown.ends_at:
            self._callers.close_waiting(shutdown)
            if not self._callers.count and not self._relays.count and now > rotation_ends_at:
                break
            await trio.sleep(STOP_POLL_INTERVAL_S)
        # A caller that connects from now on could only be cut off.
        self._accepting.cancel()
        if interrupted := self._callers.interrupt():
            self._log.failure("statements_interrupted", count=interrupted)
        with trio.move_on_after(LAST_REPLIES_S):
            await self._callers.wait_closed()
        await self._failover.stop()
        lease = self._sync.lease
        if lease is None:
            return
        # The promoter does not wait for a VM without a lease.
        self._confirmed_state.lose_lease()
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            try:
                await self._store.release(lease)
            except KeyValueError as error:
                self._log.failure("lease_not_released", error=str(error))

    def _probe_handler(self) -> ConnectionHandler:
        return ProbeHandler(
            self._probe_path,
            lambda: self._confirmed_state.ready,
            self._metrics,
            self._session_services,
        )

    async def _borrow(self, request: TokenLoanRequest, lender: str) -> int:
        return await self._peers.borrow(request, lender)

    def _surplus_of(self, vm: str, organisation: str) -> int:
        heartbeat = self._peers.recent_heartbeat(vm)
        return heartbeat.surplus.get(organisation, 0) if heartbeat else 0

    def _heartbeat(self) -> Heartbeat:
        return build_heartbeat(self._own, self._directory, self._sync, self._rates.surpluses())

    def _receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Use what a peer reports, except positions from a VM with a newer primary record."""
        if self._sync.record_heartbeat(heartbeat) and heartbeat.echo is not None:
            record_passed_positions(self._directory, heartbeat.echo.sent_at, heartbeat.positions)

    def _record_evacuation(self, failure_domain: str, evacuated: bool) -> None:
        self._metrics.gauge("evacuated", float(evacuated), failure_domain=failure_domain)

    def _log_instance(self, change: str, instance: Instance) -> None:
        self._log.decision(f"instance_{change}", **instance.registration._asdict())


def _placement_question(request: Request) -> PlacementQuestion:
    """Return the question of a request; raises BadRequestError."""
    query = request.query
    after = query.get("after")
    try:
        entry = EntryId(*(int(part) for part in after.split("."))) if after else None
    except (TypeError, ValueError) as error:
        raise BadRequestError(f"malformed position {after!r}; expected TERM.NUMBER") from error
    return PlacementQuestion(
        query.get("database", ""), query.get("organisation", ""), "writes" in query, entry
    )


def _staleness_limits(times: FrontTimes) -> StalenessLimits:
    # A request is refused a little before the platform's bound, because it still has to reach the
    # instance. Primaries are no longer used once the platform accepts failures of keyed requests.
    return StalenessLimits(
        keys_s=0.9 * times.keys_s,
        primary_s=0.6 * times.keys_s,
        lease_s=LEASE_TTL_S - LEASE_MARGIN_S,
        leaving_s=times.leaving_s - LEAVING_MARGIN_S,
    )


async def _listen(address: Address) -> trio.SocketListener:
    listeners = await trio.open_tcp_listeners(
        address.port, host=address.host, backlog=LISTEN_BACKLOG
    )
    return listeners[0]
