# System tests of a fleet: several entries, three control members, engines and a ledger.

fleet_entries=5

start_fleet() { # start_fleet ENGINES [ENGINE FLAG…]
    local n engines=$1
    shift
    rm -rf "$work"/data*
    for n in $(seq 1 "$fleet_entries"); do write_settings "$n" "$fleet_entries" 3; start_entry "$n"; done
    for n in $(seq 1 "$engines"); do
        start_engine "engine$n" "$n" "$(rotated_entries "$fleet_entries" "$n")" "$@"
    done
    for n in 1 2; do start_service "ledger$n" "1$n" "$(rotated_entries "$fleet_entries" "$n")"; done
    for n in 1 "$fleet_entries"; do
        await_endpoints "$n" $((engines + 2)) || return 1
        await_directory "$n" 3 || return 1
    done
}

stop_fleet() { # every entry must end by itself with exit code 0
    local name ok=0
    for name in "${!pid_of[@]}"; do
        [[ "$name" == vm* ]] || continue
        stop "$name" || { echo "$name ended with an error"; ok=1; }
    done
    for name in "${!pid_of[@]}"; do crash "$name"; done
    return "$ok"
}

send() { # send FLAG…: a checked load from callers that know entries 1 to 3
    "$load" --entry "$(entry_address 1)" --entry "$(entry_address 2)" --entry "$(entry_address 3)" \
        --key "$fleet_key" --print-failures "$@"
}

operator() { # operator METHOD PATH [BODY]
    curl -s -X "$1" -H "Authorization: Bearer $operator_key" ${3:+-d "$3"} "http://$(entry_address 1)$2"
}

# Waits until every entry has the newest version that entry N reports.
await_in_force() { # await_in_force N
    local tries version
    sleep 1.2 # longer than an entry takes to ask for news
    version=$(curl -si -H "Authorization: Bearer $operator_key" "http://$(entry_address "$1")/v1/operator/table" \
        | grep -i '^Table-Version' | grep -o '[0-9]*')
    for tries in $(seq 1 50); do
        "$node" in-force "$version" --entry "$(entry_address "$1")" --key "$operator_key" \
            | grep -q '"missing":\[\]' && return 0
        sleep 0.1
    done
    echo "version $version is not in force everywhere after $tries tries"
    return 1
}

posting_runs() { # how often postings ran, one count a key and replica
    local n
    for n in 1 2; do curl -s "http://$(endpoint_address "1$n")/fake/counts"; done | grep -o '"runs":[0-9]*'
}

# A caller sees its whole answer although the engine that produced it was killed in the middle. The
# entry notices the cut stream, asks another engine to go on at the next token, and drops repeats.
test_engine_killed() {
    local ok=0 killer
    start_fleet 4 || return 1
    (sleep 0.7; kill -KILL "${pid_of[engine1]}"; sleep 0.5; kill -KILL "${pid_of[engine2]}") &
    killer=$!
    send --mix 1000:80,10000:20 --max-tokens 300 --concurrency 10 || ok=1
    wait "$killer"
    stop_fleet || ok=1
    return "$ok"
}

# A caller's entry is killed while it streams. The caller connects to another address of its answer
# with its last event id; that entry goes on in the engine's stream, and no token is lost or doubled.
test_entry_killed() {
    local ok=0 killer
    start_fleet 4 || return 1
    (sleep 0.8; kill -KILL "${pid_of[vm4]}"; sleep 0.4; kill -KILL "${pid_of[vm5]}") &
    killer=$!
    send --mix 1000:120,10000:20 --max-tokens 300 --concurrency 16 || ok=1
    wait "$killer"
    crash vm4
    crash vm5
    stop_fleet || ok=1
    return "$ok"
}

# Lines of an engine come late, doubled and crossed: the relay takes each offset once and in order,
# so no caller sees a token twice or of another answer.
test_crossed_lines() {
    local ok=0
    start_fleet 3 --crossed || return 1
    send --mix 1000:60,10000:10 --max-tokens 80 --concurrency 12 || ok=1
    stop_fleet || ok=1
    return "$ok"
}

