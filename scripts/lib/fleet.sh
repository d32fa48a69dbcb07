# Shell functions that start and stop a small fleet on loopback, for the demo and the system tests.
# Everything started here is ended by its own process id when the script ends.
# Sourced with $build set to the build folder.

node=$build/lavenderthread
fake=$build/tests/fakes/fake-endpoint
load=$build/tests/system/load-caller
work=$(mktemp -d)
declare -A pid_of=()
fleet_key=demo-key-0001
operator_key=operator-key-0001

entry_port=18080
gossip_port=18081
control_port=18082
endpoint_port=18090

entry_ip() { echo "127.77.1.$1"; }
entry_address() { echo "$(entry_ip "$1"):$entry_port"; }
endpoint_address() { echo "127.77.2.$1:$endpoint_port"; }
domain_of() { echo "domain-$(($1 % 3))"; }

# Settings of entry N of TOTAL, of which the first CONTROLS are control members.
write_settings() { # write_settings N TOTAL CONTROLS
    local n=$1 total=$2 controls=$3 ip seeds="" members="" control="" i
    ip=$(entry_ip "$n")
    for i in $(seq 1 $((total < 3 ? total : 3))); do
        seeds+="${seeds:+, }\"$(entry_ip "$i"):$gossip_port\""
    done
    for i in $(seq 1 "$controls"); do
        members+="${members:+, }{\"id\": \"vm$i\", \"address\": \"$(entry_ip "$i"):$control_port\", \"entry\": \"$(entry_address "$i")\"}"
    done
    [ "$n" -le "$controls" ] && control="\"listen\": \"$ip:$control_port\", \"data_folder\": \"$work/data$n\", "
    cat >"$work/vm$n.json" <<SETTINGS
{
  "cluster": {"name": "loopback", "keys": ["loopback-cluster-key"], "seeds": [$seeds]},
  "vm": {"id": "vm$n", "failure_domain": "$(domain_of "$n")"},
  "entry": {"listen": "$ip:$entry_port", "directory_ttl_ms": 1000, "shutdown_grace_ms": 1500},
  "gossip": {"listen": "$ip:$gossip_port"},
  "control": {$control"bootstrap": true, "members": [$members]},
  "accounts": [{"id": "firm", "key": "$fleet_key"}, {"id": "operations", "key": "$operator_key", "operator": true}],
  "services": [{"name": "ledger", "non_idempotent": ["POST /time-entries"]}]
}
SETTINGS
}

start_entry() { # start_entry N
    "$node" serve --settings "$work/vm$1.json" >>"$work/vm$1.log" 2>&1 &
    pid_of[vm$1]=$!
}

all_entries() { # all_entries TOTAL: as one --entries value
    local i list=""
    for i in $(seq 1 "$1"); do list+="${list:+,}$(entry_address "$i")"; done
    echo "$list"
}

start_engine() { # start_engine NAME INDEX ENTRIES [FLAG…]
    local name=$1 index=$2 entries=$3
    shift 3
    "$fake" --kind engine --id "$name" --listen "$(endpoint_address "$index")" --entries "$entries" \
        --failure-domain "$(domain_of "$index")" --service billing --models m1 \
        --kv-capacity-tokens 1500000 --prefill-rate "${prefill_rate:-2000000}" \
        --decode-rate "${decode_rate:-500}" "$@" \
        2>>"$work/$name.log" &
    pid_of[$name]=$!
}

start_service() { # start_service NAME INDEX ENTRIES [FLAG…]
    local name=$1 index=$2 entries=$3
    shift 3
    "$fake" --kind plain-service --id "$name" --listen "$(endpoint_address "$index")" \
        --entries "$entries" --failure-domain "$(domain_of "$index")" --service ledger "$@" \
        2>>"$work/$name.log" &
    pid_of[$name]=$!
}

crash() { # crash NAME: SIGKILL
    kill -KILL "${pid_of[$1]}" 2>/dev/null
    wait "${pid_of[$1]}" 2>/dev/null
    unset "pid_of[$1]"
}

# A node that does not end is killed, and its exit code tells: a test that waits for ever says nothing.
stop() { # stop NAME: SIGTERM; gives the exit code
    local code tries pid=${pid_of[$1]}
    kill -TERM "$pid" 2>/dev/null
    for tries in $(seq 1 300); do
        [ -e "/proc/$pid" ] && ! grep -q '^State:.Z' "/proc/$pid/status" 2>/dev/null || break
        sleep 0.1
    done
    [ "$tries" -lt 300 ] || kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    code=$?
    unset "pid_of[$1]"
    return "$code"
}

# Waits until the directory names COUNT entries; gives up after ten seconds.
await_directory() { # await_directory N COUNT
    local tries seen
    for tries in $(seq 1 100); do
        seen=$(curl -s "http://$(entry_address "$1")/v1/entries" | grep -o '"address"' | grep -c .)
        [ "$seen" -ge "$2" ] && return 0
        sleep 0.1
    done
    echo "entry $1 names $seen entries, not $2" >&2
    return 1
}

# Waits until entry N knows COUNT endpoints; gives up after ten seconds.
await_endpoints() { # await_endpoints N COUNT
    local tries seen
    for tries in $(seq 1 100); do
        seen=$("$node" status --entry "$(entry_address "$1")" 2>/dev/null)
        [[ "$seen" == *" endpoints=$2" ]] && return 0
        sleep 0.1
    done
    echo "entry $1 did not come to know $2 endpoints after $tries tries: $seen" >&2
    return 1
}

end_fleet() {
    local name
    for name in "${!pid_of[@]}"; do kill -KILL "${pid_of[$name]}" 2>/dev/null; done
    for name in "${!pid_of[@]}"; do wait "${pid_of[$name]}" 2>/dev/null; done
    rm -rf "$work"
}
trap end_fleet EXIT

# The entries' addresses, beginning with another one for each FIRST, so that endpoints spread.
rotated_entries() { # rotated_entries TOTAL FIRST
    local i list=""
    for i in $(seq 0 $(($1 - 1))); do list+="${list:+,}$(entry_address $((($2 + i - 1) % $1 + 1)))"; done
    echo "$list"
}

# Waits until entry N answers.
await_up() { # await_up N
    local tries
    for tries in $(seq 1 100); do
        "$node" status --entry "$(entry_address "$1")" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    echo "entry $1 does not answer after $tries tries" >&2
    return 1
}
