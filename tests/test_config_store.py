"""Configuration store: concurrent edits, lost responses, delayed watches and outages."""

from __future__ import annotations

import random
from collections.abc import Sequence
from contextlib import suppress
from typing import NamedTuple
from unittest import mock

import trio
import trio.testing
from hypothesis import example, given, settings
from hypothesis import strategies as st

from memory_store import READ_FAULTS, WRITE_FAULTS, MemoryStore
from platform_support import key_value_test
from support import TestCase, trio_test
from tanagerfront._config_service import ConfigRecords
from tanagerfront._manifest import body_digest
from tanagerfront.config_store import ConfigStore, Edit, read_or_create_secret
from tanagerfront.errors import (
    BadRequestError,
    ConfigurationError,
    ConflictError,
    KeyValueError,
    KeyValueTimeoutError,
    KeyValueUnavailableError,
    TanagerfrontError,
)
from tanagerfront.http_client import Address
from tanagerfront.kv import WatchEvent
from tanagerfront.kv_etcd import EtcdStore
from tanagerfront.messages import ConfigOffer
from tanagerfront_standin._key_value_impl import ModelCopy
from tanagerfront_standin.key_value import KeyValueOptions, KeyValueService

TEAMS = ("kumasi", "frost")


def section(team: str, comment: str = "") -> str:
    return f"; {comment}\n[team {team}]\nowners = sha256:{'ab' * 32}\n"


