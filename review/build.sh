#!/usr/bin/env bash
# Builds the stand-ins of the cases; runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -Wall -Wextra -fPIC -pthread"
g++ $flags review/test/minion.cpp -o target/review/minion \
    $(pkg-config --cflags --libs Qt6Core)
g++ $flags review/test/requester.cpp -o target/review/requester
