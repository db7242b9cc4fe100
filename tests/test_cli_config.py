"""The `config` commands against the administration API of one VM."""

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
    """An administration API in a thread; `lose` responses are dropped after they took effect."""

    def __init__(self) -> None:
        self.lose = 0
        self.lag = 0
        self.address = ""
        self._started = threading.Event()
        self._stop: Callable[[], object] = lambda: None

    async def _serve(self) -> None:
        server = self
        store = ConfigStore(MemoryStore())
        versions = lambda: {"vm-1": store.current.version - server.lag}  # noqa: E731

        class Handler(AdminHandler):
            async def handle(self, request: Request) -> Response:
                response = await super().handle(request)
                if request.method == "PUT" and server.lose:
                    server.lose -= 1
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


class CommandTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name)
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        # The server's log would mix with the output of the commands.
        stack.enter_context(capture_logs())
        self.server = stack.enter_context(Server().running())

    def file(self, text: str) -> str:
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

    def create(self) -> None:
        self.run_config("apply", "kumasi", self.file(section("kumasi")), key=BOOTSTRAP)

    def test_edit_from_show_to_history(self) -> None:
        # Guards against commands that do not fit together: what `show` prints is what `apply`
        # takes, and the version line does not end up in the section.
        self.create()
        shown = self.run_config("show", "kumasi")
        self.assertEqual("; section version 1\n" + section("kumasi"), shown)
        edited = self.file(shown + "; more\n")
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

    def test_file_from_an_old_version_conflicts(self) -> None:
        # Guards against an `apply` that takes the latest version as the base of an old file.
        self.create()
        shown = self.run_config("show", "kumasi")
        self.run_config("apply", "kumasi", self.file(shown + "; theirs\n"))
        for text in (shown + "; mine\n", section("kumasi", "mine")):
            with self.assertRaises(ConflictError) as caught:
                self.run_config("apply", "kumasi", self.file(text))
            self.assertEqual(3, caught.exception.exit_code)
            self.assertIn("-; theirs", caught.exception.message)

    def test_lost_answer_is_settled_by_the_client(self) -> None:
        # Guards against an accepted edit that is reported as failed or as a conflict with itself.
        self.create()
        self.server.lose = 1
        edited = self.file(self.run_config("show", "kumasi") + "; more\n")
        self.assertIn("accepted: version 2", self.run_config("apply", "kumasi", edited))
        self.assertEqual(2, len(self.run_config("history").splitlines()))

    def test_wait_names_the_vms_that_are_behind(self) -> None:
        # Guards against "in effect" while a VM still uses the old version.
        self.create()
        self.server.lag = 1
        edited = self.file(self.run_config("show", "kumasi") + "; more\n")
        with self.assertRaisesRegex(DeadlineExceededError, "vm-1 at 1"):
            self.run_config("apply", "kumasi", edited, "--wait", "1")

    def test_check_is_offline(self) -> None:
        # Guards against invalid files that pass, and against a check that needs a VM.
        checked = self.run_config("check", self.file(section("kumasi")), offline=True)
        self.assertIn("valid", checked)
        with self.assertRaises(ConfigurationError) as caught:
            self.run_config("check", self.file(section("kumasi") + "x = 1\n"), offline=True)
        self.assertEqual(2, caught.exception.exit_code)

    def test_missing_key_or_file_is_explained(self) -> None:
        # Guards against a traceback, or a request that is sent without a key.
        with self.assertRaisesRegex(SettingsError, "TANAGERFRONT_ADMIN_KEY"):
            self.run_config("history", key="")
        with self.assertRaisesRegex(SettingsError, "cannot read"):
            self.run_config("apply", "kumasi", str(self.path / "absent"))
