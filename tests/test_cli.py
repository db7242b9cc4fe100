"""Command line: exit codes, messages without tracebacks, and status tables."""

from __future__ import annotations

import contextlib
import io
import sys
from unittest import mock

import trio

from support import TestCase, trio_test
from tanagerfront import cli
from tanagerfront.errors import ConnectionLostError, SettingsError
from tanagerfront.http_server import ConnectionHandler, Request, Response, serve_http
from tanagerfront.status_view import fetch_status, render_status

STATUS = (
    b'{"vm": "vm-1", "draining": false, "age_s": 0.25, "seats": ["home/orders-1/0"],'
    b' "groups": {"orders-1": {"term": 3, "primary": "db-1"}},'
    b' "peers": [{"vm": "vm-2", "live": true}, {"vm": "vm-30", "load": [1]}]}'
)


class StatusHandler(ConnectionHandler):
    status = 200

    async def handle(self, request: Request) -> Response:
        return Response(self.status, STATUS)


class CliTest(TestCase):
    def run_cli(self, *arguments: str) -> tuple[int, str, str]:
        """Run a command and return its exit code, stdout and stderr."""
        out, err = io.StringIO(), io.StringIO()
        with (
            mock.patch.object(sys, "argv", ["tanagerfront", *arguments]),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            try:
                cli.main()
            except SystemExit as exited:
                return int(exited.code or 0), out.getvalue(), err.getvalue()
        return 0, out.getvalue(), err.getvalue()

    def test_version_and_help_succeed(self) -> None:
        # Guards against commands that import modules of a VM they do not need and fail on them.
        self.assertEqual((0, "0.1.0\n", ""), self.run_cli("version"))
        code, out, _ = self.run_cli("--help")
        self.assertEqual(0, code)
        for command in ("serve", "status", "version"):
            self.assertIn(command, out)

    def test_usage_errors_exit_with_code_2(self) -> None:
        # Guards against exit code 0 for a misspelt command, which a script takes for success.
        for arguments in (("sevre",), ("serve",), ("status", "--server")):
            self.assertEqual(2, self.run_cli(*arguments)[0], arguments)

    def test_errors_exit_with_their_own_code(self) -> None:
        # Guards against a traceback in place of an error message.
        code, _, err = self.run_cli("serve", "--settings", "/nonexistent.ini")
        self.assertEqual(2, code)
        self.assertIn("tanagerfront: /nonexistent.ini: cannot be read", err)
        code, _, err = self.run_cli("status", "--server", "127.0.0.1:1")
        self.assertEqual(1, code)
        self.assertNotIn("Traceback", err)
        self.assertEqual(2, self.run_cli("status", "--server", "nowhere")[0])

    def test_serve_runs_the_vm_with_the_loaded_settings(self) -> None:
        # Guards against a VM that starts before its settings are checked.
        vm = mock.Mock(run_vm=mock.AsyncMock())
        with (
            mock.patch.dict(sys.modules, {"tanagerfront.vm": vm}),
            mock.patch("tanagerfront.settings.load_settings") as load,
            mock.patch("tanagerfront.logs.configure_logging") as configure,
        ):
            self.assertEqual(0, self.run_cli("serve", "--settings", "vm.ini")[0])
        vm.run_vm.assert_awaited_once_with(load.return_value)
        configure.assert_called_once_with(load.return_value.log)


class StatusTest(TestCase):
    @trio_test
    async def test_fetch_returns_the_document_or_raises(self) -> None:
        # Guards against an error response that is printed as a status table.
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            await nursery.start(serve_http, listeners, lambda _stream: StatusHandler())
            port = listeners[0].socket.getsockname()[1]
            self.assertEqual(STATUS, await fetch_status(f"127.0.0.1:{port}", 5))
            with (
                mock.patch.object(StatusHandler, "status", 404),
                self.assertRaises(ConnectionLostError),
            ):
                await fetch_status(f"127.0.0.1:{port}", 5)
            nursery.cancel_scope.cancel()
        with self.assertRaises(SettingsError):
            await fetch_status("127.0.0.1", 5)

    def test_document_is_rendered_as_aligned_tables(self) -> None:
        # Guards against fields that are left out and columns that are misaligned.
        self.assertEqual(
            [
                "vm        vm-1",
                "draining  no",
                "age_s     0.25",
                'seats     ["home/orders-1/0"]',
                "",
                "groups",
                "  name      term  primary",
                "  orders-1  3     db-1",
                "",
                "peers",
                "  vm     live  load",
                "  vm-2   yes   -",
                "  vm-30  -     [1]",
            ],
            render_status(STATUS).splitlines(),
        )
        with self.assertRaises(ConnectionLostError):
            render_status(b"<html>")
