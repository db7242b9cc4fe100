"""Start one VM on the users' platform."""

from __future__ import annotations

from tanagerfront.platform import main

main()
