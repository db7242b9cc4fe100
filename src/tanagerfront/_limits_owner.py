"""The owner's side of the rate limits of the HTTP interface.

A VM owns the bucket parts whose role locks it holds, and grants their tokens to all VMs.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import trio

from ._limits_bucket import BucketPart, part_capacity, part_count
from .configuration import Organisation
from .errors import PeerUnreachableError
from .messages import Message, TokenGrant, TokenReport, TokenRequest
from .peers import PeerNetwork
from .role_locks import RoleLocks, VmLease

__all__ = ["LIMIT_ROLE", "TRANSIT_MARGIN_S", "TokenOwner"]

LIMIT_ROLE = "limit"
GRANT_LIFETIME_S = 2.0
# Tokens with a shorter lifetime would expire before their statement reaches the database.
MIN_GRANT_LIFETIME_S = 0.2
# A home counts a token's remaining lifetime from the arrival of the request, so that the token may
# be used there later than at the requester. A grant stays outstanding for this much longer.
TRANSIT_MARGIN_S = 1.0
ROLE_CHECK_INTERVAL_S = 1.0
EMPTY_GRANT_RETRY_S = 0.1


class _OwnedPart(NamedTuple):
    """A part and the revision of the role lock claim under which this VM owns it."""

    claim_revision: int
    part: BucketPart


class TokenOwner:
    """Serve token requests and reports for the bucket parts of this VM."""

    def __init__(
        self,
        network: PeerNetwork,
        role_locks: RoleLocks,
        lease: VmLease,
        find_organisation: Callable[[str], Organisation | None],
        *,
        max_parts: int = 3,
    ) -> None:
        self._role_locks = role_locks
        self._lease = lease
        self._find_organisation = find_organisation
        self._max_parts = max_parts
        self._parts: dict[tuple[str, int], _OwnedPart] = {}
        network.register(TokenRequest, self._handle_token_request)
        network.register(TokenReport, self._handle_token_report)

    async def run(self) -> None:
        """Create parts as soon as their role locks are held, until cancelled.

        A part is created empty and fills from then on.
        """
        while True:
            for name in self._role_locks.held_names(LIMIT_ROLE):
                for index in self._role_locks.held_numbers(LIMIT_ROLE, name):
                    self._current_part(name, index)
            with trio.move_on_after(ROLE_CHECK_INTERVAL_S):
                await self._role_locks.wait_changed()

    def _current_part(self, name: str, index: int) -> BucketPart | None:
        """Return a part with its current rate and capacity, or None if this VM doesn't own it.

        After a new claim of its role lock the part starts empty, since another VM may have owned it
        in between.
        """
        claim_revision = self._role_locks.claim_revisions(LIMIT_ROLE, name).get(index)
        organisation = self._find_organisation(name)
        if claim_revision is None or organisation is None:
            return None
        now = trio.current_time()
        parts = part_count(organisation.rate, organisation.burst, self._max_parts)
        if index >= parts:
            return None
        rate = organisation.rate / parts
        capacity = part_capacity(organisation.burst, parts, index)
        owned_part = self._parts.get((name, index))
        if owned_part is None or owned_part.claim_revision != claim_revision:
            owned_part = self._parts[(name, index)] = _OwnedPart(
                claim_revision, BucketPart(rate, capacity, now)
            )
        else:
            owned_part.part.reconfigure(rate, capacity, now)
        return owned_part.part

    async def _handle_token_request(self, vm: str, request: TokenRequest) -> Message:
        part = self._current_part(request.organisation, request.part)
        if part is None:
            raise PeerUnreachableError(
                f"this VM does not own part {request.part} of the token bucket"
            )
        now = trio.current_time()
        # Tokens must not outlast the validity of this VM's lease: a successor starts with an empty
        # part and doesn't count them.
        remaining_s = self._lease.valid_until - now - TRANSIT_MARGIN_S
        lifetime_s = min(GRANT_LIFETIME_S, remaining_s)
        count = request.count if lifetime_s >= MIN_GRANT_LIFETIME_S else 0.0
        grant = part.grant(count, now + lifetime_s + TRANSIT_MARGIN_S, now)
        retry_after_s = part.wait_s(now) if count else EMPTY_GRANT_RETRY_S
        return TokenGrant(
            request.organisation,
            request.part,
            grant.id,
            grant.tokens,
            lifetime_s,
            retry_after_s,
            part.available(now),
            part.capacity,
        )

    async def _handle_token_report(self, vm: str, report: TokenReport) -> None:
        owned_part = self._parts.get((report.organisation, report.part))
        if owned_part is not None:
            owned_part.part.record_report(
                report.grant, report.spent, report.returned, trio.current_time()
            )
