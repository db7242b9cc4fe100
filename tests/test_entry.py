"""HTTP interface for callers: authentication, validation, and reporting of what was executed."""

from __future__ import annotations

import json

import msgspec
import structlog
import structlog.testing
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from entry_fakes import KEY, OTHER_KEY, EntryBench, configuration, digest, problem
from support import TestCase, trio_test
from tanagerfront.configuration import KeyDigest
from tanagerfront.errors import (
    ConnectionLostError,
    OverloadedError,
    RateLimitedError,
    SqlError,
    TooLargeError,
)
from tanagerfront.http_server import Request

ORDER = {"params": {"ref": "r1", "item": 5}}
BATCH_PATH = "/v1/groups/orders-1/batch"
PLACE_ORDER_PATH = "/v1/routes/place-order"
READ = {"statements": [{"sql": "SELECT 1"}], "mode": "read"}


class AuthenticationTest(TestCase):
    @trio_test
    async def test_key_is_checked_on_each_request(self) -> None:
        # Guards against a revoked key that keeps working on an open connection.
        bench = EntryBench()
        self.assertEqual(200, (await bench.post(PLACE_ORDER_PATH, ORDER)).status)
        await bench.revoke_keys(0)
        refused = await bench.post(PLACE_ORDER_PATH, ORDER)
        self.assertEqual((401, "key-required", "no"), problem(refused))
        self.assertEqual(1, len(bench.home.requests))

    @trio_test
    async def test_key_expires_at_its_end_time(self) -> None:
        # Guards against a key that stays valid after its end time.
        bench = EntryBench()
        bench.source.current = configuration(2, keys=[KeyDigest(digest(KEY), until=1001.0)])
        self.assertEqual(200, (await bench.post(PLACE_ORDER_PATH, ORDER)).status)
        bench.wall_time = 1001.0
        self.assertEqual(401, (await bench.post(PLACE_ORDER_PATH, ORDER)).status)

    @trio_test
    async def test_stale_configuration_authorises_no_key(self) -> None:
        # Guards against a VM cut off from the configuration that accepts a revoked key.
        bench = EntryBench()
        bench.source.fresh = False
        self.assertEqual(
            (503, "unavailable", "no"), problem(await bench.post(PLACE_ORDER_PATH, ORDER))
        )
        self.assertEqual(200, (await bench.post("/v1/routes/list", key=None)).status)

    @trio_test
    async def test_calls_are_unavailable_before_the_first_configuration(self) -> None:
        # Guards against a VM that has just started and refuses valid keys or routes as unknown.
        bench = EntryBench()
        bench.source.current = configuration(0)
        for path, key in ((PLACE_ORDER_PATH, KEY), ("/v1/routes/list", None)):
            self.assertEqual((503, "unavailable", "no"), problem(await bench.post(path, key=key)))

    @trio_test
    async def test_access_is_limited_to_the_groups_of_the_organisation(self) -> None:
        # Guards against access to the data of another organisation.
        bench = EntryBench()
        for path in ("/v1/routes/away", "/v1/groups/orders-2/batch"):
            self.assertEqual(403, (await bench.post(path, READ if "batch" in path else {})).status)
        for key in (None, "unknown-key-1"):
            for path, body in (
                (BATCH_PATH, READ),
                (PLACE_ORDER_PATH, ORDER),
                ("/v1/routes/none", {}),
            ):
                self.assertEqual(401, (await bench.post(path, body, key=key)).status)
        self.assertEqual([], bench.home.requests)

    @trio_test
    async def test_key_outside_the_authorization_header_is_refused(self) -> None:
        # Guards against keys that end up in access logs or databases.
        bench = EntryBench()
        body_with_key = {"statements": [{"sql": "SELECT :a", "params": {"a": f"x{KEY}"}}]}
        responses = [
            await bench.post(PLACE_ORDER_PATH, ORDER, key=None, query={"key": KEY}),
            await bench.post(PLACE_ORDER_PATH, ORDER, key=None, x_api_key=KEY),
            await bench.post(PLACE_ORDER_PATH, ORDER, key=None, authorization=f"Basic {KEY}"),
            await bench.post(BATCH_PATH, body_with_key),
            await bench.post(PLACE_ORDER_PATH, ORDER, idempotency_key=KEY),
        ]
        self.assertEqual([400, 400, 401, 400, 400], [response.status for response in responses])
        self.assertNotIn(KEY.encode(), b"".join(response.body for response in responses))
        self.assertEqual([], bench.home.requests)

    @trio_test
    async def test_key_is_not_forwarded(self) -> None:
        # Guards against a key sent to another VM; only its digest may leave the entry VM.
        bench = EntryBench()
        await bench.post(PLACE_ORDER_PATH, ORDER)
        request = bench.home.requests[0]
        self.assertNotIn(KEY, repr(request))
        self.assertEqual(("foremen", digest(KEY)), (request.organisation, request.key_digest))


