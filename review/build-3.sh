#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3. The daemon
# comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o target/review-3/standin review/third/test/standin.cpp
