"""Administration API: authorisation, conflicts, dry runs and edits of unknown outcome."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from memory_store import MemoryStore
from support import TestCase, trio_test
from tanagerfront.admin import AdminHandler
from tanagerfront.config_store import ConfigStore
from tanagerfront.http_server import Request, Response

BOOTSTRAP = "bootstrap-key"


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def section(team: str, note: str = "", owners: str | None = None) -> str:
    return f"; {note}\n[team {team}]\nowners = {owners or 'sha256:' + digest(team + '-key')}\n"


class AdminApi:
    """Administration API over an in-memory store, called without a network."""

    def __init__(self, memory: MemoryStore | None = None) -> None:
        self.memory = memory or MemoryStore()
        self.now = 1000.0
        store = ConfigStore(self.memory, clock=lambda: self.now, apply_timeout_s=1)
        self.handler = AdminHandler(
            store,
            lambda: {"vm-1": store.current.version},
            bootstrap_key_digest=digest(BOOTSTRAP),
            clock=lambda: self.now,
        )

    async def call(
        self, method: str, path: str, key: str | None, body: str = "", **headers: str
    ) -> Response:
        request_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        if key is not None:
            request_headers["authorization"] = f"Bearer {key}"
        path, _, query = path.partition("?")
        parameters = dict(pair.split("=") for pair in query.split("&") if pair)
        return await self.handler.handle(
            Request(method, path, parameters, request_headers, body.encode())
        )

    async def put(
        self, team: str, key: str, text: str, version: int, edit: str, query: str = ""
    ) -> Response:
        path = f"/v1/config/sections/{team}{query}"
        return await self.call("PUT", path, key, text, if_match=f'"{version}"', edit_id=edit)

    async def create_teams(self) -> None:
        await self.put("kumasi", BOOTSTRAP, section("kumasi"), 0, "create-kumasi")
        await self.put("frost", BOOTSTRAP, section("frost"), 0, "create-frost")


def json_body(response: Response) -> dict[str, Any]:
    return dict(json.loads(response.body))


class AccessTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_only_the_owner_edits_a_section(self) -> None:
        # Guards against an edit of a section by another team, with an unknown key, or with the
        # bootstrap key once the team exists.
        api = AdminApi()
        await api.create_teams()
        for key, expected in (("frost-key", 403), (BOOTSTRAP, 403), ("unknown", 401)):
            edited = await api.put("kumasi", key, section("kumasi", "x"), 1, "edit-by-other")
            self.assertEqual(expected, edited.status)
            preview = await api.put("kumasi", key, section("kumasi"), 1, "", "?dry-run=1")
            self.assertEqual(expected, preview.status)
        edited = await api.put("kumasi", "kumasi-key", section("kumasi", "x"), 1, "edit-by-owner")
        self.assertEqual((200, 3), (edited.status, json_body(edited)["version"]))

    @trio_test(mock_clock=True)
    async def test_only_the_bootstrap_key_creates_a_team(self) -> None:
        # Guards against a team created with the key of another team or with an unknown key.
        api = AdminApi()
        await api.create_teams()
        for key, expected in (("frost-key", 403), ("unknown", 401), (BOOTSTRAP, 200)):
            created = await api.put("third", key, section("third"), 0, f"create-third-{expected}")
            self.assertEqual(expected, created.status)

    @trio_test(mock_clock=True)
    async def test_every_read_needs_a_key(self) -> None:
        # Guards against key digests and edits that are readable without a valid key.
        api = AdminApi()
        await api.create_teams()
        paths = ("", "/history", "/versions", "/sections/kumasi")
        for path in paths:
            for key, expected in ((None, 401), ("unknown", 401), ("frost-key", 200)):
                response = await api.call("GET", f"/v1/config{path}", key)
                self.assertEqual(expected, response.status, path)

    @trio_test(mock_clock=True)
    async def test_key_is_rejected_after_its_expiry(self) -> None:
        # Guards against an administration key that is still accepted after its `until` time.
        api = AdminApi()
        owners = f"sha256:{digest('old')} until 1970-01-01T00:20:00Z, sha256:{digest('new')}"
        await api.put("kumasi", BOOTSTRAP, section("kumasi", "", owners), 0, "create-kumasi")
        self.assertEqual(200, (await api.call("GET", "/v1/config", "old")).status)
        api.now = 1200.0
        self.assertEqual(401, (await api.call("GET", "/v1/config", "old")).status)
        self.assertEqual(200, (await api.call("GET", "/v1/config", "new")).status)

    @trio_test(mock_clock=True)
    async def test_revoked_key_cannot_edit_through_a_stale_vm(self) -> None:
        # Guards against a VM with an old configuration that accepts a key revoked on another VM.
        api = AdminApi()
        await api.create_teams()
        other_api = AdminApi(api.memory)
        owners = f"sha256:{digest('new')}"
        await other_api.put(
            "kumasi", "kumasi-key", section("kumasi", "", owners), 1, "withdraw-old"
        )
        edited = await api.put("kumasi", "kumasi-key", section("kumasi"), 3, "edit-by-withdrawn")
        self.assertEqual(401, edited.status)


class EditTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_conflicting_edit_is_rejected_with_the_difference(self) -> None:
        # Guards against an edit based on an old version that overwrites a newer one.
        api = AdminApi()
        await api.create_teams()
        await api.put("kumasi", "kumasi-key", section("kumasi", "theirs"), 1, "edit-theirs")
        edited = await api.put("kumasi", "kumasi-key", section("kumasi", "mine"), 1, "edit-mine")
        self.assertEqual((409, "no"), (edited.status, json_body(edited)["executed"]))
        self.assertIn("-; theirs\n+; mine", json_body(edited)["detail"])
        found = await api.call("GET", "/v1/config/sections/kumasi", "kumasi-key")
        self.assertEqual(section("kumasi", "theirs").encode(), found.body)
        self.assertEqual('"3"', dict(found.headers)["etag"])

    @trio_test(mock_clock=True)
    async def test_dry_run_validates_without_applying(self) -> None:
        # Guards against a dry run that is applied, or that misses an error the edit would return.
        api = AdminApi()
        await api.create_teams()
        text = section("kumasi", "x")
        preview = await api.put("kumasi", "kumasi-key", text, 1, "", "?dry-run=1")
        self.assertIn("+; x", json_body(preview)["difference"])
        invalid = await api.put("kumasi", "kumasi-key", text + "x", 1, "", "?dry-run=1")
        self.assertEqual(422, invalid.status)
        stale = await api.put("kumasi", "kumasi-key", text, 0, "", "?dry-run=1")
        self.assertEqual(409, stale.status)
        document = json_body(await api.call("GET", "/v1/config", "kumasi-key"))
        self.assertEqual(2, document["version"])

    @trio_test(mock_clock=True)
    async def test_malformed_edits_are_rejected(self) -> None:
        # Guards against an edit without a base version or an edit id: its conflicts or its outcome
        # could not be determined.
        api = AdminApi()
        await api.create_teams()
        path = "/v1/config/sections/kumasi"
        for headers in (
            {},
            {"if_match": "*"},
            {"if_match": "1"},
            {"if_match": "1", "edit_id": "x"},
        ):
            edited = await api.call("PUT", path, "kumasi-key", section("kumasi"), **headers)
            self.assertEqual(400, edited.status)
        missing = await api.call("GET", "/v1/config/sections/third", "kumasi-key")
        self.assertEqual(404, missing.status)
        self.assertEqual(404, (await api.call("GET", "/v1/other", "kumasi-key")).status)

    @trio_test(mock_clock=True)
    async def test_retry_with_the_edit_id_resolves_an_unknown_outcome(self) -> None:
        # Guards against executed `no` for an edit of unknown outcome, and against a retry that
        # conflicts with its own first attempt.
        api = AdminApi(MemoryStore(["ok", *["late"] * 200]))
        edited = await api.put("kumasi", BOOTSTRAP, section("kumasi"), 0, "create-kumasi")
        self.assertEqual((504, "unknown"), (edited.status, json_body(edited)["executed"]))
        api.memory.end_faults()
        repeated = await api.put("kumasi", "kumasi-key", section("kumasi"), 0, "create-kumasi")
        self.assertEqual((200, True), (repeated.status, json_body(repeated)["repeated"]))
        history = json_body(await api.call("GET", "/v1/config/history", "kumasi-key"))["edits"]
        self.assertEqual(
            [("create-kumasi", 1)], [(edit["id"], edit["version"]) for edit in history]
        )

    @trio_test(mock_clock=True)
    async def test_configuration_is_readable_while_the_store_is_down(self) -> None:
        # Guards against an outage of the key-value service that hides the configuration in force.
        api = AdminApi()
        await api.create_teams()
        await api.call("GET", "/v1/config", "kumasi-key")
        api.memory.down = True
        found = await api.call("GET", "/v1/config/sections/kumasi", "kumasi-key")
        self.assertEqual(200, found.status)
        edited = await api.put("kumasi", "kumasi-key", section("kumasi"), 1, "edit-in-outage")
        self.assertEqual((503, "no"), (edited.status, json_body(edited)["executed"]))