class RequestTest(TestCase):
    @trio_test
    async def test_route_call_carries_options_and_session(self) -> None:
        # Guards against results, headers or session entries lost between home and caller.
        bench = EntryBench()
        first = await bench.post(
            PLACE_ORDER_PATH, ORDER, request_timeout="5", idempotency_key="i-1"
        )
        self.assertEqual(
            {"results": [{"columns": ["n"], "rows": [[1]], "changes": 0}]}, json.loads(first.body)
        )
        token = dict(first.headers)["session-token"]
        await bench.post(BATCH_PATH, READ, session_token=token, max_staleness="1.5")
        write, read = bench.home.requests
        self.assertEqual(("i-1", None), (write.idempotency_key, write.max_staleness_s))
        self.assertTrue(4 < write.timeout_s <= 5)
        self.assertEqual({"ref": "r1", "item": 5}, write.statements[0].params)
        self.assertEqual(((1, 7), 1.5), (tuple(read.session), read.max_staleness_s))

    @trio_test
    async def test_request_digest_depends_only_on_content(self) -> None:
        # Guards against an idempotency key that returns the response of a different request, or
        # refuses a repeat whose JSON members have another order.
        bench = EntryBench()
        reordered = {"params": {"item": 5, "ref": "r1"}}
        for body in (ORDER, reordered, {"params": {"ref": "r1", "item": 6}}):
            await bench.post(PLACE_ORDER_PATH, body, idempotency_key="i-1")
        digests = [request.request_digest for request in bench.home.requests]
        self.assertEqual(digests[0], digests[1])
        self.assertNotEqual(digests[0], digests[2])

    @trio_test
    async def test_malformed_calls_are_refused(self) -> None:
        # Guards against input that reaches a database unchecked, or a refusal that names no reason.
        bench = EntryBench()
        for body, text in (
            ({"params": {"ref": "r"}}, "missing: item"),
            ({"params": {"ref": "r", "item": 1, "x": 1}}, "unknown: x"),
            ({"params": {"ref": "r", "item": True}}, "bool` - at `$.params[...]` (item)"),
            ({"params": {"ref": "r", "item": [1]}}, "array"),
            ({"params": {"ref": "r", "item": 2**64}}, "64 bits"),
            ({"params": {}, "extra": 1}, "extra"),
            (b"{", "JSON"),
            (b"\xff", "JSON"),
            (b"[" * 100000, "body"),
            (b'{"params": {"a": ' + b"[" * 100000, "body"),
            (b'{"params": {"a": ' + b"[" * 100000 + b"]" * 100000 + b"}}", "body"),
        ):
            response = await bench.post(PLACE_ORDER_PATH, body)
            self.assertEqual((400, "bad-request", "no"), problem(response))
            self.assertIn(text, json.loads(response.body)["detail"])
        for sql in ("COMMIT", "/**/ begin", "SELECT 1; SELECT 2", "", "--x", "pragma x"):
            body = {"statements": [{"sql": sql}]}
            self.assertEqual(400, (await bench.post(BATCH_PATH, body)).status, sql)
        response = await bench.post(BATCH_PATH, {"statements": [{"sql": "SELECT 1"}] * 401})
        self.assertIn("burst of 400", json.loads(response.body)["detail"])
        self.assertEqual([], bench.home.requests)

    @trio_test
    async def test_malformed_headers_are_refused(self) -> None:
        # Guards against an invalid header that is ignored although the caller relies on it.
        bench = EntryBench()
        for headers in (
            {"request_timeout": "0"},
            {"request_timeout": "61"},
            {"request_timeout": "nan"},
            {"max_staleness": "-1"},
            {"max_staleness": "1e3"},
            {"idempotency_key": ""},
            {"idempotency_key": "a b"},
            {"idempotency_key": "x" * 129},
            {"session_token": "?"},
        ):
            response = await bench.post(PLACE_ORDER_PATH, ORDER, **headers)
            self.assertEqual((400, "no"), problem(response)[::2], str(headers))
        response = await bench.post("/v1/routes/list", key=None, idempotency_key="a")
        self.assertEqual(400, response.status)
        self.assertEqual([], bench.home.requests)

    @trio_test
    async def test_readiness_probe_fails_while_draining(self) -> None:
        # Guards against a load balancer that keeps sending callers to a draining VM.
        bench = EntryBench()
        ready = Request("GET", "/readyz", {}, {}, b"")
        self.assertEqual(200, (await bench.handler.handle(ready)).status)
        bench.readiness.not_ready_reason = "draining"
        self.assertEqual(503, (await bench.handler.handle(ready)).status)
        alive = ready._replace(path="/healthz")
        self.assertEqual(200, (await bench.handler.handle(alive)).status)


