#!/usr/bin/env bash
# Builds the store stand-in of this project, which the scripts of review/6 to review/10 start. Needs only the packages of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review --target store-standin -j6
