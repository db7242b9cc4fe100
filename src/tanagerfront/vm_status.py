"""The status document of one VM of the HTTP interface, for operators."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from . import __version__
from .caller_connections import CallerConnections
from .config_store import ConfigStore
from .drain import DrainStatus
from .homes import Homes
from .kv import KeyValueStore
from .limits import LIMIT_ROLE
from .membership import Membership
from .role_locks import RoleLocks, VmLease
from .transactions import EntryTransactions

__all__ = ["VmStatus"]


class VmStatus:
    """Build the status document that `/status` returns."""

    def __init__(
        self,
        store: KeyValueStore,
        config: ConfigStore,
        membership: Membership,
        lease: VmLease,
        role_locks: RoleLocks,
        homes: Homes,
        drain_status: DrainStatus,
        callers: CallerConnections,
        transactions: EntryTransactions,
    ) -> None:
        self._store = store
        self._config = config
        self._membership = membership
        self._lease = lease
        self._role_locks = role_locks
        self._homes = homes
        self._drain_status = drain_status
        self._callers = callers
        self._transactions = transactions

    def document(self) -> Mapping[str, Any]:
        """Return the status document, ready for encoding as JSON."""
        live = self._membership.live()
        return {
            "vm": self._membership.vm_id,
            "failure_domain": self._membership.own.failure_domain,
            "version": __version__,
            "state": self._drain_status.state.value,
            "not_ready_reason": self._drain_status.not_ready_reason,
            "configuration_version": self._config.current.version,
            "key_value_age_s": self._store.last_answer_age_s,
            "seats_valid": self._lease.valid,
            "caller_connections": self._callers.count,
            "open_transactions": self._transactions.open_count,
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
            "rates": [self._rate_status(name) for name in self._config.current.organisations],
        }

    def _group_status(self, name: str) -> Mapping[str, Any]:
        homes = ", ".join(home.vm for home in self._homes.homes(name))
        home = self._homes.active.get(name)
        if home is None:
            return {"group": name, "homes": homes}
        snapshot = home.snapshot
        return {
            "group": name,
            "homes": homes,
            "term": snapshot.term,
            "primary": snapshot.primary.instance.name if snapshot.primary else None,
            "reachable": sum(1 for instance in snapshot.instances if instance.reachable),
            "sessions": home.connections,
        }

    def _rate_status(self, name: str) -> Mapping[str, Any]:
        owners = self._role_locks.holders(LIMIT_ROLE, name)
        return {"organisation": name, "owners": ", ".join(owners.values())}
