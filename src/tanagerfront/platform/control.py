"""Orders to the platform that one VM at a time may give."""

from __future__ import annotations

import msgspec

from ..errors import ConnectionLostError
from ..http_client import Address, HttpConnection
from ..session_failover import PromotionOutcome

__all__ = ["PromotionClient"]

TIMEOUT_S = 1.0


class PromotionClient:
    """Order promotions from the platform."""

    def __init__(self, address: Address) -> None:
        self._address = address

    async def promote(self, group: str, instance: str, holder: str, token: int) -> PromotionOutcome:
        """Order that an instance leads its group; the order is idempotent."""
        body = msgspec.json.encode({"service": group, "id": instance})
        headers = (("X-Lease-Holder", holder), ("X-Fencing-Token", str(token)))
        try:
            connection = await HttpConnection.open(self._address, timeout_s=TIMEOUT_S)
            try:
                reply = await connection.request(
                    "POST", "/promote", body, headers=headers, timeout_s=TIMEOUT_S
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
