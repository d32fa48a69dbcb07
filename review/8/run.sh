#!/usr/bin/env bash
# A replica fails with 503 after it has run a request; TROUBLE=0: it answers 200.
set -uo pipefail
. "$(dirname "$0")/../fleet-2.sh"
start_fleet
play refused-after-run
