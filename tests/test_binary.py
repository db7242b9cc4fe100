"""The single-file build starts without other files and runs as one process."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from support import TestCase

ROOT = Path(__file__).resolve().parent.parent
LIMIT_S = 60
# Nothing answers on port 1, so the VM serves without a platform.
SETTINGS = """
[vm]
id = vm-1
failure_domain = suame

[listen]
callers = 127.0.0.1:0
admin = 127.0.0.1:0
peers = 127.0.0.1:0

[platform]
key_value = 127.0.0.1:1
vm_list = 127.0.0.1:1

[timing]
drain_delay = 0
"""


def processes_of_session(session: int) -> Iterator[int]:
    """Yield the ids of the processes in a session, as listed by the kernel."""
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit():
            continue
        try:
            stat = (entry / "stat").read_text()
        except OSError:
            continue
        # The fields after the command name: state, parent, process group, session.
        if int(stat.rpartition(")")[2].split()[3]) == session:
            yield int(entry.name)


class BinaryTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.binary = self.directory / "tanagerfront"
        build = [sys.executable, str(ROOT / "tools" / "build_binary.py"), str(self.binary)]
        subprocess.run(build, check=True, stdout=subprocess.DEVNULL, timeout=LIMIT_S)

    def start(self, *arguments: str) -> subprocess.Popen[str]:
        path = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
        environment = {"PATH": path, "SHIV_ROOT": str(self.directory / "shiv"), "TERM": "dumb"}
        return subprocess.Popen(
            [str(self.binary), *arguments],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )

    def test_help_runs_as_one_process(self) -> None:
        # Guards against a build whose launcher starts a child, which a VM must not do.
        for _attempt in ("first start, which unpacks", "later start"):
            process = self.start("--help")
            most = 0
            deadline = time.monotonic() + LIMIT_S
            while process.poll() is None and time.monotonic() < deadline:
                most = max(most, len(list(processes_of_session(process.pid))))
                time.sleep(0.01)
            output = process.communicate(timeout=LIMIT_S)[0]
            self.assertEqual(0, process.returncode, output)
            self.assertIn("serve", output)
            self.assertEqual(1, most)

    def test_serve_runs_as_one_process_and_stops(self) -> None:
        # Guards against a build that lacks a module imported only by a running VM.
        settings = self.directory / "vm.ini"
        settings.write_text(SETTINGS, encoding="utf-8")
        process = self.start("serve", "--settings", str(settings))
        assert process.stdout is not None
        # Warnings about the platform may precede the line.
        self.assertTrue(any("vm_started" in line for line in process.stdout))
        self.assertEqual([process.pid], list(processes_of_session(process.pid)))
        process.terminate()
        output = process.communicate(timeout=LIMIT_S)[0]
        self.assertEqual(0, process.returncode, output)
        self.assertIn("vm_stopped", output)