class OutcomeTest(TestCase):
    @trio_test
    async def test_rate_tokens_are_spent_or_refunded(self) -> None:
        # Guards against a rate that charges requests that never ran or omits those that did, and
        # against a burst exceeded by a request that still runs after its token was reissued.
        bench = EntryBench()
        for outcome, settled in (
            (0.0, (1, 0)),
            (OverloadedError("full"), (1, 1)),
            (ConnectionLostError("connection reset"), (1, 1)),
            (SqlError("no such table", code="other"), (2, 1)),
            (RuntimeError("fault"), (2, 1)),
        ):
            bench.home.outcomes = [outcome]
            await bench.post(PLACE_ORDER_PATH, ORDER)
            self.assertEqual(settled, bench.limiter.settled)
        self.assertEqual(2.0, round(bench.home.requests[0].token_lifetime_s or 0, 1))

    @trio_test
    async def test_each_statement_of_a_batch_costs_a_token(self) -> None:
        # Guards against a batch charged as one statement, or a refused batch that keeps its tokens.
        bench = EntryBench()
        bench.limiter.remaining = 5
        batch = {"statements": [{"sql": "SELECT 1"}] * 3, "mode": "read"}
        self.assertEqual(200, (await bench.post(BATCH_PATH, batch)).status)
        self.assertEqual((3, 0), bench.limiter.settled)
        self.assertEqual(429, (await bench.post(BATCH_PATH, batch)).status)
        self.assertEqual((3, 2), bench.limiter.settled)

    @trio_test
    async def test_refusals_report_execution_and_retry_delay(self) -> None:
        # Guards against a caller that repeats an executed write or abandons one that did not run,
        # because the refusal reports the wrong outcome.
        bench = EntryBench()
        bench.limiter.remaining = 0
        limited = await bench.post(PLACE_ORDER_PATH, ORDER)
        self.assertEqual((429, "rate-limited", "no"), problem(limited))
        self.assertEqual("2", dict(limited.headers)["retry-after"])
        bench.limiter.remaining = 10
        bench.home.outcomes = [ConnectionLostError("connection reset")]
        self.assertEqual(
            (502, "connection-lost", "unknown"), problem(await bench.post(PLACE_ORDER_PATH, ORDER))
        )
        bench.home.outcomes = [SqlError("exists", code="constraint", index=0)]
        members = json.loads((await bench.post(PLACE_ORDER_PATH, ORDER)).body)
        self.assertEqual(("constraint", "no"), (members["code"], members["executed"]))
        counted = [call.args[0] for call in bench.metrics.count_refusal.call_args_list]
        self.assertEqual(["rate-limited", "connection-lost", "sql"], counted)

    @trio_test
    async def test_internal_errors_reveal_no_detail(self) -> None:
        # Guards against tracebacks or internal error texts in a response.
        bench = EntryBench()
        bench.home.outcomes = [RuntimeError("secret detail")]
        response = await bench.post(PLACE_ORDER_PATH, ORDER)
        self.assertEqual((500, "internal", "unknown"), problem(response))
        self.assertNotIn(b"secret", response.body)

    @trio_test(mock_clock=True)
    async def test_deadline_ends_a_call_that_exceeds_it(self) -> None:
        # Guards against a caller that waits for a component which ignores its timeout.
        bench = EntryBench()
        bench.home.outcomes = [100.0]
        started = trio.current_time()
        response = await bench.post(PLACE_ORDER_PATH, ORDER, request_timeout="2")
        self.assertEqual((504, "deadline-exceeded", "unknown"), problem(response))
        self.assertLess(trio.current_time() - started, 2.5)

    @trio_test
    async def test_expired_token_is_replaced(self) -> None:
        # Guards against a refusal within the rate limit when the wait exceeds the token's lifetime.
        bench = EntryBench()
        bench.limiter.token_lifetime_s = 0
        bench.home.outcomes = [RateLimitedError("token expired")]
        self.assertEqual(200, (await bench.post(PLACE_ORDER_PATH, ORDER)).status)
        self.assertEqual(["foremen"] * 2, bench.limiter.acquired)
        self.assertEqual((1, 1), bench.limiter.settled)

    @trio_test
    async def test_unparsable_request_is_reported_as_not_executed(self) -> None:
        # Guards against an oversized body that gets no response.
        bench = EntryBench()
        response = bench.handler.handle_bad_request(TooLargeError("body exceeds 10 bytes"))
        self.assertEqual((413, "too-large", "no"), problem(response))
        self.assertTrue(response.close)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["params", "sql", "statements", "mode", "ref"]), inner),
    max_leaves=8,
)


