"""The lease that holds the role locks of this VM, and the time until which it is valid."""

from __future__ import annotations

import logging
import random
from typing import NamedTuple

import trio

from ._membership_impl import NEVER
from .errors import KeyValueError
from .kv import KeyValueStore
from .membership import Membership

__all__ = ["LeaseSettings", "VmLease"]

_log = logging.getLogger(__name__)


class LeaseSettings(NamedTuple):
    """Times of the lease; they depend on the heartbeat times of MembershipSettings."""

    ttl_s: int = 10
    # Allows for clock drift between this VM and the service, and for the service's rounding.
    drift_margin_s: float = 1.0
    # Upper bound; each interval is up to a fifth shorter, which spreads the calls of a fleet.
    keep_alive_interval_s: float = 2.0
    retry_interval_s: float = 1.0
    # Evidence of an outage extends the validity to this long after the time of the evidence.
    extension_s: float = 3.0
    # After a gap in the contact of more than `contact_gap_s`, or a pause of the process of more
    # than `pause_s`, the VM claims no lock for `outage_grace_s`. This is the length of an
    # extension plus 3.5 s, within which every VM that a majority of the members can reach learns
    # of the contact.
    contact_gap_s: float = 3.0
    pause_s: float = 1.5
    outage_grace_s: float = 7.0
    serve_without_contact_s: float = 3.0
    check_interval_s: float = 0.25
    start_jitter_s: float = 0.5


class VmLease:
    """The lease of this VM in the key-value service, renewed for as long as the VM runs."""

    def __init__(
        self,
        kv: KeyValueStore,
        membership: Membership,
        *,
        settings: LeaseSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._kv = kv
        self._membership = membership
        self._settings = settings or LeaseSettings()
        self._rng = rng or random.Random()
        self._lease = 0
        self._renewed_until = NEVER
        self._extended_until = NEVER
        self._answered_at = NEVER
        self._tracked_at = trio.current_time()
        self._contact_since = trio.current_time()
        self._releasing = False

    @property
    def lease(self) -> int:
        """Return the id of the current lease, 0 if there is none."""
        return self._lease

    @property
    def valid_until(self) -> float:
        """Return the monotonic time in seconds until which this VM may rely on its role locks."""
        return max(self._renewed_until, self._extended_until)

    @property
    def valid(self) -> bool:
        """Return whether this VM may rely on its role locks now."""
        return trio.current_time() < self.valid_until

    @property
    def contact_stable(self) -> bool:
        """Return whether the contact with the service has lasted for at least `outage_grace_s`."""
        self._track_contact()
        lasted_s = trio.current_time() - self._contact_since
        return lasted_s >= self._settings.outage_grace_s

    def may_serve_keyed(self) -> bool:
        """Return whether requests with a caller's key may be served.

        They may while the service or a majority of the members has answered recently.
        """
        reached_at = max(
            self._membership.service_answered_at, self._membership.majority_answered_at
        )
        return trio.current_time() - reached_at < self._settings.serve_without_contact_s

    async def run(self) -> None:
        """Obtain, renew and extend the lease until cancelled."""
        await trio.sleep(self._rng.uniform(0, self._settings.start_jitter_s))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._extend_forever)
            nursery.start_soon(self._keep_alive)

    async def release(self) -> None:
        """Revoke the lease, which frees all its role locks; raises KeyValueError."""
        self._releasing = True
        lease, self._lease = self._lease, 0
        self._renewed_until = self._extended_until = NEVER
        if lease:
            await self._kv.revoke(lease)

    async def _extend_forever(self) -> None:
        while True:
            self._track_contact()
            self._extend()
            await trio.sleep(self._settings.check_interval_s)

    def _track_contact(self) -> None:
        now = trio.current_time()
        answered_at = self._membership.service_answered_at
        paused = now - self._tracked_at > self._settings.pause_s
        # The difference between the last two answers shows a gap that ended before this check.
        gap_s = max(now - answered_at, answered_at - self._answered_at)
        if paused or gap_s > self._settings.contact_gap_s:
            self._contact_since = now
        self._tracked_at = now
        self._answered_at = answered_at

    def _extend(self) -> None:
        """Extend a validity that has not expired, if there is evidence of an outage.

        After it has expired, another VM may already have claimed the locks.
        """
        if not self.valid:
            return
        evidence = self._membership.outage_evidence()
        if evidence.unreachable:
            until = evidence.at + self._settings.extension_s
            self._extended_until = max(self._extended_until, until)

    async def _keep_alive(self) -> None:
        while not self._releasing:
            try:
                await self._renew()
                delay_s = self._renewal_interval_s()
            except KeyValueError as error:
                _log.warning("could not renew the lease: %s", error)
                delay_s = self._settings.retry_interval_s
            await trio.sleep(delay_s * self._rng.uniform(0.8, 1.0))

    def _renewal_interval_s(self) -> float:
        # Without a majority, this VM may serve only while the service answers.
        isolated = (
            trio.current_time() - self._membership.majority_answered_at
            > self._settings.retry_interval_s
        )
        return self._settings.retry_interval_s if isolated else self._settings.keep_alive_interval_s

    async def _renew(self) -> None:
        if self._lease and not await self._renew_existing(self._lease):
            _log.warning("the lease has ended; all role locks are lost")
            self._lease = 0
            self._renewed_until = self._extended_until = NEVER
        if not self._lease and not self._releasing:
            await self._grant()

    async def _renew_existing(self, lease: int) -> bool:
        """Renew the lease and return False if it has ended."""
        sent_at = trio.current_time()
        ttl_s = await self._kv.keep_alive(lease)
        if ttl_s > 0 and lease == self._lease:
            # The service counts from the receipt of the call, which is never before it was sent.
            until = sent_at + ttl_s - self._settings.drift_margin_s
            self._renewed_until = max(self._renewed_until, until)
        return ttl_s > 0

    async def _grant(self) -> None:
        sent_at = trio.current_time()
        lease = await self._kv.grant(self._settings.ttl_s)
        if self._releasing:
            await self._kv.revoke(lease)
            return
        self._lease = lease
        self._renewed_until = sent_at + self._settings.ttl_s - self._settings.drift_margin_s
