"""Arguments of the load generator's command line."""

from __future__ import annotations

import contextlib
import io

from support import TestCase
from tanagerfront_lab.cli import FAULTS, app


class RunTest(TestCase):
    def test_unknown_fault_is_an_error_with_the_choices(self) -> None:
        # Guards against a traceback, after the cluster was prepared, for a misspelt fault.
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors), self.assertRaises(SystemExit) as exited:
            app(["run", "kumasi", "--fault", "x"])
        self.assertEqual(2, exited.exception.code)
        for name in ("no fault x", *FAULTS):
            self.assertIn(name, errors.getvalue())
