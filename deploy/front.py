"""Start one VM on the users' platform."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from tanagerfront.platform import main  # noqa: E402

main()
