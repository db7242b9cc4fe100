#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# does the same without the disruption. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
exec python3 case.py