# Callers send each posting twice, at whatever entry their answer names. The claim is committed by a
# quorum before the first byte goes out, so the second one gets the first one's answer.
test_postings_run_once() {
    local ok=0 counts
    start_fleet 1 || return 1
    send --mix 1000:5 --postings 40 --concurrency 12 || ok=1
    counts=$(posting_runs)
    expect "postings that ran" 40 "$(grep -c . <<<"$counts")" || ok=1
    expect "that ran once" 40 "$(grep -c '^"runs":1$' <<<"$counts")" || ok=1
    stop_fleet || ok=1
    return "$ok"
}

# The leader of the control members is killed under postings: claims wait for the next leader. Its VM
# is an entry too. Of the calls that it had, one a caller, those that were not sent yet are made by
# the copy that their callers send elsewhere; those that were sent ran, and their callers are told
# that nobody knows the outcome; so are those of a posting that was about to be sent. None runs twice.
test_control_leader_killed() {
    local ok=0 killer leader counts ran callers=4
    start_fleet 1 || return 1
    leader=$(grep -l 'role=leader' "$work"/vm[123].log | head -n 1)
    leader=$(basename "$leader" .log)
    (sleep 0.4; kill -KILL "${pid_of[$leader]}") &
    killer=$!
    send --mix 1000:5 --postings 150 --concurrency "$callers" --deadline-ms 20000 \
        --unknown-allowed "$callers" || ok=1
    wait "$killer"
    counts=$(posting_runs)
    ran=$(grep -c . <<<"$counts")
    [ "$ran" -ge $((150 - callers)) ] || { echo "only $ran of 150 postings ran"; ok=1; }
    expect "postings that ran once" "$ran" "$(grep -c '^"runs":1$' <<<"$counts")" || ok=1
    unset "pid_of[$leader]"
    stop_fleet || ok=1
    return "$ok"
}

# An operator drains an engine under load: within three seconds of the acceptance no entry gives it
# new work, what it runs is not cut, and an undrain brings it back.
test_drain() {
    local ok=0 answer version before after
    start_fleet 3 || return 1
    send --mix 1000:40 --max-tokens 200 --concurrency 8 --seconds 9 >"$work/load.out" 2>&1 &
    local loader=$!
    sleep 1.5
    answer=$(operator POST "/v1/operator/orders?request=drain-1" '{"kind":"drain","endpoints":["engine1"]}')
    contains "accepted" "$answer" '"accepted":true' || ok=1
    version=$(grep -o '"version":[0-9]*' <<<"$answer" | grep -o '[0-9]*')
    contains "a resend gets the first answer" \
        "$(operator POST "/v1/operator/orders?request=drain-1" '{"kind":"drain","endpoints":["engine1"]}')" \
        "\"version\":$version,\"resend\":true" || ok=1
    contains "the same id for another order" \
        "$(operator POST "/v1/operator/orders?request=drain-1" '{"kind":"stop","endpoints":["engine1"]}')" '"conflict"' || ok=1
    sleep 3
    contains "in force everywhere" "$(operator GET "/v1/operator/enforcement?version=$version")" \
        "\"in_force\":$fleet_entries,\"entries\":$fleet_entries,\"missing\":[]" || ok=1
    sleep 0.6 # the longest stream that was running ends
    before=$(curl -s "http://$(endpoint_address 1)/engine/held")
    sleep 1
    after=$(curl -s "http://$(endpoint_address 1)/engine/held")
    contains "nothing runs at the drained engine" "$before" '"held":[]' || ok=1
    contains "and stays so" "$after" '"held":[]' || ok=1
    wait "$loader" || { cat "$work/load.out"; ok=1; }
    operator POST "/v1/operator/orders?request=undrain-1" '{"kind":"undrain","endpoints":["engine1"]}' >/dev/null
    sleep 2
    send --mix 1000:60 --max-tokens 100 --concurrency 12 >/dev/null || ok=1
    contains "undrained" "$("$node" status --json --entry "$(entry_address 2)")" '"draining":false' || ok=1
    stop_fleet || ok=1
    return "$ok"
}

