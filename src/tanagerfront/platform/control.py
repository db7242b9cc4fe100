"""Promotion orders to the platform; only the holder of the promoter lock sends them."""

from __future__ import annotations

import msgspec

from ..errors import ConnectionLostError
from ..http_client import Address, HttpConnection
from ..session_failover import PromotionOutcome
from ..session_model import boottime_s

__all__ = ["PromotionClient"]

PROMOTION_TIMEOUT_S = 1.0


class PromotionClient:
    """Client of the platform's call that promotes an instance."""

    def __init__(self, address: Address) -> None:
        self._address = address

    async def promote(
        self, group: str, instance: str, holder: str, token: int, valid_until: float
    ) -> PromotionOutcome:
        """Order the promotion of an instance to primary of its group.

        The order is idempotent and carries the fencing token of the promoter lock. Before
        `valid_until`, a time of `boottime_s`, it has been answered or is withdrawn. The outcome is
        UNKNOWN if the connection is lost before the reply.
        """
        body = msgspec.json.encode({"service": group, "id": instance})
        headers = (("X-Lease-Holder", holder), ("X-Fencing-Token", str(token)))
        try:
            connection = await HttpConnection.open(
                self._address,
                timeout_s=PROMOTION_TIMEOUT_S,
                user_timeout_ms=int(PROMOTION_TIMEOUT_S * 1000),
            )
            try:
                # Connecting takes time, in which this VM may also have been suspended.
                if boottime_s() + PROMOTION_TIMEOUT_S > valid_until:
                    return PromotionOutcome.REJECTED
                reply = await connection.request(
                    "POST", "/promote", body, headers=headers, timeout_s=PROMOTION_TIMEOUT_S
                )
            finally:
                await connection.close()
        except ConnectionLostError:
            return PromotionOutcome.UNKNOWN
        match reply.status:
            case 200:
                return PromotionOutcome.ORDERED
            case 409:
                return PromotionOutcome.NOT_RUNNING
        return PromotionOutcome.REJECTED
