"""Tests of the settings file: all faults are reported and no invalid value is accepted."""

from __future__ import annotations

import tempfile
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.errors import SettingsError
from tanagerfront.http_client import Address
from tanagerfront.settings import Settings, load_settings

VALID = """
[vm]
id = vm-1
failure_domain = suame
[listen]
callers = 127.0.0.1:7000
admin = 127.0.0.1:7001
peers = 127.0.0.1:7002
[platform]
key_value = 127.0.0.1:7301, 127.0.0.1:7302
vm_list = 127.0.0.1:7303
"""


class SettingsTest(TestCase):
    def load(self, text: str) -> Settings:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "vm.ini"
            path.write_text(text, encoding="utf-8")
            return load_settings(path)

    def faults(self, text: str) -> list[str]:
        with self.assertRaises(SettingsError) as caught:
            self.load(text)
        self.assertEqual(2, caught.exception.exit_code)
        return caught.exception.message.splitlines()

    def test_valid_file_is_loaded_with_defaults(self) -> None:
        # Guards against options that are read but not passed on, and against wrong defaults.
        settings = self.load(VALID + "[limits]\nmax_connections = 7 ; a comment\n")
        self.assertEqual("vm-1", settings.vm.id)
        self.assertEqual(Address("127.0.0.1", 7302), settings.platform.key_value[1])
        self.assertEqual(7, settings.limits.max_connections)
        self.assertEqual("json", settings.log.format)
        self.assertNotEqual(settings.vm.incarnation, self.load(VALID).vm.incarnation)

    def test_all_faults_are_reported_at_once(self) -> None:
        # Guards against reports of only the first fault, which cost one restart per fault.
        text = VALID.replace("127.0.0.1:7000", "localhost").replace("id = vm-1", "id = a b")
        faults = self.faults(text + "[timing]\nheartbeat = nan\n")
        self.assertEqual(3, len(faults))
        self.assertIn("vm.ini: [listen] callers: found 'localhost'; allowed: HOST:PORT", faults[1])

    def test_unknown_names_get_a_suggestion(self) -> None:
        # Guards against a misspelt option whose default silently stays in effect.
        faults = self.faults(VALID + "[timing]\nheartbeet = 1\n[limit]\n")
        self.assertIn("[timing] heartbeet: unknown option, did you mean heartbeat?", faults[0])
        self.assertIn("[limit]: unknown section, did you mean limits?", faults[1])

    def test_options_are_compared_with_each_other(self) -> None:
        # Guards against options that are valid on their own but contradict each other.
        faults = self.faults(
            VALID.replace("7001", "7000")
            + "[limits]\ndefault_timeout = 50\nmax_timeout = 5\n[timing]\nheartbeat = 5\n"
        )
        self.assertEqual(3, len(faults))

    def test_missing_options_are_named(self) -> None:
        # Guards against a process that starts without knowing its failure domain.
        faults = self.faults(VALID.replace("failure_domain = suame\n", ""))
        self.assertIn("[vm] failure_domain: missing", faults[0])

    def test_duplicate_sections_and_missing_files_are_refused(self) -> None:
        # Guards against a duplicate section that silently overrides the first.
        self.assertIn("already exists", self.faults(VALID + "[vm]\n")[0])
        with self.assertRaises(SettingsError):
            load_settings("/nonexistent/vm.ini")

    @given(st.text(max_size=200))
    def test_any_text_is_loaded_or_refused(self, text: str) -> None:
        # Guards against a traceback instead of an error message for a damaged file.
        try:
            self.load(text.encode("utf-8", "ignore").decode())
        except SettingsError as error:
            self.assertIn("vm.ini", error.message)
