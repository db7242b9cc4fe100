"""A store that returns from an older copy: revisions and leases are given out again."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from front_fakes import RecordingLog, vm
from support import TestCase, trio_test
from tanagerfront.change_history import ChangeHistory
from tanagerfront.confirmed_state import ConfirmedState, StalenessLimits
from tanagerfront.errors import ConnectionLostError, StoreRestoredError
from tanagerfront.fleet_sync import FleetSync
from tanagerfront.http_client import Address
from tanagerfront.instance_directory import InstanceDirectory
from tanagerfront.platform.fleet_store import PlatformFleetStore
from tanagerfront.platform.store import StoreClient, StoreEra
from tanagerfront.rate_shares import UNKNOWN_LENDER, RateShares, TokenLoanRequest
from tanagerfront.session_model import InstanceRegistration
from tanagerfront_standin.platform_store import PlatformStore, StoreFaults

GROUP = "orders"
# Longest time after the store's return until a VM serves again and has what is in force.
RECOVERY_S = 3.0


async def _promote(_group: str, _instance: str, _holder: str, _token: int) -> bool:
    return True


async def _no_opener(_registration: InstanceRegistration, _organisation: str) -> object:
    raise ConnectionLostError("not used", executed="no")


async def _no_loan(_request: TokenLoanRequest, _lender: str) -> int:
    return UNKNOWN_LENDER


class StoredFleet:
    """The store with an operator and two instances, and VMs that synchronise with it."""

    def __init__(self) -> None:
        self.store = PlatformStore(_promote)

    def configure(self, version: int, keys: list[str] | None = None) -> None:
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": [
                    {"name": "r", "database": "db", "service": GROUP, "type": "primary"},
                ],
                "services": [{"name": GROUP, "max_connections": 16}],
                "tenants": [{"name": "foremen", "api_keys": keys or ["key"], "rate_per_s": 50}],
            },
        )

    def register_instance(self, name: str, role: str, **fields: object) -> None:
        self.store.put(
            f"servers/{name}",
            {
                "service": GROUP,
                "address": "127.0.0.1:9",
                "zone": "suame",
                "slots": 2,
                "state": "ready",
                "db_role": role,
                "born": 1,
                "sequence": 1,
                **fields,
            },
        )

    def record_primary(self, name: str, term: int, *, moving: bool = False) -> None:
        """Write the record of the group's primary, as a promoter would."""
        self.store.put(
            f"tanagerfront/leaders/{GROUP}",
            {"group": GROUP, "instance": name, "term": term, "moving": moving},
        )


