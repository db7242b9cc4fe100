"""The decision log: complete lines, a rate limit, no blocking on a slow reader."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import textwrap

from support import TestCase
from tanagerfront.decision_log import _StdoutLogger

PROGRAM = """
    import sys
    from tanagerfront.decision_log import DecisionLog, configure_decision_log
    configure_decision_log()
    now = [0.0]
    log = DecisionLog("vm-1", now=lambda: now[0])
    {body}
"""


def run(body: str) -> list[dict[str, object]]:
    """Run a program that logs and return its parsed lines."""
    program = textwrap.dedent(PROGRAM).replace("{body}", textwrap.dedent(body))
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, timeout=30
    )
    return [json.loads(line) for line in done.stdout.splitlines()]


class DecisionLogTest(TestCase):
    def test_a_line_has_its_inputs_and_the_vm(self) -> None:
        [line] = run('log.decision("served", request="q1", reached=(1, 7))')
        self.assertEqual(
            ("vm-1", "served", "q1", [1, 7]),
            tuple(line[name] for name in ("vm", "event", "request", "reached")),
        )
        self.assertIn("time", line)

    def test_lines_of_one_event_are_rate_limited_and_the_rest_is_counted(self) -> None:
        # Guards against a log that uses much processor time on an overloaded VM.
        lines = run("""
for _ in range(1000): log.decision("refused")
log.decision("other")
now[0] = 10.0
log.decision("refused")
""")
        events = [line["event"] for line in lines]
        self.assertLessEqual(events.count("refused"), 102)
        self.assertIn("other", events)
        [suppressed] = [line for line in lines if line["event"] == "lines_suppressed"]
        self.assertGreaterEqual(int(str(suppressed["count"])), 899)

    def test_lines_lost_on_a_full_pipe_are_reported(self) -> None:
        # Guards against a log that looks complete although lines were lost on a slow reader.
        readable, writable = os.pipe()
        self.addCleanup(os.close, readable)
        self.addCleanup(os.close, writable)
        os.set_blocking(writable, False)
        logger = _StdoutLogger(writable)
        for _ in range(100):
            logger.msg(b'{"event":"' + b"x" * 3000 + b'"}')
        written = os.read(readable, 1 << 20).count(b"\n")
        logger.msg(b'{"event":"last"}')
        first, second = map(json.loads, os.read(readable, 1 << 20).splitlines())
        self.assertEqual({"event": "lines_lost", "count": 100 - written}, first)
        self.assertEqual({"event": "last"}, second)

    def test_a_stalled_reader_does_not_block_the_program(self) -> None:
        # Guards against a VM that blocks because nothing reads its log.
        program = textwrap.dedent(PROGRAM).replace(
            "{body}",
            'for n in range(20000):\n    now[0] = n\n    log.decision("e", text="x" * 100)\n'
            'print("done", file=sys.stderr)',
        )
        reader, writer = os.pipe()
        try:
            done = subprocess.run(
                [sys.executable, "-c", program],
                stdout=writer,
                stderr=subprocess.PIPE,
                check=True,
                timeout=30,
            )
        finally:
            os.close(reader)
            os.close(writer)
        self.assertEqual(b"done\n", done.stderr)
