#!/usr/bin/env bash
# Builds the store stand-in that the cases start. Run it after the build of deploy/system.toml; it uses the same folder.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target --target store-standin -j6
