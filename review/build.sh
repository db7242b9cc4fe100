#!/bin/bash
# Builds the stand-ins that the scripts start; they need nothing but the standard library.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 1
exec python3 -m compileall -q standins [1-5]
