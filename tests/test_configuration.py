"""Tests of the configuration document: valid documents, refused documents and error messages."""

from __future__ import annotations

import re
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from support import TestCase
from tanagerfront._statement_check import parameter_names
from tanagerfront.configuration import Acknowledge, Configuration, RequestClass, parse_section
from tanagerfront.errors import ConfigurationError
from tanagerfront.http_client import Address

DOCS = Path(__file__).resolve().parent.parent / "docs"
DIGEST = "sha256:" + "ab" * 32
OTHER_DIGEST = "sha256:" + "cd" * 32
UNTIL = "2026-12-31T00:00:00Z"
UNTIL_S = 1798675200.0


def section(name: str = "kumasi", /, **parts: dict[str, str]) -> str:
    defaults = {
        f"team {name}": {"owners": DIGEST},
        "organisation foremen": {"keys": DIGEST, "rate": "5", "burst": "9", "groups": "g"},
        "group g": {"instances": "adum@127.0.0.1:1", "connections": "9", "slots": "2"},
        "route r": {"group": "g", "mode": "write", "statement.1": "DELETE FROM t WHERE a = :a"},
    }
    kinds = {header.split()[0]: header for header in defaults}
    for kind, options in parts.items():
        defaults[kinds[kind]] = defaults[kinds[kind]] | options
    return "".join(
        f"[{header}]\n" + "".join(f"{option} = {value}\n" for option, value in options.items())
        for header, options in defaults.items()
    )


class ExampleTest(TestCase):
    def test_example_of_the_reference_is_valid(self) -> None:
        # Guards against an example in the reference that the parser refuses or reads differently.
        page = (DOCS / "configuration.md").read_text(encoding="utf-8")
        (text,) = re.findall(r"```ini\n(.*?)```", page, re.DOTALL)
        configuration = Configuration.from_sections(7, {"kumasi": text})
        foremen = configuration.organisations["foremen"]
        self.assertEqual((200.0, 400.0, 4.0), foremen[2:5])
        self.assertEqual([None, UNTIL_S], [key.until for key in foremen.keys])
        group = configuration.groups["orders-1"]
        self.assertEqual(Address("127.0.0.1", 7103), group.instances[2].address)
        self.assertEqual([False, False, True], [instance.leaving for instance in group.instances])
        self.assertEqual((16, 2, Acknowledge.REPLICATED, 3), group[2:])
        browse = configuration.routes["browse"]
        self.assertTrue(browse.open_to_all and browse.repeatable)
        self.assertEqual(RequestClass.BROWSING, browse.request_class)
        self.assertEqual({"pattern"}, parameter_names(browse.statements))

    def test_reference_names_every_option(self) -> None:
        # Guards against options that the parser reads but the reference doesn't describe.
        page = (DOCS / "configuration.md").read_text(encoding="utf-8")
        sources = Path(parse_section.__code__.co_filename).read_text(encoding="utf-8")
        read = r"options\.(?:text|integer|number|choice|flag|reference|names|keys|instances)\(\s*\""
        options = re.findall(read + r"([a-z]+)", sources)
        self.assertGreaterEqual(len(options), 15)
        self.assertEqual([], [name for name in options if f"| `{name}` |" not in page])


