"""Build a single executable file of tanagerfront from the installed packages.

Usage: build_binary.py OUTPUT. Needs no network: it copies the run-time dependencies from the
current environment and packs them with shiv.
"""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from importlib.metadata import Distribution, distribution
from pathlib import Path

from packaging.requirements import Requirement

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "tanagerfront"
INTERPRETER = "/usr/bin/env python3"
# Byte code, tests, stubs and C sources are not used at run time; scripts lie outside the packages.
SKIPPED_FILES = re.compile(r"(^|/)(__pycache__|tests?)/|\.(pyi|pyx|pxd|c|h)$|^\.\./")


def run_time_distributions() -> list[Distribution]:
    """Return the installed run-time dependencies of tanagerfront, including indirect ones."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    found: dict[str, Distribution] = {}
    pending = list(project["dependencies"])
    while pending:
        requirement = Requirement(pending.pop())
        if requirement.marker and not requirement.marker.evaluate({"extra": ""}):
            continue
        name = requirement.name.lower().replace("-", "_")
        if name not in found:
            found[name] = distribution(requirement.name)
            pending += found[name].requires or ()
    return list(found.values())


def copy_distribution(installed: Distribution, target: Path) -> None:
    """Copy the run-time files of a distribution to `target`."""
    for file in installed.files or ():
        if SKIPPED_FILES.search(str(file)):
            continue
        destination = target / str(file)
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(installed.locate_file(file)), destination)


def pack(site: Path, output: Path) -> None:
    """Pack a directory of packages into one executable file."""
    command = [sys.executable, "-m", "shiv.cli", "--site-packages", str(site)]
    command += ["--entry-point", f"{PACKAGE}.cli:main", "--python", INTERPRETER]
    command += ["--compressed", "--reproducible", "--output-file", str(output)]
    subprocess.run(command, check=True, stdout=subprocess.DEVNULL)


def main() -> int:
    output = Path(sys.argv[1]).resolve()
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        site = Path(directory) / "site"
        for installed in run_time_distributions():
            copy_distribution(installed, site)
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / "src" / PACKAGE, site / PACKAGE, ignore=ignored)
        pack(site, output)
    print(f"{output.name}: {output.stat().st_size / 1e6:.1f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
