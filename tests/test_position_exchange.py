"""Positions passed between VMs: a read never gets older data than its route allows."""

from __future__ import annotations

import math
from typing import NamedTuple

import trio
from hypothesis import given
from hypothesis import strategies as st

from front_fakes import GROUP, FakeInstance, registration
from support import TestCase, trio_test
from tanagerfront.entry_id import EntryId
from tanagerfront.instance_directory import InstanceDirectory, PrimaryRecord
from tanagerfront.position_exchange import (
    MAX_PASSED_AGE_S,
    PassedPosition,
    positions_to_pass,
    record_passed_positions,
)
from tanagerfront.session_peer_messages import (
    Echo,
    Heartbeat,
    decode_datagram,
    encode_datagram,
)

TERM = 4
POSITION = PassedPosition(GROUP, "p", TERM, EntryId(TERM, 7), 0.1)


async def directory_with_instances(term: int = TERM, moving: bool = False) -> InstanceDirectory:
    """Return the directory of a VM with a primary record and two instances."""
    known = InstanceDirectory(FakeInstance("p").open, "suame")
    known.set_primary_record(PrimaryRecord(GROUP, "p", term, moving, revision=3))
    for name in ("p", "q"):
        await known.apply(registration(name, primary=name == "p"))
    return known


class Exchange(NamedTuple):
    """One sample, one heartbeat and its reply; delays in seconds of one common time."""

    gap_s: float
    sample_reply_s: float
    heartbeat_delay_s: float
    reply_delay_s: float


DELAYS = st.floats(0.0, 0.5)
EXCHANGES = st.lists(
    st.builds(Exchange, st.floats(0.01, 0.6), DELAYS, DELAYS, DELAYS), min_size=1, max_size=30
)
CLOCK_OFFSETS = st.floats(-1e4, 1e4)


class StalenessTest(TestCase):
    @given(EXCHANGES, CLOCK_OFFSETS, CLOCK_OFFSETS, st.floats(0.1, 3.0))
    def test_a_passed_position_covers_every_commit_before_its_time(
        self, exchanges: list[Exchange], asker_s: float, other_s: float, staleness_s: float
    ) -> None:
        # Guards against reads staler than their route allows, when the clocks of two VMs differ,
        # messages are delayed, and a reply arrives long after it was sent. The primary commits one
        # entry each 10 ms of the common time.
        other, asker = trio.run(directory_with_instances), trio.run(directory_with_instances)
        now = 0.0
        for exchange in exchanges:
            now += exchange.gap_s
            # The primary reports its position at the earliest possible time, on arrival.
            position = EntryId(TERM, int(now / 0.01))
            other.groups[GROUP].samples.add(now + other_s, position)
            heartbeat_sent_at = now + exchange.sample_reply_s
            replied_at = heartbeat_sent_at + exchange.heartbeat_delay_s
            passed = positions_to_pass(other, replied_at + other_s)
            record_passed_positions(asker, heartbeat_sent_at + asker_s, passed)
            received_at = replied_at + exchange.reply_delay_s
            required = asker.groups[GROUP].samples.oldest_since(received_at + asker_s - staleness_s)
            if required is not None:
                committed = int((received_at - staleness_s) / 0.01)
                # One entry for the rounding of clock readings.
                self.assertGreaterEqual(required.position, committed - 1)


class RecordTest(TestCase):
    @trio_test
    async def test_a_position_of_the_same_primary_is_a_sample(self) -> None:
        known = await directory_with_instances()
        record_passed_positions(known, 10.0, [POSITION])
        self.assertEqual((9.9, EntryId(TERM, 7)), known.groups[GROUP].samples.newest)

    @trio_test
    async def test_positions_under_another_record_are_not_used(self) -> None:
        # Guards against a read that waits for an entry which the new primary discarded, or that
        # lacks the entries which the new primary committed.
        for known in (
            await directory_with_instances(term=TERM + 1),
            await directory_with_instances(term=TERM - 1),
            await directory_with_instances(moving=True),
            InstanceDirectory(FakeInstance("p").open, "suame"),
        ):
            elsewhere = PassedPosition(GROUP, "q", TERM, EntryId(TERM, 7), 0.1)
            record_passed_positions(known, 10.0, [POSITION, elsewhere])
            self.assertTrue(all(not group.samples.newest for group in known.groups.values()))

    @trio_test
    async def test_impossible_ages_are_ignored(self) -> None:
        # Guards against a position that counts from a time after it was read.
        for age_s in (-0.1, math.nan, math.inf, MAX_PASSED_AGE_S + 0.1):
            known = await directory_with_instances()
            passed = PassedPosition(GROUP, "p", TERM, EntryId(TERM, 7), age_s)
            record_passed_positions(known, 10.0, [passed])
            self.assertIsNone(known.groups[GROUP].samples.newest)

    @trio_test
    async def test_a_later_term_shows_that_the_record_is_superseded(self) -> None:
        # Guards against a primary of a restored store that stays in use, because this VM does not
        # query it any more.
        known = await directory_with_instances()
        passed = PassedPosition(GROUP, "p", TERM, EntryId(TERM + 1, 9), 0.1)
        record_passed_positions(known, 10.0, [passed])
        self.assertTrue(known.groups[GROUP].superseded)
        self.assertIsNone(known.groups[GROUP].samples.newest)


class PassTest(TestCase):
    @trio_test
    async def test_old_positions_and_those_of_a_moving_primary_are_not_passed(self) -> None:
        known = await directory_with_instances()
        known.groups[GROUP].samples.add(1.0, EntryId(TERM, 7))
        self.assertEqual(1, len(positions_to_pass(known, 1.1)))
        self.assertEqual([], positions_to_pass(known, 1.1 + MAX_PASSED_AGE_S))
        known.set_primary_record(PrimaryRecord(GROUP, "p", TERM + 1, True, revision=4))
        self.assertEqual([], positions_to_pass(known, 1.1))

    def test_positions_are_unchanged_by_encoding_and_decoding(self) -> None:
        heartbeat = Heartbeat("vm", 1.0, 2, [], [], {}, Echo(1.0, 0.1, 2, 3), [POSITION])
        self.assertEqual(heartbeat, decode_datagram(encode_datagram(heartbeat)))
