"""Client and fleet store of the platform's store against the stand-in, over real sockets."""

from __future__ import annotations

import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any
from unittest import mock

import msgspec
import trio
from testtools import ExpectedException

from front_fakes import RecordingLog, vm
from support import TestCase, trio_test
from tanagerfront.change_history import MAX_RESPONSE_BYTES, ChangeHistory
from tanagerfront.errors import (
    HistoryLostError,
    KeyValueTimeoutError,
    KeyValueUnavailableError,
)
from tanagerfront.fleet_store import (
    ConfigurationChanged,
    DomainEvacuated,
    DomainReturned,
    InstanceChanged,
    KnownRevisions,
    LargeValues,
    PeerRead,
    RegisteredVm,
)
from tanagerfront.http_client import Address, HttpConnection
from tanagerfront.http_server import Request, Response, serve_http
from tanagerfront.instance_directory import PrimaryRecord
from tanagerfront.kv import WatchEvent
from tanagerfront.platform.changes_wire import ChangesHandler
from tanagerfront.platform.control import PROMOTION_TIMEOUT_S, PromotionClient
from tanagerfront.platform.fleet_store import PlatformFleetStore
from tanagerfront.platform.store import (
    LeaseEndedError,
    StoreClient,
    SwapConflictError,
    encode_watch_response,
)
from tanagerfront.session_failover import PromotionOutcome
from tanagerfront.session_model import boottime_s
from tanagerfront_standin.platform_store import PlatformStore, StoreFaults

REGISTRATION = {
    "service": "orders",
    "address": "127.0.0.1:9",
    "zone": "suame",
    "slots": 2,
    "state": "ready",
    "db_role": "replica",
}

ODD_REGISTRATIONS = (
    b"\xff\xfe",
    b'{"service":"orders","odd":' + b"[" * 50_000 + b"]" * 50_000 + b"}",
    msgspec.json.encode({**REGISTRATION, "slots": 2**63}),
    msgspec.json.encode({**REGISTRATION, "address": "127.0.0.1:70000"}),
)


async def _overwrite(client: StoreClient, key: str, value: bytes) -> None:
    current = await client.get(key)
    await client.swap({key: current.revision if current else 0}, {key: value})


async def _promote(_group: str, instance: str, _holder: str, _token: int) -> bool:
    return instance == "runs"


@asynccontextmanager
async def running_store() -> AsyncIterator[tuple[PlatformStore, StoreClient, Address]]:
    standin = PlatformStore(_promote)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(standin.run, Address("127.0.0.1", 0))
        yield standin, StoreClient(address, 0.3), address
        nursery.cancel_scope.cancel()


class StoreTest(TestCase):
    @trio_test
    async def test_a_swap_succeeds_only_at_the_expected_revision(self) -> None:
        async with running_store() as (_, client, _address):
            revision = await client.swap({"a": 0}, {"a": b"one"})
            with self.assertRaises(SwapConflictError) as conflict:
                await client.swap({"a": 0}, {"a": b"two"})
            [current] = conflict.exception.items
            self.assertEqual((b"one", revision), (current.value, current.revision))
            await client.swap({"a": revision})

    @trio_test
    async def test_a_watch_returns_changes_and_deletions_or_nothing_after_its_wait(self) -> None:
        async with running_store() as (standin, client, _address):
            page = await client.range("")
            standin.put("servers/i", {"x": 1})
            standin.delete("servers/i")
            watched = await client.watch("", page.revision, 1.0)
            self.assertEqual([False, True], [event.value is None for event in watched.events])
            empty = await client.watch("", watched.revision, 0.05)
            self.assertEqual((), empty.events)

    @trio_test
    async def test_a_watch_from_a_compacted_revision_raises_history_lost(self) -> None:
        async with running_store() as (standin, client, _address):
            page = await client.range("")
            standin.put("a", {})
            standin.put("a", {})
            standin.compact()
            with self.assertRaises(HistoryLostError):
                await client.watch("", page.revision, 0.1)

    @trio_test
    async def test_keys_are_deleted_when_their_lease_expires(self) -> None:
        async with running_store() as (_, client, _address):
            lease = await client.grant(0.2)
            await client.swap({"mine": 0}, {"mine": b"x"}, lease=lease)
            await trio.sleep(0.5)
            self.assertIsNone(await client.get("mine"))
            with self.assertRaises(LeaseEndedError):
                await client.keep_alive(lease)

    @trio_test
    async def test_a_rejected_call_has_no_effect_and_an_unanswered_one_may_have(self) -> None:
        async with running_store() as (standin, client, _address):
            standin.faults = StoreFaults(unavailable=True)
            with self.assertRaises(KeyValueUnavailableError):
                await client.range("")
            standin.faults = StoreFaults(response_loss_interval=1)
            with self.assertRaises(KeyValueTimeoutError):
                await client.swap({"a": 0}, {"a": b"x"})
            standin.faults = StoreFaults()
            self.assertIsNotNone(await client.get("a"))


