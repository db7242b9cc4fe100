"""Run one test module and print a RESULT line for each test."""

from __future__ import annotations

import sys
import unittest
from typing import Any

import testtools


class LineResult(testtools.TextTestResult):  # type: ignore[misc]
    """Test result that prints a machine-readable line per test in addition to the usual report."""

    def _print_result_line(self, verdict: str, test: Any) -> None:
        print(f"\nRESULT {verdict} {test.id()}", flush=True)

    def addSuccess(self, test: Any, details: Any = None) -> None:  # noqa: N802
        super().addSuccess(test, details)
        self._print_result_line("ok", test)

    def addError(self, test: Any, err: Any = None, details: Any = None) -> None:  # noqa: N802
        super().addError(test, err, details)
        self._print_result_line("fail", test)

    def addFailure(self, test: Any, err: Any = None, details: Any = None) -> None:  # noqa: N802
        super().addFailure(test, err, details)
        self._print_result_line("fail", test)

    def addUnexpectedSuccess(self, test: Any, details: Any = None) -> None:  # noqa: N802
        super().addUnexpectedSuccess(test, details)
        self._print_result_line("fail", test)


def main() -> int:
    suite = unittest.defaultTestLoader.loadTestsFromNames(sys.argv[1:])
    result = LineResult(sys.stdout)
    result.startTestRun()
    suite.run(result)
    result.stopTestRun()
    print("\nRESULT done all", flush=True)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
