"""The `explain` command's request to a VM, over a real socket."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio

from support import TestCase, trio_test
from tanagerfront.errors import ConnectionLostError, SettingsError
from tanagerfront.explain_view import fetch_report
from tanagerfront.front import ProbeHandler
from tanagerfront.front_metrics import FrontMetrics
from tanagerfront.http_server import serve_http
from tanagerfront.session_model import RouteKind
from test_caller_session import start_vm

DATABASE = RouteKind.BOUNDED.value


@asynccontextmanager
async def running_vm() -> AsyncIterator[str]:
    """Run the probe server of a VM and yield its address."""
    vm = await start_vm()
    handler = ProbeHandler("/v1/readiness", lambda: True, FrontMetrics(), vm.services)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, listeners, lambda stream: handler)
        host, port = listeners[0].socket.getsockname()[:2]
        yield f"{host}:{port}"
        nursery.cancel_scope.cancel()


class ExplainTest(TestCase):
    @trio_test
    async def test_a_vm_explains_where_a_statement_would_go(self) -> None:
        async with running_vm() as server:
            document = await fetch_report(
                server, DATABASE, "foremen", writes=True, after="", timeout_s=5.0
            )
        decoded = msgspec.json.decode(document)
        self.assertEqual(("instance", "p"), (decoded["outcome"], decoded["primary"]))

    @trio_test
    async def test_wrong_names_addresses_and_positions_are_usage_errors(self) -> None:
        # Guards against a traceback, or an empty report, after a typing error.
        async with running_vm() as server:
            for address, database, organisation, after, expected in (
                (server, "nowhere", "foremen", "", "nowhere"),
                (server, DATABASE, "nobody", "", "nobody"),
                (server, DATABASE, "foremen", "7", "TERM.NUMBER"),
                ("no address", DATABASE, "foremen", "", "--server"),
            ):
                with self.assertRaisesRegex(SettingsError, expected) as raised:
                    await fetch_report(
                        address, database, organisation, writes=False, after=after, timeout_s=5.0
                    )
                self.assertEqual(2, raised.exception.exit_code)

    @trio_test
    async def test_a_vm_that_is_not_running_is_reported(self) -> None:
        async with running_vm() as server:
            pass
        with self.assertRaises(ConnectionLostError):
            await fetch_report(server, DATABASE, "foremen", writes=False, after="", timeout_s=5.0)
