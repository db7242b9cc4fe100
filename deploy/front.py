"""Start one VM of the session interface on the platform."""

from __future__ import annotations

import gc

# Imports create no garbage, and collections take about a tenth of a VM's start. What they created
# stays, so that later collections need not look at it.
gc.disable()
from tanagerfront.platform import main  # noqa: E402

gc.freeze()
gc.enable()
main()
