"""Fakes of the services that the HTTP interface for callers uses."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping, Sequence
from typing import Any
from unittest import mock

import msgspec
import trio

from tanagerfront.authentication import Authenticator
from tanagerfront.configuration import (
    Configuration,
    Group,
    KeyDigest,
    Organisation,
    RequestClass,
    Route,
)
from tanagerfront.entry import CallerHandler
from tanagerfront.entry_id import EntryId
from tanagerfront.entry_services import CallerTimeouts, EntryServices
from tanagerfront.errors import RateLimitedError, SessionTokenError
from tanagerfront.home_calls import HomeClient, HomeVm
from tanagerfront.home_choice import HomeSelector
from tanagerfront.http_server import Request, Response
from tanagerfront.messages import (
    ExecuteReply,
    ExecuteRequest,
    Message,
    TransactionReply,
    TransactionRequest,
    WireResult,
)
from tanagerfront.transactions import EntryTransactions, TransactionLimits

KEY = "foremen-key-0001"
OTHER_KEY = "brewers-key-0002"
REACHED = EntryId(1, 7)
RESULT = WireResult(("n",), [[1]], 0)


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def organisation(name: str, *keys: KeyDigest) -> Organisation:
    return Organisation(name, keys, 200, 400, 1, frozenset({"orders-1"}))


def configuration(version: int = 1, keys: Sequence[KeyDigest] | None = None) -> Configuration:
    foremen_keys = (KeyDigest(digest(KEY)),) if keys is None else tuple(keys)
    organisations = {
        "foremen": organisation("foremen", *foremen_keys),
        "brewers": organisation("brewers", KeyDigest(digest(OTHER_KEY))),
    }
    groups = {name: Group(name, (), 16, 2) for name in ("orders-1", "orders-2")}
    orders, browsing = RequestClass.ORDERS, RequestClass.BROWSING
    insert_order = ("INSERT INTO orders (ref, item) VALUES (:ref, :item)",)
    routes = {
        "place-order": Route(
            "place-order", "orders-1", "write", orders, False, False, insert_order
        ),
        "list": Route("list", "orders-1", "read", browsing, True, True, ("SELECT 1",)),
        "away": Route("away", "orders-2", "read", browsing, True, False, ("SELECT 1",)),
    }
    return Configuration(version, {}, organisations, groups, routes, {})


class FakeSessions:
    def decode(self, text: str, organisation: str) -> Mapping[str, EntryId]:
        try:
            return {name: EntryId(*entry) for name, entry in json.loads(text).items()}
        except (ValueError, TypeError, AttributeError) as error:
            raise SessionTokenError("the session token is malformed") from error

    def encode(self, entries: Mapping[str, EntryId], organisation: str) -> str:
        return json.dumps(entries)


class FakeLimiter:
    """Rate limiter whose tokens are their expiry times."""

    def __init__(self) -> None:
        self.token_lifetime_s = 2.0
        self.remaining = 1000
        self.acquired: list[str] = []
        self.record_spent = mock.Mock()
        self.refund = mock.Mock()

    @property
    def settled(self) -> tuple[int, int]:
        """Return how many tokens were reported spent and how many were given back."""
        return self.record_spent.call_count, self.refund.call_count

    async def acquire(self, organisation: Organisation, deadline: float) -> float:
        if not self.remaining:
            raise RateLimitedError("rate limit reached", retry_after_s=1.2)
        self.remaining -= 1
        self.acquired.append(organisation.name)
        return trio.current_time() + self.token_lifetime_s

    def lifetime_s(self, token: float) -> float:
        return max(0.0, token - trio.current_time())


class FakeHome:
    """Home that produces the listed outcomes in order (an error, or a delay in s), then success."""

    def __init__(self, *outcomes: BaseException | float) -> None:
        self.outcomes = list(outcomes)
        self.requests: list[ExecuteRequest] = []
        self.steps: list[TransactionRequest] = []

    @property
    def actions(self) -> list[str]:
        return [step.action for step in self.steps]

    async def _outcome(self) -> None:
        match self.outcomes.pop(0) if self.outcomes else 0.0:
            case BaseException() as error:
                raise error
            case delay_s:
                await trio.sleep(delay_s)

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        self.requests.append(request)
        await self._outcome()
        return ExecuteReply((RESULT,), REACHED, "db-1", by_replica=request.mode == "read")

    async def transact(self, request: TransactionRequest) -> TransactionReply:
        await trio.lowlevel.checkpoint()
        self.steps.append(request)
        if request.action != "rollback":
            await self._outcome()
        return TransactionReply(request.transaction, (RESULT,), REACHED)


class FakePeers:
    """Peer network that reaches fake homes on other VMs."""

    def __init__(self, homes: Mapping[str, FakeHome]) -> None:
        self.homes = homes

    async def call(self, vm: str, message: Message, timeout_s: float) -> Message:
        if isinstance(message, ExecuteRequest):
            return await self.homes[vm].execute(message)
        assert isinstance(message, TransactionRequest)
        return await self.homes[vm].transact(message)


class FakeDirectory:
    def __init__(self, *homes: HomeVm) -> None:
        self.known: Sequence[HomeVm] = homes

    def homes(self, group: str) -> Sequence[HomeVm]:
        return self.known


class EntryBench:
    """Caller handler on fakes; batches, and transactions whose home is vm-1, run at `home`."""

    def __init__(
        self, limits: TransactionLimits | None = None, peers: Mapping[str, FakeHome] | None = None
    ) -> None:
        self.source = mock.Mock(current=configuration(), fresh=True)
        self.limiter = FakeLimiter()
        self.home = FakeHome()
        self.metrics = mock.Mock()
        self.readiness = mock.Mock(not_ready_reason=None)
        self.closing = False
        self.wall_time = 1000.0
        authenticator = Authenticator(self.source, wall_clock=lambda: self.wall_time)
        calls = HomeClient("vm-1", self.home, FakePeers(peers or {}))
        selector = HomeSelector("vm-1", "suame")
        vms = ("vm-1", *(peers or ()))
        directory = FakeDirectory(*(HomeVm(vm, "suame") for vm in vms))
        self.transactions = EntryTransactions(
            directory, calls, selector, authenticator.is_valid, limits
        )
        self.services = EntryServices(
            authenticator=authenticator,
            sessions=FakeSessions(),
            limiter=self.limiter,
            execution=self.home,
            transactions=self.transactions,
            metrics=self.metrics,
            readiness=self.readiness,
            timeouts=CallerTimeouts(10, 60),
        )
        self.handler = self.connect()

    async def revoke_keys(self, delay_s: float) -> None:
        await trio.sleep(delay_s)
        self.source.current = configuration(2, keys=())

    def connect(self) -> CallerHandler:
        return CallerHandler(self.services, lambda: self.closing)

    async def post(
        self,
        path: str,
        body: Any = None,
        *,
        key: str | None = KEY,
        query: Mapping[str, str] | None = None,
        handler: CallerHandler | None = None,
        **headers: str,
    ) -> Response:
        all_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        if key is not None:
            all_headers.setdefault("authorization", f"Bearer {key}")
        data = body if isinstance(body, bytes) else msgspec.json.encode(body) if body else b""
        request = Request("POST", path, query or {}, all_headers, data)
        return await (handler or self.handler).handle(request)


def problem(response: Response) -> tuple[int, str, str]:
    """Return status, problem type and `executed` of a problem response."""
    members = json.loads(response.body)
    return response.status, members["type"].rpartition(":")[2], members["executed"]
