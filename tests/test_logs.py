"""Structured logging: keys and session tokens are redacted in values of any type."""

from __future__ import annotations

import io
import json
import logging
from typing import Any

import structlog
from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.logs import RequestContext, configure_logging
from tanagerfront.settings import LogSettings

KEY = "k-5fa31c9944"
SESSION = "s-0a8871"


class LogsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.addCleanup(structlog.reset_defaults)
        root = logging.getLogger()
        self.addCleanup(setattr, root, "handlers", list(root.handlers))
        self.stream = io.StringIO()
        configure_logging(LogSettings("json", "info"), self.stream)
        self.log: Any = structlog.get_logger()

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_request_context_applies_only_inside_its_block(self) -> None:
        # Guards against a line that names the organisation of an earlier request.
        with RequestContext("req-1", "foremen", KEY):
            self.log.info("served", rows=2)
        self.log.info("idle")
        first, second = self.lines()
        self.assertEqual(
            ("served", "req-1", "foremen", 2),
            (first["event"], first["request_id"], first["organisation"], first["rows"]),
        )
        self.assertNotIn("organisation", second)

    def test_secrets_are_redacted_wherever_they_occur(self) -> None:
        # Guards against a key in an event, an error message, a traceback, a nested value or a name.
        with RequestContext("req-1", "foremen", KEY, SESSION):
            try:
                raise ValueError(f"cannot parse {KEY}")
            except ValueError as error:
                self.log.exception(
                    f"failed {KEY}", error=error, deep=[{"a": (SESSION.encode(), {KEY: 1})}]
                )
        self.assertNotIn(KEY, self.stream.getvalue())
        self.assertNotIn(SESSION, self.stream.getvalue())
        self.assertIn("Traceback", self.lines()[0]["exception"])

    def test_secret_fields_are_redacted_outside_a_request(self) -> None:
        # Guards against a key logged by a task that serves no request, so that no context lists it.
        self.log.info("call", authorization=KEY, header=f"authorization: Bearer {KEY}")
        self.assertNotIn(KEY, self.stream.getvalue())

    def test_lines_logged_by_libraries_are_redacted(self) -> None:
        # Guards against a library that logs part of a request through the standard library.
        with RequestContext("req-1", "foremen", KEY):
            logging.getLogger("library").warning("bad header %s", KEY)
        with RequestContext("req-2", "foremen", f"Basic {KEY}"):
            logging.getLogger("library").warning("cannot decode %s", KEY)
        self.assertEqual(["req-1", "req-2"], [line["request_id"] for line in self.lines()])
        self.assertNotIn(KEY, self.stream.getvalue())

    def test_console_format_is_redacted(self) -> None:
        # Guards against redaction in only one of the two output formats.
        configure_logging(LogSettings("console", "info"), self.stream)
        with RequestContext("req-1", "foremen", KEY):
            self.log.info("served", path=f"/{KEY}")
        self.assertIn("[redacted]", self.stream.getvalue())
        self.assertNotIn(KEY, self.stream.getvalue())

    @given(
        st.recursive(
            st.none() | st.integers() | st.text(max_size=9) | st.just(f"x{KEY}y"),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=3), inner),
        )
    )
    def test_any_value_is_logged_without_the_key(self, value: Any) -> None:
        # Guards against a type or nesting of values that redaction does not handle.
        self.stream.truncate(self.stream.seek(0))
        with RequestContext("req-1", "foremen", KEY):
            self.log.info("event", value=value)
        self.assertNotIn(KEY, self.stream.getvalue())
        self.assertEqual("event", self.lines()[0]["event"])
