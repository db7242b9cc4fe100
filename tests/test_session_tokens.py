"""Session tokens: authentication, size limits and monotonic advance."""

from __future__ import annotations

import base64

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.entry_id import EntryId
from tanagerfront.errors import SessionTokenError
from tanagerfront.session_tokens import MAX_GROUPS, MAX_TOKEN_CHARS, SessionToken

SECRET = b"s" * 32
entries = st.builds(EntryId, st.integers(0, 2**40), st.integers(0, 2**62))
tokens = st.dictionaries(st.text(min_size=1, max_size=20), entries, max_size=8)


class SessionTokenTest(TestCase):
    @given(tokens, st.text(max_size=20))
    def test_encoding_round_trip_keeps_entries(
        self, groups: dict[str, EntryId], organisation: str
    ) -> None:
        # Guards against an entry that changes between encoding and decoding.
        text = SessionToken(groups).encode(SECRET, organisation)
        self.assertEqual(groups, SessionToken.decode(text, SECRET, organisation).entries)

    @given(tokens, st.data())
    def test_changed_token_is_refused(
        self, groups: dict[str, EntryId], data: st.DataObject
    ) -> None:
        # Guards against a forged token, which could conceal a lost log entry or block reads.
        text = SessionToken(groups).encode(SECRET, "foremen")
        raw = bytearray(base64.urlsafe_b64decode(text + "=" * (-len(text) % 4)))
        raw[data.draw(st.integers(0, len(raw) - 1))] ^= data.draw(st.integers(1, 255))
        self._assert_refused(base64.urlsafe_b64encode(raw).rstrip(b"=").decode())
        self._assert_refused(text[: data.draw(st.integers(0, len(text) - 1))])

    @given(st.text(max_size=60))
    def test_arbitrary_text_is_refused(self, text: str) -> None:
        # Guards against invalid input that raises anything but SessionTokenError.
        self._assert_refused(text)

    def test_token_of_other_organisation_or_deployment_is_refused(self) -> None:
        # Guards against a token accepted from another organisation, or from a deployment with a
        # different secret.
        text = SessionToken({"g": EntryId(1, 2)}).encode(SECRET, "foremen")
        for secret, organisation in ((SECRET, "foreme"), (SECRET, "other"), (b"t" * 32, "foremen")):
            with self.assertRaises(SessionTokenError):
                SessionToken.decode(text, secret, organisation)

    @given(entries, entries)
    def test_advance_never_goes_back(self, first: EntryId, second: EntryId) -> None:
        # Guards against a late response that moves the session back to older data.
        token = SessionToken().advance("g", first).advance("g", second)
        self.assertEqual(max(first, second, EntryId(0, 0)), token.entry("g"))

    def test_oversized_tokens_are_refused(self) -> None:
        # Guards against tokens that exceed the limit of the request head.
        groups = {f"g{number}": EntryId(2**62, 2**62) for number in range(MAX_GROUPS)}
        self.assertLessEqual(len(SessionToken(groups).encode(SECRET, "o")), MAX_TOKEN_CHARS)
        with self.assertRaises(SessionTokenError):
            SessionToken({**groups, "more": EntryId(1, 1)}).encode(SECRET, "o")
        with self.assertRaises(SessionTokenError):
            SessionToken({name * 20: entry for name, entry in groups.items()}).encode(SECRET, "o")
        self._assert_refused("A" * (MAX_TOKEN_CHARS + 1))

    def _assert_refused(self, text: str) -> None:
        with self.assertRaises(SessionTokenError):
            SessionToken.decode(text, SECRET, "foremen")
