"""The documentation covers what the code has."""

from __future__ import annotations

import re
from pathlib import Path

from support import TestCase

ROOT = Path(__file__).resolve().parent.parent


class DocsTest(TestCase):
    def test_design_lists_every_public_module(self) -> None:
        # Guards against a module that a newcomer finds in the tree but not in the design.
        design = (ROOT / "docs" / "design.md").read_text(encoding="utf-8")
        listed = set(re.findall(r"`([a-z_]+)`", design))
        modules = {path.stem for path in (ROOT / "src" / "tanagerfront").glob("[a-z]*.py")}
        self.assertEqual(set(), modules - listed)

    def test_links_between_pages_lead_somewhere(self) -> None:
        # Guards against a page that names a file that was moved or never written.
        for page in [ROOT / "README.md", *ROOT.glob("docs/**/*.md")]:
            for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text("utf-8")):
                self.assertTrue((page.parent / target).exists(), f"{page.name}: {target}")
