# Sourced by run.sh of the cases. Starts three machines of control and two of entry with the commands
# and templates of deploy/, in a loopback net of their own, and ends them when the script ends.
# Needs target/ (the build line of deploy/system.toml) and review/build-2.sh.

here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
trouble=${TROUBLE:-1}
probe=build-review-2/probe
[ -x target/lavenderthread ] && [ -x "$probe" ] || { echo "could not run: build first"; exit 2; }
net=$("$probe" free-net) || { echo "could not run: no free net"; exit 2; }
work=$(mktemp -d)
pids=()
bootstrap=true
export PROBE_KILL=$work/kill

end_fleet() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap end_fleet EXIT

# settings NAME ROLE IP FILE: fills in the template of the role, as DEPLOY.md tells it.
settings() {
    local seeds="[\"$net.11:8229\",\"$net.12:8229\",\"$net.13:8229\"]"
    sed -e '/^{{#Bounds\.ColdOvershoot}}/d' -e '/{{#Bounds\.ColdSlack}}/d' \
        -e 's/{{[#/][^}]*}}//g' \
        -e "s/{{Seeds|json}}/$seeds/" -e "s/{{Node}}/$1/" -e "s/{{Ip}}/$3/g" \
        -e 's/{{Zone}}/zone-a/' -e 's/{{Region}}/region/' \
        -e 's/{{Limits\.MemoryMb}}/256/' -e 's/{{Limits\.MaxFds}}/2870/' \
        -e 's/{{Limits\.LinkMbps}}/700.0/' \
        -e 's/{{InternalPortRange\.0}}/7340/g' -e 's/{{InternalPortRange\.1}}/7355/' \
        -e "s#{{DataDir}}#$work/$1.data#" -e "s/{{Bootstrap}}/$bootstrap/" \
        -e 's/{{FaultTolerance\.Machines}}/1/' -e 's/{{Bounds\.ConfigApplyMs}}/2000/' \
        -e "s/{{Listen\.Front}}/$3:8227/" -e "s/{{Listen\.Ready}}/$3:8220/" \
        -e "s/{{Listen\.Directory}}/$3:8224/" -e "s/{{Listen\.Control}}/$3:8229/" \
        -e 's/{{HeartbeatMs}}/1200/' -e 's/{{Bounds\.GraceS}}/8/' \
        "deploy/$2.json" >"$4"
}

# start NAME ROLE IP
start() {
    mkdir -p "$work/$1.data"
    settings "$1" "$2" "$3" "$work/$1.json"
    LAVENDERTHREAD_BOOT="$work/$1.json" target/lavenderthread serve --settings "$work/$1.json" \
        >"$work/$1.log" 2>&1 &
    pids+=($!)
}

start_fleet() {
    for number in 1 2 3; do start "core-$number" control "$net.1$number"; done
    for number in 1 2; do start "edge-$number" entry "$net.2$number"; done
}

# Kills all processes of the fleet when the probe asks for it, and starts them again.
kill_and_restart() {
    while [ ! -e "$PROBE_KILL" ]; do
        kill -0 "$1" 2>/dev/null || return 0
        sleep 0.02
    done
    for pid in "${pids[@]}"; do kill -KILL "$pid"; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    pids=()
    bootstrap=false
    sleep 0.5
    start_fleet
}

# Ends the script with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
play() {
    timeout 100 "$probe" "$1" "$net" "$trouble" "$here/record.txt" &
    local player=$!
    kill_and_restart "$player"
    wait "$player"
    local code=$?
    for pid in "${pids[@]}"; do
        kill -0 "$pid" 2>/dev/null || echo "process $pid has ended by itself" | tee -a "$here/record.txt"
    done
    [ "$code" -le 1 ] || code=2
    exit "$code"
}
