"""The owner's side of rate limits: grants tokens of the bucket parts whose seats this VM holds."""

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
# Shorter lifetimes would end before a request reaches its database.
MIN_GRANT_LIFETIME_S = 0.2
# A home counts a token's remaining lifetime from the arrival of the request, so a grant stays
# outstanding for this much longer than the requester may use it.
TRANSIT_MARGIN_S = 1.0
ROLE_CHECK_INTERVAL_S = 1.0
EMPTY_GRANT_RETRY_S = 0.1


class _OwnedPart(NamedTuple):
    """A part and the claim of the seat that it belongs to."""

    claim: int
    part: BucketPart


class TokenOwner:
    """Serve token requests and reports of the other VMs."""

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
        """Start parts as soon as their seats are held, so that they fill, until cancelled."""
        while True:
            for name in self._role_locks.held_names(LIMIT_ROLE):
                for index in self._role_locks.held_numbers(LIMIT_ROLE, name):
                    self._current_part(name, index)
            with trio.move_on_after(ROLE_CHECK_INTERVAL_S):
                await self._role_locks.wait_changed()

    def _current_part(self, name: str, index: int) -> BucketPart | None:
        """Return the part of a held seat with the rate in effect; a new holder's is empty."""
        claim = self._role_locks.claim_revisions(LIMIT_ROLE, name).get(index)
        organisation = self._find_organisation(name)
        if claim is None or organisation is None:
            return None
        now = trio.current_time()
        parts = part_count(organisation.rate, organisation.burst, self._max_parts)
        if index >= parts:
            return None
        rate = organisation.rate / parts
        capacity = part_capacity(organisation.burst, parts, index)
        held = self._parts.get((name, index))
        if held is None or held.claim != claim:
            held = self._parts[(name, index)] = _OwnedPart(claim, BucketPart(rate, capacity, now))
        else:
            held.part.reconfigure(rate, capacity, now)
        return held.part

    async def _handle_token_request(self, vm: str, request: TokenRequest) -> Message:
        part = self._current_part(request.organisation, request.part)
        if part is None:
            raise PeerUnreachableError(f"not the owner of part {request.part}")
        now = trio.current_time()
        # Tokens never outlast this VM's validity: a successor's empty part does not know them.
        left_s = self._lease.valid_until - now - TRANSIT_MARGIN_S
        lifetime_s = min(GRANT_LIFETIME_S, left_s)
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
        held = self._parts.get((report.organisation, report.part))
        if held is not None:
            held.part.record_report(
                report.grant, report.spent, report.returned, trio.current_time()
            )
