"""Shared helpers of the test modules."""

from __future__ import annotations

import functools
import os
from collections.abc import Awaitable, Callable
from typing import Any

import testtools
import trio
import trio.testing
from hypothesis import settings

# Derandomized examples make results reproducible for a commit; the profile `explore` draws new
# examples in each run.
settings.register_profile("ci", derandomize=True, deadline=None)
settings.register_profile("explore", deadline=None, print_blob=True)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


class TestCase(testtools.TestCase):  # type: ignore[misc]
    """Base of all tests."""


def trio_test(
    function: Callable[..., Awaitable[None]] | None = None,
    *,
    mock_clock: bool = False,
    timeout_s: float = 60.0,
) -> Any:
    """Run an async test method under trio, with an autojump clock if asked for."""

    def decorate(method: Callable[..., Awaitable[None]]) -> Callable[..., None]:
        @functools.wraps(method)
        def run(self: Any) -> None:
            async def main() -> None:
                with trio.fail_after(timeout_s):
                    await method(self)

            clock = trio.testing.MockClock(autojump_threshold=0) if mock_clock else None
            trio.run(main, clock=clock)

        return run

    return decorate(function) if function else decorate
