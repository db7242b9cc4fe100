"""Settings file and stored documents of the platform: complete, incomplete and malformed."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.errors import ConfigurationError, SettingsError
from tanagerfront.platform.documents import decode_configuration, decode_instance
from tanagerfront.platform.settings import load_settings, settings_path
from tanagerfront.session_model import InstanceRole, RouteKind

SETTINGS = """
node_name = "front-suame-1"
ip = "127.0.0.1"
zone = "suame"
internal_ports = [7560, 7575]
something_new = 3
[listen]
front = "127.0.0.1:8465"
ready = "127.0.0.1:8460"
[platform]
address = "127.0.0.1:8466"
[bounds]
drain_ms = 7000
grace_s = 6
revoke_ms = 5000
[cloud]
address = "127.0.0.1:8467"
"""

REGISTRATION: dict[str, Any] = {
    "service": "orders",
    "address": "127.0.0.1:8080",
    "zone": "suame",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_remaining_ms": 0,
    "db_role": "replica",
    "sequence": 4,
    "born": 1779931427167,
}


class SettingsTest(TestCase):
    def _load(self, text: str) -> Any:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "settings.toml")
            path.write_text(text, encoding="utf-8")
            return load_settings(path)

    def test_settings_are_converted_to_internal_names_and_seconds(self) -> None:
        loaded = self._load(SETTINGS)
        self.assertEqual("front-suame-1", loaded.vm)
        self.assertEqual(
            ("suame", 7.0, 5.0), (loaded.failure_domain, loaded.drain_s, loaded.key_revocation_s)
        )

    def test_an_error_names_the_missing_field(self) -> None:
        for removed_line, field in (
            ('node_name = "front-suame-1"\n', "node_name"),
            ('front = "127.0.0.1:8465"\n', "front"),
            ("internal_ports = [7560, 7575]\n", "internal_ports"),
        ):
            with self.assertRaises(SettingsError) as caught:
                self._load(SETTINGS.replace(removed_line, ""))
            self.assertIn(field, str(caught.exception))
        with self.assertRaises(SettingsError):
            self._load(SETTINGS.replace("127.0.0.1:8465", "nowhere"))
        with self.assertRaises(SettingsError):
            self._load("not toml [")

    def test_the_path_comes_from_the_environment(self) -> None:
        with self.assertRaises(SettingsError):
            settings_path({})
        self.assertEqual(Path("/x"), settings_path({"TANAGERFRONT_BOOT": "/x"}))


class InstanceRegistrationTest(TestCase):
    def test_a_registration_is_decoded(self) -> None:
        instance = decode_instance("i-1", json.dumps(REGISTRATION).encode(), 9)
        self.assertEqual(
            ("orders", InstanceRole.REPLICA, 9), (instance.group, instance.role, instance.revision)
        )

    def test_a_malformed_registration_by_another_writer_is_rejected(self) -> None:
        for field, value in (("state", "odd"), ("db_role", 3), ("address", "x"), ("service", None)):
            with self.assertRaises(ConfigurationError):
                decode_instance("i-1", json.dumps({**REGISTRATION, field: value}).encode(), 9)

    def test_values_that_can_not_be_used_make_a_registration_malformed(self) -> None:
        # Guards against an entry by another writer that is accepted, and ends the task that later
        # connects to it, converts its numbers or sends its name in a line.
        for field, value in (
            ("slots", 0),
            ("slots", 10**30),
            ("slots", 10**4000),
            ("born", 10**30),
            ("born", -1),
            ("sequence", 10**4000),
            ("address", "127.0.0.1:65536"),
            ("address", "127.0.0.1:0"),
            ("address", "127.0.0.1:-1"),
            ("address", "127.0.0.1:" + "9" * 5000),
            ("address", "name.example:80"),
            ("address", "127.0.0.1\r\n:80"),
            ("service", ""),
            ("service", "orders x"),
            ("service", "orders\r\nQUERY"),
        ):
            with self.assertRaises(ConfigurationError):
                decode_instance("i-1", json.dumps({**REGISTRATION, field: value}).encode(), 9)
        with self.assertRaises(ConfigurationError):
            decode_instance("i 1", json.dumps(REGISTRATION).encode(), 9)

    def test_an_odd_cold_time_does_not_remove_the_instance(self) -> None:
        # Guards against an instance that serves nobody because of a field that few deployments use.
        for value, expected in (
            (1500, 1.5),
            (None, None),
            ("x", None),
            (-1, None),
            (10**30, None),
            (1e300, None),
        ):
            entry = json.dumps({**REGISTRATION, "cold_remaining_ms": value}).encode()
            self.assertEqual(expected, decode_instance("i-1", entry, 9).cold_remaining_s)
        self.assertEqual(
            0.0, decode_instance("i-1", json.dumps(REGISTRATION).encode(), 9).cold_remaining_s
        )

    @given(st.binary(max_size=60))
    def test_any_bytes_are_decoded_or_rejected(self, value: bytes) -> None:
        for decode in (
            lambda: decode_instance("i-1", value, 1),
            lambda: decode_configuration(value, 1),
        ):
            try:
                decode()
            except ConfigurationError:
                continue


class ConfigurationTest(TestCase):
    def test_a_configuration_is_decoded(self) -> None:
        configuration = decode_configuration(
            json.dumps(
                {
                    "version": 7,
                    "routes": [
                        {
                            "name": "r",
                            "database": "db",
                            "type": "bounded",
                            "service": "orders",
                            "timeout_ms": 1500,
                            "max_staleness_ms": 1500,
                        }
                    ],
                    "services": [{"name": "orders", "max_connections": 16, "sync_replicas": 1}],
                    "limits": {"tx_idle_ms": 2000},
                    "tenants": [
                        {"name": "t", "api_keys": ["k1", "k2"], "rate_per_s": 60, "burst": 30}
                    ],
                }
            ).encode(),
            3,
        )
        route = configuration.routes["db"]
        self.assertEqual(
            (RouteKind.BOUNDED, 1.5, 1.5),
            (route.kind, route.statement_timeout_s, route.max_staleness_s),
        )
        self.assertEqual({"k1": "t", "k2": "t"}, dict(configuration.organisation_of_key))
        self.assertEqual(
            (2.0, 1),
            (configuration.transaction_idle_s, configuration.groups["orders"].synchronous_replicas),
        )

    def test_a_route_of_unknown_type_makes_the_configuration_malformed(self) -> None:
        route = {"name": "r", "database": "d", "service": "s", "type": "odd"}
        with self.assertRaises(ConfigurationError):
            decode_configuration(json.dumps({"version": 1, "routes": [route]}).encode(), 1)
