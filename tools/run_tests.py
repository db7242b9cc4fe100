"""Run the test modules in parallel and print a summary.

Tests listed in KNOWN-RED.txt are run, and their failures are printed without failing the run. Any
other failure fails it.
Usage: run_tests.py [--jobs N] [MODULE ...]
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MODULE_TIMEOUT_S = 600


def read_known_red() -> frozenset[str]:
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    return frozenset(line.removeprefix("test: ") for line in lines if line.startswith("test: "))


def run_module(module: str) -> tuple[str, float, str]:
    """Run a test module in its own process; return its name, duration in seconds and output.

    A timeout or an early exit of the process is added to the output as a failed test.
    """
    started = time.monotonic()
    command = [sys.executable, str(ROOT / "tools" / "run_module.py"), module]
    environment = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT / 'tests'}:{ROOT}")
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=MODULE_TIMEOUT_S,
            check=False,
        )
        output = completed.stdout
    except subprocess.TimeoutExpired as error:
        captured = error.stdout or b""
        text = captured.decode(errors="replace") if isinstance(captured, bytes) else captured
        output = f"{text}\nRESULT fail {module}.timed_out\n"
    if "RESULT done" not in output and "timed_out" not in output:
        output += f"\nRESULT fail {module}.ended_early\n"
    return module, time.monotonic() - started, output


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("modules", nargs="*")
    arguments = parser.parse_args()
    modules = arguments.modules or sorted(path.stem for path in ROOT.glob("tests/test_*.py"))
    known_red = read_known_red()
    passed, failed, known_failures = 0, [], []
    with ThreadPoolExecutor(max_workers=arguments.jobs) as executor:
        for module, seconds, output in executor.map(run_module, modules):
            results = [line.split(" ", 2) for line in output.splitlines() if line[:7] == "RESULT "]
            passed += sum(1 for result in results if result[1] == "ok")
            names = [result[2] for result in results if result[1] == "fail"]
            unexpected = [name for name in names if name not in known_red]
            known_failures += [name for name in names if name in known_red]
            failed += unexpected
            print(
                f"{module}: {len(results) - 1} run, {len(names)} failed, {seconds:.1f} s",
                flush=True,
            )
            if names:
                print("\n".join(ln for ln in output.splitlines() if not ln.startswith("RESULT ok")))
    for name in known_failures:
        print(f"known red (KNOWN-RED.txt): {name}")
    for name in failed:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
