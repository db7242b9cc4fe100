"""What a VM knows of an instance's load from the replies that reach it (session interface).

The load pattern: dozens of VMs choose between the same instances on readings that are up to a
second old. Each reading counts less the older it is, and the statements that the VM itself has
sent since count in full. No input or output.
"""

from __future__ import annotations

import enum
import math

from .placement import LoadEstimate
from .session_model import FailureCode, FrontConfiguration, InstanceLoad, Reply

__all__ = ["KnownLoad", "ReadingFault", "even_load_enabled"]

# A queue is turned over within a few statement times, so that a reading says little after this.
READING_DECAY_S = 0.5
# A reading of this age is forgotten; a home that counts anew after a restart is believed then.
READING_MAX_AGE_S = 2.0
# Service time that is assumed before the first reply.
INITIAL_SERVICE_S = 0.02
# Weight of the latest statement in the moving averages.
SERVICE_SMOOTHING = 0.1
FAILURE_SMOOTHING = 0.5
# A home's estimate rests on the statements of all VMs.
HOME_SERVICE_SMOOTHING = 0.3
# Without statements the failed share halves in this time, so that an instance that was avoided
# gets statements again, a few from each VM.
FAILURE_HALF_LIFE_S = 5.0
# A home admits a few dozen statements; larger numbers are no load of an instance.
MAX_STATEMENTS = 10_000


class ReadingFault(enum.Enum):
    """Why a reading was dropped."""

    OUTDATED = "outdated"
    FORMER_HOME = "former-home"
    IMPLAUSIBLE = "implausible"


class KnownLoad:
    """Load of one instance as known to this VM; times are in seconds of this VM's own clock."""

    def __init__(self) -> None:
        self._reading: InstanceLoad | None = None
        self._read_at = float("-inf")
        self._sent_since = 0
        self._service_s = INITIAL_SERVICE_S
        self._failed_share = 0.0
        self._failed_at = float("-inf")

    def age_s(self, now: float) -> float:
        """Return the age of the latest reading, infinite if there is none."""
        return now - self._read_at

    def record_reading(self, reading: InstanceLoad, slots: int, now: float) -> ReadingFault | None:
        """Keep a reading unless a newer one is known; return why it was dropped."""
        if not _is_plausible(reading):
            return ReadingFault.IMPLAUSIBLE
        known = self._reading
        if known is not None and self.age_s(now) <= READING_MAX_AGE_S:
            if reading.home == known.home:
                if reading.sequence <= known.sequence:
                    return ReadingFault.OUTDATED
                # The newest session tells a later home from a former one.
                opened_at = max(known.session_opened_at, reading.session_opened_at)
                reading = reading._replace(session_opened_at=opened_at)
            elif reading.session_opened_at <= known.session_opened_at:
                return ReadingFault.FORMER_HOME
        self._reading = reading
        self._read_at = now
        self._sent_since = 0
        if reading.waiting and reading.expected_wait_s:
            # A lower bound: statements may wait that an ordinary one would overtake.
            least_s = reading.expected_wait_s * slots / (reading.waiting + 1)
            self._service_s += HOME_SERVICE_SMOOTHING * max(0.0, least_s - self._service_s)
        return None

    def record_reply(
        self, reply: Reply, response_s: float | None, slots: int, now: float
    ) -> ReadingFault | None:
        """Record a reply and the load it carries; return why the load was dropped, if it was.

        `response_s` is None for a statement of the proxy itself.
        """
        fault = None if reply.load is None else self.record_reading(reply.load, slots, now)
        failure = reply.failure
        if failure is None:
            if response_s is not None:
                self.record_served(response_s, slots, now)
        elif failure.code is FailureCode.FAILED or (
            # A home refuses without a position, and its reading tells of the queue.
            failure.code is FailureCode.OVERLOADED
            and reply.reached is not None
        ):
            self.record_failed(now)
        return fault

    def record_sent(self) -> None:
        """Record that this VM has sent a statement to the instance."""
        self._sent_since += 1

    def record_served(self, response_s: float, slots: int, now: float) -> None:
        """Record the response time of a statement that succeeded, its wait for a slot included."""
        queued = 0
        if self._reading is not None and self.age_s(now) <= READING_MAX_AGE_S:
            # The queue at the last reading stands for the one that the statement waited in.
            queued = max(0, self._reading.running + self._reading.waiting - slots)
        service_s = response_s * slots / (slots + queued)
        self._service_s += SERVICE_SMOOTHING * (service_s - self._service_s)
        self._record_outcome(0.0, now)

    def record_failed(self, now: float) -> None:
        """Record a statement that the instance failed; its time says nothing about the service."""
        self._record_outcome(1.0, now)

    def estimate(self, slots: int, now: float) -> LoadEstimate:
        """Return the load as far as it is known now."""
        reading, age_s = self._reading, self.age_s(now)
        if reading is None or age_s > READING_MAX_AGE_S:
            reading, age_s = None, READING_MAX_AGE_S
        return LoadEstimate(
            slots=max(1, slots),
            service_s=max(self._service_s, 0.001),
            statements=None if reading is None else float(reading.running + reading.waiting),
            trust=0.0 if reading is None else math.exp(-age_s / READING_DECAY_S),
            age_s=age_s,
            sent_since=self._sent_since,
            failed_share=self._failed_share_at(now),
        )

    def _record_outcome(self, failed: float, now: float) -> None:
        share = self._failed_share_at(now)
        self._failed_share = share + FAILURE_SMOOTHING * (failed - share)
        self._failed_at = now

    def _failed_share_at(self, now: float) -> float:
        if not self._failed_share:
            return 0.0
        return float(self._failed_share * 0.5 ** ((now - self._failed_at) / FAILURE_HALF_LIFE_S))


def _is_plausible(reading: InstanceLoad) -> bool:
    numbers = (reading.sequence, reading.running, reading.waiting)
    return (
        min(numbers) >= 0
        and max(reading.running, reading.waiting) <= MAX_STATEMENTS
        and 0.0 <= reading.expected_wait_s < float("inf")
    )


def even_load_enabled(
    configuration: FrontConfiguration, *, urgency_order: bool, relayed: bool
) -> bool:
    """Return whether statements are spread by the load that homes report.

    Callers that compete for slots ask for it (`urgency_order`). Elsewhere an organisation's
    statements are spread only if each instance accepts a connection for each organisation, since
    opening one takes 12 ms of a slot. Only fleets with homes have readings (`relayed`).
    """
    if not relayed:
        return False
    organisations = len(configuration.organisations)
    return urgency_order or (
        bool(configuration.groups)
        and all(group.connections >= organisations for group in configuration.groups.values())
    )
