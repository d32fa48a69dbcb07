#!/usr/bin/env bash
# A status report with line breaks in its id; TROUBLE=0 leaves it out.
set -uo pipefail
. "$(dirname "$0")/../fleet-2.sh"
start_fleet
play smuggled
