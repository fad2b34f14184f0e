#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/second/test -B target/review-2 -G Ninja \
    -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2
