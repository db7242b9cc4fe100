"""The documentation is consistent with the code."""

from __future__ import annotations

import re
from pathlib import Path

from support import TestCase

ROOT = Path(__file__).resolve().parent.parent


class DocsTest(TestCase):
    def test_design_lists_every_public_module(self) -> None:
        # Guards against public modules that the design page does not mention.
        design = (ROOT / "docs" / "design.md").read_text(encoding="utf-8")
        listed = set(re.findall(r"`([a-z_]+)`", design))
        modules = {path.stem for path in (ROOT / "src" / "tanagerfront").glob("[a-z]*.py")}
        self.assertEqual(set(), modules - listed)

    def test_links_between_pages_resolve(self) -> None:
        # Guards against links to files that were moved or do not exist.
        for page in [ROOT / "README.md", *ROOT.glob("docs/**/*.md")]:
            for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text("utf-8")):
                self.assertTrue((page.parent / target).exists(), f"{page.name}: {target}")