class StoredVm:
    """One VM's synchronisation with the store of a StoredFleet."""

    def __init__(self, name: str, address: Address) -> None:
        self.address = address
        self.log = RecordingLog()
        era = StoreEra()
        self.store = PlatformFleetStore(
            *(StoreClient(address, 0.3, era) for _ in range(3)), self.log, ChangeHistory(), era
        )
        self.state = ConfirmedState(StalenessLimits(4.5, 3.0, 4.0, 5.5))
        self.directory = InstanceDirectory(_no_opener, "suame")  # type: ignore[arg-type]
        rates = RateShares(name, _no_loan, lambda _vm, _organisation: 0)
        self.sync = FleetSync(self.store, self.state, self.directory, rates, vm(name), self.log)

    @property
    def version(self) -> int:
        configuration = self.state.configuration
        return configuration.version if configuration else 0

    @property
    def settled_era(self) -> int | None:
        return self.sync.era.era if self.sync.era.settled else None

    @property
    def primary(self) -> str | None:
        primary = self.directory.group(GROUP).primary
        return primary.registration.id if primary else None


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, for at most RECOVERY_S seconds."""
    with trio.fail_after(RECOVERY_S):
        while not condition():  # noqa: ASYNC110, conditions of the store have no events
            await trio.sleep(0.01)


@asynccontextmanager
async def stored_vm() -> AsyncIterator[tuple[StoredFleet, StoredVm]]:
    """Run a store and one VM that is in touch with it."""
    fleet = StoredFleet()
    fleet.configure(1)
    fleet.register_instance("p", "primary")
    fleet.register_instance("r", "replica")
    async with trio.open_nursery() as nursery:
        address = await nursery.start(fleet.store.run, Address("127.0.0.1", 0))
        synced = StoredVm("a", address)
        nursery.start_soon(synced.sync.run)
        await eventually(lambda: synced.state.primaries_confirmed)
        yield fleet, synced
        nursery.cancel_scope.cancel()


async def outage(fleet: StoredFleet) -> None:
    """Take the store away until the waiting calls have failed."""
    fleet.store.faults = StoreFaults(unavailable=True)
    await trio.sleep(0.3)


class StoreRestoredTest(TestCase):
    @trio_test
    async def test_a_configuration_at_a_revision_given_out_again_comes_into_force(self) -> None:
        # Guards against a VM that takes equal revisions for equal configurations (CONFIG broken in
        # nine plays of nine of the users' day).
        async with stored_vm() as (fleet, synced):
            copy = fleet.store.copy()
            fleet.configure(2)
            await eventually(lambda: synced.version == 2)
            await outage(fleet)
            fleet.store.restore(copy)
            fleet.configure(3)
            fleet.store.faults = StoreFaults()
            await eventually(lambda: synced.version == 3)

    @trio_test
    async def test_a_lost_primary_record_is_written_again_and_the_primary_confirmed(self) -> None:
        # Guards against a fleet that refuses everything after the return of a store that lost the
        # record of a failover, because the VMs' records can never agree with the store's again.
        async with stored_vm() as (fleet, synced):
            copy = fleet.store.copy()
            fleet.record_primary("r", 2)
            await eventually(lambda: synced.primary == "r")
            await outage(fleet)
            fleet.store.restore(copy)
            fleet.configure(2)
            fleet.store.faults = StoreFaults()
            # A confirmation from before the outage is too old then.
            await trio.sleep(synced.state.limits.primary_s)
            self.assertTrue(synced.state.primaries_confirmed)
            self.assertEqual("r", synced.primary)
            reader = StoredVm("b", synced.address)
            await reader.sync.apply((await reader.store.load()).changes)
            self.assertEqual("r", reader.primary)

    @trio_test
    async def test_a_fencing_token_is_higher_than_those_before_the_restore(self) -> None:
        # Guards against two promoters with the same token, as the lock's revisions are given out
        # again.
        async with stored_vm() as (fleet, synced):
            copy = fleet.store.copy()
            fleet.configure(2)
            lease = synced.sync.lease
            assert lease is not None
            before = await synced.store.acquire_promoter_lock(vm("a"), lease)
            await outage(fleet)
            fleet.store.restore(copy)
            fleet.store.faults = StoreFaults()
            await eventually(lambda: synced.settled_era == 2 and synced.sync.lease is not None)
            assert synced.sync.lease is not None
            after = await synced.store.acquire_promoter_lock(vm("a"), synced.sync.lease)
            assert before is not None and after is not None
            self.assertGreater(after.token, before.token)

    @trio_test
    async def test_a_vm_whose_registration_was_lost_registers_again(self) -> None:
        # Guards against a VM that renews the lease of another VM, whose number was given out again,
        # and is counted by no promoter.
        async with stored_vm() as (fleet, synced):
            other = StoredVm("b", synced.address)
            copy = fleet.store.copy()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(other.sync.run)
                await eventually(lambda: other.sync.lease is not None)
                await outage(fleet)
                fleet.store.restore(copy)
                # The lease that VM b had.
                fleet.store.grant(30.0)
                fleet.store.faults = StoreFaults()
                await trio.sleep(RECOVERY_S)
                self.assertIn("b", {registered.name for registered in synced.sync.vms_with_lease})
                self.assertTrue(other.state.primaries_confirmed)
                nursery.cancel_scope.cancel()

    @trio_test
    async def test_an_instance_that_had_left_is_not_used_again(self) -> None:
        # Guards against new work on an instance whose report that it leaves the store has lost.
        async with stored_vm() as (fleet, synced):
            copy = fleet.store.copy()
            fleet.register_instance("r", "replica", state="draining", sequence=5)
            replica = synced.directory.group(GROUP).instances["r"]
            await eventually(lambda: replica.leaving)
            since = replica.leaving_since
            await outage(fleet)
            fleet.store.restore(copy)
            fleet.store.faults = StoreFaults()
            await eventually(lambda: synced.settled_era == 2)
            self.assertEqual(since, replica.leaving_since)
            fleet.register_instance("r", "replica", sequence=6)
            await eventually(lambda: not replica.leaving)

    @trio_test
    async def test_a_vm_that_starts_on_the_old_copy_accepts_no_key_before_it_has_settled(
        self,
    ) -> None:
        # Guards against a withdrawn key that is in use again, and against a VM that the platform
        # takes out of rotation for seconds although it serves within one.
        async with stored_vm() as (fleet, synced):
            copy = fleet.store.copy()
            fleet.configure(2, ["other"])
            await eventually(lambda: synced.version == 2)
            await outage(fleet)
            fleet.store.restore(copy)
            fleet.store.faults = StoreFaults()
            started = StoredVm("b", synced.address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(started.sync.run)
                await eventually(lambda: started.version == 1)
                self.assertFalse(started.state.keys_confirmed)
                self.assertTrue(started.state.ready)
                fleet.configure(2, ["other"])
                await eventually(lambda: started.state.keys_confirmed)
                self.assertEqual(2, started.version)
                nursery.cancel_scope.cancel()

    @trio_test
    async def test_a_copy_with_an_unreadable_configuration_is_neither_used_nor_confirmed(
        self,
    ) -> None:
        # Guards against a VM that takes an invalid configuration, and against one that compares
        # revisions of the era before without a pause, which blocked the whole process.
        async with stored_vm() as (fleet, synced):
            fleet.store.put("op/config", {"version": "none"})
            copy = fleet.store.copy()
            fleet.configure(2)
            await eventually(lambda: synced.version == 2)
            await outage(fleet)
            fleet.store.restore(copy)
            fleet.store.faults = StoreFaults()
            await trio.sleep(RECOVERY_S)
            self.assertEqual(2, synced.version)
            self.assertFalse(synced.state.primaries_confirmed)
            fleet.configure(3)
            await eventually(lambda: synced.version == 3 and synced.state.primaries_confirmed)

    @trio_test
    async def test_a_call_answered_in_a_later_era_has_no_result(self) -> None:
        # Guards against a check that finds the same revisions in a restored store by chance.
        async with stored_vm() as (fleet, synced):
            era = StoreEra()
            client = StoreClient(synced.address, 0.3, era)
            await client.range("")
            fleet.store.restore(fleet.store.copy())
            with self.assertRaises(StoreRestoredError):
                await client.swap({"absent": 0})
            self.assertEqual(2, era.number)
            await client.swap({"absent": 0})
