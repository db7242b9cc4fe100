"""What this VM believes and how long ago the store confirmed it."""

from __future__ import annotations

from typing import NamedTuple

import trio

from .session_model import FrontConfiguration, boottime_s

__all__ = ["StalenessLimits", "ConfirmedState"]


class StalenessLimits(NamedTuple):
    """For how long beliefs hold without confirmation, in seconds."""

    # Bound of the platform for the end of a withdrawn key, less the time a check may take.
    keys_s: float
    # A promoter that cannot reach every VM waits until this and its own margin have passed.
    primary_s: float
    # Time to live of the VM's lease, less a margin for the way to the store.
    lease_s: float
    # Bound of the platform for new work at an instance that leaves, less a margin.
    leaving_s: float


class ConfirmedState:
    """The configuration in force and the ages of what the store said.

    Times are in the clock of `boottime_s` and are those at which the store was asked.
    """

    def __init__(self, limits: StalenessLimits) -> None:
        self._limits = limits
        self._configuration: FrontConfiguration | None = None
        self._confirmed_at = float("-inf")
        self._lease_renewed_at = float("-inf")
        self._registered_at = float("inf")
        self._suspended_at = float("-inf")
        self.stopping = False
        self.first_configuration = trio.Event()
        self.first_confirmation = trio.Event()

    @property
    def limits(self) -> StalenessLimits:
        """Return for how long beliefs hold."""
        return self._limits

    @limits.setter
    def limits(self, limits: StalenessLimits) -> None:
        self._limits = limits

    @property
    def configuration(self) -> FrontConfiguration | None:
        """Return the configuration in force, None before the first."""
        return self._configuration

    @property
    def confirmation_age_s(self) -> float:
        """Return how old the newest confirmation by the store is."""
        return boottime_s() - self._confirmed_at

    @property
    def keys_confirmed(self) -> bool:
        """Tell whether no key can have been withdrawn for longer than allowed."""
        return self.confirmation_age_s < self._limits.keys_s

    @property
    def primaries_confirmed(self) -> bool:
        """Tell whether no primary can have been replaced without this VM knowing."""
        if not self.lease_valid or self._confirmed_at <= self._registered_at:
            # The promoter waits for registered VMs only.
            return False
        if self._confirmed_at <= self._suspended_at:
            return False
        return self.confirmation_age_s < self._limits.primary_s

    @property
    def lease_valid(self) -> bool:
        """Tell whether the other VMs still count this one."""
        return boottime_s() - self._lease_renewed_at < self._limits.lease_s

    @property
    def ready(self) -> bool:
        """Tell whether new callers should come to this VM."""
        return not self.stopping and self._configuration is not None and self.keys_confirmed

    def confirm(self, asked_at: float) -> None:
        """Record that the store said at or after `asked_at` that nothing has changed."""
        self._confirmed_at = max(self._confirmed_at, asked_at)
        self.first_confirmation.set()

    def suspend_primaries(self) -> None:
        """Use no primary until the store has confirmed it after now."""
        self._suspended_at = boottime_s()

    def register(self, asked_at: float) -> None:
        """Record that the VM registered just now, with a lease asked for at `asked_at`."""
        self._registered_at = boottime_s()
        self.renew_lease(asked_at)

    def renew_lease(self, asked_at: float) -> None:
        """Record that the store renewed the VM's lease at or after `asked_at`."""
        self._lease_renewed_at = max(self._lease_renewed_at, asked_at)

    def lose_lease(self) -> None:
        """Record that the VM's lease has ended."""
        self._lease_renewed_at = float("-inf")

    def apply(self, configuration: FrontConfiguration) -> bool:
        """Put a configuration in force unless it is older; return whether it was newer."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._configuration = configuration
        self.first_configuration.set()
        return True
