"""The configuration store: races of operators, lost answers, late watches, outages."""

from __future__ import annotations

import random
from collections.abc import Sequence
from contextlib import suppress
from typing import NamedTuple

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
from tanagerfront_standin.key_value import KeyValueOptions, KeyValueService

TEAMS = ("kumasi", "frost")


def section(team: str, note: str = "") -> str:
    return f"; {note}\n[team {team}]\nowners = sha256:{'ab' * 32}\n"


def run(function: object, *arguments: object) -> None:
    trio.run(function, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


async def read_if_possible(store: ConfigStore) -> None:
    with suppress(KeyValueUnavailableError):
        await store.read()


async def edit_next(editor: ConfigStore) -> ConfigOffer:
    version = (await editor.read()).version
    await editor.apply("kumasi", section("kumasi", f"{version}"), version, f"edit-{version:06}")
    await editor.read()
    return offered(editor, 0)


def offered(store: ConfigStore, version: int) -> ConfigOffer:
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
    """One operator's edits, each from the version that was read before it."""

    name: str
    team: str
    edits: int


async def edit_all(store: ConfigStore, operator: Operator, outcomes: list[Outcome]) -> None:
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
    def test_each_edit_has_one_true_outcome(
        self, operators: list[tuple[str, int]], writes: list[str], reads: list[str]
    ) -> None:
        # Guards against an edit that is lost after it was accepted, made twice, made although it
        # was refused, or absent from the history.
        run(self._race, operators, writes, reads)

    async def _race(
        self, operators: list[tuple[str, int]], writes: list[str], reads: list[str]
    ) -> None:
        memory = MemoryStore(writes, reads)
        outcomes: list[Outcome] = []
        async with trio.open_nursery() as nursery:
            for number, (team, edits) in enumerate(operators):
                store = ConfigStore(memory, apply_timeout_s=0.5)
                nursery.start_soon(edit_all, store, Operator(f"op{number}", team, edits), outcomes)
        await trio.sleep(1)
        memory.end_faults()
        reader = ConfigStore(memory)
        final = await reader.read()
        history = await reader.history()
        self.assertEqual(list(range(1, final.version + 1)), [edit.version for edit in history])
        self._check_outcomes(outcomes, history)
        texts = {outcome.edit_id: outcome.text for outcome in outcomes}
        last = {edit.team: texts[edit.id] for edit in history}
        self.assertEqual(last, dict(final.sections))

    @given(st.lists(st.sampled_from(TEAMS), min_size=2, max_size=5), st.integers(0, 30), WRITES)
    @settings(max_examples=80, deadline=None)
    def test_pruning_keeps_what_is_needed(
        self, teams: list[str], seed: int, writes: list[str]
    ) -> None:
        # Guards against a store that grows with each edit, and against a pruned body that the
        # manifest names, also when an edit in progress returns to an old text.
        run(self._prune, teams, seed, writes)

    async def _prune(self, teams: list[str], seed: int, writes: list[str]) -> None:
        memory = MemoryStore(writes)
        order = random.Random(seed)

        async def edit(number: int, team: str) -> None:
            store = ConfigStore(memory, history_edits=2, prune_interval_edits=1)
            for step in range(4):
                text = section(team, order.choice("abc"))
                # With a history of 2 edits, a body may be pruned between the read of the manifest
                # and its own; only what is missing at the end is lost.
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
        # Guards against an edit accepted after the old body that it names was pruned.
        memory = MemoryStore()
        store, service = ConfigStore(memory), ConfigRecords(memory)
        for version, note in enumerate("abc"):
            await store.apply("kumasi", section("kumasi", note), version, f"edit-{version:04}")
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
    async def test_race_on_one_section_conflicts(self) -> None:
        # Guards against an operator who overwrites a colleague's edit without seeing it.
        memory = MemoryStore()
        store = ConfigStore(memory)
        await store.apply("kumasi", section("kumasi", "first"), 0, "edit-first")
        await store.apply("frost", section("frost"), 0, "edit-frost")
        with self.assertRaises(ConflictError) as caught:
            await store.apply("kumasi", section("kumasi", "second"), 0, "edit-second")
        self.assertIn("\n-; first\n+; second\n", caught.exception.message)

    @trio_test(mock_clock=True)
    async def test_repeat_of_an_edit_is_made_once(self) -> None:
        # Guards against an operator's repeat after a lost answer that conflicts with itself, or
        # that takes back a colleague's later edit.
        store = ConfigStore(MemoryStore())
        text = section("kumasi", "mine")
        first = await store.apply("kumasi", text, 0, "edit-mine")
        await store.apply("kumasi", section("kumasi", "later"), 1, "edit-later")
        again = await store.apply("kumasi", text, 0, "edit-mine")
        self.assertEqual((first.edit, True), (again.edit, again.repeated))
        self.assertIn("later", (await store.read()).sections["kumasi"])
        with self.assertRaises(BadRequestError):
            await store.apply("kumasi", section("kumasi", "other"), 2, "edit-mine")

    @trio_test(mock_clock=True)
    async def test_whole_document_is_checked(self) -> None:
        # Guards against two sections that are valid alone and invalid together.
        store = ConfigStore(MemoryStore())
        group = "[group g]\ninstances = adum@127.0.0.1:{}\nconnections = 9\nslots = 2\n"
        await store.apply("kumasi", section("kumasi") + group.format(1), 0, "edit-one")
        with self.assertRaisesRegex(ConfigurationError, "group g"):
            await store.apply("frost", section("frost") + group.format(2), 0, "edit-two")
        self.assertEqual(1, (await store.read()).version)

    @trio_test(mock_clock=True)
    async def test_unsettled_edit_is_reported_as_uncertain(self) -> None:
        # Guards against "not made" for an edit that takes effect after the service fell silent.
        for fault, expected in (
            ("late", KeyValueTimeoutError),
            ("refused", KeyValueUnavailableError),
        ):
            memory = MemoryStore(["ok", *[fault] * 500])
            store = ConfigStore(memory, apply_timeout_s=2)
            with self.assertRaises(expected):
                await store.apply("kumasi", section("kumasi"), 0, "edit-mine")
            memory.end_faults()
            made = (await store.read()).version == 1
            self.assertEqual(fault == "late", made)


class FollowTest(TestCase):
    @given(
        st.lists(st.sampled_from(["edit", "offer", "read", "outage"]), max_size=20),
        st.integers(0, 1000),
    )
    @settings(max_examples=60, deadline=None)
    def test_version_never_reverts(self, steps: list[str], seed: int) -> None:
        # Guards against a late watch, a slow read, an old peer or an outage that brings back an
        # older version, and against a VM that stays behind afterwards.
        run(self._follow, steps, seed)

    async def _follow(self, steps: list[str], seed: int) -> None:
        order = random.Random(seed)
        memory = MemoryStore(reads=["ok"] * 3)
        delivered: list[WatchEvent] = []

        def repeat_old_events(events: list[WatchEvent]) -> list[WatchEvent]:
            delivered.extend(events)
            return order.choices(delivered, k=3 * len(events)) if events else []

        memory.watch_order = repeat_old_events
        editor = ConfigStore(memory)
        store = ConfigStore(memory, reread_interval_s=5)
        offers: list[ConfigOffer] = []
        seen: list[int] = []

        in_force: list[int] = []

        async def collect() -> None:
            async for configuration in store.updates():
                seen.append(configuration.version)

        async def sample() -> None:
            while True:
                in_force.append(store.current.version)
                await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            for task in (collect, sample, store.run):
                nursery.start_soon(task)
            for step in steps:
                if step == "edit" and not memory.down:
                    offers.append(await edit_next(editor))
                elif step == "offer" and offers:
                    await store.adopt_offer(order.choice(offers))
                elif step == "read":
                    nursery.start_soon(read_if_possible, store)
                elif step == "outage":
                    memory.down = not memory.down
                await trio.sleep(order.random() / 10)
            memory.down = False
            await trio.sleep(10)
            nursery.cancel_scope.cancel()
        self.assertEqual(sorted(set(seen)), seen)
        self.assertEqual(sorted(in_force), in_force)
        self.assertEqual((await editor.read()).version, store.current.version)
        self.assertEqual(editor.current.sections, store.current.sections)

    @trio_test(mock_clock=True)
    async def test_slow_read_does_not_replace_a_later_version(self) -> None:
        # Guards against a body read that ends after a later version was adopted.
        memory = MemoryStore()
        editor = ConfigStore(memory)
        await editor.apply("kumasi", section("kumasi", "old"), 0, "edit-old")
        store = ConfigStore(memory)
        async with trio.open_nursery() as nursery:
            gate = trio.Event()
            real = memory.get

            async def slow_get(key: str) -> object:
                found = await real(key)
                if "section/" in key:
                    await gate.wait()
                return found

            memory.get = slow_get  # type: ignore[method-assign, assignment]
            nursery.start_soon(store.read)
            await trio.sleep(1)
            memory.get = real  # type: ignore[method-assign]
            await editor.apply("kumasi", section("kumasi", "new"), 1, "edit-new")
            await editor.read()
            offer = offered(editor, 0)
            self.assertTrue(await store.adopt_offer(offer))
            gate.set()
        self.assertEqual(2, store.current.version)

    @trio_test(mock_clock=True)
    async def test_missed_event_is_found_by_the_periodic_read(self) -> None:
        # Guards against a watch that stays open but delivers nothing.
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
    async def test_peer_hands_over_without_the_service(self) -> None:
        # Guards against a VM started in an outage that has no configuration, and against bodies
        # that are sent although the peer has them.
        memory = MemoryStore()
        editor = ConfigStore(memory)
        await editor.apply("kumasi", section("kumasi"), 0, "edit-one")
        await editor.apply("frost", section("frost"), 0, "edit-two")
        await editor.read()
        memory.down = True
        store = ConfigStore(memory)
        offer = offered(editor, 0)
        self.assertTrue(await store.adopt_offer(offer))
        self.assertEqual(2, store.current.version)
        self.assertIsNone(editor.offer(2))
        partial = offered(editor, 1)
        self.assertEqual([section("frost")], list(partial.bodies.values()))

    @trio_test(mock_clock=True)
    async def test_altered_body_is_refused(self) -> None:
        # Guards against a body that a faulty peer or path changed.
        editor = ConfigStore(MemoryStore())
        await editor.apply("kumasi", section("kumasi"), 0, "edit-one")
        await editor.read()
        offer = offered(editor, 0)
        altered = {digest: text + "; more\n" for digest, text in offer.bodies.items()}
        store = ConfigStore(MemoryStore())
        with self.assertRaises(ConfigurationError):
            await store.adopt_offer(ConfigOffer(offer.version, offer.manifest, altered))
        self.assertEqual(0, store.current.version)


class SecretTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_all_vms_use_one_secret(self) -> None:
        # Guards against VMs that start at once and refuse each other's session tokens.
        memory = MemoryStore(["answer lost", "late", "ok"])
        found: list[bytes] = []

        async def start() -> None:
            while True:
                try:
                    found.append(await read_or_create_secret(memory))
                    return
                except KeyValueError:
                    await trio.sleep(0.1)

        async with trio.open_nursery() as nursery:
            for _number in range(5):
                nursery.start_soon(start)
        memory.end_faults()
        self.assertEqual(1, len(set(found)))
        self.assertEqual(found[0], await read_or_create_secret(memory))


class ServiceTest(TestCase):
    options = KeyValueOptions(progress_interval_s=0.1)

    @key_value_test
    async def test_edits_and_followers_over_the_service(
        self, service: KeyValueService, address: Address
    ) -> None:
        # Guards against a client whose errors the store does not expect: lost answers, an outage,
        # dropped history.
        editor, store = (ConfigStore(EtcdStore(address, watch_idle_timeout_s=0.5)) for _ in "ab")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run)
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
                    await wait_version(store, version)
            nursery.cancel_scope.cancel()
