"""Client of the home VMs of the HTTP interface: in this process or over the peer network."""

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

# The home gets a timeout that is shorter by this margin, so that its own reply, which says whether
# the request ran, arrives before the caller's deadline.
REPLY_MARGIN_S = 0.05
REPLY_MARGIN_SHARE = 0.1
# A local call that exceeds its timeout by this time is cancelled.
LOCAL_CALL_GRACE_S = 0.02
_Reply = TypeVar("_Reply", ExecuteReply, TransactionReply)


class HomeVm(NamedTuple):
    """A VM that holds a home lock of a group."""

    vm: str
    failure_domain: str


class HomeDirectory(Protocol):
    """Directory of the home VMs, from their role locks and heartbeats."""

    def homes(self, group: str) -> Sequence[HomeVm]:
        """Return the homes of a group that were live when last checked."""


class LocalHome(Protocol):
    """Execute requests for the groups of which this VM is a home."""

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Run one atomic batch; raises TanagerfrontError."""

    async def transact(self, request: TransactionRequest) -> TransactionReply:
        """Run one step of an interactive transaction; raises TanagerfrontError."""


class PeerCaller(Protocol):
    """Send messages to other VMs."""

    async def call(self, vm: str, message: Message, timeout_s: float) -> Message:
        """Return the reply; raises TanagerfrontError, `executed` says whether the request ran."""


class HomeClient:
    """Send requests to a home on this VM or on another one."""

    def __init__(self, own_vm: str, local: LocalHome, peers: PeerCaller) -> None:
        self._own_vm = own_vm
        self._local = local
        self._peers = peers

    def is_local(self, home: HomeVm) -> bool:
        """Return whether the home is this VM."""
        return home.vm == self._own_vm

    async def execute(self, home: HomeVm, request: ExecuteRequest) -> ExecuteReply:
        """Run one batch at the home within the request's timeout; raises TanagerfrontError."""
        if self.is_local(home):
            with _limit_local_call(request.timeout_s):
                return await self._local.execute(request)
            raise ConnectionLostError("the local home did not answer in time")
        return await self._call_peer(home, request, request.timeout_s, ExecuteReply)

    async def transact(self, home: HomeVm, request: TransactionRequest) -> TransactionReply:
        """Run one step of a transaction at the home; raises TanagerfrontError."""
        if self.is_local(home):
            with _limit_local_call(request.timeout_s):
                return await self._local.transact(request)
            raise ConnectionLostError("the local home did not answer in time")
        return await self._call_peer(home, request, request.timeout_s, TransactionReply)

    async def _call_peer(
        self, home: HomeVm, request: Message, timeout_s: float, expected: type[_Reply]
    ) -> _Reply:
        margin = min(REPLY_MARGIN_S, timeout_s * REPLY_MARGIN_SHARE)
        try:
            reply = await self._peers.call(
                home.vm, _with_shorter_timeout(request, margin), timeout_s
            )
        except trio.TooSlowError as error:
            raise ConnectionLostError(f"VM {home.vm} did not answer in time") from error
        if not isinstance(reply, expected):
            raise ConnectionLostError(f"VM {home.vm} sent an unexpected kind of reply")
        return reply


def _limit_local_call(timeout_s: float) -> trio.CancelScope:
    return trio.move_on_after(max(0.0, timeout_s) + LOCAL_CALL_GRACE_S)


def _with_shorter_timeout(request: Message, margin_s: float) -> Message:
    match request:
        case ExecuteRequest() | TransactionRequest():
            return msgspec.structs.replace(request, timeout_s=request.timeout_s - margin_s)
        case _:
            return request
