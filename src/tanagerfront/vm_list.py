"""The platform's list of VMs, which lags: it can miss live VMs and contain stopped ones."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

import msgspec
import structlog
import trio

from .decoding import DECODING_ERRORS, without_deep_values
from .errors import ConnectionLostError, UnavailableError
from .http_client import Address, HttpConnection, parse_address

__all__ = ["ListedVm", "VmList", "VmState"]

_log = structlog.get_logger(__name__)

FETCH_TIMEOUT_S = 2.0


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(NamedTuple):
    """A VM in the platform's list."""

    id: str
    address: Address
    failure_domain: str
    state: VmState


class _WireVm(msgspec.Struct):
    id: str
    address: str
    failure_domain: str
    state: VmState


class _WireList(msgspec.Struct):
    vms: list[msgspec.Raw]


class _WireId(msgspec.Struct):
    id: str


class VmList:
    """Client of the platform's list that keeps the last one while the platform does not answer."""

    def __init__(self, address: Address, *, timeout_s: float = FETCH_TIMEOUT_S) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._connection: HttpConnection | None = None
        self._last: tuple[ListedVm, ...] = ()
        self._fetched_at = float("-inf")

    @property
    def last(self) -> tuple[ListedVm, ...]:
        """Return the last list received, empty before the first one."""
        return self._last

    @property
    def age_s(self) -> float:
        """Return the seconds since a list was last received, infinite before the first one."""
        return trio.current_time() - self._fetched_at

    @property
    def by_id(self) -> Mapping[str, ListedVm]:
        """Return the last list by VM id."""
        return {vm.id: vm for vm in self._last}

    async def fetch(self) -> tuple[ListedVm, ...]:
        """Fetch and return the list, or return the last one if no valid answer arrives.

        Raises ConnectionLostError or UnavailableError before the first list: without one, no VM may
        be taken for unlisted.
        """
        try:
            self._last = _parse_list(await self._request(), self.by_id)
            self._fetched_at = trio.current_time()
        except (ConnectionLostError, UnavailableError) as error:
            await self._disconnect()
            if self._fetched_at == float("-inf"):
                raise
            _log.warning("vm_list_not_fetched", error=str(error), age_s=round(self.age_s, 1))
        return self._last

    async def _request(self) -> bytes:
        if self._connection is None or not self._connection.usable:
            self._connection = await HttpConnection.open(self._address, timeout_s=self._timeout_s)
        reply = await self._connection.request("GET", "/vms", timeout_s=self._timeout_s)
        if reply.status != 200:
            raise UnavailableError(f"request for the list of VMs failed with status {reply.status}")
        return reply.body

    async def _disconnect(self) -> None:
        connection, self._connection = self._connection, None
        if connection:
            await connection.close()


def _parse_list(body: bytes, known: Mapping[str, ListedVm]) -> tuple[ListedVm, ...]:
    """Return the listed VMs, without the entries that can't be read; raises UnavailableError.

    A VM that was known keeps its last entry while the present one can't be read.
    """
    try:
        entries = _decode_list(body).vms
    except DECODING_ERRORS as error:
        raise UnavailableError(f"malformed list of VMs: {error}") from error
    listed = [vm for entry in entries if (vm := _parse_entry(entry, known)) is not None]
    if entries and not listed:
        raise UnavailableError("malformed list of VMs: no entry can be read")
    return tuple(listed)


def _decode_list(body: bytes) -> _WireList:
    try:
        return msgspec.json.decode(body, type=_WireList)
    except RecursionError:
        return msgspec.json.decode(without_deep_values(body), type=_WireList)


def _parse_entry(entry: msgspec.Raw, known: Mapping[str, ListedVm]) -> ListedVm | None:
    try:
        vm = msgspec.json.decode(entry, type=_WireVm)
        return ListedVm(vm.id, parse_address(vm.address), vm.failure_domain, vm.state)
    except (*DECODING_ERRORS, ValueError) as error:
        _log.warning("vm_entry_unreadable", error=str(error))
    try:
        return known.get(msgspec.json.decode(entry, type=_WireId).id)
    except DECODING_ERRORS:
        return None
