#!/usr/bin/env bash
# A replica's leave is acknowledged, then all processes are killed; TROUBLE=0 kills none.
set -uo pipefail
. "$(dirname "$0")/../fleet-2.sh"
start_fleet
play left-before-kill