def run(function: object, *arguments: object) -> None:
    trio.run(function, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


async def read_if_possible(store: ConfigStore) -> None:
    with suppress(KeyValueUnavailableError):
        await store.read()


async def apply_next_edit(editor: ConfigStore) -> ConfigOffer:
    version = (await editor.read()).version
    await editor.apply("kumasi", section("kumasi", f"{version}"), version, f"edit-{version:06}")
    await editor.read()
    return require_offer(editor, 0)


def require_offer(store: ConfigStore, version: int) -> ConfigOffer:
    offer = store.offer(version)
    assert offer is not None
    return offer


async def wait_version(store: ConfigStore, version: int) -> None:
    async for configuration in store.updates():
        if configuration.version >= version:
            return


class Outcome(NamedTuple):
    edit_id: str
    team: str
    text: str
    version: int
    error: TanagerfrontError | None


class Operator(NamedTuple):
    """An operator who makes `edits` edits, each based on the version just read."""

    name: str
    team: str
    edits: int


async def apply_edits(store: ConfigStore, operator: Operator, outcomes: list[Outcome]) -> None:
    for number in range(operator.edits):
        edit_id = f"{operator.name}-edit-{number}"
        text = section(operator.team, edit_id)
        version, error = 0, None
        try:
            await store.read()
            entry = store.manifest.sections.get(operator.team)
            base = entry.version if entry else 0
            version = (await store.apply(operator.team, text, base, edit_id)).edit.version
        except TanagerfrontError as raised:
            error = raised
        outcomes.append(Outcome(edit_id, operator.team, text, version, error))


OPERATORS = st.lists(st.tuples(st.sampled_from(TEAMS), st.integers(1, 3)), min_size=1, max_size=4)
WRITES = st.lists(st.sampled_from(WRITE_FAULTS), max_size=30)
READS = st.lists(st.sampled_from(READ_FAULTS), max_size=10)


class ApplyTest(TestCase):
    @given(OPERATORS, WRITES, READS)
    @example([("kumasi", 2)], ["ok", "answer lost"], [])
    @example([("kumasi", 2), ("kumasi", 2), ("frost", 2)], ["late", "late", "late"] * 5, [])
    @settings(max_examples=150, deadline=None)
    def test_reported_outcomes_match_the_history(
        self, operators: list[tuple[str, int]], writes: list[str], reads: list[str]
    ) -> None:
        # Guards against an edit that is lost after it was accepted, applied twice, applied although
        # it was rejected, or missing from the history. Responses and calls to the store are lost,
        # delayed or rejected while several operators edit concurrently.
        run(self._check_concurrent_edits, operators, writes, reads)

    async def _check_concurrent_edits(
        self, operators: list[tuple[str, int]], writes: list[str], reads: list[str]
    ) -> None:
        memory = MemoryStore(writes, reads)
        outcomes: list[Outcome] = []
        async with trio.open_nursery() as nursery:
            for number, (team, edits) in enumerate(operators):
                store = ConfigStore(memory, apply_timeout_s=0.5)
                nursery.start_soon(
                    apply_edits, store, Operator(f"op{number}", team, edits), outcomes
                )
        await trio.sleep(1)
        memory.end_faults()
        reader = ConfigStore(memory)
        final = await reader.read()
        history = await reader.history()
        self.assertEqual(list(range(1, final.version + 1)), [edit.version for edit in history])
        self._check_outcomes(outcomes, history)
        texts = {outcome.edit_id: outcome.text for outcome in outcomes}
        latest_texts = {edit.team: texts[edit.id] for edit in history}
        self.assertEqual(latest_texts, dict(final.sections))

    @given(st.lists(st.sampled_from(TEAMS), min_size=2, max_size=5), st.integers(0, 30), WRITES)
    @settings(max_examples=80, deadline=None)
    def test_pruning_keeps_referenced_bodies_and_limits_the_history(
        self, teams: list[str], seed: int, writes: list[str]
    ) -> None:
        # Guards against a store that grows with each edit, and against pruning a body that the
        # manifest references, also when an edit in progress restores an old text.
        run(self._check_pruning, teams, seed, writes)

    async def _check_pruning(self, teams: list[str], seed: int, writes: list[str]) -> None:
        memory = MemoryStore(writes)
        rng = random.Random(seed)

        async def edit(number: int, team: str) -> None:
            store = ConfigStore(memory, history_edits=2, prune_interval_edits=1)
            for step in range(4):
                text = section(team, rng.choice("abc"))
                # With a history of 2 edits, a body may be pruned after the manifest is read and
                # before the body is. Such an error is tolerated: the end state is what counts.
                with suppress(TanagerfrontError):
                    await store.read()
                    entry = store.manifest.sections.get(team)
                    base = entry.version if entry else 0
                    await store.apply(team, text, base, f"edit-{number:03}-{step}")

        async with trio.open_nursery() as nursery:
            for number, team in enumerate(teams):
                nursery.start_soon(edit, number, team)
        memory.end_faults()
        final = ConfigStore(memory, history_edits=2, prune_interval_edits=1)
        await final.read()
        entry = final.manifest.sections.get("kumasi")
        base = entry.version if entry else 0
        await final.apply("kumasi", section("kumasi", "end"), base, "edit-end")
        self.assertIn("; end", (await final.read()).sections["kumasi"])
        self.assertLessEqual(len(memory.keys("tanagerfront/config/edit/")), 2)

    @trio_test(mock_clock=True)
    async def test_pruning_spares_the_body_of_an_edit_in_progress(self) -> None:
        # Guards against accepting an edit whose body, stored by an older edit, has been pruned.
        memory = MemoryStore()
        store, service = ConfigStore(memory), ConfigRecords(memory)
        for version, comment in enumerate("abc"):
            await store.apply("kumasi", section("kumasi", comment), version, f"edit-{version:04}")
        digest = await service.write_body(section("kumasi", "a"))
        await service.prune(1)
        current = body_digest(section("kumasi", "c"))
        prefix = "tanagerfront/config/section/"
        self.assertEqual({prefix + digest, prefix + current}, set(memory.keys(prefix)))

    def _check_outcomes(self, outcomes: list[Outcome], history: Sequence[Edit]) -> None:
        accepted = {edit.id: edit.version for edit in history}
        self.assertEqual(len(history), len(accepted))
        for outcome in outcomes:
            if outcome.error is None:
                self.assertEqual(outcome.version, accepted.get(outcome.edit_id))
            elif outcome.error.executed == "no":
                self.assertNotIn(outcome.edit_id, accepted)

    @trio_test(mock_clock=True)
    async def test_edit_of_an_outdated_section_conflicts(self) -> None:
        # Guards against overwriting another operator's edit that was not seen.
        memory = MemoryStore()
        store = ConfigStore(memory)
        await store.apply("kumasi", section("kumasi", "first"), 0, "edit-first")
        await store.apply("frost", section("frost"), 0, "edit-frost")
        with self.assertRaises(ConflictError) as caught:
            await store.apply("kumasi", section("kumasi", "second"), 0, "edit-second")
        self.assertIn("\n-; first\n+; second\n", caught.exception.message)

    @trio_test(mock_clock=True)
    async def test_repeated_edit_is_applied_once(self) -> None:
        # Guards against a repeat after a lost response that conflicts with the original edit or
        # reverts another operator's later edit.
        store = ConfigStore(MemoryStore())
        text = section("kumasi", "mine")
        first = await store.apply("kumasi", text, 0, "edit-mine")
        await store.apply("kumasi", section("kumasi", "later"), 1, "edit-later")
        repeat = await store.apply("kumasi", text, 0, "edit-mine")
        self.assertEqual((first.edit, True), (repeat.edit, repeat.repeated))
        self.assertIn("later", (await store.read()).sections["kumasi"])
        with self.assertRaises(BadRequestError):
            await store.apply("kumasi", section("kumasi", "other"), 2, "edit-mine")

    @trio_test(mock_clock=True)
    async def test_edit_that_invalidates_the_document_is_rejected(self) -> None:
        # Guards against accepting two sections that are valid separately but not together.
        store = ConfigStore(MemoryStore())
        group = "[group g]\ninstances = adum@127.0.0.1:{}\nconnections = 9\nslots = 2\n"
        await store.apply("kumasi", section("kumasi") + group.format(1), 0, "edit-one")
        with self.assertRaisesRegex(ConfigurationError, "group g"):
            await store.apply("frost", section("frost") + group.format(2), 0, "edit-two")
        self.assertEqual(1, (await store.read()).version)

    @trio_test(mock_clock=True)
    async def test_edit_with_unknown_outcome_raises_a_timeout_error(self) -> None:
        # Guards against reporting an edit as not applied when its swap takes effect late, after the
        # service stopped responding.
        for fault, expected in (
            ("late", KeyValueTimeoutError),
            ("refused", KeyValueUnavailableError),
        ):
            memory = MemoryStore(["ok", *[fault] * 500])
            store = ConfigStore(memory, apply_timeout_s=2)
            with self.assertRaises(expected):
                await store.apply("kumasi", section("kumasi"), 0, "edit-mine")
            memory.end_faults()
            applied = (await store.read()).version == 1
            self.assertEqual(fault == "late", applied)


class UpdatesTest(TestCase):
    @given(
        st.lists(st.sampled_from(["edit", "offer", "read", "outage"]), max_size=20),
        st.integers(0, 1000),
    )
    @settings(max_examples=60, deadline=None)
    def test_version_never_reverts(self, steps: list[str], seed: int) -> None:
        # Guards against reverting to an older version because of a delayed watch event, a slow
        # read, an outdated peer or an outage, and against a VM that does not catch up afterwards.
        run(self._check_versions, steps, seed)

    async def _check_versions(self, steps: list[str], seed: int) -> None:
        rng = random.Random(seed)
        memory = MemoryStore(reads=["ok"] * 3)
        delivered: list[WatchEvent] = []

        def repeat_old_events(events: list[WatchEvent]) -> list[WatchEvent]:
            delivered.extend(events)
            return rng.choices(delivered, k=3 * len(events)) if events else []

        memory.watch_order = repeat_old_events
        editor = ConfigStore(memory)
        store = ConfigStore(memory, reread_interval_s=5)
        offers: list[ConfigOffer] = []
        update_versions: list[int] = []

        sampled_versions: list[int] = []

        async def collect_updates() -> None:
            async for configuration in store.updates():
                update_versions.append(configuration.version)

        async def sample_version() -> None:
            while True:
                sampled_versions.append(store.current.version)
                await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            for task in (collect_updates, sample_version, store.run):
                nursery.start_soon(task)
            for step in steps:
                if step == "edit" and not memory.down:
                    offers.append(await apply_next_edit(editor))
                elif step == "offer" and offers:
                    await store.adopt_offer(rng.choice(offers))
                elif step == "read":
                    nursery.start_soon(read_if_possible, store)
                elif step == "outage":
                    memory.down = not memory.down
                await trio.sleep(rng.random() / 10)
            memory.down = False
            await trio.sleep(10)
            nursery.cancel_scope.cancel()
        self.assertEqual(sorted(set(update_versions)), update_versions)
        self.assertEqual(sorted(sampled_versions), sampled_versions)
        self.assertEqual((await editor.read()).version, store.current.version)
        self.assertEqual(editor.current.sections, store.current.sections)

    @trio_test(mock_clock=True)
    async def test_slow_read_does_not_replace_a_later_version(self) -> None:
        # Guards against a body read that completes after a later version was adopted.
        memory = MemoryStore()
        editor = ConfigStore(memory)
        await editor.apply("kumasi", section("kumasi", "old"), 0, "edit-old")
        store = ConfigStore(memory)
        async with trio.open_nursery() as nursery:
            gate = trio.Event()
            original_get = memory.get

            async def slow_get(key: str) -> object:
                stored = await original_get(key)
                if "section/" in key:
                    await gate.wait()
                return stored

            memory.get = slow_get  # type: ignore[method-assign, assignment]
            nursery.start_soon(store.read)
            await trio.sleep(1)
            memory.get = original_get  # type: ignore[method-assign]
            await editor.apply("kumasi", section("kumasi", "new"), 1, "edit-new")
            await editor.read()
            offer = require_offer(editor, 0)
            self.assertTrue(await store.adopt_offer(offer))
            gate.set()
        self.assertEqual(2, store.current.version)

    @trio_test(mock_clock=True)
    async def test_missed_event_is_found_by_the_periodic_read(self) -> None:
        # Guards against a watch that stays open but delivers no events.
        memory = MemoryStore()
        memory.watch_order = lambda _events: []
        store = ConfigStore(memory, reread_interval_s=5)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run)
            await trio.sleep(1)
            await ConfigStore(memory).apply("kumasi", section("kumasi"), 0, "edit-one")
            await trio.sleep(6)
            self.assertEqual(1, store.current.version)
            nursery.cancel_scope.cancel()


class OfferTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_offer_supplies_the_configuration_during_an_outage(self) -> None:
        # Guards against a VM that has no configuration because it started during an outage of the
        # key-value service, and against sending bodies that the peer already has.
        memory = MemoryStore()
        editor = ConfigStore(memory)
        await editor.apply("kumasi", section("kumasi"), 0, "edit-one")
        await editor.apply("frost", section("frost"), 0, "edit-two")
        await editor.read()
        memory.down = True
        store = ConfigStore(memory)
        offer = require_offer(editor, 0)
        self.assertTrue(await store.adopt_offer(offer))
        self.assertEqual(2, store.current.version)
        self.assertIsNone(editor.offer(2))
        partial = require_offer(editor, 1)
        self.assertEqual([section("frost")], list(partial.bodies.values()))

    @trio_test(mock_clock=True)
    async def test_offer_with_an_altered_body_is_rejected(self) -> None:
        # Guards against adopting a body that a faulty peer or network altered.
        editor = ConfigStore(MemoryStore())
        await editor.apply("kumasi", section("kumasi"), 0, "edit-one")
        await editor.read()
        offer = require_offer(editor, 0)
        altered = {digest: text + "; more\n" for digest, text in offer.bodies.items()}
        store = ConfigStore(MemoryStore())
        with self.assertRaises(ConfigurationError):
            await store.adopt_offer(ConfigOffer(offer.version, offer.manifest, altered))
        self.assertEqual(0, store.current.version)


class SecretTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_all_vms_use_one_secret(self) -> None:
        # Guards against VMs that start concurrently, create different secrets and reject each
        # other's session tokens.
        memory = MemoryStore(["answer lost", "late", "ok"])
        session_secrets: list[bytes] = []

        async def read_secret() -> None:
            while True:
                try:
                    session_secrets.append(await read_or_create_secret(memory))
                    return
                except KeyValueError:
                    await trio.sleep(0.1)

        async with trio.open_nursery() as nursery:
            for _number in range(5):
                nursery.start_soon(read_secret)
        memory.end_faults()
        self.assertEqual(1, len(set(session_secrets)))
        self.assertEqual(session_secrets[0], await read_or_create_secret(memory))


class LostSwapTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_an_edit_that_loses_every_swap_ends_in_time(self) -> None:
        # Guards against a call that never returns while other teams' edits are accepted first.
        editor = ConfigStore(MemoryStore(), apply_timeout_s=2.0)
        swaps = mock.patch.object(
            ConfigRecords, "swap_manifest", mock.AsyncMock(return_value=False)
        )
        with swaps, trio.fail_after(3), self.assertRaises(KeyValueUnavailableError):
            await editor.apply("kumasi", section("kumasi"), 0, "edit-000001")
        accepted = await editor.apply("kumasi", section("kumasi"), 0, "edit-000002")
        self.assertEqual(1, accepted.edit.version)


