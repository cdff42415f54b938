# Functions of the second review's cases. A case sources this file from its own folder; it then runs in the repository's root, with a temporary folder
# in $work and its record in $record. All processes that it starts with `start` end with it.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
kit=$PWD/review/bin/kit
program=$PWD/bin/thistlerudder
trouble=${TROUBLE:-1}
record=$here/record.txt
work=$(mktemp -d)
: >"$record"

note() { printf '%s %s\n' "$(date +%s.%N)" "$*" | tee -a "$record"; }

cannot() {
    note "the case couldn't run: $*"
    exit 2
}

# finish ends all processes that the case has started, those of jobs included, and keeps what the nodes logged at warn or above.
finish() {
    status=$?
    if [ -f "$work/acts" ]; then
        for pid in $(awk '{print $4}' "$work/acts" | sort -u); do
            if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$kit" ]; then kill -KILL "$pid" 2>/dev/null; fi
        done
        { echo "acts: time in ns, job, token, process, what"; cat "$work/acts"; } >>"$record"
    fi
    local running
    running=$(jobs -pr; jobs -ps) # the ids of those that have ended may be others' by now
    if [ -n "$running" ]; then
        kill -CONT $running 2>/dev/null
        kill -TERM $running 2>/dev/null
        for _ in $(seq 60); do
            running=$(jobs -pr)
            [ -n "$running" ] || break
            sleep 0.1
        done
        [ -z "$running" ] || kill -KILL $running 2>/dev/null
        wait 2>/dev/null
    fi
    rm -f "$work/platform.log"
    for log in "$work"/*.log; do
        [ -f "$log" ] && { echo "log ${log##*/}, without info:"; grep -v '"level":"info"' "$log" | tail -n 30; } >>"$record"
    done
    rm -rf "$work"
    exit $status
}
trap finish EXIT
trap 'exit 2' INT TERM

[ -x "$program" ] || cannot "bin/thistlerudder is missing: the deploy file's build makes it"
[ -x "$kit" ] || cannot "review/bin/kit is missing: review/build-2.sh makes it"

# start NAME COMMAND... runs a command in the background, with its output in NAME.log, and sets $pid.
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pid=$!
}

# node_file NAME LEASE_MS writes the file of one voter of a fleet of three.
node_file() {
    local name=$1 lease=$2 i=${1#n}
    local voters
    voters=$(printf '{"name":"n1","address":"127.0.0.1:%s"},{"name":"n2","address":"127.0.0.1:%s"},{"name":"n3","address":"127.0.0.1:%s"}' \
        "${port[0]}" "${port[1]}" "${port[2]}")
    cat >"$work/$name.json" <<END
{"name": "$name", "listen": "127.0.0.1:${port[2 + i]}", "discovery": "127.0.0.1:${port[9]}", "admin_addr": "127.0.0.1:${port[5 + i]}",
 "seed": "8c1f30d27a5be96$i", "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024},
 "fleet": {"name": "readers", "address": "127.0.0.1:${port[i - 1]}", "voters": [$voters], "folder": "$work/$name.folder",
  "lease_ms": $lease, "drift": 0.01, "delay_ms": 50, "tasks": ["roll-up"]},
 "settings": {"balancers": 3, "models": ["box", "origin"], "domain": {"mode": "aside", "origin-kind": 1},
  "permissions": {"most-shots": 3, "parallel-tries": true, "connect-timeout-ms": 75, "conn-idle-ms": 15000, "max-retry-after-ms": 400},
  "namespaces": [{"name": "meter-lookup", "repeat": "safe", "target-time-ms": 200, "time-limit-ms": 750}]}}
END
}

# start_node NAME starts a node with the command of deploy/fleet.toml and sets $pid.
start_node() {
    mkdir -p "$work/$1.tmp"
    start "$1" env TMPDIR="$work/$1.tmp" bin/thistlerudder serve --config "$work/$1.json"
    eval "node_$1=$pid"
}

# found_fleet starts three voters with leases of 3 s, the default, and founds their fleet. It returns once one of them leads.
found_fleet() {
    mapfile -t port < <("$kit" ports 11)
    start platform "$kit" platform "${port[9]}" 60ms "${port[10]}"
    for name in n1 n2 n3; do
        node_file "$name" 3000
        start_node "$name"
    done
    for _ in $(seq 100); do
        "$program" fleet found --config "$work/n1.json" >>"$work/found.log" 2>&1 && break
        sleep 0.1
    done
    await_leader
}

# await_leader waits for a leader and sets $leader to its name.
await_leader() {
    for _ in $(seq 100); do
        leader=$("$program" fleet status --config "$work/n1.json" 2>&1 | sed -n 's/^fleet readers, led by \(n[123]\)\..*/\1/p')
        [ -n "$leader" ] && return
        sleep 0.1
    done
    cannot "no voter leads"
}

# await_act JOB waits for the first act of a job.
await_act() {
    for _ in $(seq 200); do
        grep -q " $1 " "$work/acts" 2>/dev/null && return
        sleep 0.05
    done
    cannot "$1 has not begun"
}

# others_of NAME prints the two other nodes.
others_of() { echo n1 n2 n3 | tr ' ' '\n' | grep -v "^$1$" | tr '\n' ' '; }
