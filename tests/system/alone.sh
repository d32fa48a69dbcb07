# System tests of one node by itself: wrong use, wrong settings, wrong requests. Each must give a
# clear error and the right exit code or status, and the process must stay up.

expect() { # expect WHAT WANTED FOUND
    [ "$2" == "$3" ] && return 0
    echo "$1: expected $2, found $3"
    return 1
}

contains() { # contains WHAT TEXT PART
    [[ "$2" == *"$3"* ]] && return 0
    echo "$1: \"$3\" is not in: $2"
    return 1
}

test_wrong_command_line() {
    local ok=0
    "$node" no-such-command >/dev/null 2>&1; expect "unknown command" 2 $? || ok=1
    "$node" serve >/dev/null 2>&1; expect "serve without settings" 2 $? || ok=1
    "$node" call --entry not-an-address --key k >/dev/null 2>&1; expect "bad address" 2 $? || ok=1
    "$node" --help >/dev/null 2>&1; expect "help" 0 $? || ok=1
    "$node" call --entry 127.77.9.9:1 --key k --model m --deadline-ms 600 >/dev/null 2>&1
    expect "nobody there" 7 $? || ok=1
    return "$ok"
}

test_wrong_settings() {
    local ok=0 text
    echo '{"cluster": {"name": "x"}, "entry": {"listen": "localhost:1", "workers": 0}, "extra": 1}' >"$work/bad.json"
    text=$("$node" check-settings --settings "$work/bad.json" 2>&1); expect "bad settings" 3 $? || ok=1
    contains "file" "$text" "$work/bad.json" || ok=1
    contains "path and range" "$text" "entry.workers: expected integer from 1 to 64 threads, found 0" || ok=1
    contains "address" "$text" "entry.listen: expected IP:PORT" || ok=1
    contains "missing" "$text" "cluster.keys: missing" || ok=1
    contains "unknown" "$text" "extra: unknown setting" || ok=1
    echo '{"cluster": ' >"$work/cut.json"
    text=$("$node" serve --settings "$work/cut.json" 2>&1); expect "cut settings" 3 $? || ok=1
    contains "cut" "$text" "not JSON" || ok=1
    "$node" serve --settings "$work/none.json" >/dev/null 2>&1; expect "no settings" 3 $? || ok=1
    write_settings 1 1 0
    "$node" check-settings --settings "$work/vm1.json" >/dev/null; expect "good settings" 0 $? || ok=1
    return "$ok"
}

test_busy_port() {
    local ok=0 text
    write_settings 1 1 0
    start_entry 1
    await_up 1 || return 1
    text=$("$node" serve --settings "$work/vm1.json" 2>&1); expect "busy port" 4 $? || ok=1
    contains "address in the error" "$text" "peer=$(entry_ip 1)" || ok=1
    await_up 1 || ok=1
    stop vm1 || ok=1
    return "$ok"
}

test_stops_when_told() {
    # An operator's SIGTERM is ignored for good, in one start of four: the workers of a node that
    # has just begun race for the first use of signals. Many starts, each of which must end.
    local ok=0 start
    write_settings 1 1 0
    for start in $(seq 1 12); do
        start_entry 1
        await_up 1 || return 1
        stop vm1 || { echo "start $start: exit code $?"; ok=1; }
    done
    return "$ok"
}

# Status of a request sent with curl; arguments as curl's.
status_of() { curl -s -o "$work/answer" -w '%{http_code}' "$@"; }