class ServiceTest(TestCase):
    options = KeyValueOptions(progress_interval_s=0.1)

    @key_value_test
    async def test_edits_reach_another_client_despite_service_faults(
        self, service: KeyValueService, address: Address
    ) -> None:
        # Guards against errors of the etcd client that the store does not handle: lost responses,
        # an outage, a service without a leader, compacted history.
        editor, reader = (ConfigStore(EtcdStore(address, watch_idle_timeout_s=0.5)) for _ in "ab")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.run)
            version = 0
            for fault in ({}, {"lose_answers": 3}, {"down": True}, {"no_leader": True}):
                service.set_faults(fault)
                await trio.sleep(0.3)
                service.set_faults({"down": False, "no_leader": False})
                text = section("kumasi", f"{version}")
                edit = (await editor.apply("kumasi", text, version, f"edit-{version:06}")).edit
                self.assertEqual(version + 1, edit.version)
                version = edit.version
                service.model.compact()
                with trio.fail_after(3):
                    await wait_version(reader, version)
            nursery.cancel_scope.cancel()


class RestoredServiceTest(TestCase):
    options: KeyValueOptions | None = None

    async def _edit_twice(self, service: KeyValueService, editor: ConfigStore) -> ModelCopy:
        """Apply two edits and return a copy of the service without the second."""
        await apply_next_edit(editor)
        copy = service.copy()
        await apply_next_edit(editor)
        return copy

    @key_value_test
    async def test_a_lost_document_is_written_again_and_its_version_not_given_out_again(
        self, service: KeyValueService, address: Address
    ) -> None:
        # Guards against a VM that keeps an edit which the service lost, while other VMs adopt
        # another document of the same version.
        editor, other = ConfigStore(EtcdStore(address)), ConfigStore(EtcdStore(address))
        copy = await self._edit_twice(service, editor)
        lost = editor.current
        service.restore(copy)
        await other.read()
        self.assertEqual(lost.version - 1, other.current.version)
        await editor.apply("frost", section("frost"), 0, "edit-frost")
        self.assertEqual(lost.version + 1, (await other.read()).version)
        self.assertEqual(lost.sections["kumasi"], other.current.sections["kumasi"])

    @key_value_test
    async def test_a_vm_that_watches_writes_a_lost_document_again(
        self, service: KeyValueService, address: Address
    ) -> None:
        editor, other = ConfigStore(EtcdStore(address)), ConfigStore(EtcdStore(address))
        copy = await self._edit_twice(service, editor)
        async with trio.open_nursery() as nursery:
            await nursery.start(editor.run)
            await trio.sleep(0.2)
            service.restore(copy)
            with trio.fail_after(5):
                while (await other.read()).version < editor.current.version:  # noqa: ASYNC110
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