class FleetStoreTest(TestCase):
    def _fleet(self, address: Address) -> PlatformFleetStore:
        clients = [StoreClient(address, 0.3) for _ in range(3)]
        return PlatformFleetStore(*clients, RecordingLog(), ChangeHistory())

    @trio_test
    async def test_malformed_instances_are_skipped_but_malformed_configurations_fail(self) -> None:
        async with running_store() as (standin, _client, address):
            fleet = self._fleet(address)
            standin.put("op/config", {"version": 3})
            standin.put("servers/good", REGISTRATION)
            standin.put("servers/odd", {**REGISTRATION, "state": "odd"})
            state = await fleet.load()
            ids = [
                change.registration.id
                for change in state.changes
                if isinstance(change, InstanceChanged)
            ]
            self.assertEqual((["good"], True), (ids, state.readable))
            standin.put("op/config", {"version": "broken"})
            self.assertFalse((await fleet.load()).readable)
            result = await fleet.check(KnownRevisions(1, {}))
            self.assertEqual((False, ()), (result.current, tuple(result.changes)))

    @trio_test
    async def test_an_odd_instance_entry_leaves_the_others_in_use(self) -> None:
        # Guards against a fleet that stops following the store because of one entry by another
        # writer, and against VMs that go on using an instance which later VMs don't know.
        for odd in ODD_REGISTRATIONS:
            async with running_store() as (standin, client, address):
                fleet = self._fleet(address)
                standin.put("op/config", {"version": 3})
                standin.put("servers/good", REGISTRATION)
                standin.put("servers/turned", REGISTRATION)
                revision = (await fleet.load()).revision
                for name in ("odd", "turned"):
                    await _overwrite(client, f"servers/{name}", odd)
                standin.put("servers/later", REGISTRATION)
                changes, _ = await fleet.watch(revision, 0.1)
                self.assertEqual(
                    ["InstanceUnregistered", "InstanceUnregistered", "InstanceChanged"],
                    [type(change).__name__ for change in changes],
                )
                self.assertEqual({"good", "later"}, (await fleet.load()).instances)

    @trio_test
    async def test_a_check_confirms_known_revisions_or_returns_newer_values(self) -> None:
        async with running_store() as (standin, _client, address):
            fleet = self._fleet(address)
            standin.put("op/config", {"version": 3})
            [change] = (await fleet.check(KnownRevisions(0, {"orders": 0}))).changes
            assert isinstance(change, ConfigurationChanged)
            known = KnownRevisions(change.configuration.revision, {"orders": 0})
            self.assertTrue((await fleet.check(known)).current)

    @trio_test
    async def test_the_promoter_lock_passes_only_to_the_holders_next_incarnation(self) -> None:
        async with running_store() as (_standin, _client, address):
            fleet = self._fleet(address)
            lease = await fleet.register(vm("a"), 5.0)
            first = await fleet.acquire_promoter_lock(vm("a"), lease)
            self.assertEqual(first, await fleet.acquire_promoter_lock(vm("a"), lease))
            other = await fleet.register(vm("b"), 5.0)
            self.assertIsNone(await fleet.acquire_promoter_lock(vm("b"), other))
            restarted = vm("a")._replace(incarnation="second")
            again = await fleet.acquire_promoter_lock(restarted, lease)
            assert first is not None and again is not None
            self.assertGreater(again.token, first.token)

    @trio_test
    async def test_an_order_is_recorded_only_under_the_current_lock_and_failover(self) -> None:
        # Guards against an order by a promoter that was replaced, or in a failover that has ended,
        # and against one of an earlier failover that passes for one of the present.
        async with running_store() as (_standin, _client, address):
            fleet = self._fleet(address)
            lease = await fleet.register(vm("a"), 5.0)
            lock = await fleet.acquire_promoter_lock(vm("a"), lease)
            record = await fleet.write_primary_record(PrimaryRecord("orders", "p", 2, True, 0))
            assert lock is not None and record is not None
            self.assertIsNone(await fleet.ordered_instance(record))
            self.assertIsNotNone(await fleet.record_order(lock, record, "r0"))
            self.assertEqual("r0", await fleet.ordered_instance(record))
            self.assertIsNone(await fleet.ordered_instance(record._replace(term=3)))
            for outdated in (
                (lock._replace(token=lock.token + 1), record),
                (lock, record._replace(revision=record.revision + 1)),
            ):
                self.assertIsNone(await fleet.record_order(*outdated, "r1"))
            self.assertEqual("r0", await fleet.ordered_instance(record))

    @trio_test
    async def test_writes_of_a_failover_that_were_given_up_change_nothing_later(self) -> None:
        # Guards against a record that names the instance ordered first, or an order that names it,
        # because the store executes the call after the same promoter has ordered another instance.
        async with running_store() as (_standin, client, address):
            fleet = self._fleet(address)
            lease = await fleet.register(vm("a"), 5.0)
            lock = await fleet.acquire_promoter_lock(vm("a"), lease)
            record = await fleet.write_primary_record(PrimaryRecord("orders", "p", 2, True, 0))
            assert lock is not None and record is not None
            given_up: list[tuple[Any, ...]] = []

            async def give_up(_client: StoreClient, *call: Any) -> int:
                given_up.append(call)
                raise KeyValueTimeoutError("no answer")

            unanswered = mock.patch.object(StoreClient, "swap", give_up)
            with unanswered, ExpectedException(KeyValueTimeoutError):
                await fleet.record_order(lock, record, "r0")
            first = await fleet.record_order(lock, record, "r1")
            final = record._replace(instance="r1", moving=False)
            with unanswered, ExpectedException(KeyValueTimeoutError):
                await fleet.write_primary_record(final, lock, first)
            second = await fleet.record_order(lock, record, "r2")
            for call in given_up:
                with ExpectedException(SwapConflictError):
                    await client.swap(*call)
            self.assertEqual("r2", await fleet.ordered_instance(record))
            written = await fleet.write_primary_record(
                record._replace(instance="r2", moving=False), lock, second
            )
            self.assertIsNotNone(written)

    @trio_test
    async def test_the_first_order_of_a_promoter_replaces_that_of_an_earlier_failover(self) -> None:
        # Guards against a group without a primary because an order is in the store already.
        async with running_store() as (_standin, _client, address):
            fleet, later = self._fleet(address), self._fleet(address)
            lease = await fleet.register(vm("a"), 5.0)
            lock = await fleet.acquire_promoter_lock(vm("a"), lease)
            record = await fleet.write_primary_record(PrimaryRecord("orders", "p", 2, True, 0))
            assert lock is not None and record is not None
            first = await fleet.record_order(lock, record, "r0")
            second = await later.record_order(lock, record, "r1")
            assert first is not None and second is not None
            self.assertGreater(second, first)
            self.assertIsNone(await fleet.write_primary_record(record, lock, first))
            self.assertIsNotNone(await fleet.record_order(lock, record, "r0"))

    @trio_test
    async def test_a_former_promoter_writes_no_record(self) -> None:
        # Guards against a failover that a promoter begins or ends beside its successor, also when
        # the reply to its write was lost and the record found is that of the successor.
        async with running_store() as (standin, _client, address):
            fleet = self._fleet(address)
            lease = await fleet.register(vm("a"), 5.0)
            lock = await fleet.acquire_promoter_lock(vm("a"), lease)
            assert lock is not None
            former = lock._replace(token=lock.token - 1)
            record = PrimaryRecord("orders", "p", 2, True, 0)
            self.assertIsNone(await fleet.write_primary_record(record, former))
            written = await fleet.write_primary_record(record, lock)
            assert written is not None
            standin.faults = StoreFaults(response_loss_interval=1)
            ended = await fleet.write_primary_record(written._replace(moving=False), lock)
            assert ended is not None
            self.assertIsNone(await fleet.write_primary_record(ended, former))
            standin.faults = StoreFaults()
            self.assertIsNone(await fleet.write_primary_record(ended, former))
            # What a restored store has lost is written without the lock.
            self.assertIsNotNone(await fleet.write_primary_record(ended))

    @trio_test
    async def test_a_write_whose_reply_was_lost_is_confirmed_by_reading_it_back(self) -> None:
        async with running_store() as (standin, _client, address):
            fleet = self._fleet(address)
            standin.faults = StoreFaults(response_loss_interval=1)
            written = await fleet.write_primary_record(PrimaryRecord("orders", "i", 2, True, 0))
            assert written is not None
            self.assertGreater(written.revision, 0)
            standin.faults = StoreFaults()
            self.assertIsNone(
                await fleet.write_primary_record(PrimaryRecord("orders", "j", 2, True, 0))
            )