test_wrong_requests() {
    local ok=0 base auth
    base=http://$(entry_address 1)
    auth="Authorization: Bearer $fleet_key"
    write_settings 1 1 0
    start_entry 1
    await_up 1 || return 1
    expect "wrong key" 401 "$(status_of -H 'Authorization: Bearer wrong' -d '{}' "$base/v1/completions")" || ok=1
    contains "wrong key ran" "$(cat "$work/answer")" '"ran":"no"' || ok=1
    expect "no key" 401 "$(status_of -d '{}' "$base/v1/completions")" || ok=1
    expect "not JSON" 400 "$(status_of -H "$auth" -d '{"model"' "$base/v1/completions")" || ok=1
    expect "no prompt" 400 "$(status_of -H "$auth" -d '{"model":"m1"}' "$base/v1/completions")" || ok=1
    contains "no prompt" "$(cat "$work/answer")" "prompt: expected text" || ok=1
    expect "bad deadline" 400 "$(status_of -H "$auth" -H 'Deadline-Ms: soon' -d '{"model":"m1","prompt":"x"}' "$base/v1/completions")" || ok=1
    expect "forged event id" 401 "$(status_of -H "$auth" -H "Last-Event-ID: $(printf '0%.0s' $(seq 1 80))" -d '{"model":"m1","prompt":"x"}' "$base/v1/completions")" || ok=1
    expect "no engine" 503 "$(status_of -H "$auth" -d '{"model":"m1","prompt":"x"}' "$base/v1/completions")" || ok=1
    contains "no engine" "$(cat "$work/answer")" '"retry_after_ms"' || ok=1
    expect "unknown path" 404 "$(status_of -H "$auth" "$base/v1/nothing")" || ok=1
    expect "wrong method" 405 "$(status_of -H "$auth" "$base/v1/completions")" || ok=1
    expect "no idempotency key" 400 "$(status_of -H "$auth" -d '{}' "$base/services/ledger/time-entries")" || ok=1
    expect "operator call by a caller" 403 "$(status_of -H "$auth" "$base/v1/operator/table")" || ok=1
    expect "forged control call" 404 "$(status_of -H "$auth" -d 'xx' "$base/v1/peer/control")" || ok=1
    expect "big header" 431 "$(status_of -H "X-Big: $(printf 'x%.0s' $(seq 1 20000))" "$base/v1/entries")" || ok=1
    head -c 20000000 /dev/zero >"$work/big"
    expect "big body" 413 "$(status_of -H "$auth" -H 'Expect:' --data-binary "@$work/big" "$base/v1/completions")" || ok=1
    printf 'NONSENSE\r\n\r\n' >"/dev/tcp/$(entry_ip 1)/$entry_port" || ok=1
    expect "still serving" 200 "$(status_of "$base/v1/status")" || ok=1
    grep -q "$fleet_key" "$work/vm1.log" && { echo "a bearer key is in the log"; ok=1; }
    stop vm1 || { echo "the entry did not end with exit code 0"; ok=1; }
    return "$ok"
}

# Guards against requests at slow endpoints that get no answer when their entry has to end.
test_open_requests_are_answered_before_the_end() {
    local ok=0 base auth words completion lookup tries
    base=http://$(entry_address 1)
    auth="Authorization: Bearer $fleet_key"
    write_settings 1 1 0
    sed -i 's/"shutdown_grace_ms": 1500/"shutdown_grace_ms": 300, "shutdown_limit_ms": 1200/' "$work/vm1.json"
    start_entry 1
    await_up 1 || return 1
    prefill_rate=2000 start_engine engine1 1 "$(entry_address 1)"
    start_service ledger1 11 "$(entry_address 1)" --delay-ms 20000
    await_endpoints 1 2 || return 1
    words=$(printf 'word %.0s' $(seq 1 20000))
    echo "{\"model\":\"m1\",\"prompt\":\"$words\"}" >"$work/prompt"
    curl -s -o "$work/completion" -w '%{http_code}' -H "$auth" -H 'Deadline-Ms: 60000' -d "@$work/prompt" \
        "$base/v1/completions" >"$work/completion.status" &
    completion=$!
    curl -s -o "$work/lookup" -w '%{http_code}' -H "$auth" -H 'Deadline-Ms: 60000' "$base/services/ledger/x" \
        >"$work/lookup.status" &
    lookup=$!
    for tries in $(seq 1 100); do
        curl -s "$base/v1/status" | grep -q '"in_flight":2' && break
        sleep 0.05
    done
    sleep 0.5 # both are at their endpoints
    stop vm1 || { echo "the entry did not end with exit code 0"; ok=1; }
    wait "$completion" "$lookup"
    expect "completion at an engine" 502 "$(cat "$work/completion.status")" || ok=1
    expect "lookup at a replica" 502 "$(cat "$work/lookup.status")" || ok=1
    contains "stages" "$(grep node.leaving "$work/vm1.log")" 'stages=sent:2' || ok=1
    grep -q request.unanswered "$work/vm1.log" && { echo "a request was left unanswered"; ok=1; }
    crash engine1
    crash ledger1
    return "$ok"
}
