"""Documents of other processes that are nested more deeply than the decoders allow."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront._manifest import decode_manifest
from tanagerfront.caller_requests import StatementsBody, decode_body
from tanagerfront.decoding import DECODING_ERRORS, MAX_DEPTH, without_deep_values
from tanagerfront.errors import BadRequestError, ConfigurationError, KeyValueError
from tanagerfront.group_record import decode_record
from tanagerfront.platform.documents import (
    decode_configuration,
    decode_evacuation,
    decode_instance,
    decode_primary_record,
    decode_promoter,
    decode_settled_era,
    decode_vm,
)
from tanagerfront.platform.packed_changes import decode_packed
from tanagerfront.session_peer_messages import decode_datagram

NESTED = b"[" * 50_000 + b"]" * 50_000
DEEP_OBJECT = b'{"odd":' + NESTED + b"}"

_json_values = st.recursive(
    st.none() | st.integers() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
)


class DeepDocumentTest(TestCase):
    def test_every_reader_rejects_a_deeply_nested_document(self) -> None:
        # Guards against an unexpected error for one odd document, which ended the task that reads
        # the others, or the process.
        for decode in (
            lambda value: decode_instance("i-1", value, 1),
            lambda value: decode_configuration(value, 1),
            lambda value: decode_primary_record(value, 1),
            decode_vm,
            decode_promoter,
            decode_settled_era,
        ):
            with self.assertRaises(ConfigurationError):
                decode(DEEP_OBJECT)
        for read in (decode_manifest, decode_record):
            with self.assertRaises(KeyValueError):
                read(DEEP_OBJECT)
        with self.assertRaises(BadRequestError):
            decode_body(DEEP_OBJECT, StatementsBody)
        self.assertFalse(decode_evacuation("suame", DEEP_OBJECT))
        nested = b"\x91" * 50_000 + b"\xc0"
        with self.assertRaises(ValueError):
            decode_packed(nested)
        with self.assertRaises(DECODING_ERRORS):
            decode_datagram(nested)

    @given(_json_values, st.text())
    def test_a_document_keeps_all_values_that_are_not_too_deep(self, value: Any, text: str) -> None:
        # Guards against damage to the readable entries beside a deeply nested one, also where
        # strings contain brackets, quotes and backslashes.
        document = json.dumps([value, text]).encode()
        self.assertEqual(document, without_deep_values(document))
        nested = b"[" * 2 * MAX_DEPTH + b"]" * 2 * MAX_DEPTH
        deep = b'[%s,{"a":%s},%s]' % (document, nested, document)
        [first, odd, last] = msgspec.json.decode(without_deep_values(deep))
        self.assertEqual(([value, text], [value, text]), (first, last))
        # The cut value is the innermost.
        for _ in range(MAX_DEPTH - 1):
            [odd] = odd.values() if isinstance(odd, dict) else odd
        self.assertIsNone(odd)

    @given(st.text(alphabet='[]{}",:\\ 1'))
    def test_a_malformed_document_stays_malformed(self, text: str) -> None:
        # Guards against a cut that makes half of a document look whole.
        document = (text + "[" * 2 * MAX_DEPTH).encode()
        with self.assertRaises(DECODING_ERRORS):
            msgspec.json.decode(without_deep_values(document))