class ForwardingTest(TestCase):
    async def _serve_peer(self, nursery: trio.Nursery, history: ChangeHistory) -> RegisteredVm:
        """Serve a change history as a peer VM does."""
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(serve_http, [listener], lambda stream: ChangesHandler(history))
        return vm("other")._replace(port=listener.socket.getsockname()[1] - 1)

    @trio_test
    async def test_a_peer_vm_serves_changes_without_a_call_of_the_store(self) -> None:
        async with running_store() as (standin, _client, address), trio.open_nursery() as nursery:
            history = ChangeHistory()
            clients = [StoreClient(address, 0.3) for _ in range(3)]
            coordinator = PlatformFleetStore(*clients, RecordingLog(), history)
            peer = await self._serve_peer(nursery, history)
            state = await coordinator.load()
            standin.put("servers/new", REGISTRATION)
            standin.put("op/config", {"version": 3})
            await coordinator.watch(state.revision, 0.2)
            follower = PlatformFleetStore(*clients, RecordingLog(), ChangeHistory())
            calls = dict(follower.calls)
            read = PeerRead(state.revision, LargeValues.WITHHELD)
            found = await follower.fetch_from_peer(peer, read)
            kinds = [type(change) for change in found.changes]
            self.assertEqual([InstanceChanged, ConfigurationChanged], kinds)
            self.assertEqual((history.revision, False), (found.revision, found.withheld))
            self.assertEqual(calls, follower.calls)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_a_peer_vm_serves_large_changes_only_on_request(self) -> None:
        # Guards against a VM whose calls the store rejects and that refuses its callers because it
        # lacks the configuration in force, although a peer VM has it.
        async with running_store() as (_standin, _client, address), trio.open_nursery() as nursery:
            history = ChangeHistory()
            history.reset(1)
            value = msgspec.json.encode({"version": 3, "padding": "x" * (MAX_RESPONSE_BYTES + 1)})
            history.add(1, [WatchEvent("op/config", value, 2)], 2)
            peer = await self._serve_peer(nursery, history)
            clients = [StoreClient(address, 0.3)] * 3
            follower = PlatformFleetStore(*clients, RecordingLog(), ChangeHistory())
            old_build = StoreClient(peer.changes_address, 0.3)
            with self.assertRaises(HistoryLostError):
                await old_build.watch("", 1, 0.0)
            self.assertEqual(1, len((await old_build.watch("", 1, 0.0, large=True)).events))
            found = await follower.fetch_from_peer(peer, PeerRead(1, LargeValues.WITHHELD))
            self.assertEqual(((), True), (tuple(found.changes), found.withheld))
            found = await follower.fetch_from_peer(peer, PeerRead(1, LargeValues.DEFLATED))
            [change] = found.changes
            self.assertIsInstance(change, ConfigurationChanged)
            self.assertLess(found.size, MAX_RESPONSE_BYTES / 10)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_small_changes_do_not_wait_for_large_ones(self) -> None:
        async with running_store() as (_standin, _client, address), trio.open_nursery() as nursery:
            history = ChangeHistory()
            history.reset(1)
            value = msgspec.json.encode({"version": 3, "padding": "x" * (MAX_RESPONSE_BYTES + 1)})
            instance = msgspec.json.encode(REGISTRATION)
            events = [WatchEvent("op/config", value, 2), WatchEvent("servers/new", instance, 3)]
            history.add(1, events, 3)
            peer = await self._serve_peer(nursery, history)
            own = ChangeHistory()
            follower = PlatformFleetStore(*[StoreClient(address, 0.3)] * 3, RecordingLog(), own)
            found = await follower.fetch_from_peer(peer, PeerRead(1, LargeValues.WITHHELD))
            self.assertEqual([InstanceChanged], [type(change) for change in found.changes])
            # The VM must not pass on a history in which the configuration is missing.
            self.assertIsNone(own.since(1, large=True))
            await follower.fetch_from_peer(peer, PeerRead(1, LargeValues.DEFLATED))
            passed_on = own.since(1, large=True)
            assert passed_on is not None
            self.assertEqual(events, list(passed_on.events))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_a_peer_vm_replies_as_soon_as_it_has_the_awaited_change(self) -> None:
        # Guards against VMs that ask the VM above them too early and then read the store.
        async with running_store() as (_standin, _client, address), trio.open_nursery() as nursery:
            history = ChangeHistory()
            history.reset(1)
            peer = await self._serve_peer(nursery, history)
            follower = PlatformFleetStore(
                *[StoreClient(address, 0.3)] * 3, RecordingLog(), ChangeHistory()
            )
            with self.assertRaises(HistoryLostError):
                await follower.fetch_from_peer(peer, PeerRead(1, LargeValues.DEFLATED, 2, 0.05))

            async def receive() -> None:
                await trio.sleep(0.05)
                value = msgspec.json.encode({"version": 3, "padding": "x" * 9000})
                history.add(1, [WatchEvent("op/config", value, 2)], 2)

            nursery.start_soon(receive)
            with trio.fail_after(1.0):
                read = PeerRead(1, LargeValues.DEFLATED, 2, 1.5)
                found = await follower.fetch_from_peer(peer, read)
            self.assertEqual((2, 1), (found.revision, len(found.changes)))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_a_peer_vm_of_a_build_without_compression_serves_small_changes(self) -> None:
        class OldHandler(ChangesHandler):
            async def handle(self, request: Request) -> Response:
                for name in ("packed", "withhold", "until"):
                    assert isinstance(request.query, dict)
                    request.query.pop(name, None)
                return await super().handle(request)

        async with running_store() as (_standin, _client, address), trio.open_nursery() as nursery:
            history = ChangeHistory()
            history.reset(1)
            history.add(1, [WatchEvent("op/config", b'{"version": 3}', 2)], 2)
            [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(serve_http, [listener], lambda stream: OldHandler(history))
            peer = vm("other")._replace(port=listener.socket.getsockname()[1] - 1)
            follower = PlatformFleetStore(
                *[StoreClient(address, 0.3)] * 3, RecordingLog(), ChangeHistory()
            )
            found = await follower.fetch_from_peer(peer, PeerRead(1, LargeValues.WITHHELD))
            self.assertEqual((1, 2, False), (len(found.changes), found.revision, found.withheld))
            large = msgspec.json.encode({"version": 4, "padding": "x" * MAX_RESPONSE_BYTES})
            history.add(2, [WatchEvent("op/config", large, 3)], 3)
            for kind in (LargeValues.WITHHELD, LargeValues.DEFLATED):
                with self.assertRaises(HistoryLostError):
                    await follower.fetch_from_peer(peer, PeerRead(2, kind))
            found = await follower.fetch_from_peer(peer, PeerRead(2, LargeValues.PLAIN))
            self.assertEqual(1, len(found.changes))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_the_timeout_of_a_call_follows_the_size_of_its_reply(self) -> None:
        # Guards against reads of a large configuration that never end: 0.5 MB exceeded the timeout
        # on links of 10 Mbit/s, and each repetition kept the link full.
        body = encode_watch_response([WatchEvent("op/config", b"x" * 150_000, 2)], 2)
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()

        async def serve(stream: trio.SocketStream, pieces: int, pause_s: float) -> None:
            async with stream:
                await stream.receive_some(4096)
                await stream.send_all(head)
                size = -(-len(body) // pieces)
                for start in range(0, len(body), size):
                    await trio.sleep(pause_s)
                    try:
                        await stream.send_all(body[start : start + size])
                    except trio.BrokenResourceError:
                        return

        for pieces, pause_s, expected in ((10, 0.05, True), (2, 30.0, False)):
            async with trio.open_nursery() as nursery:
                [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(
                    trio.serve_listeners,
                    partial(serve, pieces=pieces, pause_s=pause_s),
                    [listener],
                )
                client = StoreClient(Address("127.0.0.1", listener.socket.getsockname()[1]), 0.2)
                with trio.fail_after(3.0):
                    if expected:
                        page = await client.watch("", 1, 0.0)
                        self.assertEqual(150_000, len(page.events[0].value or b""))
                    else:
                        with self.assertRaises(KeyValueTimeoutError):
                            await client.watch("", 1, 0.0)
                nursery.cancel_scope.cancel()

    @trio_test
    async def test_changes_that_a_peer_vm_lacks_are_unavailable(self) -> None:
        async with running_store() as (_standin, _client, address), trio.open_nursery() as nursery:
            peer = await self._serve_peer(nursery, ChangeHistory())
            follower = PlatformFleetStore(
                *[StoreClient(address, 0.3)] * 3, RecordingLog(), ChangeHistory()
            )
            with self.assertRaises(HistoryLostError):
                await follower.fetch_from_peer(peer, PeerRead(5, LargeValues.DEFLATED))
            with self.assertRaises(KeyValueUnavailableError):
                await follower.fetch_from_peer(vm("nobody"), PeerRead(5, LargeValues.DEFLATED))
            nursery.cancel_scope.cancel()


class PromotionTest(TestCase):
    @trio_test
    async def test_replies_and_lost_connections_map_to_outcomes(self) -> None:
        async with running_store() as (standin, _client, address):
            client, until = PromotionClient(address), boottime_s() + 60
            self.assertEqual(
                PromotionOutcome.ORDERED, await client.promote("g", "runs", "a", 7, until)
            )
            self.assertEqual(
                PromotionOutcome.NOT_RUNNING, await client.promote("g", "gone", "a", 7, until)
            )
            self.assertEqual(("g", "runs", "a", 7), standin.promotions[0])
            unreachable = PromotionClient(Address("127.0.0.1", 1))
            self.assertEqual(
                PromotionOutcome.UNKNOWN, await unreachable.promote("g", "runs", "a", 7, until)
            )

    @trio_test
    async def test_an_order_that_could_outlive_the_promoter_lock_is_not_sent(self) -> None:
        # Guards against an order of a VM that was suspended while it connected, sent when the next
        # promoter has acted.
        async with running_store() as (standin, _client, address):
            connecting_s = 0.2
            connect = HttpConnection.open

            async def connect_slowly(address: Address, **options: Any) -> HttpConnection:
                await trio.sleep(connecting_s)
                return await connect(address, **options)

            with mock.patch.object(HttpConnection, "open", connect_slowly):
                until = boottime_s() + PROMOTION_TIMEOUT_S + connecting_s / 2
                self.assertEqual(
                    PromotionOutcome.REJECTED,
                    await PromotionClient(address).promote("g", "runs", "a", 7, until),
                )
            self.assertEqual([], standin.promotions)

    @trio_test
    async def test_a_frozen_process_delivers_nothing_after_the_timeout_of_its_call(self) -> None:
        # Guards against an order or a renewal of a lease that the kernel goes on sending while the
        # VM is frozen and can't withdraw it.
        async with running_store() as (_standin, client, address):
            connect = HttpConnection.open
            timeouts_ms: list[int] = []

            async def connect_and_note(address: Address, **options: Any) -> HttpConnection:
                connection = await connect(address, **options)
                option = connection._stream.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 4
                )
                timeouts_ms.append(int.from_bytes(option, sys.byteorder))
                return connection

            with mock.patch.object(HttpConnection, "open", connect_and_note):
                await PromotionClient(address).promote("g", "runs", "a", 7, boottime_s() + 60)
                await client.keep_alive(await client.grant(5.0))
            self.assertEqual([PROMOTION_TIMEOUT_S * 1000, 300], timeouts_ms)


class EvacuationTest(TestCase):
    @trio_test
    async def test_orders_are_read_watched_and_checked(self) -> None:
        # Guards against an order, or its removal, that one of the ways to the store leaves out.
        async with running_store() as (standin, _client, address):
            clients = [StoreClient(address, 0.3) for _ in range(3)]
            fleet = PlatformFleetStore(*clients, RecordingLog(), ChangeHistory())
            standin.put("op/config", {"version": 3})
            standin.put("op/evacuate/adum", {})
            standin.put("op/evacuate/suame", [])
            state = await fleet.load()
            orders = {
                change.failure_domain: change
                for change in state.changes
                if isinstance(change, DomainEvacuated)
            }
            self.assertEqual(frozenset({"adum", "suame"}), state.evacuated_domains)
            self.assertTrue(orders["adum"].readable)
            self.assertFalse(orders["suame"].readable)
            revisions = {domain: change.revision for domain, change in orders.items()}
            [configured] = [
                change for change in state.changes if isinstance(change, ConfigurationChanged)
            ]
            revision = configured.configuration.revision
            known = KnownRevisions(revision, {}, {**revisions, "ahinsan": 0})
            self.assertTrue((await fleet.check(known)).current)
            missed = await fleet.check(known._replace(evacuations={"adum": 0}))
            self.assertEqual([orders["adum"]], list(missed.changes))
            standin.delete("op/evacuate/adum")
            removed = DomainReturned("adum", revisions["adum"])
            self.assertEqual([removed], list((await fleet.check(known)).changes))
            [change], _ = await fleet.watch(state.revision, 0.1)
            assert isinstance(change, DomainReturned)
            self.assertGreater(change.revision, revisions["adum"])
