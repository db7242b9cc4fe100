"""Calls to a home of a group: in this process, or over the peer network."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol, TypeVar

import msgspec
import trio

from .errors import ConnectionLostError
from .messages import (
    ExecuteReply,
    ExecuteRequest,
    Message,
    TransactionReply,
    TransactionRequest,
)

__all__ = ["HomeClient", "HomeDirectory", "HomeVm", "LocalHome", "PeerCaller"]

# The home stops this much before the caller's deadline, so that its own answer, which knows
# whether the request ran, arrives in time.
REPLY_MARGIN_S = 0.05
REPLY_MARGIN_SHARE = 0.1
# A local call that ignores its own timeout is cut off after this time.
LOCAL_GRACE_S = 0.02
_Reply = TypeVar("_Reply", ExecuteReply, TransactionReply)


class HomeVm(NamedTuple):
    """A VM that holds a home seat of a group."""

    vm: str
    failure_domain: str


class HomeDirectory(Protocol):
    """Knows which VMs are homes, by their seats and heartbeats."""

    def homes(self, group: str) -> Sequence[HomeVm]:
        """Return the homes of a group that are live as far as is known."""


class LocalHome(Protocol):
    """Executes requests for the groups of which this VM is a home."""

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Run one atomic batch; raises TanagerfrontError."""

    async def transact(self, request: TransactionRequest) -> TransactionReply:
        """Run one step of an interactive transaction; raises TanagerfrontError."""


class PeerCaller(Protocol):
    """Sends a message to another VM."""

    async def call(self, vm: str, message: Message, timeout_s: float) -> Message:
        """Return the reply; raises TanagerfrontError whose `executed` is true to the facts."""


class HomeClient:
    """Send requests to a home, wherever it is."""

    def __init__(self, own_vm: str, local: LocalHome, peers: PeerCaller) -> None:
        self._own_vm = own_vm
        self._local = local
        self._peers = peers

    def is_local(self, home: HomeVm) -> bool:
        """Tell whether the home is this VM."""
        return home.vm == self._own_vm

    async def execute(self, home: HomeVm, request: ExecuteRequest) -> ExecuteReply:
        """Run one batch at the home within the request's timeout; raises TanagerfrontError."""
        if self.is_local(home):
            with _local_limit(request.timeout_s):
                return await self._local.execute(request)
            raise ConnectionLostError("the local home did not answer in time")
        return await self._remote(home, request, request.timeout_s, ExecuteReply)

    async def transact(self, home: HomeVm, request: TransactionRequest) -> TransactionReply:
        """Run one step of a transaction at the home; raises TanagerfrontError."""
        if self.is_local(home):
            with _local_limit(request.timeout_s):
                return await self._local.transact(request)
            raise ConnectionLostError("the local home did not answer in time")
        return await self._remote(home, request, request.timeout_s, TransactionReply)

    async def _remote(
        self, home: HomeVm, request: Message, timeout_s: float, expected: type[_Reply]
    ) -> _Reply:
        margin = min(REPLY_MARGIN_S, timeout_s * REPLY_MARGIN_SHARE)
        try:
            reply = await self._peers.call(home.vm, _shortened(request, margin), timeout_s)
        except trio.TooSlowError as error:
            raise ConnectionLostError(f"VM {home.vm} did not answer in time") from error
        if not isinstance(reply, expected):
            raise ConnectionLostError(f"VM {home.vm} sent an unexpected kind of reply")
        return reply


def _local_limit(timeout_s: float) -> trio.CancelScope:
    return trio.move_on_after(max(0.0, timeout_s) + LOCAL_GRACE_S)


def _shortened(request: Message, margin_s: float) -> Message:
    match request:
        case ExecuteRequest() | TransactionRequest():
            return msgspec.structs.replace(request, timeout_s=request.timeout_s - margin_s)
        case _:
            return request
