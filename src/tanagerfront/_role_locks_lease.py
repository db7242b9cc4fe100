"""The lease of this VM and how long it may rely on it."""

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
    """Times of the lease; see MembershipSettings for the heartbeats they depend on."""

    ttl_s: int = 10
    # Covers the drift of two clocks and the rounding of the service.
    drift_margin_s: float = 1.0
    # At most; the actual interval is up to a fifth shorter, so that a fleet spreads its calls.
    keep_alive_s: float = 2.0
    retry_s: float = 1.0
    # Length of the extension by one piece of evidence, from the time of the evidence.
    extension_s: float = 3.0
    # A VM without contact for longer than `contact_gap_s`, or that did not run for `pause_s`, has
    # reconnected. It claims no seat for `outage_grace_s`: an extension, plus the 3.5 s in which
    # every VM that a majority of the members can reach learns of the contact.
    contact_gap_s: float = 3.0
    pause_s: float = 1.5
    outage_grace_s: float = 7.0
    serve_without_contact_s: float = 3.0
    tick_s: float = 0.25
    start_jitter_s: float = 0.5


class VmLease:
    """One lease in the key-value service, kept alive for as long as the VM runs."""

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
        self._connected_since = trio.current_time()
        self._releasing = False

    @property
    def lease(self) -> int:
        """Return the id of the lease, 0 if there is none."""
        return self._lease

    @property
    def valid_until(self) -> float:
        """Return the monotonic time in seconds until which the seats of this VM are its own."""
        return max(self._renewed_until, self._extended_until)

    @property
    def valid(self) -> bool:
        """Tell whether the seats of this VM are its own now."""
        return trio.current_time() < self.valid_until

    @property
    def contact_stable(self) -> bool:
        """Tell whether the contact with the service has lasted for the outage grace."""
        self._track_contact()
        lasted_s = trio.current_time() - self._connected_since
        return lasted_s >= self._settings.outage_grace_s

    def may_serve_keyed(self) -> bool:
        """Tell whether requests with a key may be served."""
        reached_at = max(
            self._membership.service_answered_at, self._membership.majority_answered_at
        )
        return trio.current_time() - reached_at < self._settings.serve_without_contact_s

    async def run(self) -> None:
        """Hold a lease until cancelled."""
        await trio.sleep(self._rng.uniform(0, self._settings.start_jitter_s))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            nursery.start_soon(self._keep_alive)

    async def release(self) -> None:
        """End the lease and with it all seats; raises KeyValueError."""
        self._releasing = True
        lease, self._lease = self._lease, 0
        self._renewed_until = self._extended_until = NEVER
        if lease:
            await self._kv.revoke(lease)

    async def _tick(self) -> None:
        while True:
            self._track_contact()
            self._extend()
            await trio.sleep(self._settings.tick_s)

    def _track_contact(self) -> None:
        now = trio.current_time()
        answered_at = self._membership.service_answered_at
        paused = now - self._tracked_at > self._settings.pause_s
        # The difference also covers a gap that ended before this look.
        gap_s = max(now - answered_at, answered_at - self._answered_at)
        if paused or gap_s > self._settings.contact_gap_s:
            self._connected_since = now
        self._tracked_at = now
        self._answered_at = answered_at

    def _extend(self) -> None:
        """Extend the validity by evidence, but never after it has lapsed.

        While it had lapsed, another VM could have claimed the seats unnoticed.
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
                delay_s = self._interval_s()
            except KeyValueError as error:
                _log.warning("the lease could not be renewed: %s", error)
                delay_s = self._settings.retry_s
            await trio.sleep(delay_s * self._rng.uniform(0.8, 1.0))

    def _interval_s(self) -> float:
        # Without a majority, only the service's answers let this VM serve on.
        isolated = (
            trio.current_time() - self._membership.majority_answered_at > self._settings.retry_s
        )
        return self._settings.retry_s if isolated else self._settings.keep_alive_s

    async def _renew(self) -> None:
        if self._lease and not await self._renew_existing(self._lease):
            _log.warning("the lease has ended; all seats are lost")
            self._lease = 0
            self._renewed_until = self._extended_until = NEVER
        if not self._lease and not self._releasing:
            await self._grant()

    async def _renew_existing(self, lease: int) -> bool:
        """Renew and tell whether the lease has not ended."""
        sent_at = trio.current_time()
        ttl_s = await self._kv.keep_alive(lease)
        if ttl_s > 0 and lease == self._lease:
            # The service counts from its receipt of the call, which cannot be before the sending.
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
