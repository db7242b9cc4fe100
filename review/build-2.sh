#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python files that need only its standard
# library; the program itself comes from the build of the deploy file.
exec python3 -m compileall -q "$(dirname "$0")/standins-2"
