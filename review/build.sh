#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs (standard library only) and
# need no build; this checks that the interpreter and the project's own program are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import http.client, json, socket, subprocess, threading'
test -x target/lavenderthread
