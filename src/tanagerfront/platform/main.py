"""Start of one VM of the session interface on the platform."""

from __future__ import annotations

import sys

import trio

from ..change_history import ChangeHistory
from ..decision_log import DecisionLog, configure_decision_log
from ..errors import SettingsError
from ..front import Front, FrontAdapters, FrontFeatures, FrontTimes, VmIdentity
from ..http_client import Address
from .caller_wire import CallerConnections
from .changes_wire import ChangesHandler
from .control import PromotionClient
from .fleet_store import PlatformFleetStore
from .instance_control import LineInstanceControl
from .instance_wire import can_connect, open_instance, open_relay
from .relay_wire import RelayConnections
from .settings import FrontSettings, load_settings, settings_path
from .store import StoreClient, StoreEra

__all__ = ["main", "run_front"]

# The store replies in 4 ms; a call that exceeds this is repeated on a new connection.
STORE_TIMEOUT_S = 0.6
PROBE_PATH = "/v1/readiness"
# Refuses connections; stands in for the control API if the settings name none.
NO_CONTROL_ADDRESS = Address("127.0.0.1", 1)


def _front_times(settings: FrontSettings) -> FrontTimes:
    return FrontTimes(settings.key_revocation_s, settings.drain_s, settings.grace_s)


async def run_front(settings: FrontSettings) -> None:
    """Run the VM until SIGTERM."""
    log = DecisionLog(settings.vm)
    era = StoreEra()
    watches, checks, leases = (
        StoreClient(settings.store_address, STORE_TIMEOUT_S, era) for _ in range(3)
    )
    identity = VmIdentity(
        name=settings.vm,
        failure_domain=settings.failure_domain,
        host=settings.ip,
        callers=settings.caller_address,
        probes=settings.probe_address,
        peers_port=settings.first_peer_port,
        cores=settings.cores,
    )

    def reload() -> FrontTimes | None:
        try:
            return _front_times(load_settings(settings_path()))
        except SettingsError as error:
            log.failure("settings_unreadable", error=str(error))
            return None

    history = ChangeHistory()
    adapters = FrontAdapters(
        store=PlatformFleetStore(watches, checks, leases, log, history, era),
        opener=open_instance,
        relay=open_relay,
        can_connect=can_connect,
        instance_control=LineInstanceControl(),
        promotion_api=PromotionClient(settings.control_address or NO_CONTROL_ADDRESS),
        caller_server=CallerConnections,
        probe_path=PROBE_PATH,
        load_times=reload,
        relay_server=RelayConnections,
        changes_handler=lambda: ChangesHandler(history),
    )
    features = FrontFeatures(
        urgency_order=settings.urgency_order,
        evacuation_s=settings.evacuation_s,
        cold_overage=settings.cold_overage,
        cold_slack=settings.cold_slack,
    )
    await Front(identity, _front_times(settings), adapters, log, features).run()


def main() -> None:
    """Run one VM with the platform's settings file; exit with the error's code if it is invalid."""
    configure_decision_log()
    try:
        settings = load_settings(settings_path())
    except SettingsError as error:
        print(f"tanagerfront: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
    trio.run(run_front, settings)
