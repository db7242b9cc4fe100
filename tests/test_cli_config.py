"""Tests of the `config` commands against the administration API of one VM."""

from __future__ import annotations

import contextlib
import io
import os
import tempfile
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from unittest import mock

import trio
from structlog.testing import capture_logs

from memory_store import MemoryStore
from platform_support import listen
from support import TestCase
from tanagerfront import cli_config
from tanagerfront.admin import AdminHandler
from tanagerfront.config_store import ConfigStore
from tanagerfront.errors import (
    ConfigurationError,
    ConflictError,
    DeadlineExceededError,
    SettingsError,
)
from tanagerfront.http_server import Request, Response, serve_http
from test_admin import BOOTSTRAP, digest, section


class Server:
    """Administration API in a thread.

    `responses_to_drop` counts the next edits whose response is dropped after they are accepted,
    and `version_lag` is how many versions the VM reports to be behind.
    """

    def __init__(self) -> None:
        self.responses_to_drop = 0
        self.version_lag = 0
        self.address = ""
        self._started = threading.Event()
        self._stop: Callable[[], object] = lambda: None

    async def _serve(self) -> None:
        server = self
        store = ConfigStore(MemoryStore())
        versions = lambda: {"vm-1": store.current.version - server.version_lag}  # noqa: E731

        class Handler(AdminHandler):
            async def handle(self, request: Request) -> Response:
                response = await super().handle(request)
                if request.method == "PUT" and server.responses_to_drop:
                    server.responses_to_drop -= 1
                    raise trio.BrokenResourceError
                return response

        handler = Handler(store, versions, bootstrap_key_digest=digest(BOOTSTRAP))
        listeners, address = await listen()
        async with trio.open_nursery() as nursery:
            self.address = str(address)
            token = trio.lowlevel.current_trio_token()
            self._stop = lambda: token.run_sync_soon(nursery.cancel_scope.cancel)
            nursery.start_soon(store.run)
            await nursery.start(serve_http, listeners, lambda _stream: handler)
            self._started.set()

    @contextlib.contextmanager
    def running(self) -> Iterator[Server]:
        thread = threading.Thread(target=trio.run, args=(self._serve,))
        thread.start()
        try:
            assert self._started.wait(10)
            yield self
        finally:
            self._stop()
            thread.join(10)


class ConfigCommandTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name)
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        # Capture the server's log, so that it doesn't mix with the output of the commands.
        stack.enter_context(capture_logs())
        self.server = stack.enter_context(Server().running())

    def write_file(self, text: str) -> str:
        path = self.path / "section.ini"
        path.write_text(text)
        return str(path)

    def run_config(self, *arguments: str, key: str = "kumasi-key", offline: bool = False) -> str:
        output = io.StringIO()
        server = () if offline else ("--server", self.server.address)
        with (
            mock.patch.dict(os.environ, {"TANAGERFRONT_ADMIN_KEY": key}),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            cli_config.app([*arguments, *server], exit_on_error=False, result_action="return_value")
        return output.getvalue()

    def create_section(self) -> None:
        self.run_config("apply", "kumasi", self.write_file(section("kumasi")), key=BOOTSTRAP)

    def test_output_of_show_can_be_edited_and_applied(self) -> None:
        # Guards against a `show` output that `apply` cannot read, and against a version line that
        # is stored in the section.
        self.create_section()
        shown = self.run_config("show", "kumasi")
        self.assertEqual("; section version 1\n" + section("kumasi"), shown)
        edited = self.write_file(shown + "; more\n")
        self.assertIn("+; more", self.run_config("apply", "kumasi", edited, "--dry-run"))
        applied = self.run_config("apply", "kumasi", edited, "--wait", "5")
        self.assertIn("in effect on every VM: version 2", applied)
        self.assertEqual(
            "; section version 2\n" + section("kumasi") + "; more\n",
            self.run_config("show", "kumasi"),
        )
        history = self.run_config("history").splitlines()
        self.assertEqual(["1", "2"], [line.split("\t")[0] for line in history])
        self.assertIn("; ---- kumasi ----", self.run_config("show"))

    def test_file_based_on_an_old_version_is_a_conflict(self) -> None:
        # Guards against an `apply` that uses the latest version as the base of an old file and so
        # overwrites another edit.
        self.create_section()
        shown = self.run_config("show", "kumasi")
        self.run_config("apply", "kumasi", self.write_file(shown + "; theirs\n"))
        for text in (shown + "; mine\n", section("kumasi", "mine")):
            with self.assertRaises(ConflictError) as caught:
                self.run_config("apply", "kumasi", self.write_file(text))
            self.assertEqual(3, caught.exception.exit_code)
            self.assertIn("-; theirs", caught.exception.message)

    def test_edit_with_a_lost_response_is_reported_as_accepted(self) -> None:
        # Guards against a retry after a lost response that reports the accepted edit as failed or
        # as a conflict with itself.
        self.create_section()
        self.server.responses_to_drop = 1
        edited = self.write_file(self.run_config("show", "kumasi") + "; more\n")
        self.assertIn("accepted: version 2", self.run_config("apply", "kumasi", edited))
        self.assertEqual(2, len(self.run_config("history").splitlines()))

    def test_wait_lists_the_vms_with_an_older_version(self) -> None:
        # Guards against an edit that is reported as in effect while a VM uses the old version.
        self.create_section()
        self.server.version_lag = 1
        edited = self.write_file(self.run_config("show", "kumasi") + "; more\n")
        with self.assertRaisesRegex(DeadlineExceededError, "vm-1 at 1"):
            self.run_config("apply", "kumasi", edited, "--wait", "1")

    def test_check_needs_no_server(self) -> None:
        # Guards against invalid files that pass the check, and against a check that contacts a VM.
        checked = self.run_config("check", self.write_file(section("kumasi")), offline=True)
        self.assertIn("valid", checked)
        with self.assertRaises(ConfigurationError) as caught:
            self.run_config("check", self.write_file(section("kumasi") + "x = 1\n"), offline=True)
        self.assertEqual(2, caught.exception.exit_code)

    def test_missing_key_or_file_is_a_settings_error(self) -> None:
        # Guards against a traceback, and against a request that is sent without a key.
        with self.assertRaisesRegex(SettingsError, "TANAGERFRONT_ADMIN_KEY"):
            self.run_config("history", key="")
        with self.assertRaisesRegex(SettingsError, "cannot read"):
            self.run_config("apply", "kumasi", str(self.path / "absent"))
