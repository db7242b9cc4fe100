"""Start one VM of the session interface on the platform."""

from __future__ import annotations

from tanagerfront.platform import main

main()
