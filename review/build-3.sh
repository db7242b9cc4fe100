#!/bin/bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, without a network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp review/standins_3/*.py target/review-3/
python3 -m compileall -q target/review-3
