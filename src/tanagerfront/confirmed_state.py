"""Configuration and primaries known to this VM, and when the store last confirmed them.

Part of the session interface.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import trio

from .session_model import FrontConfiguration, boottime_s
from .shutdown import Shutdown
from .store_era import era_of

__all__ = ["CONFIRMATION_MARGIN_S", "ConfirmedState", "StalenessLimits"]

# The promoter adds this to the time for which a VM may use a primary without a confirmation.
CONFIRMATION_MARGIN_S = 0.3


class StalenessLimits(NamedTuple):
    """Maximum ages of the last confirmation or lease renewal, in seconds."""

    # The platform's limit for a withdrawn key to stop working, less the duration of a check.
    keys_s: float
    # A promoter that cannot reach every VM waits for this time plus CONFIRMATION_MARGIN_S.
    primary_s: float
    # Time to live of the VM's lease, less a margin for the latency of the store.
    lease_s: float
    # The platform's limit for new work on a leaving instance, less a margin.
    leaving_s: float


class ConfirmedState:
    """The current configuration and the times of the last confirmation and lease renewal.

    Times are readings of `boottime_s`. Those of confirmations and renewals are taken when the
    request to the store is sent, so that an age is never underestimated.
    """

    def __init__(self, limits: StalenessLimits) -> None:
        self._limits = limits
        self._configuration: FrontConfiguration | None = None
        self._confirmed_at = float("-inf")
        # The last confirmation that is newer than the registration of this VM.
        self._primaries_confirmed_at = float("-inf")
        self._lease_renewed_at = float("-inf")
        self._registered_at = float("inf")
        self._registration_lost = False
        self._suspended_at = float("-inf")
        self._awaited_revision = 0
        self._expected_until = float("-inf")
        # The planned stop of this VM, None until it begins.
        self.shutdown: Shutdown | None = None
        # Called when a primary may be used again; statements may be waiting for it.
        self.on_primaries_confirmed: Callable[[], None] = lambda: None
        self.first_configuration = trio.Event()
        self.first_confirmation = trio.Event()

    @property
    def limits(self) -> StalenessLimits:
        """Return the staleness limits."""
        return self._limits

    @limits.setter
    def limits(self, limits: StalenessLimits) -> None:
        self._limits = limits

    @property
    def configuration(self) -> FrontConfiguration | None:
        """Return the current configuration, None before the first."""
        return self._configuration

    @property
    def stopping(self) -> bool:
        """Return whether this VM is being stopped."""
        return self.shutdown is not None

    @property
    def confirmation_age_s(self) -> float:
        """Return the age of the last confirmation by the store, in seconds."""
        return boottime_s() - self._confirmed_at

    @property
    def keys_confirmed(self) -> bool:
        """Return whether the configuration is recent enough to accept API keys."""
        return self.confirmation_age_s < self._limits.keys_s

    @property
    def primaries_confirmed(self) -> bool:
        """Return whether the known primaries cannot have been replaced unnoticed."""
        if not self.lease_valid or self._primaries_confirmed_at <= self._suspended_at:
            return False
        return boottime_s() - self._primaries_confirmed_at < self._limits.primary_s

    @property
    def excludes_promotion(self) -> bool:
        """Return whether no promotion that this VM doesn't know of can have been ordered yet.

        The promoter waits for this VM until then, or until its lease has ended.
        """
        limit_s = self._limits.primary_s + CONFIRMATION_MARGIN_S
        return self.lease_valid and boottime_s() - self._primaries_confirmed_at < limit_s

    @property
    def lease_valid(self) -> bool:
        """Return whether the VM's lease is valid, so that other VMs still count it."""
        return boottime_s() < self.lease_valid_until

    @property
    def lease_valid_until(self) -> float:
        """Return when the VM's lease becomes invalid if it is not renewed, by `boottime_s`."""
        return self._lease_renewed_at + self._limits.lease_s

    @property
    def ready(self) -> bool:
        """Return whether this VM accepts new callers.

        The platform takes seconds to send callers again to a VM that was not ready, so that one
        that expects a confirmation soon stays ready and refuses their statements meanwhile.
        """
        if self.stopping or self._configuration is None:
            return False
        return self.keys_confirmed or boottime_s() < self._expected_until

    def confirm(self, asked_at: float) -> None:
        """Record that the store confirmed at or after `asked_at` that nothing has changed."""
        before = self.primaries_confirmed
        self._confirmed_at = max(self._confirmed_at, asked_at)
        if asked_at > self._registered_at:
            # The promoter waits only for registered VMs: a confirmation from before the
            # registration is not enough.
            self._primaries_confirmed_at = max(self._primaries_confirmed_at, asked_at)
        self.first_confirmation.set()
        self._report_confirmed_primaries(before)

    def expect_confirmation(self, until: float) -> None:
        """Record that a confirmation is expected by then."""
        self._expected_until = until

    def suspend_primaries(self, newer_revision: int) -> None:
        """Use no primary until the newer record is known or the store confirms all of them."""
        self._suspended_at = boottime_s()
        self._awaited_revision = max(self._awaited_revision, newer_revision)

    def record_applied(self, revision: int) -> None:
        """Record that all primary records up to a revision are known."""
        if revision < self._awaited_revision or era_of(revision) != era_of(self._awaited_revision):
            # A restored store may have lost the awaited record; only a confirmation helps then.
            return
        before = self.primaries_confirmed
        # Earlier confirmations count again: the promoter waits as long as they are valid.
        self._suspended_at = float("-inf")
        self._report_confirmed_primaries(before)

    def register(self, asked_at: float) -> None:
        """Record that the VM has registered, with a lease requested at `asked_at`."""
        self._registered_at = boottime_s()
        # After the store was restored the promoter still counts confirmations from before.
        if not (self._registration_lost and self.lease_valid):
            self._primaries_confirmed_at = float("-inf")
        self._registration_lost = False
        self.renew_lease(asked_at)

    def require_registration(self) -> None:
        """Record that a restored store may have lost the VM's registration.

        Confirmations from before count as long as they are valid, and the promoter waits for that;
        later ones don't confirm the primaries until the VM has registered again.
        """
        self._registered_at = float("inf")
        self._registration_lost = True

    def renew_lease(self, asked_at: float) -> None:
        """Record that the store renewed the VM's lease at or after `asked_at`."""
        before = self.primaries_confirmed
        self._lease_renewed_at = max(self._lease_renewed_at, asked_at)
        self._report_confirmed_primaries(before)

    def lose_lease(self) -> None:
        """Record that the VM's lease has ended."""
        self._lease_renewed_at = float("-inf")

    def _report_confirmed_primaries(self, before: bool) -> None:
        if not before and self.primaries_confirmed:
            self.on_primaries_confirmed()

    def apply(self, configuration: FrontConfiguration) -> bool:
        """Apply a configuration if it is newer than the current one; return whether it was.

        The store may return from a copy with an older one, which operators replace.
        """
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            revision = max(current.revision, configuration.revision)
            self._configuration = current._replace(revision=revision)
            return False
        self._configuration = configuration
        self.first_configuration.set()
        return True