# Two operators edit the same row with equal versions: one wins, the other is told by whom. All
# control members are then killed at once and restarted: the row is as it was accepted.
test_table_race_and_restart() {
    local ok=0 row first second n
    start_fleet 1 || return 1
    contains "account" "$("$node" account put --id firm --account-key firms-own-key --entry "$(entry_address 1)" --key "$operator_key")" \
        '"accepted":true' || ok=1
    await_in_force 1 || ok=1
    row='{"rows":[{"account":"firm","work_class":"narrative","weight":7,"version":0}]}'
    first=$(operator POST "/v1/operator/table?request=edit-1" "$row")
    contains "first edit" "$first" '"accepted":true' || ok=1
    second=$(operator POST "/v1/operator/table?request=edit-2" "${row/7/9}")
    contains "second edit" "$second" '"conflict"' || ok=1
    contains "by whom" "$second" '"operator":"operations"' || ok=1
    contains "bad cell" "$(operator POST "/v1/operator/table?request=edit-3" "${row/7/99999}")" 'weight' || ok=1
    contains "the new key works" \
        "$(status_of -H 'Authorization: Bearer firms-own-key' -d '{}' "http://$(entry_address 5)/v1/completions")" 400 || ok=1
    for n in 1 2 3; do crash "vm$n"; done
    for n in 1 2 3; do start_entry "$n"; done
    for n in 1 2 3; do await_up "$n" || ok=1; done
    await_directory 1 3 || ok=1
    contains "after the restart" "$(operator GET "/v1/operator/table?format=csv")" 'firm,narrative,7' || ok=1
    stop_fleet || ok=1
    return "$ok"
}

# Every entry is restarted in turn under steady load from callers that keep their answers: first it
# leaves the directory, still serves who holds an old answer, refuses with other addresses, and ends.
test_rolling_restart() {
    local ok=0 n
    start_fleet 3 || return 1
    send --mix 1000:50,10000:5 --postings 10 --max-tokens 100 --concurrency 8 --seconds 22 >"$work/load.out" 2>&1 &
    local loader=$!
    sleep 1
    for n in $(seq 1 "$fleet_entries"); do
        stop "vm$n" || { echo "vm$n ended with an error"; ok=1; }
        start_entry "$n"
        await_up "$n" || ok=1
        await_endpoints "$n" 5 || ok=1
        sleep 0.5
    done
    wait "$loader" || { tail -n 20 "$work/load.out"; ok=1; }
    expect "postings that ran more than once" 0 "$(posting_runs | grep -vc '^"runs":1$')" || ok=1
    stop_fleet || ok=1
    return "$ok"
}

# Guards against an endpoint that gets work again after its deregistration was acknowledged: all
# processes are killed, and then an announcement arrives that was on its way.
test_leave_outlasts_a_kill_of_all() {
    local ok=0 n announcement
    announcement='{"id":"late","address":"127.77.2.9:18090","kind":"plain-service","failure_domain":"domain-0",
        "service":"ledger","models":[],"incarnation":5,"kv_capacity_tokens":0,"prefill_tokens_per_second":0,
        "decode_tokens_per_second":0,"honours_fencing":false}'
    start_fleet 1 || return 1
    expect "announced" 200 "$(status_of -d "$announcement" "http://$(entry_address 4)/v1/endpoints/announce")" || ok=1
    expect "left" 204 "$(status_of -d '{"incarnation":5}' "http://$(entry_address 4)/v1/endpoints/late/leave")" || ok=1
    for n in $(seq 1 "$fleet_entries"); do crash "vm$n"; done
    for n in $(seq 1 "$fleet_entries"); do start_entry "$n"; done
    for n in $(seq 1 "$fleet_entries"); do await_up "$n" || ok=1; done
    await_directory 4 3 || ok=1
    for n in 4 1; do
        expect "a late announcement at entry $n" 409 \
            "$(status_of -d "$announcement" "http://$(entry_address "$n")/v1/endpoints/announce")" || ok=1
    done
    stop_fleet || ok=1
    return "$ok"
}