class RefusalTest(TestCase):
    def _assert_refused(self, text: str, *expected: str) -> None:
        with self.assertRaises(ConfigurationError) as caught:
            Configuration.from_sections(1, {"kumasi": text})
        for part in expected:
            self.assertIn(part, caught.exception.message)

    def test_value_errors_state_section_option_and_allowed_values(self) -> None:
        # Guards against invalid values that are accepted, or refused without the allowed values.
        cases = (
            ("team", "owners", "", "at least one"),
            ("organisation", "rate", "0", "0.001"),
            ("organisation", "rate", "nan", "a number"),
            ("organisation", "burst", "0.5", "1 to"),
            ("organisation", "weight", "-1", "0.01"),
            ("organisation", "keys", "sha256:" + "AB" * 32, "lower-case hex"),
            ("organisation", "keys", "sha256:abcd", "64"),
            ("organisation", "keys", f"{DIGEST}, {DIGEST}", "once"),
            ("organisation", "keys", f"{DIGEST},", "none of them empty"),
            ("organisation", "keys", f"{DIGEST} until 2026-12-31T00:00:00", "zone"),
            ("organisation", "keys", f"{DIGEST} until tomorrow", "2026-12-31T00:00:00Z"),
            ("organisation", "groups", "G", "lower-case"),
            ("group", "instances", "adum@localhost:1", "IP:PORT"),
            ("group", "instances", "adum@127.0.0.1:0", "65535"),
            ("group", "instances", "127.0.0.1:1", "FAILURE-DOMAIN"),
            ("group", "instances", "", "at least one"),
            ("group", "connections", "8", "9 to"),
            ("group", "slots", "2.5", "whole number"),
            ("group", "homes", "0", "1 to 63"),
            ("group", "acknowledge", "always", "replicated or majority-term"),
            ("route", "mode", "Write", "read or write"),
            ("route", "class", "urgent", "orders or standard or browsing"),
            ("route", "open", "true", "yes or no"),
            ("route", "statement.1", "", "without a gap"),
            ("route", "statement.3", "DELETE FROM t", "without a gap"),
            ("route", "statement.1", "DELETE FROM t WHERE a = ?", ":name"),
            ("route", "statement.1", "DELETE FROM t WHERE a = $1", ":name"),
            ("route", "statement.1", "DELETE FROM t; DELETE FROM u", "one statement"),
            ("route", "statement.1", "commit", "transaction control"),
            ("route", "statement.1", "DELETE FROM t WHERE a = 'x", "closed"),
            ("route", "statement.1", "-- nothing", "transaction control"),
        )
        for kind, option, value, allowed in cases:
            text = section(**{kind: {option: value}})
            self._assert_refused(text, "section kumasi", f"[{kind} ", option.split(".")[0], allowed)
        text = section(route={"mode": "read"})
        self._assert_refused(text, "[route r]", "statement.1 = DELETE", "SELECT")

    def test_unknown_parts_and_unknown_options_are_refused(self) -> None:
        # Guards against a misspelled option that silently has no effect.
        self._assert_refused(section(group={"slot": "3"}), "slot = 3", "unknown option", "slots")
        self._assert_refused(section(group={"Slots": "3"}), "Slots = 3", "unknown option")
        self._assert_refused(section() + "[routes x]\n", "[routes x]", "[route NAME]")
        self._assert_refused(section() + "[DEFAULT]\nrate = 1\n", "[DEFAULT]")
        self._assert_refused(section() + "[group g]\n", "malformed", "already exists")
        self._assert_refused(section() + "mode = read\n", "malformed", "already exists")
        self._assert_refused("owners = 1\n", "malformed")

    def test_section_must_define_exactly_its_own_team(self) -> None:
        # Guards against a team that defines another team in its section and so changes its owners.
        self._assert_refused(section("frost"), "[team frost] found", "[team kumasi] is allowed")
        self._assert_refused(section() + f"[team frost]\nowners = {DIGEST}\n", "exactly one")

    def test_oversized_section_is_refused(self) -> None:
        # Guards against a section that is too large for the key-value service.
        filler = "; " + "x" * 1021 + "\n"
        self.assertTrue(parse_section("kumasi", section() + filler * 1000))
        self._assert_refused(section() + filler * 1024, "bytes found", "1048576")

    def test_conflicts_between_sections_are_refused(self) -> None:
        # Guards against sections that are valid alone but define the same name, address or key, or
        # refer to an unknown group.
        cases = (
            ("[group g]\ninstances = adum@127.0.0.1:2\nconnections = 9\nslots = 2\n", "group g"),
            (
                "[group h]\ninstances = suame@127.0.0.1:1\nconnections = 9\nslots = 2\n",
                "instances = 127.0.0.1:1",
            ),
            (f"[organisation o]\nkeys = {DIGEST}\nrate=1\nburst=1\ngroups=g\n", "keys = sha256"),
            (f"[organisation o]\nkeys = {OTHER_DIGEST}\nrate=1\nburst=1\ngroups=x\n", "groups = x"),
            ("[route s]\ngroup = x\nmode = write\nstatement.1 = DELETE FROM t\n", "group = x"),
            ("[route r]\ngroup = g\nmode = write\nstatement.1 = DELETE FROM t\n", "route r"),
        )
        for part, expected in cases:
            frost = f"[team frost]\nowners = {DIGEST}\n{part}"
            with self.assertRaises(ConfigurationError) as caught:
                Configuration.from_sections(1, {"kumasi": section(), "frost": frost})
            self.assertIn(expected, caught.exception.message)
            self.assertIn("section frost", caught.exception.message)


class StatementTest(TestCase):
    def test_special_characters_in_quoted_text_are_kept(self) -> None:
        # Guards against a statement that is truncated or refused because its quoted text contains
        # comment, parameter or end characters.
        sql = "INSERT INTO t VALUES (:a, 'it''s ; # :b ?', \"c;\", :c_1) -- :d"
        parsed = parse_section("kumasi", section(route={"statement.1": sql}))
        self.assertEqual((sql,), parsed.routes[0].statements)
        self.assertEqual({"a", "c_1"}, parameter_names(parsed.routes[0].statements))

    @given(st.text(st.characters(codec="utf-8", exclude_categories=["Cc", "Zl", "Zp"])))
    @settings(max_examples=200, deadline=None)
    def test_quoted_text_never_changes(self, text: str) -> None:
        # Guards against quoted text that is parsed as a parameter, a comment or a statement end.
        sql = "SELECT '" + text.replace("'", "''") + "' WHERE a = :a"
        parsed = parse_section("kumasi", section(route={"statement.1": sql}))
        self.assertEqual((sql,), parsed.routes[0].statements)
        self.assertEqual({"a"}, parameter_names(parsed.routes[0].statements))


class KeyTest(TestCase):
    def test_old_and_new_key_are_both_valid_until_the_old_one_expires(self) -> None:
        # Guards against callers that are refused while a key is replaced, and against a key that
        # remains valid after its expiry.
        text = section(organisation={"keys": f"{DIGEST} until {UNTIL}, {OTHER_DIGEST}"})
        indexed = Configuration.from_sections(1, {"kumasi": text})
        old, new = DIGEST[7:], OTHER_DIGEST[7:]
        for configuration in (indexed, indexed._replace(organisation_names_by_key_digest=None)):
            for digest, now, expected in (
                (old, UNTIL_S - 1, "foremen"),
                (old, UNTIL_S, None),
                (new, UNTIL_S - 1, "foremen"),
                (new, UNTIL_S + 1, "foremen"),
                ("00" * 32, 0, None),
            ):
                organisation = configuration.organisation_for_key(digest, now)
                self.assertEqual(expected, organisation.name if organisation else None)

    def test_empty_keys_option_revokes_all_keys(self) -> None:
        # Guards against a parser that requires a key, so that the last one cannot be revoked.
        parsed = parse_section("kumasi", section(organisation={"keys": ""}))
        self.assertEqual((), parsed.organisations[0].keys)
