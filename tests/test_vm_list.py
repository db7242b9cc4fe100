"""The platform's list of VMs while the platform does not answer."""

from __future__ import annotations

import trio

from standin_group import free_address
from support import TestCase, trio_test
from tanagerfront.errors import ConnectionLostError, UnavailableError
from tanagerfront.http_server import ConnectionHandler, Request, Response, serve_http
from tanagerfront.vm_list import VmList

LISTED = b'{"vms":[{"id":"a","address":"127.0.0.1:1","failure_domain":"adum","state":"live"}]}'


class ListHandler(ConnectionHandler):
    body = LISTED

    async def handle(self, _request: Request) -> Response:
        return Response(200, ListHandler.body)


class VmListTest(TestCase):
    @trio_test
    async def test_failure_before_the_first_list_is_an_error(self) -> None:
        # Guards against an unread list that passes for an empty one, so that live VMs count as
        # unlisted and a starting VM for the only one.
        with self.assertRaises(ConnectionLostError):
            await VmList(free_address(), timeout_s=0.5).fetch()

    @trio_test
    async def test_last_list_is_kept_while_the_platform_does_not_answer(self) -> None:
        address = free_address()
        vm_list = VmList(address, timeout_s=0.5)
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(address.port, host=address.host)
            await nursery.start(serve_http, listeners, lambda _stream: ListHandler())
            [listed] = await vm_list.fetch()
            self.assertEqual("a", listed.id)
            nursery.cancel_scope.cancel()
        self.assertEqual((listed,), await vm_list.fetch())

    @trio_test
    async def test_an_odd_entry_leaves_the_others_in_the_list(self) -> None:
        # Guards against VMs that stop following the list, or end, because of one odd entry, and
        # against a known VM that counts as unlisted because its entry can't be read for a moment.
        nested = b"[" * 50_000 + b"]" * 50_000
        for odd in (
            b'{"id":"b","address":"127.0.0.1:70000","failure_domain":"adum","state":"live"}',
            b'{"id":"b","address":"127.0.0.1:2","failure_domain":"adum","state":1e999}',
            b'{"id":"b","address":"127.0.0.1:2","failure_domain":"adum","state":%s}' % nested,
            nested,
        ):
            address = free_address()
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(address.port, host=address.host)
                await nursery.start(serve_http, listeners, lambda _stream: ListHandler())
                vm_list = VmList(address)
                self.addCleanup(setattr, ListHandler, "body", LISTED)
                ListHandler.body = LISTED.replace(b'"a"', b'"b"')
                await vm_list.fetch()
                ListHandler.body = LISTED.replace(b"]", b"," + odd + b"]", 1)
                expected = ["a"] if odd is nested else ["a", "b"]
                self.assertEqual(expected, [listed.id for listed in await vm_list.fetch()])
                nursery.cancel_scope.cancel()

    @trio_test
    async def test_malformed_list_is_an_error(self) -> None:
        address = free_address()
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(address.port, host=address.host)
            await nursery.start(serve_http, listeners, lambda _stream: ListHandler())
            ListHandler.body = b'{"vms":[{"id":"a"}]}'
            self.addCleanup(setattr, ListHandler, "body", LISTED)
            with self.assertRaises(UnavailableError):
                await VmList(address).fetch()
            nursery.cancel_scope.cancel()
