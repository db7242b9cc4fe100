"""Problem details: complete, and in step with the page that callers read."""

from __future__ import annotations

import json
import re
from pathlib import Path

from support import TestCase
from tanagerfront import errors
from tanagerfront.errors import KeyRequiredError, RateLimitedError, TanagerfrontError
from tanagerfront.problems import problem_response

PAGE = Path(__file__).resolve().parent.parent / "docs" / "callers.md"


def error_classes() -> list[type[TanagerfrontError]]:
    named = [getattr(errors, name) for name in errors.__all__]
    return [item for item in named if isinstance(item, type)]


class ProblemTest(TestCase):
    def test_every_type_is_on_the_callers_page(self) -> None:
        # Guards against a problem type that callers meet and cannot look up, or a wrong status.
        rows = re.findall(r"^\| `([a-z-]+)` \| ([^|]+) \| ([^|]+) \|", PAGE.read_text(), re.M)
        listed = {name: (status, executed) for name, status, executed in rows}
        for cls in error_classes():
            status, executed = listed[cls.problem_type]
            low, _, high = status.partition(" to ")
            self.assertTrue(int(low) <= cls.status <= int(high or low), cls.__name__)
            self.assertIn(cls.default_executed, executed)

    def test_members_and_headers(self) -> None:
        # Guards against a refusal that a client library cannot parse or act on.
        answer = problem_response(RateLimitedError("used up", retry_after_s=0.2), "req-1")
        self.assertEqual("application/problem+json", answer.content_type)
        self.assertEqual(
            {"type", "title", "status", "detail", "executed", "request_id"},
            set(json.loads(answer.body)),
        )
        self.assertEqual("1", dict(answer.headers)["retry-after"])
        refused = problem_response(KeyRequiredError("no key"), "req-1")
        self.assertEqual("Bearer", dict(refused.headers)["www-authenticate"])
