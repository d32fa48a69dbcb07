#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o build-review-2/probe review/probe-2/Probe.cpp
