"""Problem details: their members and headers, and their description in the callers' docs."""

from __future__ import annotations

import json
import re
from pathlib import Path

from support import TestCase
from tanagerfront import errors
from tanagerfront.errors import KeyRequiredError, RateLimitedError, TanagerfrontError
from tanagerfront.problems import problem_response

CALLERS_PAGE = Path(__file__).resolve().parent.parent / "docs" / "callers.md"


def error_classes() -> list[type[TanagerfrontError]]:
    exported = [getattr(errors, name) for name in errors.__all__]
    return [member for member in exported if isinstance(member, type)]


class ProblemTest(TestCase):
    def test_every_problem_type_is_documented(self) -> None:
        # Guards against a problem type that the callers' page omits or lists with a wrong status.
        rows = re.findall(
            r"^\| `([a-z-]+)` \| ([^|]+) \| ([^|]+) \|", CALLERS_PAGE.read_text(), re.M
        )
        documented = {name: (status, executed) for name, status, executed in rows}
        for cls in error_classes():
            status, executed = documented[cls.problem_type]
            low, _, high = status.partition(" to ")
            self.assertTrue(int(low) <= cls.status <= int(high or low), cls.__name__)
            self.assertIn(cls.default_executed, executed)

    def test_problem_has_standard_members_and_headers(self) -> None:
        # Guards against a refusal that a client library cannot parse, or that lacks the header it
        # needs to retry or authenticate.
        response = problem_response(RateLimitedError("used up", retry_after_s=0.2), "req-1")
        self.assertEqual("application/problem+json", response.content_type)
        self.assertEqual(
            {"type", "title", "status", "detail", "executed", "request_id"},
            set(json.loads(response.body)),
        )
        self.assertEqual("1", dict(response.headers)["retry-after"])
        unauthenticated = problem_response(KeyRequiredError("no key"), "req-1")
        self.assertEqual("Bearer", dict(unauthenticated.headers)["www-authenticate"])