HEADERS = st.dictionaries(
    st.sampled_from(
        ["authorization", "idempotency_key", "session_token", "max_staleness", "request_timeout"]
    ),
    st.text(st.characters(max_codepoint=255), max_size=12) | st.from_regex(r"[0-9.]{1,6}"),
)
PATHS = st.sampled_from([PLACE_ORDER_PATH, BATCH_PATH]) | st.text(max_size=30).map(
    "/v1/routes/{}".format
)
BODIES = st.just(msgspec.json.encode(ORDER)) | st.binary(max_size=40) | JSON_VALUES.map(json.dumps)


class MalformedInputTest(TestCase):
    @settings(deadline=None, max_examples=300)
    @given(PATHS, BODIES, HEADERS)
    def test_arbitrary_request_succeeds_or_is_refused_unexecuted(
        self, path: str, body: bytes | str, headers: dict[str, str]
    ) -> None:
        # Guards against input that causes an internal error, or runs although it is refused.
        async def main() -> None:
            bench = EntryBench()
            data = body.encode() if isinstance(body, str) else body
            response = await bench.post(path, data, **headers)
            if response.status != 200:
                self.assertEqual((True, "no"), (response.status < 500, problem(response)[2]))
                self.assertEqual([], bench.home.requests)

        # Hypothesis runs many failing examples while shrinking; rendering a traceback for each
        # would take minutes.
        with structlog.testing.capture_logs():
            trio.run(main)


class OrganisationTest(TestCase):
    @trio_test
    async def test_requests_on_one_connection_keep_their_organisation(self) -> None:
        # Guards against state of one request that affects the next on the same connection.
        bench = EntryBench()
        await bench.post(PLACE_ORDER_PATH, ORDER)
        await bench.post(PLACE_ORDER_PATH, ORDER, key=OTHER_KEY)
        await bench.post("/v1/routes/list", key=None)
        names = [request.organisation for request in bench.home.requests]
        self.assertEqual(["foremen", "brewers", "(open)"], names)
        self.assertEqual(["foremen", "brewers"], bench.limiter.acquired)
