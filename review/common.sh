# Shared by all cases: the record, a temporary folder, free ports and the end of all processes. Sourced by run.sh, which sets "here", its folder.

root=$(cd "$here/../.." && pwd)
record=$here/record.txt
work=$(mktemp -d)
: >"$record"
cd "$root" || exit 2

# milliseconds prints the Unix time in milliseconds.
milliseconds() { echo $(($(date +%s%N) / 1000000)); }

# note writes a line with its time to the record.
note() { echo "$(milliseconds) $*" >>"$record"; }

# cannot_run ends the case with status 2: it says nothing about the rule.
cannot_run() {
	note "cannot run: $*"
	echo "cannot run: $*"
	exit 2
}

# end_all ends the processes that this script started and that still run.
end_all() {
	local pid
	for pid in $(jobs -pr); do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
}

# workers_left prints the process ids of this case's workers that still run. Workers of jobs outlive their parents in case 2, so they write their ids to
# $work/job-pids; an id counts only while it is still this case's worker.
workers_left() {
	local pid
	for pid in $(cat "$work/job-pids" 2>/dev/null); do
		if grep -qsF "$here/worker.sh" "/proc/$pid/cmdline"; then
			echo "$pid"
		fi
	done
}

# clean_up ends all processes that the case started. A worker ends by itself once $work/stop is there, so that no child of its own is left; it is killed if it
# has not done so within 2 s.
clean_up() {
	local pid
	: >"$work/stop"
	end_all
	for _ in $(seq 40); do
		[ -n "$(workers_left)" ] || break
		sleep 0.05
	done
	for pid in $(workers_left); do
		kill -KILL "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap clean_up EXIT

# free_port prints a port at which nothing listens on 127.0.0.1.
free_port() {
	local port
	while :; do
		port=$((20000 + RANDOM % 10000))
		if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && ! grep -qs "^$port\$" "$work/ports"; then
			echo "$port" >>"$work/ports"
			echo "$port"
			return
		fi
	done
}

# await_line waits up to $1 seconds until the record has a line that matches $2.
await_line() {
	local end=$(($(date +%s) + $1))
	while ! grep -q "$2" "$record"; do
		[ "$(date +%s)" -lt "$end" ] || return 1
		sleep 0.05
	done
}
